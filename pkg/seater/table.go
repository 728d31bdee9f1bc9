// Package seater defines the seat table and its allowed changes. A seat is a
// numbered share of the fleet's limits (rates and slots); the instance that holds
// a seat may use its share. The changes ensure that at every instant at most one
// holder of a seat has a valid serving lease.
//
// A caller decodes the stored Table, calls one of its methods, each of which
// returns a changed copy or an *ErrTransition, checks the result with
// CheckTransition, and writes it to the store by compare-and-swap.
package seater

import (
	"encoding/json"
	"slices"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Seat is one seat and its holder.
type Seat struct {
	// Number is the index of the seat in Table.Seats.
	Number ids.Seat `json:"number"`
	// Region is the region whose entry hosts may hold the seat; it is empty for a
	// retired seat.
	Region ids.Region `json:"region"`
	// Holder is the instance that holds the seat; it is empty for a free seat.
	Holder ids.Instance `json:"holder,omitempty"`
	// Zone, CallersAddress, PeersAddress and OperatorsAddress describe the holder.
	Zone             ids.Zone `json:"zone,omitempty"`
	CallersAddress   string   `json:"callersAddress,omitempty"`
	PeersAddress     string   `json:"peersAddress,omitempty"`
	OperatorsAddress string   `json:"operatorsAddress,omitempty"`
	// Lease is the ID of the holder's lease at the store.
	Lease string `json:"lease,omitempty"`
	// Epoch grows whenever the seat gets or loses a holder.
	Epoch uint64 `json:"epoch"`
	// Unclean is set if an earlier holder lost the seat without releasing it, so
	// that its requests may still run at targets.
	Unclean bool `json:"unclean,omitempty"`
	// LoansOutstanding is set if an earlier holder lost the seat before the end of
	// its serving lease, so that its loans may still be in use.
	LoansOutstanding bool `json:"lending,omitempty"`
	// RequestedBy is an instance without a seat that asks the holder, which has
	// several, to release this one.
	RequestedBy ids.Instance `json:"wanted,omitempty"`
}

// Table is the seat table, the stored document that lists all seats and holders.
type Table struct {
	// Revision counts the writes of the table.
	Revision ids.SeatRevision `json:"revision"`
	// WriteID identifies the last write, so that its author can recognise it if
	// the store's answer is lost.
	WriteID string `json:"writeId,omitempty"`
	// ResizedFrom is the number of seats before the last Resize until it is
	// committed; zero otherwise.
	ResizedFrom int `json:"settled,omitempty"`
	// Seats lists the seats by number.
	Seats []Seat `json:"seats"`
}

// Clone returns a deep copy.
func (t *Table) Clone() *Table {
	c := *t
	c.Seats = slices.Clone(t.Seats)
	return &c
}

// Encode returns the stored form of the table.
func (t *Table) Encode() ([]byte, error) {
	b, err := json.Marshal(t)
	if err != nil {
		return nil, errs.New("encode the seat table: %v", err)
	}
	return b, nil
}

// Decode parses a stored table.
func Decode(b []byte) (*Table, error) {
	var t Table
	if err := json.Unmarshal(b, &t); err != nil {
		return nil, errs.New("decode the seat table: %v", err)
	}
	return &t, nil
}

// SeatsOf returns the seats of an instance.
func (t *Table) SeatsOf(i ids.Instance) []Seat {
	var held []Seat
	for _, s := range t.Seats {
		if s.Holder == i {
			held = append(held, s)
		}
	}
	return held
}

// Holders returns the instances that hold at least one seat, each once, in the
// order of their lowest seat.
func (t *Table) Holders() []ids.Instance {
	var all []ids.Instance
	for _, s := range t.Seats {
		if s.Holder != "" && !slices.Contains(all, s.Holder) {
			all = append(all, s.Holder)
		}
	}
	return all
}

// MajoritySize returns the size of a strict majority of n.
func MajoritySize(n int) int { return n/2 + 1 }

// Package seater decides who may hold a seat. Seats carry the rights that the
// fleet's limits are split into, so that at every instant a seat has at most
// one holder that may act.
package seater

import (
	"encoding/json"
	"slices"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Seat is one row of the seat table.
type Seat struct {
	// Number is the seat's number.
	Number ids.Seat `json:"number"`
	// Region is the region whose entry hosts may hold the seat.
	Region ids.Region `json:"region"`
	// Holder is the instance that holds the seat, or empty.
	Holder ids.Instance `json:"holder,omitempty"`
	// Zone, CallersAddress, PeersAddress and OperatorsAddress are the holder's.
	Zone             ids.Zone `json:"zone,omitempty"`
	CallersAddress   string   `json:"callersAddress,omitempty"`
	PeersAddress     string   `json:"peersAddress,omitempty"`
	OperatorsAddress string   `json:"operatorsAddress,omitempty"`
	// Lease is the holder's lease at the store.
	Lease string `json:"lease,omitempty"`
	// Epoch counts the holders that the seat has had.
	Epoch uint64 `json:"epoch"`
	// Unclean says that the last holder did not release the seat, so that its
	// requests may still run at targets.
	Unclean bool `json:"unclean,omitempty"`
	// Lending says that the last holder lost the seat before the end of its
	// serving lease, so that its loans may still be in use.
	LoansOutstanding bool `json:"lending,omitempty"`
	// Wanted is an instance without a seat that asks the holder of several for
	// this one.
	RequestedBy ids.Instance `json:"wanted,omitempty"`
}

// Table is the seat table: the one document that says who holds which seat.
type Table struct {
	// Revision counts the writes of the table.
	Revision ids.SeatRevision `json:"revision"`
	// WriteID names the last write, so that its author can find it again.
	WriteID string `json:"writeId,omitempty"`
	// Settled is the number of seats before the last change of their number,
	// while it is not known to a majority; zero afterwards.
	ResizedFrom int `json:"settled,omitempty"`
	// Seats lists the seats by number. One without a region is retired.
	Seats []Seat `json:"seats"`
}

// Clone returns a copy that shares nothing with t.
func (t *Table) Clone() *Table {
	c := *t
	c.Seats = slices.Clone(t.Seats)
	return &c
}

// Encode returns the table as stored.
func (t *Table) Encode() ([]byte, error) {
	b, err := json.Marshal(t)
	if err != nil {
		return nil, errs.New("encode the seat table: %v", err)
	}
	return b, nil
}

// Decode reads a stored table.
func Decode(b []byte) (*Table, error) {
	var t Table
	if err := json.Unmarshal(b, &t); err != nil {
		return nil, errs.New("decode the seat table: %v", err)
	}
	return &t, nil
}

// HeldBy returns the seats of an instance.
func (t *Table) SeatsOf(i ids.Instance) []Seat {
	var held []Seat
	for _, s := range t.Seats {
		if s.Holder == i {
			held = append(held, s)
		}
	}
	return held
}

// Instances returns the instances that hold at least one seat, each once, in
// the order of their lowest seat.
func (t *Table) Holders() []ids.Instance {
	var all []ids.Instance
	for _, s := range t.Seats {
		if s.Holder != "" && !slices.Contains(all, s.Holder) {
			all = append(all, s.Holder)
		}
	}
	return all
}

// Majority returns the number of instances that make a strict majority of n.
func MajoritySize(n int) int { return n/2 + 1 }

package seater

import (
	"fmt"
	"slices"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// writeIDBytes is the number of random bytes in a write ID.
const writeIDBytes = 8

// Holder describes an instance that holds or requests a seat.
type Holder struct {
	Instance         ids.Instance
	Region           ids.Region
	Zone             ids.Zone
	CallersAddress   string
	PeersAddress     string
	OperatorsAddress string
	// Lease is the ID of the instance's lease at the store.
	Lease string
}

// ErrTransition is returned if a change of the table is not allowed or changes
// nothing.
type ErrTransition struct {
	// Transition is the name of the change in messages. It is that of the method,
	// but for yield (ReleaseSeat), release (ReleaseAll), want (RequestSeat), relet
	// (ReplaceLease) and settle (CommitResize).
	Transition string
	// Reason says why the change is not allowed.
	Reason string
}

// Error implements error.
func (e *ErrTransition) Error() string { return fmt.Sprintf("%s: %s", e.Transition, e.Reason) }

// Claim returns the table after h took a free seat of its region. A seat whose
// last holder did not release it stays unclean. The error is an *ErrTransition.
func (t *Table) Claim(h Holder, n ids.Seat) (*Table, error) {
	s, err := t.seat("claim", n)
	if err != nil {
		return nil, err
	}
	if s.Holder != "" {
		return nil, &ErrTransition{"claim", fmt.Sprintf("seat %d is held by %s", n, s.Holder)}
	}
	if s.Region != h.Region {
		return nil, &ErrTransition{"claim", fmt.Sprintf("seat %d is of region %q", n, s.Region)}
	}
	next := t.next()
	next.Seats[n].assign(h)
	return next, nil
}

// ReleaseAll returns the table after an instance released all its seats. Its
// serving lease and its requests must have ended. If predecessorsDone is set, the
// instance has held the seats for so long that no request of an earlier holder
// can still run; otherwise an unclean seat stays unclean. The error is an
// *ErrTransition.
func (t *Table) ReleaseAll(i ids.Instance, predecessorsDone bool) (*Table, error) {
	next := t.next()
	changed := false
	for n := range next.Seats {
		if next.Seats[n].Holder == i {
			next.Seats[n].free(next.Seats[n].Unclean && !predecessorsDone, next.Seats[n].LoansOutstanding && !predecessorsDone)
			changed = true
		}
	}
	if !changed {
		return nil, &ErrTransition{"release", fmt.Sprintf("%s holds no seat", i)}
	}
	return next, nil
}

// ReleaseSeat returns the table after an instance released one of several seats
// while it goes on serving. It must have stopped using the seat's share of the
// limits. If clean is set, none of its requests on the seat's slots can still
// run. Its loans may still be in use, so LoansOutstanding is set. The error is an
// *ErrTransition.
func (t *Table) ReleaseSeat(i ids.Instance, n ids.Seat, clean bool) (*Table, error) {
	s, err := t.seat("yield", n)
	if err != nil {
		return nil, err
	}
	if s.Holder != i {
		return nil, &ErrTransition{"yield", fmt.Sprintf("seat %d is not held by %s", n, i)}
	}
	next := t.next()
	next.Seats[n].free(!clean, true)
	return next, nil
}

// RequestSeat returns the table after h, which has no seat, requested seat n from
// a holder of several. The error is an *ErrTransition.
func (t *Table) RequestSeat(h Holder, n ids.Seat) (*Table, error) {
	s, err := t.seat("want", n)
	if err != nil {
		return nil, err
	}
	if s.Region != h.Region || s.Holder == "" || len(t.SeatsOf(s.Holder)) < 2 {
		return nil, &ErrTransition{"want", fmt.Sprintf("seat %d cannot be spared", n)}
	}
	next := t.next()
	next.Seats[n].RequestedBy = h.Instance
	return next, nil
}

// TakeOver returns the table after h took the seats of the process that had its
// peers' address before. That process must have ended: the address could not be
// bound otherwise. Seats of another region than h's become free. The error is an
// *ErrTransition.
func (t *Table) TakeOver(h Holder) (*Table, error) {
	next := t.next()
	changed := false
	for n := range next.Seats {
		s := &next.Seats[n]
		if s.Holder == "" || s.Holder == h.Instance || s.PeersAddress != h.PeersAddress {
			continue
		}
		changed = true
		s.free(true, true)
		if s.Region == h.Region {
			s.assign(h)
		}
	}
	if !changed {
		return nil, &ErrTransition{"take over", fmt.Sprintf("no seat is held at %s", h.PeersAddress)}
	}
	return next, nil
}

// ReclaimProof is the evidence that a holder's serving lease has expired.
type ReclaimProof struct {
	Holder ids.Instance
	// Lease is the holder's lease that has expired at the store. The holder's
	// seats must still be listed with it.
	Lease string
	// FencedBy lists the instances that have fenced the holder and whose promises
	// to it have all expired.
	FencedBy []ids.Instance
}

// Reclaim returns the table after the seats of an expired holder became free. The
// error is an *ErrTransition.
func (t *Table) Reclaim(p ReclaimProof) (*Table, error) {
	if slices.Contains(p.FencedBy, p.Holder) {
		return nil, &ErrTransition{"reclaim", "the silent holder cannot vote"}
	}
	if !t.HasMajority(p.FencedBy) {
		return nil, &ErrTransition{"reclaim", "the votes are no majority of the seats"}
	}
	next := t.next()
	changed := false
	for n := range next.Seats {
		s := &next.Seats[n]
		if s.Holder != p.Holder {
			continue
		}
		if s.Lease != p.Lease {
			return nil, &ErrTransition{"reclaim", fmt.Sprintf("seat %d is held under lease %s", n, s.Lease)}
		}
		s.free(true, false)
		changed = true
	}
	if !changed {
		return nil, &ErrTransition{"reclaim", fmt.Sprintf("%s holds no seat", p.Holder)}
	}
	return next, nil
}

// Abandon returns the table after the seats of a holder became free on an
// operator's statement that its process has ended for good. The given store lease
// must have expired and must be the one listed. The error is an *ErrTransition.
func (t *Table) Abandon(i ids.Instance, lease string) (*Table, error) {
	next := t.next()
	changed := false
	for n := range next.Seats {
		s := &next.Seats[n]
		if s.Holder != i {
			continue
		}
		if s.Lease != lease {
			return nil, &ErrTransition{"abandon", fmt.Sprintf("seat %d is held under lease %s", n, s.Lease)}
		}
		s.free(true, true)
		changed = true
	}
	if !changed {
		return nil, &ErrTransition{"abandon", fmt.Sprintf("%s holds no seat", i)}
	}
	return next, nil
}

// ReplaceLease returns the table after a holder whose store lease had expired
// listed its seats with a new one. The error is an *ErrTransition.
func (t *Table) ReplaceLease(i ids.Instance, lease string) (*Table, error) {
	next := t.next()
	changed := false
	for n := range next.Seats {
		if next.Seats[n].Holder == i {
			next.Seats[n].Lease = lease
			changed = true
		}
	}
	if !changed {
		return nil, &ErrTransition{"relet", fmt.Sprintf("%s holds no seat", i)}
	}
	return next, nil
}

// Resize returns the table after the configured seats changed: regions lists the
// region of each seat. Seats keep their numbers. Missing seats are added at the
// end; until CommitResize, a majority of the seats before and a majority of all
// seats are needed. Surplus seats are retired once they are free: they lose their
// region but still count for majorities. The error is an *ErrTransition, also if
// nothing is to be changed.
func (t *Table) Resize(regions []ids.Region) (*Table, error) {
	missing := make(map[ids.Region]int)
	for _, r := range regions {
		missing[r]++
	}
	next := t.next()
	changed := next.retire(missing)
	for _, r := range regions {
		if missing[r] <= 0 {
			continue
		}
		missing[r]--
		next.add(r, len(t.Seats))
		changed = true
	}
	if !changed {
		return nil, &ErrTransition{"resize", "the table has the configured seats"}
	}
	return next, nil
}

// retire removes the region of free seats that are no longer configured, and
// reports whether there were any. It reduces missing, the configured number of
// seats of each region, to the number that the region lacks.
func (t *Table) retire(missing map[ids.Region]int) bool {
	for _, s := range t.Seats {
		missing[s.Region]--
	}
	changed := false
	for n := len(t.Seats) - 1; n >= 0; n-- {
		s := &t.Seats[n]
		if s.Region == "" || s.Holder != "" || missing[s.Region] >= 0 {
			continue
		}
		missing[s.Region]++
		s.Region = ""
		changed = true
	}
	return changed
}

// add adds a seat to a region: a retired one, or a new one at the end. before is
// the number of seats before the Resize.
func (t *Table) add(r ids.Region, before int) {
	for n := range t.Seats {
		if t.Seats[n].Region == "" {
			t.Seats[n].Region = r
			return
		}
	}
	t.Seats = append(t.Seats, Seat{Number: ids.Seat(len(t.Seats)), Region: r})
	if t.ResizedFrom == 0 && before > 0 {
		t.ResizedFrom = before
	}
}

// CommitResize returns the table after holders of a majority of the seats, both
// before and after the last Resize, were found to know this table. The error is an
// *ErrTransition.
func (t *Table) CommitResize(informed []ids.Instance) (*Table, error) {
	if t.ResizedFrom == 0 {
		return nil, &ErrTransition{"settle", "the table is settled"}
	}
	if !t.HasMajority(informed) {
		return nil, &ErrTransition{"settle", "the votes are no majority of the seats"}
	}
	next := t.next()
	next.ResizedFrom = 0
	return next, nil
}

// HasMajority reports whether the instances hold more than half of all seats,
// free seats included. Seats are counted and not instances, because instances
// come and go, whereas any two majorities of seats in one table or in successive
// tables share a seat. While a Resize is not committed, more than half of the
// seats before it are needed as well.
func (t *Table) HasMajority(instances []ids.Instance) bool {
	if t.ResizedFrom > 0 && !hasMajority(t.Seats[:t.ResizedFrom], instances) {
		return false
	}
	return hasMajority(t.Seats, instances)
}

func hasMajority(seats []Seat, instances []ids.Instance) bool {
	votes := 0
	for _, s := range seats {
		if s.Holder != "" && slices.Contains(instances, s.Holder) {
			votes++
		}
	}
	return votes >= MajoritySize(len(seats))
}

// SeatOf returns the lowest-numbered seat of an instance, if it has any.
func (t *Table) SeatOf(i ids.Instance) (Seat, bool) {
	for _, s := range t.Seats {
		if s.Holder == i {
			return s, true
		}
	}
	return Seat{}, false
}

// SeatNumbersOf returns the numbers of the seats of an instance.
func (t *Table) SeatNumbersOf(i ids.Instance) []ids.Seat {
	var numbers []ids.Seat
	for _, s := range t.SeatsOf(i) {
		numbers = append(numbers, s.Number)
	}
	return numbers
}

// next returns a copy of t with the next revision and a new write ID.
func (t *Table) next() *Table {
	next := t.Clone()
	next.Revision++
	next.WriteID = ids.NewToken(writeIDBytes)
	return next
}

// seat returns seat n, or an *ErrTransition if there is no such seat.
func (t *Table) seat(transition string, n ids.Seat) (Seat, error) {
	if n < 0 || int(n) >= len(t.Seats) {
		return Seat{}, &ErrTransition{transition, fmt.Sprintf("there is no seat %d", n)}
	}
	return t.Seats[n], nil
}

// assign makes h the seat's next holder.
func (s *Seat) assign(h Holder) {
	s.Holder = h.Instance
	s.Zone = h.Zone
	s.CallersAddress = h.CallersAddress
	s.PeersAddress = h.PeersAddress
	s.OperatorsAddress = h.OperatorsAddress
	s.Lease = h.Lease
	s.Epoch++
}

// free removes the seat's holder.
func (s *Seat) free(unclean, loansOutstanding bool) {
	*s = Seat{Number: s.Number, Region: s.Region, Epoch: s.Epoch + 1, Unclean: unclean, LoansOutstanding: loansOutstanding}
}

// CheckTransition returns an error if table after is not a valid successor of
// table before.
func CheckTransition(before, after *Table) error {
	if after.Revision != before.Revision+1 {
		return errs.New("revision %d follows %d", after.Revision, before.Revision)
	}
	if after.WriteID == "" || after.WriteID == before.WriteID {
		return errs.New("revision %d has no write id of its own", after.Revision)
	}
	if len(after.Seats) < len(before.Seats) {
		return errs.New("revision %d has %d seats, %d before", after.Revision, len(after.Seats), len(before.Seats))
	}
	for n, s := range after.Seats {
		if s.Number != ids.Seat(n) {
			return errs.New("row %d is of seat %d", n, s.Number)
		}
		if n >= len(before.Seats) {
			continue
		}
		if old := before.Seats[n]; s.Holder != old.Holder && s.Epoch <= old.Epoch {
			return errs.New("seat %d changed its holder within epoch %d", n, s.Epoch)
		}
	}
	return nil
}

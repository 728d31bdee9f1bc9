package seater

import (
	"fmt"
	"slices"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// writeIDBytes is the number of random bytes of a write's id.
const writeIDBytes = 8

// Holder is an instance as a seat's row describes it.
type Holder struct {
	Instance         ids.Instance
	Region           ids.Region
	Zone             ids.Zone
	CallersAddress   string
	PeersAddress     string
	OperatorsAddress string
	// Lease is the instance's lease at the store.
	Lease string
}

// ErrStep says that the rules do not allow a change of the table.
type ErrTransition struct {
	// Step names the change.
	Transition string
	// Reason says which rule it breaks.
	Reason string
}

// Error names the change and the rule.
func (e *ErrTransition) Error() string { return fmt.Sprintf("%s: %s", e.Transition, e.Reason) }

// Claim returns the table after h took a free seat of its region. A seat whose
// last holder did not release it stays unclean.
func (t *Table) Claim(h Holder, n ids.Seat) (*Table, error) {
	s, err := t.row("claim", n)
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
	next.Seats[n].take(h)
	return next, nil
}

// Release returns the table after the instance gave all its seats back. It
// must have ended its serving lease, and its requests must have ended. Rested
// says that it has held them for long enough that no request of a holder before
// it can still run; else an unclean seat stays unclean.
func (t *Table) ReleaseAll(i ids.Instance, rested bool) (*Table, error) {
	next := t.next()
	changed := false
	for n := range next.Seats {
		if next.Seats[n].Holder == i {
			next.Seats[n].empty(next.Seats[n].Unclean && !rested, next.Seats[n].LoansOutstanding && !rested)
			changed = true
		}
	}
	if !changed {
		return nil, &ErrTransition{"release", fmt.Sprintf("%s holds no seat", i)}
	}
	return next, nil
}

// Yield returns the table after the instance gave one of several seats back
// while it goes on serving. It must have stopped using the seat's rights. Clean
// says that none of its requests on the seat's slots can still run; its loans
// can, so the seat still lends.
func (t *Table) ReleaseSeat(i ids.Instance, n ids.Seat, clean bool) (*Table, error) {
	s, err := t.row("yield", n)
	if err != nil {
		return nil, err
	}
	if s.Holder != i {
		return nil, &ErrTransition{"yield", fmt.Sprintf("seat %d is not held by %s", n, i)}
	}
	next := t.next()
	next.Seats[n].empty(!clean, true)
	return next, nil
}

// Want returns the table after an instance without a seat asked the holder of
// several for one of them.
func (t *Table) RequestSeat(h Holder, n ids.Seat) (*Table, error) {
	s, err := t.row("want", n)
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
// bound otherwise. Seats of another region than h's become free.
func (t *Table) TakeOver(h Holder) (*Table, error) {
	next := t.next()
	changed := false
	for n := range next.Seats {
		s := &next.Seats[n]
		if s.Holder == "" || s.Holder == h.Instance || s.PeersAddress != h.PeersAddress {
			continue
		}
		changed = true
		s.empty(true, true)
		if s.Region == h.Region {
			s.take(h)
		}
	}
	if !changed {
		return nil, &ErrTransition{"take over", fmt.Sprintf("no seat is held at %s", h.PeersAddress)}
	}
	return next, nil
}

// Proof is what must be known of a silent holder before its seats are free.
type ReclaimProof struct {
	Holder ids.Instance
	// Lease is the store lease that the store showed as lapsed. The holder's
	// seats must still be listed with it.
	Lease string
	// Clear lists the instances that have fenced the holder and whose promises
	// to it have all run out.
	FencedBy []ids.Instance
}

// Reclaim returns the table after the seats of a silent holder became free.
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
		s.empty(true, false)
		changed = true
	}
	if !changed {
		return nil, &ErrTransition{"reclaim", fmt.Sprintf("%s holds no seat", p.Holder)}
	}
	return next, nil
}

// Abandon returns the table after an operator stated that a holder's process
// has ended for good. Its store lease must have lapsed under the lease given.
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
		s.empty(true, true)
		changed = true
	}
	if !changed {
		return nil, &ErrTransition{"abandon", fmt.Sprintf("%s holds no seat", i)}
	}
	return next, nil
}

// Relet returns the table after a holder whose store lease had lapsed put its
// seats under a new one.
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

// Resize returns the table after the configured seats changed: regions lists
// the region of each seat. Seats keep their numbers. Missing seats are added at
// the end, and count for majorities together with the seats before until
// Settle. Surplus seats lose their region once they are free; they still count
// for majorities. It fails when nothing is to be changed.
func (t *Table) Resize(regions []ids.Region) (*Table, error) {
	want := make(map[ids.Region]int)
	for _, r := range regions {
		want[r]++
	}
	next := t.next()
	changed := next.retire(want)
	for _, r := range regions {
		if want[r] <= 0 {
			continue
		}
		want[r]--
		next.add(r, len(t.Seats))
		changed = true
	}
	if !changed {
		return nil, &ErrTransition{"resize", "the table has the configured seats"}
	}
	return next, nil
}

// retire takes the region from free seats that are no longer configured, and
// leaves in want the number of seats that each region lacks.
func (t *Table) retire(want map[ids.Region]int) bool {
	for _, s := range t.Seats {
		want[s.Region]--
	}
	changed := false
	for n := len(t.Seats) - 1; n >= 0; n-- {
		s := &t.Seats[n]
		if s.Region == "" || s.Holder != "" || want[s.Region] >= 0 {
			continue
		}
		want[s.Region]++
		s.Region = ""
		changed = true
	}
	return changed
}

// add gives a region one seat more: a retired one, or a new one at the end. old
// is the number of seats before the change.
func (t *Table) add(r ids.Region, old int) {
	for n := range t.Seats {
		if t.Seats[n].Region == "" {
			t.Seats[n].Region = r
			return
		}
	}
	t.Seats = append(t.Seats, Seat{Number: ids.Seat(len(t.Seats)), Region: r})
	if t.ResizedFrom == 0 && old > 0 {
		t.ResizedFrom = old
	}
}

// Settle returns the table after a majority of the seats before and after the
// last Resize were found to know this table.
func (t *Table) CommitResize(knowing []ids.Instance) (*Table, error) {
	if t.ResizedFrom == 0 {
		return nil, &ErrTransition{"settle", "the table is settled"}
	}
	if !t.HasMajority(knowing) {
		return nil, &ErrTransition{"settle", "the votes are no majority of the seats"}
	}
	next := t.next()
	next.ResizedFrom = 0
	return next, nil
}

// Majority reports whether the instances hold more than half of all seats, free
// seats included. Any two majorities of one table or of successive tables share
// a seat; that is why seats count, and not the instances that come and go.
// While a Resize is not settled, more than half of the seats before it are
// needed as well.
func (t *Table) HasMajority(instances []ids.Instance) bool {
	if t.ResizedFrom > 0 && !majorityOf(t.Seats[:t.ResizedFrom], instances) {
		return false
	}
	return majorityOf(t.Seats, instances)
}

func majorityOf(seats []Seat, instances []ids.Instance) bool {
	votes := 0
	for _, s := range seats {
		if s.Holder != "" && slices.Contains(instances, s.Holder) {
			votes++
		}
	}
	return votes >= MajoritySize(len(seats))
}

// Holder returns the first row of an instance.
func (t *Table) SeatOf(i ids.Instance) (Seat, bool) {
	for _, s := range t.Seats {
		if s.Holder == i {
			return s, true
		}
	}
	return Seat{}, false
}

// Numbers returns the numbers of the seats of an instance.
func (t *Table) SeatNumbersOf(i ids.Instance) []ids.Seat {
	var numbers []ids.Seat
	for _, s := range t.SeatsOf(i) {
		numbers = append(numbers, s.Number)
	}
	return numbers
}

// next returns a copy of t with the next revision and a fresh write id.
func (t *Table) next() *Table {
	next := t.Clone()
	next.Revision++
	next.WriteID = ids.NewToken(writeIDBytes)
	return next
}

// row returns one seat's row.
func (t *Table) row(step string, n ids.Seat) (Seat, error) {
	if n < 0 || int(n) >= len(t.Seats) {
		return Seat{}, &ErrTransition{step, fmt.Sprintf("there is no seat %d", n)}
	}
	return t.Seats[n], nil
}

// take makes h the seat's next holder.
func (s *Seat) take(h Holder) {
	s.Holder = h.Instance
	s.Zone = h.Zone
	s.CallersAddress = h.CallersAddress
	s.PeersAddress = h.PeersAddress
	s.OperatorsAddress = h.OperatorsAddress
	s.Lease = h.Lease
	s.Epoch++
}

// empty makes the seat free.
func (s *Seat) empty(unclean, lending bool) {
	*s = Seat{Number: s.Number, Region: s.Region, Epoch: s.Epoch + 1, Unclean: unclean, LoansOutstanding: lending}
}

// CheckStep returns an error if one write of the table cannot follow another.
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

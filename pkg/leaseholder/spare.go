package leaseholder

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

// spareSeats tracks how long seats of this region have been free. The zero value
// is ready to use.
type spareSeats struct {
	epochs    map[ids.Seat]uint64
	freeSince map[ids.Seat]time.Time
	nextDue   time.Time
}

// dueSeat returns a free seat of self's region that self should claim as an
// additional one. Holders with the fewest seats come first.
func (s *spareSeats) dueSeat(t *seater.Table, self seater.Holder) (ids.Seat, bool) {
	if s.freeSince == nil {
		s.epochs = make(map[ids.Seat]uint64)
		s.freeSince = make(map[ids.Seat]time.Time)
	}
	s.nextDue = time.Time{}
	stagger := spareStagger * time.Duration(rank(t, self))
	free := freeSeats(t, self.Region)
	for _, n := range free {
		row := t.Seats[n]
		if epoch, ok := s.epochs[n]; !ok || epoch != row.Epoch {
			s.epochs[n] = row.Epoch
			s.freeSince[n] = time.Now()
		}
		at := s.freeSince[n].Add(stagger + spareDelay(row))
		if !time.Now().Before(at) {
			return n, true
		}
		if s.nextDue.IsZero() || at.Before(s.nextDue) {
			s.nextDue = at
		}
	}
	for n := range s.freeSince {
		if !slices.Contains(free, n) {
			delete(s.freeSince, n)
			delete(s.epochs, n)
		}
	}
	return 0, false
}

// spareDelay is how long a free seat is left to instances without one. It is
// shorter for a reclaimed seat, whose share of the limits callers were using.
func spareDelay(row seater.Seat) time.Duration {
	if row.Unclean {
		return spareUncleanDelay
	}
	return spareCleanDelay
}

// untilDue returns the time until the next free seat is due; zero means none.
func (s *spareSeats) untilDue() time.Duration {
	if s.nextDue.IsZero() {
		return 0
	}
	return max(time.Until(s.nextDue), time.Millisecond)
}

// rank returns the number of holders of self's region that come before self.
func rank(t *seater.Table, self seater.Holder) int {
	var holders []ids.Instance
	for _, i := range t.Holders() {
		if row, _ := t.SeatOf(i); row.Region == self.Region {
			holders = append(holders, i)
		}
	}
	slices.SortStableFunc(holders, func(a, b ids.Instance) int {
		return cmp.Compare(len(t.SeatsOf(a)), len(t.SeatsOf(b)))
	})
	return max(0, slices.Index(holders, self.Instance))
}

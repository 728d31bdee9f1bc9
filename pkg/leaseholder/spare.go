package leaseholder

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

// spareSeats remembers since when seats of this region are free. The zero value
// knows of none.
type spareSeats struct {
	epochs map[ids.Seat]uint64
	since  map[ids.Seat]time.Time
	next   time.Time
}

// due returns a free seat of self's region that self is to take as a further
// one. Holders with the fewest seats come first.
func (s *spareSeats) due(t *seater.Table, self seater.Holder) (ids.Seat, bool) {
	if s.since == nil {
		s.epochs = make(map[ids.Seat]uint64)
		s.since = make(map[ids.Seat]time.Time)
	}
	s.next = time.Time{}
	turn := spareStep * time.Duration(rank(t, self))
	free := freeSeats(t, self.Region)
	for _, n := range free {
		row := t.Seats[n]
		if epoch, ok := s.epochs[n]; !ok || epoch != row.Epoch {
			s.epochs[n] = row.Epoch
			s.since[n] = time.Now()
		}
		at := s.since[n].Add(turn + spareWait(row))
		if !time.Now().Before(at) {
			return n, true
		}
		if s.next.IsZero() || at.Before(s.next) {
			s.next = at
		}
	}
	for n := range s.since {
		if !slices.Contains(free, n) {
			delete(s.since, n)
			delete(s.epochs, n)
		}
	}
	return 0, false
}

// spareWait is how long a seat is left to instances without one. The rights of
// a seat that was reclaimed are missed by callers, so they wait less.
func spareWait(row seater.Seat) time.Duration {
	if row.Unclean {
		return spareAfter
	}
	return spareCleanAfter
}

// wait returns the time until the next free seat is due; zero means none.
func (s *spareSeats) wait() time.Duration {
	if s.next.IsZero() {
		return 0
	}
	return max(time.Until(s.next), time.Millisecond)
}

// rank returns the number of holders of self's region that come before it.
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

package slotter

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/rendezvous"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

// layout is one configuration and the seats over which it splits each target's
// slots. For the same seats, splitting more slots never gives a seat fewer. So
// while a revision propagates, the shares in use add up to at most the larger
// number of slots.
type layout struct {
	appliedAt time.Time
	snap      *config.Snapshot
	seats     map[ids.Region][]ids.Seat
}

// share returns the number of the target's slots assigned to a seat.
func (l *layout) share(t ids.Target, seat ids.Seat) int {
	ref, ok := l.snap.Target(t)
	if !ok {
		return 0
	}
	seats := l.seats[ref.Upstream.Region]
	i, ok := slices.BinarySearch(seats, seat)
	if !ok {
		return 0
	}
	return rendezvous.Split(string(t), ref.Service.Slots, len(seats))[i]
}

// heldSeat is a seat that this host holds.
type heldSeat struct {
	epoch uint64
	// quarantinedUntil is when the previous holder's requests have ended. Until
	// then the seat's slots are not used.
	quarantinedUntil time.Time
}

// Configure puts a revision into force; an older or equal one is ignored. Lower
// shares apply at once. Higher shares apply propagationTime later, when no host
// can still use the previous revision.
func (s *Slotter) Configure(snap *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snap != nil && s.snap.Revision >= snap.Revision {
		return
	}
	s.snap = snap
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		for j := range svc.Upstreams {
			s.cfg.Checker.SlotsConfigured(svc.Upstreams[j].Name, snap.Revision, svc.Slots, propagationTime+svc.Timeout())
		}
	}
	s.updatePools()
	s.recordLayout()
}

// SetTable applies a newer seat table. Unclean seats are quarantined until the
// requests and loans of their previous holder have ended.
func (s *Slotter) SetTable(self ids.Instance, t *seater.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil && s.table.Revision >= t.Revision {
		return
	}
	now := time.Now()
	held := make(map[ids.Seat]heldSeat)
	for _, seat := range t.SeatsOf(self) {
		h, ok := s.held[seat.Number]
		if !ok || h.epoch != seat.Epoch {
			h = heldSeat{epoch: seat.Epoch}
			if seat.Unclean {
				h.quarantinedUntil = now.Add(s.longestTimeout() + loanStartWindow + fencer.ClockMargin)
			}
		}
		held[seat.Number] = h
	}
	s.held = held
	s.table = t
	for seat := range s.drainingSeats {
		if _, ok := held[seat]; !ok {
			delete(s.drainingSeats, seat)
		}
	}
	s.recordLayout()
}

// longestTimeout returns the longest time for which a previous holder's request
// may run. The caller holds mu.
func (s *Slotter) longestTimeout() time.Duration {
	if s.snap == nil {
		return config.MaxTimeout
	}
	longest := time.Duration(0)
	for i := range s.snap.Document.Services {
		longest = max(longest, s.snap.Document.Services[i].Timeout())
	}
	return longest
}

// updatePools creates the pools of new targets and empties those of removed ones.
// The caller holds mu.
func (s *Slotter) updatePools() {
	old := s.pools.Load()
	set := &poolSet{byTarget: make(map[ids.Target]*pool), byService: make(map[ids.Service][]*pool)}
	for i := range s.snap.Document.Services {
		svc := &s.snap.Document.Services[i]
		for j := range svc.Upstreams {
			u := &svc.Upstreams[j]
			p := old.byTarget[u.Name]
			if p == nil || p.service != svc.Name || p.region != u.Region {
				p = &pool{self: s.cfg.Self, target: u.Name, service: svc.Name, region: u.Region, checker: s.cfg.Checker}
			}
			p.mu.Lock()
			p.timeout = svc.Timeout()
			p.mu.Unlock()
			set.byTarget[u.Name] = p
			set.byService[svc.Name] = append(set.byService[svc.Name], p)
		}
	}
	for t, p := range old.byTarget {
		if set.byTarget[t] != p {
			p.setLimit(0) // Running requests finish; no new ones start.
		}
	}
	s.pools.Store(set)
}

// recordLayout appends the current configuration and seats to the history, and
// sets the pools' limits. The caller holds mu.
func (s *Slotter) recordLayout() {
	if s.snap == nil || s.table == nil {
		return
	}
	l := layout{appliedAt: time.Now(), snap: s.snap, seats: make(map[ids.Region][]ids.Seat)}
	for _, seat := range s.table.Seats {
		if seat.Region != "" {
			l.seats[seat.Region] = append(l.seats[seat.Region], seat.Number)
		}
	}
	if len(s.history) == 0 && mayBeResized(s.table) {
		// The seats may have changed recently, and the previous ones are unknown
		// here.
		s.quarantinedUntil = l.appliedAt.Add(propagationTime)
	}
	if n := len(s.history); n == 0 || !s.history[n-1].sameSplit(&l) {
		s.history = append(s.history, l)
	}
	s.setLimits()
}

// mayBeResized reports whether seats may have been added recently, or removed at
// any time: a removed seat stays in the table without a region.
func mayBeResized(t *seater.Table) bool {
	return t.ResizedFrom > 0 || slices.ContainsFunc(t.Seats, func(s seater.Seat) bool { return s.Region == "" })
}

// sameSplit reports whether both layouts split all slots alike.
func (l *layout) sameSplit(other *layout) bool {
	if l.snap != other.snap || len(l.seats) != len(other.seats) {
		return false
	}
	for r, seats := range l.seats {
		if !slices.Equal(seats, other.seats[r]) {
			return false
		}
	}
	return true
}

// setLimits sets the limit of each pool. The caller holds mu.
func (s *Slotter) setLimits() {
	now := time.Now()
	// A layout counts until its successor has propagated.
	for len(s.history) > 1 && now.Sub(s.history[1].appliedAt) >= propagationTime {
		s.history = s.history[1:]
	}
	freed := make(map[ids.Service]bool)
	for t, p := range s.pools.Load().byTarget {
		if p.setLimit(s.ownSlots(t, now)) {
			freed[p.service] = true
		}
	}
	s.nextChangeAt = s.nextLimitChange(now)
	s.wakeUp()
	for svc := range freed {
		// In the background, since OnSlotsFreed may need locks that the caller holds.
		go s.cfg.OnSlotsFreed(svc)
	}
}

// ownSlots returns the number of the target's slots that this host owns at now.
// The caller holds mu.
func (s *Slotter) ownSlots(t ids.Target, now time.Time) int {
	if now.Before(s.quarantinedUntil) {
		return 0
	}
	sum := 0
	for seat, h := range s.held {
		if s.drainingSeats[seat] || now.Before(h.quarantinedUntil) {
			continue
		}
		smallest := s.history[0].share(t, seat)
		for i := range s.history[1:] {
			smallest = min(smallest, s.history[1+i].share(t, seat))
		}
		sum += smallest
	}
	return sum
}

// nextLimitChange returns the next time at which a limit rises without an event,
// or zero. The caller holds mu.
func (s *Slotter) nextLimitChange(now time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	consider(s.quarantinedUntil)
	for _, h := range s.held {
		consider(h.quarantinedUntil)
	}
	if len(s.history) > 1 {
		consider(s.history[1].appliedAt.Add(propagationTime))
	}
	return next
}

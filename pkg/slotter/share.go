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

// layout is one configuration with the seats over which it splits the slots.
// With the same seats a split of more slots gives no seat less, so while a
// revision spreads the shares in use add up to at most the greater number.
type layout struct {
	at    time.Time
	snap  *config.Snapshot
	seats map[ids.Region][]ids.Seat
}

// share returns the target's slots that sit on a seat.
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

// heldSeat is a seat of this host.
type heldSeat struct {
	epoch uint64
	// restsUntil is when the requests of the holder before have ended.
	restsUntil time.Time
}

// Configure puts a revision in force. Shares that it lowers are lowered at
// once; shares that it raises rise when no host can use the one before.
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
			s.cfg.Checker.SlotsConfigured(svc.Upstreams[j].Name, snap.Revision, svc.Slots, spreadTime+svc.Timeout())
		}
	}
	s.makePools()
	s.addLayout()
}

// SetTable takes in a newer seat table.
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
				h.restsUntil = now.Add(s.longestTimeout() + loanWindow + fencer.ClockMargin)
			}
		}
		held[seat.Number] = h
	}
	s.held = held
	s.table = t
	for seat := range s.vacating {
		if _, ok := held[seat]; !ok {
			delete(s.vacating, seat)
		}
	}
	s.addLayout()
}

// longestTimeout returns the longest time for which a request of another
// holder may run. The caller holds mu.
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

// makePools makes the pools of new targets. The caller holds mu.
func (s *Slotter) makePools() {
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
			p.setLimit(0) // Its requests end, and it is given no new ones.
		}
	}
	s.pools.Store(set)
}

// addLayout appends the present configuration and seats to the history, and
// sets the pools' limits. The caller holds mu.
func (s *Slotter) addLayout() {
	if s.snap == nil || s.table == nil {
		return
	}
	l := layout{at: time.Now(), snap: s.snap, seats: make(map[ids.Region][]ids.Seat)}
	for _, seat := range s.table.Seats {
		if seat.Region != "" {
			l.seats[seat.Region] = append(l.seats[seat.Region], seat.Number)
		}
	}
	if len(s.history) == 0 && resized(s.table) {
		// The seats may have just changed, and how they were is not known here.
		s.unknownUntil = l.at.Add(spreadTime)
	}
	if n := len(s.history); n == 0 || !s.history[n-1].same(&l) {
		s.history = append(s.history, l)
	}
	s.setLimits()
}

// resized reports whether the seats may have just become more, or fewer at any
// time before: a seat that was taken away stays in the table without a region.
func resized(t *seater.Table) bool {
	return t.ResizedFrom > 0 || slices.ContainsFunc(t.Seats, func(s seater.Seat) bool { return s.Region == "" })
}

// same reports whether both split all slots the same way.
func (l *layout) same(other *layout) bool {
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
	// A layout counts until the one that followed it has spread.
	for len(s.history) > 1 && now.Sub(s.history[1].at) >= spreadTime {
		s.history = s.history[1:]
	}
	freed := make(map[ids.Service]bool)
	for t, p := range s.pools.Load().byTarget {
		if p.setLimit(s.limit(t, now)) {
			freed[p.service] = true
		}
	}
	s.changesAt = s.nextChange(now)
	s.wake()
	for svc := range freed {
		go s.cfg.OnSlotsFreed(svc) // The caller holds locks that Freed may need.
	}
}

// limit returns the number of the target's slots that this host owns at now.
// The caller holds mu.
func (s *Slotter) limit(t ids.Target, now time.Time) int {
	if now.Before(s.unknownUntil) {
		return 0
	}
	sum := 0
	for seat, h := range s.held {
		if s.vacating[seat] || now.Before(h.restsUntil) {
			continue
		}
		least := s.history[0].share(t, seat)
		for i := range s.history[1:] {
			least = min(least, s.history[1+i].share(t, seat))
		}
		sum += least
	}
	return sum
}

// nextChange returns when a limit next rises by itself, or zero. The caller
// holds mu.
func (s *Slotter) nextChange(now time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	consider(s.unknownUntil)
	for _, h := range s.held {
		consider(h.restsUntil)
	}
	if len(s.history) > 1 {
		consider(s.history[1].at.Add(spreadTime))
	}
	return next
}

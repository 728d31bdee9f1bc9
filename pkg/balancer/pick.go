package balancer

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Want describes the request that a target is chosen for.
type Request struct {
	Service ids.Service
	// Class names the kind of work, whose times are learned together.
	Class string
	// Object is what the request is about.
	Object ObjectHash
	// Objective is the latency that is aimed at, used until times are learned.
	Objective time.Duration
	// KiB is the size of the body, as far as it is known.
	BodyKiB float64
	// Homes are the only regions allowed; empty means all.
	HomeRegions [][]ids.Region
	// Avoid holds the targets that were tried before.
	Avoid []ids.Target
	// Left is the time that the request has.
	TimeLeft time.Duration
}

// Choice is a target that was chosen. Done must be called once.
type Choice struct {
	Target  ids.Target
	Address string
	Zone    ids.Zone
	Region  ids.Region
	// Warm says that the target is believed to have served the object lately.
	Warm bool
	// Wait and Work are the expected times before and at work.
	QueueDelay, ServiceTime time.Duration
	// Backlog is the estimate of what the target held.
	Backlog float64

	pool   *pool
	target *target
	want   Request
	sent   time.Time
	way    time.Duration
	rank   int
	// measured says that work of the request's class was measured.
	measured bool
}

// ErrNoTarget says that no target may get the request.
type ErrNoTarget struct{}

// Error implements error.
func (*ErrNoTarget) Error() string { return "no target may get the request" }

// ErrBusy says that the targets are too busy to end the request in its time, or
// that it would keep others from ending in theirs.
type ErrBusy struct {
	// Wait is the time after which room is expected.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ErrBusy) Error() string { return "the targets are busy" }

// Pick chooses a target and counts the request in. Its error is an *ErrNoTarget
// or an *ErrBusy.
func (p *Balancer) Pick(w Request) (*Choice, error) {
	p.mu.RLock()
	pl := p.services[w.Service]
	evacuated := p.evacuated
	p.mu.RUnlock()
	if pl == nil {
		return nil, &ErrNoTarget{}
	}
	now := time.Now()
	p.lapse(now)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	tm := pl.timesOf(w)
	pl.rank(w.Object)
	var s search
	for _, t := range pl.targets {
		if !evacuated[t.Zone] && p.usable(pl, t, w, now) {
			s.add(p.score(pl, t, tm, w, now))
		}
	}
	if !w.restricted() {
		pl.pressure = s.pressure()
	}
	switch {
	case s.usable == 0:
		return nil, &ErrNoTarget{}
	case s.best.target == nil, !s.best.worthwhile(s.pressure()):
		return nil, &ErrBusy{RetryAfter: pl.nextReturn(s.shortest, now)}
	}
	s.best.begin(pl, now)
	if w.Object != NoObject {
		p.starts.Add(Dispatch{s.best.target.short, w.Object})
	}
	return &s.best, nil
}

// lapse lets go of what silent hosts told.
func (p *Balancer) lapse(now time.Time) {
	lapsed := p.told.expire(now)
	if len(lapsed) == 0 {
		return
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	p.applyChanges(lapsed)
}

// restricted reports whether only some regions' targets may get the request.
func (w *Request) restricted() bool {
	return slices.ContainsFunc(w.HomeRegions, func(homes []ids.Region) bool { return len(homes) > 0 })
}

// search looks for the target with the least score.
type search struct {
	best  Choice
	score time.Duration
	// usable counts the targets that may get the request, shortest is the shortest
	// wait among them, and held and slots are what they hold and bear.
	usable      int
	shortest    time.Duration
	held, slots float64
}

// add takes one target into account.
func (s *search) add(c Choice, score time.Duration) {
	if s.usable == 0 || c.QueueDelay < s.shortest {
		s.shortest = c.QueueDelay
	}
	s.usable++
	s.held += c.Backlog
	s.slots += float64(c.target.Slots)
	if c.hopeless() {
		return
	}
	if s.best.target == nil || score < s.score {
		s.best, s.score = c, score
	}
}

// pressure returns the part of the slots that is taken; more than 1 where requests
// wait.
func (s *search) pressure() float64 { return s.held / max(s.slots, 1) }

// usable reports whether t may get the request. The caller holds the lock.
func (p *Balancer) usable(pl *pool, t *target, w Request, now time.Time) bool {
	switch {
	case t.Draining, t.left, now.Before(t.ejected), now.Before(t.paused), slices.Contains(w.Avoid, t.ID):
		return false
	case t.cold(now) && now.Sub(t.coldSentAt) < p.coldInterval(pl):
		return false
	}
	for _, homes := range w.HomeRegions {
		if len(homes) > 0 && !slices.Contains(homes, t.region) {
			return false
		}
	}
	return true
}

// coldInterval is the least time between two requests of this host to a cold
// target.
func (p *Balancer) coldInterval(pl *pool) time.Duration {
	share := 1.0
	if p.cfg.ColdShare != nil {
		share = p.cfg.ColdShare()
	}
	if pl.coldRate <= 0 || share <= 0 {
		return 0
	}
	return seconds(1 / (pl.coldRate * share))
}

// begin counts a request in. The caller holds the lock.
func (c *Choice) begin(pl *pool, now time.Time) {
	c.pool = pl
	c.sent = now
	t := c.target
	t.inFlight++
	if t.cold(now) {
		t.coldSentAt = now
	}
	if c.want.Object != NoObject {
		pl.touch(t, c.want.Object)
	}
}

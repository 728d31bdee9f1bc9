package balancer

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Request describes the request to choose a target for.
type Request struct {
	Service ids.Service
	// Class is the kind of work. Service times are estimated per class.
	Class string
	// Object is the object that the request is about, or NoObject.
	Object ObjectHash
	// Objective is the latency objective. Until service times are measured they are
	// estimated from it.
	Objective time.Duration
	// BodyKiB is the size of the request body in KiB, 0 if it is not known.
	BodyKiB float64
	// Each list of HomeRegions that is not empty restricts the request to the regions
	// in it.
	HomeRegions [][]ids.Region
	// Avoid lists the targets that were tried before.
	Avoid []ids.Target
	// TimeLeft is the time until the request's deadline; 0 or less means none.
	TimeLeft time.Duration
	// Priority is the urgency of the request, 0 for the most urgent ones.
	Priority int
	// MaxExpected, if it is not 0, bounds the expected time at the target. The request is not
	// necessary then, and counts for nothing if it is not sent.
	MaxExpected time.Duration
}

// Choice is a chosen target. Done must be called exactly once.
type Choice struct {
	Target  ids.Target
	Address string
	Zone    ids.Zone
	Region  ids.Region
	// Warm means that the target is believed to keep the object warm.
	Warm bool
	// QueueDelay and ServiceTime are the expected times in the target's queue and at
	// work.
	QueueDelay, ServiceTime time.Duration
	// Backlog is the estimated number of requests at the target before this one.
	Backlog float64

	balancer *Balancer
	pool     *pool
	target   *target
	request  Request
	sentAt   time.Time
	// suspendedBefore is for how long this process had been suspended before sentAt.
	suspendedBefore time.Duration
	rtt             time.Duration
	rank            int
	// serviceTimeMeasured means that ServiceTime is based on measurements of the
	// request's class.
	serviceTimeMeasured bool
}

// ErrNoTarget means that no target is eligible for the request.
type ErrNoTarget struct{}

func (*ErrNoTarget) Error() string { return "no eligible target for the request" }

// ErrBusy means that no target can finish the request before its deadline, or that
// admitting it would make others late.
type ErrBusy struct {
	// RetryAfter is the time after which capacity is expected.
	RetryAfter time.Duration
}

func (e *ErrBusy) Error() string { return "targets are too busy to finish the request in time" }

// Pick chooses the target with the lowest score and counts the request as in flight
// there. Its error is an *ErrNoTarget, an *ErrBusy or an *ErrLimited.
func (b *Balancer) Pick(r Request) (*Choice, error) {
	pl, evacuated := b.poolOf(r.Service)
	if pl == nil {
		return nil, &ErrNoTarget{}
	}
	now := time.Now()
	b.expireRemote(now)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.limited && b.cfg.OnLimitedPick != nil {
		b.cfg.OnLimitedPick(r.Service)
	}
	s := b.find(pl, r, evacuated, now)
	pl.picks++
	if err := s.refusal(); err != nil {
		return nil, err
	}
	s.best.balancer, s.best.suspendedBefore = b, b.suspendedTime()
	s.best.start(pl, now)
	if r.Object != NoObject {
		pl.objects.add(r.Object, now)
		b.dispatches.Add(Dispatch{s.best.target.hash, r.Object})
	}
	return &s.best, nil
}

// poolOf returns the pool of a service, or nil, and the evacuated zones.
func (b *Balancer) poolOf(name ids.Service) (*pool, map[ids.Zone]bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.services[name], b.evacuated
}

// find scores the targets that may get the request. The caller holds the lock.
func (b *Balancer) find(pl *pool, r Request, evacuated map[ids.Zone]bool, now time.Time) *search {
	s := b.newSearch(pl, r, evacuated, now)
	s.scan()
	return s
}

// newSearch returns a search that has not considered any target. The caller holds the lock.
func (b *Balancer) newSearch(pl *pool, r Request, evacuated map[ids.Zone]bool, now time.Time) *search {
	pl.rankHolders(r.Object)
	return &search{
		balancer: b, pool: pl, request: r, evacuated: evacuated, now: now,
		times: pl.serviceTimesOf(r), shares: b.shares(pl),
	}
}

// scan considers the targets that may get the request.
func (s *search) scan() {
	if s.pool.hasCandidates() {
		s.balancer.refreshSurvey(s.pool, s.evacuated, s.now)
		s.scanCandidates()
		return
	}
	s.scanAll()
	if !s.request.regionRestricted() {
		s.pool.pressure = s.pressure()
	}
}

// expireRemote drops the in-flight counts of hosts that have gone silent.
func (b *Balancer) expireRemote(now time.Time) {
	changed := b.remote.expire(now)
	if len(changed) == 0 {
		return
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	b.applyRemoteTotals(changed)
}

// regionRestricted reports whether only targets of some regions are eligible.
func (r *Request) regionRestricted() bool {
	return slices.ContainsFunc(r.HomeRegions, func(regions []ids.Region) bool { return len(regions) > 0 })
}

// search finds the target with the lowest score for a request.
type search struct {
	balancer  *Balancer
	pool      *pool
	request   Request
	evacuated map[ids.Zone]bool
	now       time.Time
	times     *serviceTimes
	shares    shares

	best  Choice
	score time.Duration
	// eligible is the number of eligible targets, and warm that of those that have the object.
	// earliest is the shortest expected time among them, also of those that miss the deadline;
	// backlog and slots are their totals.
	eligible, warm int
	earliest       time.Duration
	backlog, slots float64
	// limited are the targets that would be eligible if this host had a permit.
	limited []*target

	// region is the region that the object has now, where objects have candidates, and
	// scannedAll is set once all targets were considered.
	region     ids.Region
	scannedAll bool
	// onScore, if set, is called with each target that is scored.
	onScore func(c Choice, score time.Duration)
}

// scanAll considers all targets.
func (s *search) scanAll() {
	s.scannedAll = true
	for _, t := range s.pool.targets {
		s.consider(t, 0)
	}
}

// consider takes in a target if it is eligible, and reports whether it is. Its score is
// increased by penalty.
func (s *search) consider(t *target, penalty time.Duration) bool {
	if t.consideredIn == s.pool.choiceCount {
		return false
	}
	t.consideredIn = s.pool.choiceCount
	if s.exclusion(t) != "" {
		return false
	}
	if !t.hasPermit(s.pool.coldRate, s.shares, s.now) {
		s.limited = append(s.limited, t)
		return false
	}
	c, score := s.balancer.score(s.pool, t, s.times, s.request, s.now)
	if s.onScore != nil {
		s.onScore(c, score+penalty)
	}
	s.add(c, score+penalty)
	return true
}

// exclusion returns the reason why t may not get the request, empty if it may.
func (s *search) exclusion(t *target) string {
	if s.evacuated[t.Zone] {
		return "evacuated"
	}
	return t.exclusion(&s.request, s.now)
}

// add considers one eligible target.
func (s *search) add(c Choice, score time.Duration) {
	if finish := c.QueueDelay + c.measuredServiceTime() + c.rtt; s.eligible == 0 || finish < s.earliest {
		s.earliest = finish
	}
	s.eligible++
	if c.Warm {
		s.warm++
	}
	s.backlog += c.Backlog
	s.slots += float64(c.target.Slots)
	if c.cannotMeetDeadline() {
		return
	}
	if s.best.target == nil || score < s.score {
		s.best, s.score = c, score
	}
}

// pressure returns the ratio of requests to slots, more than 1 when requests are
// queued.
func (s *search) pressure() float64 { return s.backlog / max(s.slots, 1) }

// refusal returns the reason for which the request is refused, or nil if it may be sent.
func (s *search) refusal() error {
	pl := s.pool
	switch {
	case s.eligible == 0 && len(s.limited) > 0:
		return &ErrLimited{RetryAfter: pl.nextPermit(s.limited, s.shares, s.now)}
	case s.eligible == 0:
		return &ErrNoTarget{}
	case s.request.MaxExpected > 0:
		if s.best.target == nil || s.best.QueueDelay+s.best.ServiceTime > s.request.MaxExpected {
			return &ErrBusy{}
		}
		return nil
	default:
		return s.admission()
	}
}

// exclusion returns the reason why t may not get the request, empty if it may. The caller
// holds the lock.
func (t *target) exclusion(r *Request, now time.Time) string {
	switch {
	case !t.unregisteredAt.IsZero():
		return "unregistered"
	case t.Draining:
		return "draining"
	case t.leaving:
		return "leaving"
	case now.Before(t.ejectedUntil):
		return "ejected"
	case now.Before(t.pausedUntil):
		return "paused"
	case slices.Contains(r.Avoid, t.ID):
		return "tried"
	}
	for _, regions := range r.HomeRegions {
		if len(regions) > 0 && !slices.Contains(regions, t.region) {
			return "otherHomeRegion"
		}
	}
	return ""
}

// start counts the request as in flight at the chosen target. The caller holds the
// lock.
func (c *Choice) start(pl *pool, now time.Time) {
	c.pool = pl
	c.sentAt = now
	t := c.target
	t.inFlight++
	t.takePermit()
	if c.request.Object != NoObject {
		pl.recordUse(t, c.request.Object)
	}
}

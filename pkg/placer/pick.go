package placer

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The ways to targets, there and back, by where they are.
const (
	sameZone    = 200 * time.Microsecond
	otherZone   = 3 * time.Millisecond
	otherRegion = 26 * time.Millisecond
)

// Crossing a zone or region is charged to the expected finish, so that targets
// nearby are preferred unless that costs the caller more.
const (
	zoneCharge   = 30 * time.Millisecond
	regionCharge = 20 * time.Millisecond
	// zoneByteCharge and regionByteCharge are added for each KiB that crosses.
	zoneByteCharge   = 12 * time.Millisecond
	regionByteCharge = 5 * time.Millisecond
	// spreadCharge orders targets that are alike by the object's hash, so that
	// all hosts send an object to the same ones.
	spreadCharge = 60 * time.Millisecond
	// failureCharge is added in proportion to a target's share of failures.
	failureCharge = 2 * time.Second
)

// pressureCharge is what slot time beyond that of warm work is charged when all
// slots are taken: the requests behind it pay for it.
const pressureCharge = 2.0

// firstUseCredit is taken off for a target that nobody has used yet, so that it
// begins to carry its part. Requests with bodies are left out: they cost more to
// send far.
const firstUseCredit = time.Second

// coldStartFactor is how much longer a target takes while it is cold.
const coldStartFactor = 2

// Want describes the request that a target is chosen for.
type Want struct {
	Service ids.Service
	// Class names the kind of work, whose times are learned together.
	Class string
	// Object is what the request is about.
	Object Object
	// Objective is the latency that is aimed at, used until times are learned.
	Objective time.Duration
	// KiB is the size of the body, as far as it is known.
	KiB float64
	// Homes are the only regions allowed; empty means all.
	Homes [][]ids.Region
	// Avoid holds the targets that were tried before.
	Avoid []ids.Target
	// Left is the time that the request has.
	Left time.Duration
}

// Choice is a target that was chosen. Done must be called once.
type Choice struct {
	ID      ids.Target
	Address string
	Zone    ids.Zone
	Region  ids.Region
	// Warm says that the target is believed to have served the object lately.
	Warm bool
	// Wait and Work are the expected times before and at work.
	Wait, Work time.Duration
	// Backlog is the estimate of what the target held.
	Backlog float64

	pool   *pool
	target *target
	want   Want
	sent   time.Time
	way    time.Duration
	rank   int
}

// ErrNoTarget says that no target may get the request.
type ErrNoTarget struct{}

// Error implements error.
func (*ErrNoTarget) Error() string { return "no target may get the request" }

// ErrBusy says that the targets are too busy to end the request in its time, or
// that it would keep others from ending in theirs.
type ErrBusy struct {
	// Wait is the time after which room is expected.
	Wait time.Duration
}

// Error implements error.
func (e *ErrBusy) Error() string { return "the targets are busy" }

// Pick chooses a target and counts the request in. Its error is an *ErrNoTarget
// or an *ErrBusy.
func (p *Placer) Pick(w Want) (*Choice, error) {
	p.mu.RLock()
	pl := p.services[w.Service]
	evacuated := p.evacuated
	p.mu.RUnlock()
	if pl == nil {
		return nil, &ErrNoTarget{}
	}
	now := time.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	tm := pl.timesOf(w)
	var best Choice
	var bestScore time.Duration
	shortest := time.Duration(-1)
	var held, slots float64
	for _, t := range pl.targets {
		if evacuated[t.Zone] || !p.usable(pl, t, w, now) {
			continue
		}
		c, score := p.score(pl, t, tm, w, now)
		held += c.Backlog
		slots += float64(t.Slots)
		if shortest < 0 || c.Wait < shortest {
			shortest = c.Wait
		}
		if !c.worthwhile() {
			continue
		}
		if best.target == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	pl.pressure = held / max(slots, 1)
	switch {
	case shortest < 0:
		return nil, &ErrNoTarget{}
	case best.target == nil:
		return nil, &ErrBusy{Wait: pl.nextReturn(shortest, now)}
	}
	best.begin(pl, now)
	p.starts.add(best.target.short, w.Object)
	return &best, nil
}

// worthwhile reports whether the request should go to this target. Where others
// wait before it, a request that would be late anyway only makes those behind it
// late too, and work on an object that is not warm takes the time of several
// others.
func (c *Choice) worthwhile() bool {
	finish := c.Wait + c.Work + c.way
	if c.want.Left > 0 && finish > c.want.Left {
		return c.Wait == 0 // The expectation may be wrong, and nobody waits.
	}
	return true
}

// The bounds of the times told to refused callers.
const (
	shortestReturn = 100 * time.Millisecond
	longestReturn  = 2 * time.Second
)

// nextReturn gives each refused caller a time of its own, at the rate at which
// the targets end requests. The caller holds the lock.
func (pl *pool) nextReturn(wait time.Duration, now time.Time) time.Duration {
	slots := 0
	for _, t := range pl.targets {
		slots += t.Slots
	}
	first := now.Add(max(wait, shortestReturn))
	if pl.returnAt.Before(first) {
		pl.returnAt = first
	} else {
		pl.returnAt = pl.returnAt.Add(pl.work / time.Duration(max(slots, 1)))
	}
	return min(pl.returnAt.Sub(now), longestReturn)
}

// timesOf returns the learned times of a class. The caller holds the lock.
func (pl *pool) timesOf(w Want) *times {
	tm := pl.times[w.Class]
	if tm == nil {
		tm = &times{warm: w.Objective / 2, cold: w.Objective * 8 / 5}
		pl.times[w.Class] = tm
	}
	return tm
}

// usable reports whether t may get the request. The caller holds the lock.
func (p *Placer) usable(pl *pool, t *target, w Want, now time.Time) bool {
	switch {
	case t.Draining, now.Before(t.ejected), slices.Contains(w.Avoid, t.ID):
		return false
	case t.cold(now) && now.Sub(t.coldSentAt) < p.coldInterval(pl):
		return false
	}
	for _, homes := range w.Homes {
		if len(homes) > 0 && !slices.Contains(homes, t.region) {
			return false
		}
	}
	return true
}

// coldInterval is the least time between two requests of this host to a cold
// target.
func (p *Placer) coldInterval(pl *pool) time.Duration {
	share := 1.0
	if p.cfg.ColdShare != nil {
		share = p.cfg.ColdShare()
	}
	if pl.coldRate <= 0 || share <= 0 {
		return 0
	}
	return seconds(1 / (pl.coldRate * share))
}

// score returns what choosing t means, and its expected finish with charges.
func (p *Placer) score(pl *pool, t *target, tm *times, w Want, now time.Time) (Choice, time.Duration) {
	c := Choice{
		ID: t.ID, Address: t.Address, Zone: t.Zone, Region: t.region,
		target: t, want: w, rank: -1, Backlog: t.backlog(now),
	}
	if w.Object != NoObject {
		c.rank = t.warm.rank(w.Object)
	}
	c.Warm = c.rank >= 0 && float64(c.rank) < pl.kept
	c.Work = tm.cold
	if c.Warm {
		c.Work = tm.warm
	}
	c.Work = time.Duration(float64(c.Work) * t.slowness)
	if t.cold(now) {
		c.Work *= coldStartFactor
	}
	slots := float64(max(t.Slots, 1))
	if ahead := c.Backlog + 1 - slots; ahead > 0 {
		c.Wait = time.Duration(ahead / slots * float64(max(pl.work, tm.warm)))
	}
	var charge time.Duration
	c.way, charge = p.distance(t, w.KiB+tm.kib)
	total := c.Wait + c.Work + c.way + charge
	total += time.Duration(pl.pressure * float64(c.Work-tm.warm) * pressureCharge)
	total += time.Duration(t.failures * float64(failureCharge))
	if w.KiB == 0 && t.unused(now) {
		total -= firstUseCredit
	}
	total += time.Duration(spread(w.Object, t.short) * float64(spreadCharge))
	return c, total
}

// distance returns the time to the target and back, and what crossing with so
// many KiB is charged.
func (p *Placer) distance(t *target, kib float64) (way, charge time.Duration) {
	switch {
	case t.Zone == p.cfg.Zone:
		return sameZone, 0
	case t.region == p.cfg.Regions[p.cfg.Zone]:
		return otherZone, zoneCharge + time.Duration(kib*float64(zoneByteCharge))
	default:
		return otherRegion, regionCharge + time.Duration(kib*float64(regionByteCharge))
	}
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
		t.warm.touch(c.want.Object, mostKept)
	}
}

// Outcome is what became of a request at its target.
type Outcome struct {
	// Answered says that the target ran the request and answered.
	Answered bool
	// Failed says that the target failed the request.
	Failed bool
	// Unreachable says that nothing could be sent to the target.
	Unreachable bool
	// Shed says that the target refused the request as not run.
	Shed bool
	// Replaced says that another target has the address.
	Replaced bool
	// Load is what the target reported, running and waiting; HasLoad says that
	// it did.
	Load    int
	HasLoad bool
	// ColdFor is how long the target says that it stays cold.
	ColdFor time.Duration
	// KiB is the size of the answer.
	KiB float64
}

// Done counts the request out and learns from its outcome.
func (c *Choice) Done(o Outcome) {
	now := time.Now()
	pl, t := c.pool, c.target
	pl.mu.Lock()
	defer pl.mu.Unlock()
	t.inFlight--
	if o.HasLoad {
		t.load, t.ownAt, t.loadAt = o.Load, t.inFlight, now
	}
	if o.ColdFor > 0 {
		t.ColdUntil = now.Add(o.ColdFor)
	}
	switch {
	case o.Replaced:
		t.Draining = true
	case o.Unreachable:
		t.eject(now)
	case o.Shed:
		t.load, t.ownAt, t.loadAt = max(t.load, t.Slots*2), t.inFlight, now
	case o.Failed:
		t.failures += gain * (1 - t.failures)
	case o.Answered:
		t.ejections = 0
		t.failures -= gain * t.failures
		tm := pl.timesOf(c.want)
		tm.kib += gain * (o.KiB - tm.kib)
		c.learn(pl, now.Sub(c.sent)-c.way)
	}
}

// learn takes the time of an answer in. The caller holds the lock.
func (c *Choice) learn(pl *pool, took time.Duration) {
	tm := pl.timesOf(c.want)
	if pl.work == 0 {
		pl.work = took
	}
	if c.Wait > 0 {
		return // The time tells more of the queue than of the work.
	}
	learn(&pl.work, took)
	t := c.target
	fair := time.Duration(float64(took) / t.slowness)
	fast := fair < (tm.warm+tm.cold)/2
	if fast {
		learn(&tm.warm, fair)
	} else {
		learn(&tm.cold, min(fair, 2*tm.cold))
	}
	c.learnKept(pl, fast)
	expected := tm.cold
	if fast || c.surelyWarm(pl) {
		expected = tm.warm
	}
	ratio := min(max(took.Seconds()/max(expected.Seconds(), 1e-3), 0.5), 8)
	t.slowness = min(max(t.slowness+gain*(ratio-t.slowness), 0.5), 8)
}

// surelyWarm reports whether the object was served so lately that a slow answer
// tells of the target, not of the object. The caller holds the lock.
func (c *Choice) surelyWarm(pl *pool) bool {
	return c.rank >= 0 && float64(c.rank) < pl.kept/2
}

// learnKept corrects the number of objects that targets keep warm. The caller
// holds the lock.
func (c *Choice) learnKept(pl *pool, fast bool) {
	switch {
	case c.rank < 0:
	case fast && !c.Warm:
		pl.kept = min(pl.kept+keptStep, mostKept)
	case !fast && c.Warm:
		pl.kept = max(pl.kept-keptStep, leastKept)
	}
}

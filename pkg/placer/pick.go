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
	otherRegion = 30 * time.Millisecond
)

// Crossing a zone or region is charged to the expected finish, so that targets
// nearby are preferred unless that costs the caller more.
const (
	zoneCharge   = 40 * time.Millisecond
	regionCharge = 60 * time.Millisecond
	// byteCharge is added for each KiB that crosses.
	byteCharge = 15 * time.Millisecond
	// spreadCharge orders targets that are alike by the object's hash, so that
	// all hosts send an object to the same ones.
	spreadCharge = 60 * time.Millisecond
	// failureCharge is added in proportion to a target's share of failures.
	failureCharge = 2 * time.Second
)

// Want describes the request that a target is chosen for.
type Want struct {
	Service ids.Service
	// Class names the kind of work, whose times are learned together.
	Class string
	// Object is what the request is about; empty if it is not known.
	Object string
	// Objective is the latency that is aimed at, used until times are learned.
	Objective time.Duration
	// KiB is the size of the body and the answer, as far as it is known.
	KiB float64
	// Homes are the only regions allowed; empty means all.
	Homes [][]ids.Region
	// Avoid holds the targets that were tried before.
	Avoid []ids.Target
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

	pool   *pool
	target *target
	want   Want
	sent   time.Time
	free   bool
}

// Pick chooses a target and counts the request in. It returns nil if there is
// none that may get the request.
func (p *Placer) Pick(w Want) *Choice {
	p.mu.RLock()
	pl := p.services[w.Service]
	p.mu.RUnlock()
	if pl == nil {
		return nil
	}
	now := time.Now()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	tm := pl.timesOf(w)
	var best *Choice
	bestScore := time.Duration(0)
	for _, t := range pl.targets {
		if !p.usable(pl, t, w, now) {
			continue
		}
		c, score := p.score(t, tm, w, now)
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	if best == nil {
		return nil
	}
	best.begin(pl, now)
	return best
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

func (p *Placer) usable(pl *pool, t *target, w Want, now time.Time) bool {
	switch {
	case t.Draining, now.Before(t.ejected), p.isEvacuated(t.Zone), slices.Contains(w.Avoid, t.ID):
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
func (p *Placer) score(t *target, tm *times, w Want, now time.Time) (*Choice, time.Duration) {
	warm := w.Object != "" && t.warm.has(w.Object)
	work := tm.cold
	if warm {
		work = tm.warm
	}
	work = time.Duration(float64(work) * t.slowness)
	if t.cold(now) {
		work *= 2
	}
	slots := max(t.Slots, 1)
	ahead := t.backlog(now) + 1 - float64(slots)
	wait := time.Duration(0)
	if ahead > 0 {
		wait = time.Duration(ahead / float64(slots) * float64((tm.warm+tm.cold)/2))
	}
	c := &Choice{
		ID: t.ID, Address: t.Address, Zone: t.Zone, Region: t.region,
		Warm: warm, Wait: wait, Work: work, target: t, want: w, free: ahead <= 0,
	}
	total := wait + work + p.way(t, w)
	total += time.Duration(t.failures * float64(failureCharge))
	total += time.Duration(hash(w.Object, t.ID) * float64(spreadCharge))
	return c, total
}

// way returns the time to the target and back, with charges.
func (p *Placer) way(t *target, w Want) time.Duration {
	bytes := time.Duration(w.KiB * float64(byteCharge))
	switch {
	case t.Zone == p.cfg.Zone:
		return sameZone
	case t.region == p.cfg.Regions[p.cfg.Zone]:
		return otherZone + zoneCharge + bytes
	default:
		return otherRegion + regionCharge + bytes
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
	if c.want.Object != "" {
		t.warm.add(c.want.Object)
	}
}

// Outcome is what became of a request at its target.
type Outcome struct {
	// Answered says that the target ran the request and answered.
	Answered bool
	// Failed says that the target failed, or could not be reached.
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
		t.failures += speedGain * (1 - t.failures)
	case o.Answered:
		t.ejections = 0
		t.failures -= speedGain * t.failures
		c.learn(now)
	}
}

// learn takes the time of an answer in. The caller holds the lock.
func (c *Choice) learn(now time.Time) {
	took := now.Sub(c.sent)
	tm := c.pool.timesOf(c.want)
	if c.free {
		if c.Warm {
			learn(&tm.warm, took)
		} else {
			learn(&tm.cold, took)
		}
	}
	expected := c.Wait + c.Work
	if expected <= 0 {
		return
	}
	ratio := min(max(took.Seconds()/expected.Seconds()*c.target.slowness, 0.3), 8)
	c.target.slowness += speedGain * (ratio - c.target.slowness)
}

package balancer

import (
	"time"
)

// Charges are added to the expected finish. Those for places are parts of the work that
// a warm object saves, as each further target that serves an object costs that much once.
const (
	// zonePart and regionPart are charged where a request crosses to another zone or
	// region: targets nearby are preferred unless that costs the caller more.
	zonePart   = 0.15
	regionPart = 0.4
	// spreadPart orders targets that are alike by the object's hash, so that all hosts
	// send an object to the same few ones.
	spreadPart = 0.9
	// mostSaved bounds the work that these are parts of: what is long may cross.
	mostSaved = 450 * time.Millisecond
	// zoneByteCharge and regionByteCharge are added for each KiB that crosses.
	zoneByteCharge   = 12 * time.Millisecond
	regionByteCharge = 5 * time.Millisecond
	// failureCharge is added in proportion to a target's share of failures.
	failureCharge = 2 * time.Second
)

// pressureCharge is what slot time beyond that of warm work is charged when all
// slots are taken: the requests behind it pay for it.
const pressureCharge = 2.0

// occupiedCharge is what warm work is charged for a new object at a target all of whose
// slots were taken lately: the object's next requests will come there too.
const occupiedCharge = 3.0

// firstUseCredit is taken off for a target that nobody has used yet, so that it
// begins to carry its part. Requests with bodies are left out: they cost more to
// send far.
const firstUseCredit = 2 * time.Second

// coldStartFactor is how much longer a target takes while it is cold.
const coldStartFactor = 2

// score returns what choosing t means, and its expected finish with charges.
func (p *Balancer) score(pl *pool, t *target, tm *times, w Request, now time.Time) (Choice, time.Duration) {
	c := Choice{
		Target: t.ID, Address: t.Address, Zone: t.Zone, Region: t.region,
		target: t, want: w, measured: tm.measured, rank: pl.rankOf(t), Backlog: t.backlog(now),
	}
	c.Warm = c.rank >= 0 && float64(c.rank) < pl.kept
	c.ServiceTime = tm.cold
	if c.Warm {
		c.ServiceTime = tm.warm
	}
	c.ServiceTime = time.Duration(float64(c.ServiceTime) * t.slowness)
	if t.cold(now) {
		c.ServiceTime *= coldStartFactor
	}
	t.notice(c.Backlog, now)
	slots := float64(max(t.Slots, 1))
	if ahead := c.Backlog + 1 - slots; ahead > 0 {
		c.QueueDelay = time.Duration(ahead / slots * float64(max(pl.work, tm.warm)))
	}
	c.way = p.way(t)
	saved := tm.saved()
	total := c.QueueDelay + c.ServiceTime + c.way + p.crossing(t, w.BodyKiB+tm.kib, saved)
	total += time.Duration(pl.pressure * float64(c.ServiceTime-tm.warm) * pressureCharge)
	total += time.Duration(t.failures * float64(failureCharge))
	if !c.Warm {
		total += time.Duration(t.occupied * float64(tm.warm) * occupiedCharge)
	}
	if w.BodyKiB == 0 && t.unused(now) {
		total -= firstUseCredit
	}
	total += time.Duration(spread(w.Object, t.short) * saved * spreadPart)
	return c, total
}

// saved returns the work that a warm object saves, in nanoseconds.
func (tm *times) saved() float64 {
	return float64(min(max(tm.cold-tm.warm, 0), mostSaved))
}

// crossing returns what sending so many KiB to the target is charged, where a warm
// object saves so much work.
func (p *Balancer) crossing(t *target, kib, saved float64) time.Duration {
	switch {
	case t.Zone == p.cfg.Zone:
		return 0
	case t.region == p.cfg.Regions[p.cfg.Zone]:
		return time.Duration(saved*zonePart + kib*float64(zoneByteCharge))
	default:
		return time.Duration(saved*regionPart + kib*float64(regionByteCharge))
	}
}

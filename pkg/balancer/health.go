package balancer

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// checkInterval is the least time between two health checks of a target by this host. A report
// that is younger needs no check.
const checkInterval = 100 * time.Millisecond

// safeFraction is the part of the objective up to which an expected time is taken to meet it, as
// service times vary.
const safeFraction = 0.8

// HealthCheck names a target whose health is to be checked.
type HealthCheck struct {
	Target  ids.Target
	Address string
}

// CheckFirst returns the best target for a request if its health is to be checked before Pick
// is called: its last report is old, and if it is slow now, the request would miss its
// objective there, but perhaps not at another target that has the object. It returns false if
// no check is worthwhile.
func (b *Balancer) CheckFirst(r Request) (HealthCheck, bool) {
	pl, evacuated := b.poolOf(r.Service)
	if pl == nil || r.Object == NoObject { // what has no object is never warm
		return HealthCheck{}, false
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return b.checkFirst(pl, r, evacuated, time.Now())
}

// checkFirst implements CheckFirst. The caller holds the lock.
func (b *Balancer) checkFirst(pl *pool, r Request, evacuated map[ids.Zone]bool, now time.Time) (HealthCheck, bool) {
	if !pl.reportsSlowdown {
		return HealthCheck{}, false
	}
	s := b.find(pl, r, evacuated, now)
	c, t := &s.best, s.best.target
	if t == nil || s.warm < 2 || !c.Warm || t.limits != nil || t.cold(now) || t.region != b.cfg.Regions[b.cfg.Zone] {
		return HealthCheck{}, false
	}
	if now.Sub(t.slowdownAt) < checkInterval || now.Sub(t.checkedAt) < checkInterval {
		return HealthCheck{}, false
	}
	finish := c.QueueDelay + c.ServiceTime + c.rtt
	slow := finish + time.Duration((pl.slowFactor-1)*float64(c.ServiceTime))
	if finish > r.Objective || float64(slow) <= safeFraction*float64(r.Objective) {
		return HealthCheck{}, false
	}
	t.checkedAt = now
	return HealthCheck{t.ID, t.Address}, true
}

// ObserveHealth takes in what a target responded to a health check.
func (b *Balancer) ObserveHealth(id ids.Target, report LoadReport) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	now := time.Now()
	b.updateTarget(HashTarget(id), func(pl *pool, t *target) { pl.observeLoad(t, report, now) })
}

package balancer

import (
	"time"
)

// Penalties are added to the expected time to finish. Those given as fractions are
// relative to the service time that a warm object saves, because each further target
// that serves an object pays that cost once.
const (
	// zoneCrossingFraction and regionCrossingFraction apply to requests that leave this
	// host's zone or region, so that nearby targets are preferred unless they are
	// slower by more than that.
	zoneCrossingFraction   = 0.15
	regionCrossingFraction = 0.4
	// spreadFraction orders otherwise equal targets by the object's hash, so that all
	// hosts send an object to the same few targets.
	spreadFraction = 0.9
	// maxWarmSaving bounds the saving that these are fractions of, so that requests
	// with long service times may cross.
	maxWarmSaving = 450 * time.Millisecond
	// zonePenaltyPerKiB and regionPenaltyPerKiB are added for each KiB that crosses.
	zonePenaltyPerKiB   = 12 * time.Millisecond
	regionPenaltyPerKiB = 5 * time.Millisecond
	// failurePenalty is multiplied by a target's failure rate.
	failurePenalty = 2 * time.Second
)

// pressureFactor weights the service time beyond that of a warm object when all slots
// are in use, because it delays the requests behind this one.
const pressureFactor = 2.0

// occupancyFactor weights the warm service time for a new object at a target whose
// slots were all in use recently, because later requests for the object will go there
// too.
const occupancyFactor = 3.0

// balanceFraction weights the warm service time by the slots in use, so that requests for an
// object use all candidates that have it.
const balanceFraction = 0.25

// unusedTargetBonus is subtracted for a target that no host has used yet, so that it
// starts to take load. Requests with bodies are excluded because they cost more to send
// far.
const unusedTargetBonus = 2 * time.Second

// coldStartFactor is the factor by which service times are longer while a target is
// cold.
const coldStartFactor = 2

// score returns the choice of t for r and its score: the expected time to finish plus
// penalties. The caller holds the lock.
func (b *Balancer) score(pl *pool, t *target, times *serviceTimes, r Request, now time.Time) (Choice, time.Duration) {
	c := Choice{
		Target: t.ID, Address: t.Address, Zone: t.Zone, Region: t.region,
		target: t, request: r, serviceTimeMeasured: times.measured, rank: pl.rankOf(t), Backlog: t.backlog(now),
	}
	c.Warm = c.rank >= 0 && float64(c.rank) < pl.warmCapacity
	c.ServiceTime = times.cold
	if c.Warm {
		c.ServiceTime = times.warm
	}
	slowdown := t.slowdownNow(now)
	c.ServiceTime = time.Duration(float64(c.ServiceTime) * t.slowness * slowdown)
	if t.cold(now) {
		c.ServiceTime *= coldStartFactor
	}
	t.recordBacklog(c.Backlog, now)
	c.QueueDelay = time.Duration(float64(queueDelay(c.Backlog, float64(max(t.Slots, 1)), max(pl.meanServiceTime, times.warm))) * slowdown)
	c.rtt = b.rtt(t)
	saving := times.warmSaving()
	total := c.QueueDelay + c.ServiceTime + c.rtt + b.crossingPenalty(t, r.BodyKiB+times.responseKiB, saving)
	total += time.Duration(pl.pressure * float64(c.ServiceTime-times.warm) * pressureFactor)
	total += time.Duration(t.failureRate * float64(failurePenalty))
	if r.BodyKiB == 0 && t.neverUsed(now) {
		total -= unusedTargetBonus
	}
	if pl.hasCandidates() {
		total += time.Duration(c.Backlog / float64(max(t.Slots, 1)) * float64(times.warm) * balanceFraction)
		return c, total
	}
	if !c.Warm {
		total += time.Duration(t.occupancy * float64(times.warm) * occupancyFactor)
	}
	total += time.Duration(spreadHash(r.Object, t.hash) * saving * spreadFraction)
	return c, total
}

// queueDelay returns the wait of one more request at a target with a backlog.
func queueDelay(backlog, slots float64, serviceTime time.Duration) time.Duration {
	excess := backlog + 1 - slots
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / slots * float64(serviceTime))
}

// warmSaving returns the service time that a warm object saves, in nanoseconds.
func (st *serviceTimes) warmSaving() float64 {
	return float64(min(max(st.cold-st.warm, 0), maxWarmSaving))
}

// crossingPenalty returns the penalty for sending kib KiB to t, where a warm object
// saves saving nanoseconds.
func (b *Balancer) crossingPenalty(t *target, kib, saving float64) time.Duration {
	switch {
	case t.Zone == b.cfg.Zone:
		return 0
	case t.region == b.cfg.Regions[b.cfg.Zone]:
		return time.Duration(saving*zoneCrossingFraction + kib*float64(zonePenaltyPerKiB))
	default:
		return time.Duration(saving*regionCrossingFraction + kib*float64(regionPenaltyPerKiB))
	}
}

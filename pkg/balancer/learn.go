package balancer

import (
	"time"
)

// Result is the outcome of a request at its target, as passed to Choice.Done.
type Result struct {
	// Answered means that the target processed the request and answered.
	Answered bool
	// Failed means that the target failed the request.
	Failed bool
	// Unreachable means that nothing could be sent to the target.
	Unreachable bool
	// Shed means that the target rejected the request without running it.
	Shed bool
	// AddressReused means that another target now has the address.
	AddressReused bool
	// Leaving means that the target takes no new requests until it restarts.
	Leaving bool
	// RetryAfter is how long the target asks this host to send it nothing.
	RetryAfter time.Duration
	LoadReport
	// ResponseKiB is the size of the response body in KiB.
	ResponseKiB float64
}

// LoadReport is what a response tells about the load of its target.
type LoadReport struct {
	// Load is the number of running and queued requests. It is valid if HasLoad is set.
	Load    int
	HasLoad bool
	// ColdTimeLeft is how long the target says that it stays cold; 0 if it did not say.
	ColdTimeLeft time.Duration
	// Slowdown is what the target reported of it, 0 for nothing.
	Slowdown Slowdown
}

// observeLoad takes in what a target reported. The caller holds the lock.
func (pl *pool) observeLoad(t *target, r LoadReport, now time.Time) {
	if r.HasLoad {
		t.load, t.inFlightAtLoad, t.loadAt = r.Load, t.inFlight, now
	}
	if r.ColdTimeLeft > 0 {
		t.ColdUntil = now.Add(r.ColdTimeLeft)
	}
	pl.observeSlowdown(t, r.Slowdown, now)
}

// Done ends the request's accounting and updates the estimates from its result. It must
// be called exactly once.
func (c *Choice) Done(r Result) {
	now := time.Now()
	pl, t := c.pool, c.target
	pl.mu.Lock()
	defer pl.mu.Unlock()
	t.inFlight--
	pl.observeLoad(t, r.LoadReport, now)
	if r.Leaving || r.AddressReused {
		t.leaving = true
	}
	if r.RetryAfter > 0 {
		t.pause(now.Add(min(r.RetryAfter, maxPause)))
	}
	switch {
	case r.Unreachable:
		t.eject(now)
	case r.Shed && r.HasLoad && r.Slowdown > 0:
		// The target said how full it is, so the refusal tells no more about its queue.
		t.failureRate += meanWeight * (1 - t.failureRate)
	case r.Shed:
		t.load, t.inFlightAtLoad, t.loadAt = max(t.load, t.Slots*2), t.inFlight, now
	case r.Failed:
		t.failureRate += meanWeight * (1 - t.failureRate)
	case r.Answered:
		t.ejections = 0
		t.failureRate -= meanWeight * t.failureRate
		times := pl.serviceTimesOf(c.request)
		times.responseKiB += meanWeight * (r.ResponseKiB - times.responseKiB)
		if r.Slowdown <= maxUsualSlowdown {
			c.learn(pl, now.Sub(c.sentAt)-c.rtt)
		}
	}
}

// serviceTimesOf returns the estimates for the class of r. The caller holds the lock.
func (pl *pool) serviceTimesOf(r Request) *serviceTimes {
	st := pl.serviceTimes[r.Class]
	if st == nil {
		st = &serviceTimes{warm: r.Objective / 2, cold: r.Objective * 8 / 5}
		pl.serviceTimes[r.Class] = st
	}
	return st
}

// learn updates the estimates from the time that the target took to answer. The caller
// holds the lock.
func (c *Choice) learn(pl *pool, elapsed time.Duration) {
	times := pl.serviceTimesOf(c.request)
	if pl.meanServiceTime == 0 {
		pl.meanServiceTime = elapsed
	}
	if c.QueueDelay > 0 {
		return // The elapsed time includes queueing.
	}
	updateMean(&pl.meanServiceTime, elapsed)
	times.measured = true
	t := c.target
	adjusted := time.Duration(float64(elapsed) / t.slowness)
	fast := adjusted < (times.warm+times.cold)/2
	if fast {
		updateMean(&times.warm, adjusted)
	} else {
		updateMean(&times.cold, min(adjusted, 2*times.cold))
	}
	c.learnWarmCapacity(pl, fast)
	expected := times.cold
	if fast || c.recentlyUsed(pl) {
		expected = times.warm
	}
	ratio := min(max(elapsed.Seconds()/max(expected.Seconds(), 1e-3), minSlowness), maxSlowness)
	if pl.reportsSlowdown {
		t.followSlowness(ratio)
		return
	}
	t.slowness = min(max(t.slowness+meanWeight*(ratio-t.slowness), minSlowness), maxSlowness)
}

// Bounds of the slowness of a target.
const (
	minSlowness = 0.5
	maxSlowness = 8
)

// recentlyUsed reports whether the object was used so recently at the target that a
// slow answer is due to the target and not to a cold object. The caller holds the lock.
func (c *Choice) recentlyUsed(pl *pool) bool {
	return c.rank >= 0 && float64(c.rank) < pl.warmCapacity/2
}

// learnWarmCapacity corrects the estimate of how many objects a target keeps warm. The
// caller holds the lock.
func (c *Choice) learnWarmCapacity(pl *pool, fast bool) {
	step := 0.0
	switch {
	case c.rank < 0:
	case fast && !c.Warm:
		step = warmCapacityStep
	case pl.hasCandidates() && c.recentlyUsed(pl):
		// Some requests take long wherever they run, and would make the capacity look too small.
	case !fast && c.Warm:
		step = -warmCapacityStep
	case pl.hasCandidates() && c.Warm:
		step = warmCapacityStep * maxSlowShare
	}
	pl.warmCapacity = min(max(pl.warmCapacity+step, minWarmCapacity), maxWarmCapacity)
}

// maxSlowShare is the share of slow answers for objects that were used long ago up to which the
// estimate of the capacity grows.
const maxSlowShare = 0.2

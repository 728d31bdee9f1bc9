package balancer

import (
	"time"
)

// Outcome is what became of a request at its target.
type Result struct {
	// Answered says that the target ran the request and answered.
	Answered bool
	// Failed says that the target failed the request.
	Failed bool
	// Unreachable says that nothing could be sent to the target.
	Unreachable bool
	// Shed says that the target refused the request as not run.
	Shed bool
	// Replaced says that another target has the address.
	AddressReused bool
	// Leaving says that the target takes no new work until it has started again.
	Leaving bool
	// Pause is how long the target wants nothing from this host.
	RetryAfter time.Duration
	// Load is what the target reported, running and waiting; HasLoad says that
	// it did.
	Load    int
	HasLoad bool
	// ColdFor is how long the target says that it stays cold.
	ColdTimeLeft time.Duration
	// KiB is the size of the answer.
	ResponseKiB float64
}

// Done counts the request out and learns from its outcome.
func (c *Choice) Done(o Result) {
	now := time.Now()
	pl, t := c.pool, c.target
	pl.mu.Lock()
	defer pl.mu.Unlock()
	t.inFlight--
	if o.HasLoad {
		t.load, t.ownAt, t.loadAt = o.Load, t.inFlight, now
	}
	if o.ColdTimeLeft > 0 {
		t.ColdUntil = now.Add(o.ColdTimeLeft)
	}
	if o.Leaving || o.AddressReused {
		t.left = true
	}
	if o.RetryAfter > 0 {
		t.pause(now.Add(min(o.RetryAfter, longestPause)))
	}
	switch {
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
		tm.kib += gain * (o.ResponseKiB - tm.kib)
		c.learn(pl, now.Sub(c.sent)-c.way)
	}
}

// timesOf returns the learned times of a class. The caller holds the lock.
func (pl *pool) timesOf(w Request) *times {
	tm := pl.times[w.Class]
	if tm == nil {
		tm = &times{warm: w.Objective / 2, cold: w.Objective * 8 / 5}
		pl.times[w.Class] = tm
	}
	return tm
}

// learn takes the time of an answer in. The caller holds the lock.
func (c *Choice) learn(pl *pool, took time.Duration) {
	tm := pl.timesOf(c.want)
	if pl.work == 0 {
		pl.work = took
	}
	if c.QueueDelay > 0 {
		return // The time tells more of the queue than of the work.
	}
	learn(&pl.work, took)
	tm.measured = true
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

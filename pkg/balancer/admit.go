package balancer

import (
	"time"
)

// cannotMeetDeadline reports whether the request would exceed its deadline at this
// target. It is false for a target without a queue, as the estimate may be wrong.
func (c *Choice) cannotMeetDeadline() bool {
	return c.request.TimeLeft > 0 && c.QueueDelay > 0 && c.QueueDelay+c.measuredServiceTime()+c.rtt > c.request.TimeLeft
}

// measuredServiceTime returns the expected service time, or 0 for a class of requests
// that was never measured, so that a guess never causes a rejection.
func (c *Choice) measuredServiceTime() time.Duration {
	if c.serviceTimeMeasured {
		return c.ServiceTime
	}
	return 0
}

// admissible reports whether the request may be sent even to its best target. When most
// targets have queues, admitting a request that will miss its latency objective also
// delays those behind it; queues would settle at a length at which every request is
// late.
func (c *Choice) admissible(pressure float64) bool {
	switch {
	case c.QueueDelay+c.measuredServiceTime()+c.rtt <= c.request.Objective:
		return true
	case c.Warm:
		return pressure < maxWarmLatePressure
	default:
		return pressure < maxColdLatePressure
	}
}

// Pressure (the ratio of requests, queued ones included, to slots) from which requests
// that would miss their latency objective are rejected.
const (
	maxColdLatePressure = 2.0
	maxWarmLatePressure = 3.0
)

// Bounds of the retry delay given to rejected callers.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// nextRetryAfter returns a retry delay of its own for each rejected caller, spaced at
// the rate at which the targets finish requests. The caller holds the lock.
func (pl *pool) nextRetryAfter(queueDelay time.Duration, now time.Time) time.Duration {
	slots := 0
	for _, t := range pl.targets {
		slots += t.Slots
	}
	first := now.Add(max(queueDelay, minRetryAfter))
	if pl.lastRetryAt.Before(first) {
		pl.lastRetryAt = first
	} else {
		pl.lastRetryAt = pl.lastRetryAt.Add(pl.meanServiceTime / time.Duration(max(slots, 1)))
	}
	return min(pl.lastRetryAt.Sub(now), maxRetryAfter)
}

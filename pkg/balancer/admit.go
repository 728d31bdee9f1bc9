package balancer

import (
	"time"
)

// hopeless reports whether the target cannot end the request in its time. If nobody
// waits there, the expectation may be wrong.
func (c *Choice) hopeless() bool {
	return c.want.TimeLeft > 0 && c.QueueDelay > 0 && c.QueueDelay+c.knownWork()+c.way > c.want.TimeLeft
}

// knownWork returns the expected time at work, 0 for a class of requests that was never
// measured: what is not known is no reason to refuse.
func (c *Choice) knownWork() time.Duration {
	if c.measured {
		return c.ServiceTime
	}
	return 0
}

// worthwhile reports whether a request should go even to its best target. Where
// requests wait at most targets, one that would be late only makes those behind it
// late too: queues would stand at the length that callers bear, and all be late.
func (c *Choice) worthwhile(pressure float64) bool {
	switch {
	case c.QueueDelay+c.knownWork()+c.way <= c.want.Objective:
		return true
	case c.Warm:
		return pressure < warmLatePressure
	default:
		return pressure < coldLatePressure
	}
}

// The parts of the slots that are taken, waiting requests included, from which on
// requests that would be late are refused.
const (
	coldLatePressure = 2.0
	warmLatePressure = 3.0
)

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

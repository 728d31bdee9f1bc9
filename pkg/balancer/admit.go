package balancer

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/admitter"
)

// admission returns an error if the request is not admitted to a service whose targets report
// their slowdown.
func (s *search) admission() error {
	pl := s.pool
	r := admitter.Request{
		Class: s.request.Class, Priority: s.request.Priority, Objective: s.request.Objective, TimeLeft: s.request.TimeLeft,
	}
	pressure := pl.pressure
	if c := &s.best; c.target != nil {
		r.Finish, r.Cold = c.QueueDelay+c.measuredServiceTime()+c.rtt, !c.Warm
		if c.QueueDelay == 0 && r.TimeLeft > 0 {
			r.Finish = min(r.Finish, r.TimeLeft) // the estimate may be wrong, and only requests correct it
		}
		pressure = pl.survey.pressureIn(c.Region)
	} else {
		r.Finish = s.request.TimeLeft + 1 // no target can finish it in time
	}
	if pl.admitter.Admit(r, pressure, s.now) {
		return nil
	}
	return &ErrBusy{RetryAfter: pl.admitter.RetryAfter(s.freed(), s.request.TimeLeft, s.now)}
}

// freed returns how many requests a second this host's part of the slots can end.
func (s *search) freed() float64 {
	slots := 0.0
	for _, l := range s.pool.survey.loads {
		slots += l.Slots
	}
	return slots * s.shares.cold.Fraction() / max(s.pool.meanServiceTime.Seconds(), minServiceSeconds)
}

// minServiceSeconds bounds the service time from which rates are computed.
const minServiceSeconds = 1e-3

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

package balancer

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/admitter"
)

// admission returns an error if the request is not admitted.
func (s *search) admission() error {
	pl := s.pool
	r := admitter.Request{
		Class: s.request.Class, Priority: s.request.Priority, Objective: s.request.Objective, TimeLeft: s.request.TimeLeft,
	}
	if c := &s.best; c.target != nil {
		r.Finish, r.Cold = c.QueueDelay+c.measuredServiceTime()+c.rtt, !c.Warm
		if c.QueueDelay == 0 && r.TimeLeft > 0 {
			r.Finish = min(r.Finish, r.TimeLeft) // the estimate may be wrong, and only requests correct it
		}
	} else {
		r.Finish = max(s.earliest, r.TimeLeft+1) // no target can finish it in time
	}
	if pl.admitter.Admit(r, s.admissionPressure(), s.now) {
		return nil
	}
	return &ErrBusy{RetryAfter: pl.admitter.RetryAfter(s.freed(), s.request.TimeLeft, s.now)}
}

// admissionPressure returns the pressure that decides whether the request is admitted.
func (s *search) admissionPressure() float64 {
	switch {
	case !s.pool.hasCandidates():
		return s.pressure()
	case s.best.target != nil:
		return s.pool.survey.pressureIn(s.best.Region)
	default:
		return s.pool.pressure
	}
}

// freed returns how many requests a second this host's part of the slots can end.
func (s *search) freed() float64 {
	slots := s.slots
	if s.pool.hasCandidates() {
		slots = s.pool.survey.slots()
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

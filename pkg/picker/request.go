package picker

import (
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Request is a request at a target, from Begin to End.
type Request struct {
	p       *Picker
	target  ids.Target
	began   time.Time
	startID string
	trial   bool
}

// Result is the result of a request at a target.
type Result struct {
	// Connected is false when no connection could be made.
	Connected bool
	// Status is the HTTP status of the answer, or zero when there was none.
	Status int
	// Shed means that the target declared that it did not run the request.
	Shed bool
	// Leaving means that the target declared that it takes no new requests.
	Leaving bool
	// Cancelled means that the caller left, which does not count as a failure
	// unless the target hung.
	Cancelled bool
	// Elapsed is the time until the response header.
	Elapsed time.Duration
}

// Begin records that a request is sent to the target. End must be called once on
// the Request.
func (p *Picker) Begin(t ids.Target) *Request {
	r := &Request{p: p, target: t, began: time.Now()}
	p.withState(t, func(s *targetState) {
		s.inFlight++
		r.startID = s.startID
		r.trial = s.breaker.startRequest()
	})
	return r
}

// End records the result of the request. Failures count at once, whatever probes
// report. It must be called once.
func (r *Request) End(res Result) {
	r.p.withState(r.target, func(s *targetState) {
		s.inFlight--
		r.classify(s, res, time.Now())
	})
}

// hung reports whether the target had a request without an answer for so long
// that it counts as failed, even if it was the caller that gave up.
func (r *Request) hung(s *targetState, now time.Time) bool {
	return now.Sub(r.began) > max(hungFactor*s.latency, minHungTime)
}

func (r *Request) classify(s *targetState, res Result, now time.Time) {
	if res.Leaving && r.startID == s.startID {
		s.markLeaving("", now)
	}
	if r.startID != s.startID {
		s.breaker.endTrial(r.trial)
		return // It was sent to a process of the target that is gone.
	}
	switch {
	case res.Shed:
		s.breaker.recordShed(r.trial, now)
	case !res.Connected && !res.Cancelled:
		s.breaker.eject(r.trial, now)
	case res.Cancelled && !r.hung(s, now):
		s.breaker.endTrial(r.trial)
	case res.Status == 0:
		s.breaker.recordNoAnswer(r.trial, now)
	case res.Status >= http.StatusInternalServerError:
		s.breaker.recordServerError(r.trial, now)
	default:
		s.recordLatency(res.Elapsed, now)
		s.breaker.recordSuccess(r.trial)
	}
}

// ProbeResult is the result of one probe by this or another host.
type ProbeResult struct {
	Healthy bool
	Leaving bool
	// StartID identifies the start of the target's process; it may be empty.
	StartID string
	// Load is the number of busy slots that the target reports.
	Load int
	// Age is the time since the probe.
	Age time.Duration
}

// RecordProbe records the result of a probe. A healthy one does not end an
// ejection.
func (p *Picker) RecordProbe(t ids.Target, r ProbeResult) {
	now := time.Now()
	at := now.Add(-r.Age)
	p.withState(t, func(s *targetState) {
		if at.After(s.probeAt) {
			s.probe = r
			s.probeAt = at
		}
		if r.Leaving {
			s.markLeaving(r.StartID, at)
		} else if r.Healthy {
			s.markLive(r.StartID, now)
		}
	})
}

// MarkLive records that a list of hosts has the target as live. It ends the
// leaving state only for a start id that was not seen before.
func (p *Picker) MarkLive(t ids.Target, startID string) {
	p.withState(t, func(s *targetState) { s.markLive(startID, time.Now()) })
}

// MarkLeaving records that a list of hosts has the target as leaving. An empty
// start id means the current process.
func (p *Picker) MarkLeaving(t ids.Target, startID string) {
	p.withState(t, func(s *targetState) { s.markLeaving(startID, time.Now()) })
}

// TargetByAddress returns the target of this region at an address, and false if
// there is none.
func (p *Picker) TargetByAddress(address string) (ids.Target, bool) {
	t, ok := p.index.Load().addresses[address]
	return t, ok
}

package picker

import (
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Request is one request at a target, from Begin to End.
type Request struct {
	p       *Picker
	target  ids.Target
	began   time.Time
	startID string
	trial   bool
}

// Result tells how a request went at a target.
type Result struct {
	// Connected is false when no connection could be made.
	Connected bool
	// Status is the target's answer, or zero when there was none.
	Status int
	// Shed says that the target said it did not run the request.
	Shed bool
	// Leaving says that the target said it takes no new work.
	Leaving bool
	// Cancelled says that the caller left, which is no fault of the target.
	Cancelled bool
	// Elapsed is the time until the answer's head.
	Elapsed time.Duration
}

// Begin notes that a request is sent to the target. End must be called once.
func (p *Picker) Begin(t ids.Target) *Request {
	r := &Request{p: p, target: t, began: time.Now()}
	p.with(t, func(s *state) {
		s.inFlight++
		r.startID = s.startID
		r.trial = s.fault.begin()
	})
	return r
}

// End notes how the request went. Failures count at once, whatever probes say.
func (r *Request) End(res Result) {
	r.p.with(r.target, func(s *state) {
		s.inFlight--
		r.judge(s, res, time.Now())
	})
}

// hung reports whether a request without an answer was at the target for so
// long that the target is to blame, also when the caller was the one to leave.
func (r *Request) hung(s *state, now time.Time) bool {
	return now.Sub(r.began) > max(hungFactor*s.latency, hungFloor)
}

func (r *Request) judge(s *state, res Result, now time.Time) {
	if res.Leaving && r.startID == s.startID {
		s.seenLeaving("", now)
	}
	if r.startID != s.startID {
		s.fault.abandon(r.trial)
		return // It went to a run of the target that is gone.
	}
	switch {
	case res.Shed:
		s.fault.shed(r.trial, now)
	case !res.Connected && !res.Cancelled:
		s.fault.eject(r.trial, now)
	case res.Cancelled && !r.hung(s, now):
		s.fault.abandon(r.trial)
	case res.Status == 0:
		s.fault.cut(r.trial, now)
	case res.Status >= http.StatusInternalServerError:
		s.fault.serverError(r.trial, now)
	default:
		s.answered(res.Elapsed, now)
		s.fault.succeed(r.trial)
	}
}

// Report is the result of one probe, made here or by another host.
type ProbeResult struct {
	Healthy bool
	Leaving bool
	// StartID names the run of the target's process; it may be empty.
	StartID string
	// Load is the number of busy slots that the target tells.
	Load int
	// Age is the time since the probe.
	Age time.Duration
}

// Observe takes in the result of a probe. A healthy one ends no ejection.
func (p *Picker) RecordProbe(t ids.Target, r ProbeResult) {
	now := time.Now()
	at := now.Add(-r.Age)
	p.with(t, func(s *state) {
		if at.After(s.probeAt) {
			s.probe = r
			s.probeAt = at
		}
		if r.Leaving {
			s.seenLeaving(r.StartID, at)
		} else if r.Healthy {
			s.seenLive(r.StartID, now)
		}
	})
}

// SeenLive notes that a list of hosts has the target as live.
func (p *Picker) MarkLive(t ids.Target, startID string) {
	p.with(t, func(s *state) { s.seenLive(startID, time.Now()) })
}

// SeenLeaving notes that a list of hosts has the target as leaving. An empty
// start id stands for the present run.
func (p *Picker) MarkLeaving(t ids.Target, startID string) {
	p.with(t, func(s *state) { s.seenLeaving(startID, time.Now()) })
}

// TargetAt returns the target of this region at an address.
func (p *Picker) TargetByAddress(address string) (ids.Target, bool) {
	t, ok := p.index.Load().addresses[address]
	return t, ok
}

// Package admitter decides which requests are admitted to a service that is short of capacity,
// the urgent ones first, and when rejected callers should return.
//
// A caller calls Admit for each request once its best target is known, and RetryAfter for each
// request that it rejects.
package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// decayTime is the time constant of the exponential means of requests. It is several times
	// the time that a queue takes to fill or drain, so that one burst decides little.
	decayTime = 3 * time.Second
	// judgeInterval is the time between two updates of the classes' limits. In that time the
	// means of a busy class change by a thirtieth.
	judgeInterval = 100 * time.Millisecond
)

// Request is a request for which the best target is known.
type Request struct {
	// Class is the kind of request: its route.
	Class string
	// Priority is its urgency; 0 is the most urgent. Requests of a class with different
	// priorities are judged separately.
	Priority int
	// Finish is the expected time until the response.
	Finish time.Duration
	// Objective is the time within which the response should arrive; 0 means none.
	Objective time.Duration
	// TimeLeft is the time after which the response is useless; 0 or less means unknown.
	TimeLeft time.Duration
	// Cold is set if the best target does not have the object.
	Cold bool
}

// Admitter holds the recent classes of requests of one service. The zero value is ready to use
// and admits like one that has long been idle. It is not safe for concurrent use.
type Admitter struct {
	// classes are sorted by priority.
	classes  []class
	judgedAt time.Time
	// lastRetryAt is the latest time that was promised to a rejected caller.
	lastRetryAt time.Time
}

// Clone returns a copy that changes independently.
func (a *Admitter) Clone() Admitter {
	c := *a
	c.classes = slices.Clone(a.classes)
	return c
}

// Admit reports whether the request may be sent. pressure is the ratio of requests, including
// queued ones, to slots of the service. A request that would exceed its remaining time is never
// admitted. All others are admitted below a pressure of 1, as every limit is above that.
func (a *Admitter) Admit(r Request, pressure float64, now time.Time) bool {
	a.refresh(now)
	c := a.classOf(&r, now)
	hopeless := r.TimeLeft > 0 && r.Finish > r.TimeLeft
	if hopeless && !r.delayedByQueue(pressure) {
		return false
	}
	c.requests++
	if hopeless || pressure >= c.limitFor(&r) {
		return false
	}
	c.admitted++
	return true
}

// refresh updates the means and the limits if they are old.
func (a *Admitter) refresh(now time.Time) {
	elapsed := now.Sub(a.judgedAt)
	if elapsed < judgeInterval {
		return
	}
	a.judgedAt = now
	a.forget(now)
	factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
	for i := range a.classes {
		a.classes[i].requests *= factor
		a.classes[i].admitted *= factor
	}
	a.judge(now)
}

// delayedByQueue reports whether a request that exceeds its remaining time might finish in time
// without a queue. One that could not says nothing about how its class is served, and must not
// hold back other classes. The expected time grows about in proportion to the pressure.
func (r *Request) delayedByQueue(pressure float64) bool {
	return float64(r.Finish) <= pressure*float64(r.TimeLeft)
}

// late reports whether the request would miss its objective.
func (r *Request) late() bool { return r.Objective > 0 && r.Finish > r.Objective }

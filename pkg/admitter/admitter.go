// Package admitter is a stub.
package admitter

import "time"

// Request is a request for which the best target is known.
type Request struct {
	Class     string
	Priority  int
	Finish    time.Duration
	Objective time.Duration
	TimeLeft  time.Duration
	Cold      bool
}

// Admitter decides.
type Admitter struct{}

// Admit reports whether the request may be sent.
func (a *Admitter) Admit(r Request, pressure float64, now time.Time) bool {
	if r.TimeLeft > 0 && r.Finish > r.TimeLeft {
		return false
	}
	return true
}

// RetryAfter returns when to retry.
func (a *Admitter) RetryAfter(freed float64, timeLeft time.Duration, now time.Time) time.Duration {
	return 200 * time.Millisecond
}

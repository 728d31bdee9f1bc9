package admitter

import (
	"math/rand/v2"
	"time"
)

const (
	// minRetryAfter is the shortest retry delay. In less time, the queues hardly change.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest retry delay for a caller whose remaining time is unknown.
	maxRetryAfter = 2 * time.Second
	// maxRetryPart divides the remaining time to give the longest retry delay that callers
	// honour.
	maxRetryPart = 3
	// maxSpacing, in seconds, bounds the time between two callers, which would overflow at very
	// low rates.
	maxSpacing = 3600.0
)

// RetryAfter returns when the next rejected caller should come back. freed is the rate, in
// requests per second, at which this host's share of the slots becomes free. Each caller gets a
// time of its own, spaced by this rate. Callers that find no place before the bound get a
// random time in the second half of the delays allowed.
func (a *Admitter) RetryAfter(freed float64, timeLeft time.Duration, now time.Time) time.Duration {
	bound := retryBound(timeLeft)
	if at, ok := a.nextRetryAt(freed, bound, now); ok {
		a.lastRetryAt = at
		return at.Sub(now)
	}
	shortest := max(bound/2, minRetryAfter)
	return shortest + rand.N(bound-shortest+1)
}

// nextRetryAt returns the next free time, or false if it is beyond the bound.
func (a *Admitter) nextRetryAt(freed float64, bound time.Duration, now time.Time) (time.Time, bool) {
	if !(freed > 0) { // Also true if it is not a number.
		return time.Time{}, false
	}
	at := a.lastRetryAt.Add(time.Duration(min(1/freed, maxSpacing) * float64(time.Second)))
	if first := now.Add(minRetryAfter); at.Before(first) {
		at = first
	}
	return at, at.Sub(now) <= bound
}

// retryBound returns the longest retry delay for a caller.
func retryBound(timeLeft time.Duration) time.Duration {
	if timeLeft <= 0 {
		return maxRetryAfter
	}
	if bound := timeLeft / maxRetryPart; bound >= minRetryAfter {
		return bound
	}
	// No delay suits both the caller and the service. Callers that wait for the whole delay
	// nevertheless must not return together.
	return 3 * minRetryAfter
}

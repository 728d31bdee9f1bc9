package picker

import "time"

// The times for which a failing target gets no requests, and what counts as
// failing.
const (
	minEjection    = 500 * time.Millisecond
	maxEjection    = 30 * time.Second
	minShedBackoff = 50 * time.Millisecond
	maxShedBackoff = 5 * time.Second
	// errorsToEject is the number of server errors that eject a target, where each
	// success offsets one. unansweredToEject is the number of consecutive requests
	// without an answer that do.
	errorsToEject     = 5
	unansweredToEject = 2
)

// breaker is the circuit breaker of a target. When the ejection time has passed,
// one trial request is let through. Its success ends the ejection, and its failure
// starts another one of twice the time, up to maxEjection.
type breaker struct {
	errors     int
	unanswered int
	// ejectedUntil is when the next trial may start; zero means not ejected.
	ejectedUntil  time.Time
	ejection      time.Duration
	trialInFlight bool
	// shedUntil is when a target that shed a request may get the next one.
	shedUntil   time.Time
	shedBackoff time.Duration
}

// ejected reports whether the target gets no requests because it failed. It stays
// so for other requests while a trial is in flight.
func (b *breaker) ejected(now time.Time) bool {
	return !b.ejectedUntil.IsZero() && (b.trialInFlight || now.Before(b.ejectedUntil))
}

// allows reports whether a request may be sent.
func (b *breaker) allows(now time.Time) bool {
	if now.Before(b.shedUntil) {
		return false
	}
	return !b.ejected(now)
}

// startRequest records that a request is sent, and reports whether it is a trial.
func (b *breaker) startRequest() bool {
	if b.ejectedUntil.IsZero() {
		return false
	}
	b.trialInFlight = true
	return true
}

// endTrial ends a trial without a result, so that another one may start.
func (b *breaker) endTrial(trial bool) {
	if trial {
		b.trialInFlight = false
	}
}

// recordSuccess records an answer without a server error. That of a trial ends
// the ejection and halves the time from which the next one is doubled.
func (b *breaker) recordSuccess(trial bool) {
	if trial {
		*b = breaker{ejection: b.ejection / 2}
		return
	}
	b.errors = max(b.errors-1, 0)
	b.unanswered = 0
	b.shedBackoff = 0
}

// recordServerError records a server error, and ejects the target after
// errorsToEject or a failed trial.
func (b *breaker) recordServerError(trial bool, now time.Time) {
	b.errors++
	if trial || b.errors >= errorsToEject {
		b.eject(trial, now)
	}
}

// recordNoAnswer records a request that got no answer, and ejects the target after
// unansweredToEject or a failed trial.
func (b *breaker) recordNoAnswer(trial bool, now time.Time) {
	b.unanswered++
	if trial || b.unanswered >= unansweredToEject {
		b.eject(trial, now)
	}
}

// eject ejects the target for twice the time of the last ejection, within
// minEjection and maxEjection.
func (b *breaker) eject(trial bool, now time.Time) {
	if now.Before(b.ejectedUntil) && !trial {
		return // Several requests failed at once; they count as one failure.
	}
	b.ejection = min(max(2*b.ejection, minEjection), maxEjection)
	b.ejectedUntil = now.Add(b.ejection)
	if trial {
		b.trialInFlight = false
	}
}

// recordShed starts a backoff for a target that shed a request, doubled each time
// until a request succeeds.
func (b *breaker) recordShed(trial bool, now time.Time) {
	b.endTrial(trial)
	if now.Before(b.shedUntil) {
		return
	}
	b.shedBackoff = min(max(2*b.shedBackoff, minShedBackoff), maxShedBackoff)
	b.shedUntil = now.Add(b.shedBackoff)
}

// Package verifier decides when a host asks the platform's store how far it is and
// whether the configuration in force is the newest. One answer serves all hosts, as they
// tell each other of it, so one host asks at short intervals and the others only when
// they hear nothing in time.
//
// The caller asks the store when Due reports true, and after a failed call waits for the
// time that Backoff returns.
package verifier

import (
	"math/rand/v2"
	"time"
)

const (
	// interval is the age of the last answer at which the host of rank 0 asks again. It
	// is at most 1/intervalDivisor of the times in which changes must be followed and
	// withdrawn keys stop working.
	interval        = 700 * time.Millisecond
	intervalDivisor = 4
	// rankDelay is added for each rank, up to lastRank, so that the next host asks when
	// one fails. It leaves time for an answer to arrive from another region. It is at
	// most 1/rankDelayDivisor of these times.
	rankDelay        = 350 * time.Millisecond
	rankDelayDivisor = 9
	// lastRank is the rank from which on hosts ask at the same age, but for a random
	// part of up to rankDelay.
	lastRank = 3
	// Failed calls are repeated after minBackoff, which doubles up to firstMaxBackoff for
	// the host of rank 0, and up to maxBackoff for the others, which receive the answers
	// of that host.
	minBackoff      = 200 * time.Millisecond
	firstMaxBackoff = 400 * time.Millisecond
	maxBackoff      = 1600 * time.Millisecond
	// backoffDivisor bounds the wait to a part of the maximum age.
	backoffDivisor = 3
)

// Verifier decides for one host. It is not safe for concurrent use.
type Verifier struct {
	// Rank returns the position of this host in the order in which hosts ask, 0 for the
	// first.
	Rank func() int
	// MaxAge returns the maximum age of an answer.
	MaxAge func() time.Duration
	// FollowTime returns the time within which changes must be followed.
	FollowTime func() time.Duration

	spread  time.Duration
	backoff time.Duration
}

// Due reports whether this host is to ask the store now, given the age of the last
// answer and whether there is one.
func (v *Verifier) Due(age time.Duration, ok bool) bool {
	due := !ok || age >= v.askAge()
	if !due {
		v.backoff = 0
	}
	return due
}

// limit returns the time by which the answers have to be recent.
func (v *Verifier) limit() time.Duration { return min(v.MaxAge(), v.FollowTime()) }

// askAge returns the age of the last answer at which this host asks.
func (v *Verifier) askAge() time.Duration {
	limit, rank := v.limit(), v.Rank()
	delay := min(rankDelay, limit/rankDelayDivisor)
	age := min(interval, limit/intervalDivisor) + time.Duration(min(rank, lastRank))*delay
	if rank < lastRank {
		return age
	}
	if v.spread == 0 {
		v.spread = 1 + rand.N(rankDelay)
	}
	return age + min(v.spread, delay)
}

// StartDelay returns how long after the first document this host leaves it to the others
// to ask.
func (v *Verifier) StartDelay() time.Duration {
	return time.Duration(min(v.Rank(), lastRank)) * rankDelay
}

// Backoff returns how long to wait after a failed call.
func (v *Verifier) Backoff() time.Duration {
	limit := min(maxBackoff, v.MaxAge()/backoffDivisor)
	if v.Rank() == 0 {
		limit = firstMaxBackoff
	}
	wait := min(max(v.backoff, minBackoff), limit)
	v.backoff = 2 * wait
	return wait
}

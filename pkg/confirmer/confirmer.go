// Package confirmer tracks how long ago the configuration in force was confirmed to be
// the newest one. A workspace key may be accepted only if the confirmation is recent
// enough, so that the revocation of a key takes effect within a bound on every host,
// even on one that no longer receives changes.
//
// The caller takes a timestamp with Now before it asks for the newest version, and
// passes it to Confirm if the answer is the version in force.
package confirmer

import (
	"sync"
	"time"
)

// Clock returns the total time for which the host was suspended, which the process's
// monotonic clock does not count.
type Clock interface {
	Suspended() time.Duration
}

// Confirmer holds the latest confirmation. The zero value has none and is ready for
// use, and its methods are safe for concurrent use.
type Confirmer struct {
	// Clock counts suspensions; nil means that there are none.
	Clock Clock

	mu        sync.Mutex
	last      Timestamp
	confirmed bool
}

// Timestamp is a point in time on a clock that counts suspensions.
type Timestamp struct {
	at        time.Time
	suspended time.Duration
}

// Now returns the current time.
func (c *Confirmer) Now() Timestamp {
	return Timestamp{at: time.Now(), suspended: c.suspended()}
}

// IsZero reports whether s is the zero Timestamp: no point in time.
func (s Timestamp) IsZero() bool { return s == Timestamp{} }

// Since returns the time elapsed from o to s, including suspensions.
func (s Timestamp) Since(o Timestamp) time.Duration {
	return s.at.Sub(o.at) + s.suspended - o.suspended
}

// SuspendedSince returns how long the host was suspended between o and s.
func (s Timestamp) SuspendedSince(o Timestamp) time.Duration { return s.suspended - o.suspended }

// Add returns the time s+d.
func (s Timestamp) Add(d time.Duration) Timestamp {
	return Timestamp{at: s.at.Add(d), suspended: s.suspended}
}

func (c *Confirmer) suspended() time.Duration {
	if c.Clock == nil {
		return 0
	}
	return c.Clock.Suspended()
}

// Confirm records that the configuration in force was the newest one at s, which must
// have been taken before the request was sent. It has no effect if s is older than the
// latest confirmation.
func (c *Confirmer) Confirm(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed && s.Since(c.last) < 0 {
		return
	}
	c.last, c.confirmed = s, true
}

// Last returns the time of the latest confirmation, and false if there is none.
func (c *Confirmer) Last() (Timestamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.confirmed
}

// Age returns the time since the latest confirmation, and false if there is none.
func (c *Confirmer) Age() (time.Duration, bool) {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.confirmed {
		return 0, false
	}
	return now.Since(c.last), true
}

// Within reports whether the latest confirmation is younger than bound.
func (c *Confirmer) Within(bound time.Duration) bool {
	age, ok := c.Age()
	return ok && age < bound
}

// Package confirmer tells how long ago the configuration in force was known to
// be the newest. A key may be honoured only on a confirmation that is young
// enough, so that withdrawing it takes effect within a bound on every host,
// also on one that no longer hears of changes.
package confirmer

import (
	"sync"
	"time"
)

// Clock returns the time that the host was suspended since it started. The
// process's own clock does not count it.
type Clock interface {
	Suspended() time.Duration
}

// Confirmer keeps the newest confirmation. The zero value has none, and its
// methods may be called from several goroutines.
type Confirmer struct {
	// Clock counts suspensions; nil means that there are none.
	Clock Clock

	mu   sync.Mutex
	last Timestamp
	set  bool
}

// Stamp is a moment by a clock that counts suspensions. It is taken before the
// question is sent whose answer confirms.
type Timestamp struct {
	at        time.Time
	suspended time.Duration
}

// Stamp returns the present moment.
func (c *Confirmer) Now() Timestamp {
	return Timestamp{at: time.Now(), suspended: c.now()}
}

// Since returns the time from o to s, suspensions included.
func (s Timestamp) Since(o Timestamp) time.Duration {
	return s.at.Sub(o.at) + s.suspended - o.suspended
}

// Add returns the moment d after s.
func (s Timestamp) Add(d time.Duration) Timestamp {
	return Timestamp{at: s.at.Add(d), suspended: s.suspended}
}

func (c *Confirmer) now() time.Duration {
	if c.Clock == nil {
		return 0
	}
	return c.Clock.Suspended()
}

// Confirm records that the configuration in force was the newest at s. An
// older stamp than the last one changes nothing.
func (c *Confirmer) Confirm(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.set && s.Since(c.last) < 0 {
		return
	}
	c.last, c.set = s, true
}

// Last returns the newest confirmation, and false if there has been none.
func (c *Confirmer) Last() (Timestamp, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last, c.set
}

// Age returns the time since the newest confirmation, and false if there has
// been none.
func (c *Confirmer) Age() (time.Duration, bool) {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.set {
		return 0, false
	}
	return now.Since(c.last), true
}

// Within reports whether the newest confirmation is younger than bound.
func (c *Confirmer) Within(bound time.Duration) bool {
	age, ok := c.Age()
	return ok && age < bound
}

// Package checker asserts invariants of a whole fleet inside the program. The
// parts of all hosts in one process tell one Checker what they do; it keeps a
// trace of the last events and a list of breaches.
package checker

import (
	"fmt"
	"sync"
	"time"
)

// traceLength is the number of events kept for the trace around a breach.
const traceLength = 400

// maxBreaches bounds the list of breaches.
const maxBreaches = 100

// Breach is one broken invariant.
type Breach struct {
	// At is when it was seen.
	At time.Time
	// What tells what was broken, with the values.
	Message string
	// Trace holds the events before it, oldest first.
	Trace []string
}

// Checker collects events and breaches. A nil Checker is switched off: every
// method may be called on it and does nothing. The zero value is ready.
type Checker struct {
	mu       sync.Mutex
	trace    []string
	next     int
	breaches []Breach

	rates  ratesState
	seats  seatsState
	slots  slotsState
	shifts shiftsState
}

// Note adds an event to the trace.
func (c *Checker) Tracef(format string, args ...any) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note(format, args...)
}

// note adds an event. The caller holds mu.
func (c *Checker) note(format string, args ...any) {
	line := time.Now().UTC().Format("15:04:05.000000 ") + fmt.Sprintf(format, args...)
	if len(c.trace) < traceLength {
		c.trace = append(c.trace, line)
		return
	}
	c.trace[c.next] = line
	c.next = (c.next + 1) % traceLength
}

// breach records a broken invariant. The caller holds mu.
func (c *Checker) breach(format string, args ...any) {
	what := fmt.Sprintf(format, args...)
	c.note("BREACH %s", what)
	if len(c.breaches) >= maxBreaches {
		return
	}
	c.breaches = append(c.breaches, Breach{At: time.Now(), Message: what, Trace: c.events()})
}

// events returns the trace, oldest first. The caller holds mu.
func (c *Checker) events() []string {
	all := append([]string(nil), c.trace[c.next:]...)
	return append(all, c.trace[:c.next]...)
}

// Breaches returns the broken invariants in the order in which they were seen.
func (c *Checker) Breaches() []Breach {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Breach(nil), c.breaches...)
}

// Events returns the trace of the last events, oldest first.
func (c *Checker) Events() []string {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.events()
}

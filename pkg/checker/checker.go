// Package checker verifies invariants across all hosts that run in one process, as
// in tests, simulations and the demo. The hosts' components report what they do to
// one Checker, which records a Breach for each violation. Breaches returns them;
// each holds a trace of the events before it.
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

// Breach is one violation of an invariant.
type Breach struct {
	// At is the time of detection.
	At time.Time
	// Message says what was violated, with the values.
	Message string
	// Trace holds the events before it, oldest first.
	Trace []string
}

// Checker collects events and breaches. The zero value is ready for use. On a nil
// Checker every method does nothing. It is safe for concurrent use.
type Checker struct {
	mu        sync.Mutex
	trace     []string
	traceNext int
	breaches  []Breach

	rates  rateChecks
	seats  seatChecks
	slots  slotChecks
	shifts shiftChecks
}

// Tracef adds an event to the trace.
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
	c.trace[c.traceNext] = line
	c.traceNext = (c.traceNext + 1) % traceLength
}

// breach records a violation. The caller holds mu.
func (c *Checker) breach(format string, args ...any) {
	message := fmt.Sprintf(format, args...)
	c.note("BREACH %s", message)
	if len(c.breaches) >= maxBreaches {
		return
	}
	c.breaches = append(c.breaches, Breach{At: time.Now(), Message: message, Trace: c.events()})
}

// events returns the trace, oldest first. The caller holds mu.
func (c *Checker) events() []string {
	all := append([]string(nil), c.trace[c.traceNext:]...)
	return append(all, c.trace[:c.traceNext]...)
}

// Breaches returns the first maxBreaches violations, in the order of detection.
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

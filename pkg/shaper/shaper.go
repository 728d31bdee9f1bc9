// Package shaper limits the rate of bytes that this host sends to other regions, so
// that relayed requests leave bandwidth on the links that all traffic shares. A
// caller checks new requests with Check and calls Wait before each send.
package shaper

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

const (
	// burstTime is the size of a burst, as a time at the full rate.
	burstTime = 20 * time.Millisecond
	// maxBacklog is the backlog above which new requests are refused, as a time
	// at the full rate.
	maxBacklog = 250 * time.Millisecond
)

// Shaper grants permission to send bytes, in the order in which Wait is called. In
// any time t it grants at most rate·t bytes plus a burst. The zero value is
// unlimited. Its methods may be called concurrently.
type Shaper struct {
	total atomic.Int64

	mu sync.Mutex
	// rate is in bytes a second; zero means unlimited.
	rate int64
	// busyUntil is when all granted bytes have been sent at the rate.
	busyUntil time.Time
}

// SetRate sets the limit in bytes a second. Zero means unlimited.
func (s *Shaper) SetRate(bytesPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = bytesPerSecond
}

// Wait blocks until n bytes may be sent, or returns ctx's error when ctx ends
// before. The bytes count as sent in both cases.
func (s *Shaper) Wait(ctx context.Context, n int) error {
	s.total.Add(int64(n))
	delay := s.reserve(n)
	if delay <= 0 {
		return nil
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve grants n bytes and returns the delay before they may be sent, which may
// be negative.
func (s *Shaper) reserve(n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate <= 0 {
		return 0
	}
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(n) / float64(s.rate) * float64(time.Second)))
	return s.busyUntil.Sub(now) - burstTime
}

// Check returns a refusal while the granted bytes take longer than maxBacklog to
// send, else nil. Its RetryAfter is the time until the backlog is short enough.
func (s *Shaper) Check() *refusal.Refusal {
	s.mu.Lock()
	backlog := time.Until(s.busyUntil)
	s.mu.Unlock()
	if backlog <= maxBacklog {
		return nil
	}
	return refusal.Unavailable(refusal.CodeLinkFull,
		fmt.Sprintf("the link to other regions is full for %d ms", backlog.Milliseconds()), backlog-maxBacklog)
}

// TotalBytes returns the number of bytes for which Wait has been called.
func (s *Shaper) TotalBytes() int64 { return s.total.Load() }

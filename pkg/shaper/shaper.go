// Package shaper bounds the bytes that this host sends to other regions, so
// that relayed requests leave room on the links that all traffic shares.
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
	// burst is how much may go out at once, as a time at the full rate.
	burst = 20 * time.Millisecond
	// maxBacklog is the wait above which new requests are refused.
	maxBacklog = 250 * time.Millisecond
)

// Shaper hands out the right to send bytes, in the order in which it is asked.
// In any time t it grants at most rate·t bytes and a burst.
// The zero value has no bound. Its methods may be called from several
// goroutines.
type Shaper struct {
	total atomic.Int64

	mu sync.Mutex
	// rate is in bytes a second; zero means no bound.
	rate int64
	// free is when all bytes that were granted have gone out at the rate.
	free time.Time
}

// SetRate sets the bound, in bytes a second. Zero means no bound.
func (s *Shaper) SetRate(bytesPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = bytesPerSecond
}

// Wait returns once n bytes may be sent, or with ctx's error. Bytes granted to
// a wait that ends early count as sent.
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

// reserve grants n bytes and returns how long to wait before sending them.
func (s *Shaper) reserve(n int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate <= 0 {
		return 0
	}
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(float64(n) / float64(s.rate) * float64(time.Second)))
	return s.free.Sub(now) - burst
}

// Check refuses a new request while what was granted takes too long to go out.
func (s *Shaper) Check() *refusal.Refusal {
	s.mu.Lock()
	backlog := time.Until(s.free)
	s.mu.Unlock()
	if backlog <= maxBacklog {
		return nil
	}
	return refusal.Unavailable(refusal.CodeLinkFull,
		fmt.Sprintf("the link to other regions is full for %d ms", backlog.Milliseconds()), backlog-maxBacklog)
}

// Total returns the number of bytes that were asked for so far.
func (s *Shaper) TotalBytes() int64 { return s.total.Load() }

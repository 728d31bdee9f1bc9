package slotter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The intervals of Run and of draining.
const (
	// roundInterval is the time between rounds when no borrowed slot is idle.
	roundInterval = 200 * time.Millisecond
	// drainPollInterval is the time between checks of whether a drain is complete.
	drainPollInterval = 10 * time.Millisecond
)

// Run returns idle borrowed slots, expires lent loans and raises limits once
// their delay has passed, until ctx ends. It may be called once.
func (s *Slotter) Run(ctx context.Context) {
	defer close(s.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		wait := s.runRound(ctx, &wg)
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-s.wakeRun:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
			s.returnIdleLoans(0)
			s.sendReturns(ctx, &wg)
			return
		}
	}
}

// Done is closed when Run has returned.
func (s *Slotter) Done() <-chan struct{} { return s.done }

// runRound does one round and returns the time until the next one.
func (s *Slotter) runRound(ctx context.Context, wg *sync.WaitGroup) time.Duration {
	now := time.Now()
	s.mu.Lock()
	if !s.nextChangeAt.IsZero() && !now.Before(s.nextChangeAt) {
		s.setLimits()
	}
	s.mu.Unlock()
	s.expireLentLoans(now)
	idleTimeout := max(s.cfg.LoanIdleTimeout, 0)
	idle := s.returnIdleLoans(idleTimeout)
	s.sendReturns(ctx, wg)
	if idle {
		return idleTimeout
	}
	return roundInterval
}

// returnIdleLoans queues the return of slots that have been idle for idleTimeout,
// and reports whether any idle slot is left.
func (s *Slotter) returnIdleLoans(idleTimeout time.Duration) bool {
	now := time.Now()
	idleLeft := false
	for t, p := range s.pools.Load().byTarget {
		for _, l := range p.removeIdle(now, idleTimeout) {
			s.queueReturn(t, l)
		}
		idleLeft = idleLeft || p.hasIdle()
	}
	return idleLeft
}

// ErrSlotsInUse is returned by Drain and DrainSeat if slots may still be in use
// when ctx ends. The seats concerned must then be released as unclean.
type ErrSlotsInUse struct {
	// InUse counts the slots that are in use or lent, and Quarantined the seats
	// whose previous holder may still have requests running at targets.
	InUse       int
	Quarantined int
}

// Error implements error.
func (e *ErrSlotsInUse) Error() string {
	return fmt.Sprintf("%d slots are still in use and %d seats are quarantined", e.InUse, e.Quarantined)
}

// Drain stops all use of slots: none is acquired or lent from then on. It returns
// nil once all slots are free and all loans are back, or *ErrSlotsInUse if ctx
// ends first.
func (s *Slotter) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.mu.Lock()
	for seat := range s.held {
		s.drainingSeats[seat] = true
	}
	s.setLimits()
	s.mu.Unlock()
	s.returnIdleLoans(0)
	return s.awaitUnused(ctx, func() *ErrSlotsInUse {
		s.returnIdleLoans(0)
		e := s.countInUse()
		for _, p := range s.pools.Load().byTarget {
			e.InUse += p.borrowedCount()
		}
		e.InUse += s.returns.unconfirmed()
		return e
	})
}

// DrainSeat stops the use of one seat's slots, while this host goes on with its
// other seats. It returns nil once the slots are free, so that the seat can be
// released as clean, or *ErrSlotsInUse if ctx ends first. The slots stay out of
// use until UndrainSeat.
func (s *Slotter) DrainSeat(ctx context.Context, seat ids.Seat) error {
	s.mu.Lock()
	s.drainingSeats[seat] = true
	s.setLimits()
	s.mu.Unlock()
	return s.awaitUnused(ctx, s.countInUse)
}

// UndrainSeat puts a drained seat's slots back into use.
func (s *Slotter) UndrainSeat(seat ids.Seat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.drainingSeats, seat)
	s.setLimits()
}

// countInUse counts the slots beyond the limits and the quarantined seats among
// those being drained.
func (s *Slotter) countInUse() *ErrSlotsInUse {
	var e ErrSlotsInUse
	for _, p := range s.pools.Load().byTarget {
		e.InUse += p.excess()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for seat := range s.drainingSeats {
		if now.Before(s.held[seat].quarantinedUntil) {
			e.Quarantined++
		}
	}
	return &e
}

// awaitUnused polls until countInUse returns zero counts.
func (s *Slotter) awaitUnused(ctx context.Context, countInUse func() *ErrSlotsInUse) error {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for {
		e := countInUse()
		if e.InUse == 0 && e.Quarantined == 0 {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return e
		}
	}
}

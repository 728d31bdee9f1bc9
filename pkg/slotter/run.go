package slotter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The times of Run's rounds.
const (
	// quietRound is the time between rounds when no borrowed slot is idle.
	quietRound = 200 * time.Millisecond
	// drainRound is the time between looks at what a stop waits for.
	drainRound = 10 * time.Millisecond
)

// Run hands back borrowed slots, ends loans, and raises limits whose waits are
// over, until ctx ends. It may be called once.
func (s *Slotter) Run(ctx context.Context) {
	defer close(s.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		wait := s.round(ctx, &wg)
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-s.kick:
			t.Stop()
		case <-ctx.Done():
			t.Stop()
			s.dropLoans(0)
			s.sendReturns(ctx, &wg)
			return
		}
	}
}

// Done is closed once Run has returned.
func (s *Slotter) Done() <-chan struct{} { return s.done }

// round does what is due and returns the time until the next round.
func (s *Slotter) round(ctx context.Context, wg *sync.WaitGroup) time.Duration {
	now := time.Now()
	s.mu.Lock()
	if !s.changesAt.IsZero() && !now.Before(s.changesAt) {
		s.setLimits()
	}
	s.mu.Unlock()
	s.expireLent(now)
	hold := max(s.cfg.LoanIdleTimeout, 0)
	idle := s.dropLoans(hold)
	s.sendReturns(ctx, wg)
	if idle {
		return hold
	}
	return quietRound
}

// dropLoans hands back what has been idle for a time, and reports whether any
// idle slot is left.
func (s *Slotter) dropLoans(hold time.Duration) bool {
	now := time.Now()
	left := false
	for t, p := range s.pools.Load().byTarget {
		for _, l := range p.dropIdle(now, hold) {
			s.handBack(t, l)
		}
		left = left || p.hasIdle()
	}
	return left
}

// ErrNotClean says that rights of a seat could still be in use when the wait
// for them ended, so that the seat must not be released as clean.
type ErrSlotsInUse struct {
	// InUse counts the slots that are filled or lent, and Resting the seats
	// whose holder before may still have requests at targets.
	InUse       int
	Quarantined int
}

// Error gives the numbers.
func (e *ErrSlotsInUse) Error() string {
	return fmt.Sprintf("%d slots are still in use and %d seats rest", e.InUse, e.Quarantined)
}

// Release stops the use of all rights: nothing is taken or lent any more. It
// returns nil once all slots are free and back, and *ErrNotClean when ctx ends
// before.
func (s *Slotter) Drain(ctx context.Context) error {
	s.stopping.Store(true)
	s.mu.Lock()
	for seat := range s.held {
		s.vacating[seat] = true
	}
	s.setLimits()
	s.mu.Unlock()
	s.dropLoans(0)
	return s.awaitClean(ctx, func() *ErrSlotsInUse {
		s.dropLoans(0)
		e := s.inUse()
		for _, p := range s.pools.Load().byTarget {
			e.InUse += p.loans()
		}
		e.InUse += s.returns.pending()
		return e
	})
}

// Vacate stops the use of one seat's rights while this host goes on with its
// other seats. It returns nil once they are free, so that the seat can be
// released as clean, and *ErrNotClean when ctx ends before. The rights stay out
// of use until Keep.
func (s *Slotter) DrainSeat(ctx context.Context, seat ids.Seat) error {
	s.mu.Lock()
	s.vacating[seat] = true
	s.setLimits()
	s.mu.Unlock()
	return s.awaitClean(ctx, s.inUse)
}

// Keep takes a Vacate back.
func (s *Slotter) UndrainSeat(seat ids.Seat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.vacating, seat)
	s.setLimits()
}

// inUse counts what is over the limits, and the seats given up that rest.
func (s *Slotter) inUse() *ErrSlotsInUse {
	var e ErrSlotsInUse
	for _, p := range s.pools.Load().byTarget {
		e.InUse += p.excess()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for seat := range s.vacating {
		if now.Before(s.held[seat].restsUntil) {
			e.Quarantined++
		}
	}
	return &e
}

// awaitClean waits until look finds nothing.
func (s *Slotter) awaitClean(ctx context.Context, look func() *ErrSlotsInUse) error {
	t := time.NewTicker(drainRound)
	defer t.Stop()
	for {
		e := look()
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

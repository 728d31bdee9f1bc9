// Package slotter limits the concurrent requests to each target across the fleet.
// A target's slots are split over the seats of its region. A host uses the slots
// of the seats that it holds, and borrows single slots from other hosts of the
// region while its own are in use. Over all hosts, the usable slots of a target
// never exceed the configured number.
//
// Callers create a Slotter with New, feed it with Configure and SetTable, and
// start Run. They call TryAcquire before each request and release the Permit
// afterwards; RequestLoan borrows a slot when none is free. Drain stops all use
// before the host releases its seats.
package slotter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Durations of loans and of configuration changes.
const (
	// propagationTime is how long other hosts may still use the previous
	// configuration or seat table after this host has applied a new one.
	propagationTime = fencer.TTL + fencer.ClockMargin
	// loanStartWindow is how long a borrower may start requests on a borrowed slot,
	// counted from its request for the loan. Each request then has the service's
	// timeout.
	loanStartWindow = 500 * time.Millisecond
	// DefaultLoanIdleTimeout is the default of Config.LoanIdleTimeout. It is short
	// because requests at the lender may be waiting for the slot.
	DefaultLoanIdleTimeout = time.Millisecond
	// borrowTimeout bounds the wait for one lender's reply.
	borrowTimeout = 250 * time.Millisecond
	// returnTimeout bounds the sending of one batch of returns.
	returnTimeout = time.Second
)

// Lease is the serving lease of this host.
type Lease interface {
	// Check returns nil while the serving lease is valid.
	Check() *refusal.Refusal
}

// LenderClient sends borrow and return requests to lending hosts.
type LenderClient interface {
	Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error
}

// Config configures a Slotter. Self and Lease are required.
type Config struct {
	// Self is this host's instance ID.
	Self ids.Instance
	// Lease must be valid for any slot to be acquired or lent.
	Lease Lease
	// Lenders sends requests to the other hosts; if nil, nothing is borrowed.
	Lenders LenderClient
	// Hosts returns the states of all known hosts; may be nil.
	Hosts func() []*peerpb.HostState
	// Usable reports whether a target may receive requests; nil means all may.
	Usable func(t ids.Target) bool
	// OnSlotsFreed is called without locks held when slots of a service become free
	// other than by Permit.Release; may be nil.
	OnSlotsFreed func(svc ids.Service)
	// LoanIdleTimeout is how long an idle borrowed slot is kept. Zero means
	// DefaultLoanIdleTimeout; a negative value returns the slot at once.
	LoanIdleTimeout time.Duration
	// Checker, if not nil, verifies the slots across all hosts of the process.
	Checker *checker.Checker
}

// Slotter manages this host's slots. It is safe for concurrent use.
type Slotter struct {
	cfg     Config
	done    chan struct{}
	wakeRun chan struct{}

	draining      atomic.Bool
	lastRequestID atomic.Uint64
	pools         atomic.Pointer[poolSet]

	// mu guards the inputs of the pools' limits.
	mu            sync.Mutex
	history       []layout
	held          map[ids.Seat]heldSeat
	drainingSeats map[ids.Seat]bool
	table         *seater.Table
	snap          *config.Snapshot
	nextChangeAt  time.Time
	// quarantinedUntil is when no host can still use a layout from before this host
	// started. Until then no slot is used.
	quarantinedUntil time.Time

	// lentMu guards lent, which maps each lent loan to its pool.
	lentMu sync.Mutex
	lent   map[loanKey]*pool

	returns  returnQueue
	backoffs backoffs
}

// poolSet is the immutable index of all pools.
type poolSet struct {
	byTarget  map[ids.Target]*pool
	byService map[ids.Service][]*pool
}

// New returns a Slotter without slots. It gets them by Configure and SetTable.
// Loans end and go back only while Run runs.
func New(cfg Config) *Slotter {
	if cfg.LoanIdleTimeout == 0 {
		cfg.LoanIdleTimeout = DefaultLoanIdleTimeout
	}
	if cfg.OnSlotsFreed == nil {
		cfg.OnSlotsFreed = func(ids.Service) {}
	}
	if cfg.Usable == nil {
		cfg.Usable = func(ids.Target) bool { return true }
	}
	s := &Slotter{
		cfg:           cfg,
		done:          make(chan struct{}),
		wakeRun:       make(chan struct{}, 1),
		drainingSeats: make(map[ids.Seat]bool),
		lent:          make(map[loanKey]*pool),
	}
	s.pools.Store(&poolSet{})
	return s
}

// SetOnSlotsFreed sets Config.OnSlotsFreed. It must be called before Configure.
func (s *Slotter) SetOnSlotsFreed(onFreed func(svc ids.Service)) { s.cfg.OnSlotsFreed = onFreed }

// SetUsable sets Config.Usable. It must be called before Configure.
func (s *Slotter) SetUsable(usable func(t ids.Target) bool) { s.cfg.Usable = usable }

// Permit allows one request to a target. It holds one slot until Release.
type Permit struct {
	slotter *Slotter
	pool    *pool
	// loan is the loan that the slot comes from, or nil for an own slot.
	loan     *loan
	released atomic.Bool
}

// Borrowed reports whether the slot is borrowed from another host.
func (p *Permit) Borrowed() bool { return p.loan != nil }

// Release frees the slot. It must be called only when the target can no longer be
// working on the request. Further calls do nothing.
func (p *Permit) Release() {
	if p.released.Swap(true) {
		return
	}
	p.pool.release(p.loan, time.Now())
	if p.loan != nil {
		p.slotter.wakeUp()
	}
}

// TryAcquire takes a free slot of the target, a borrowed one only if no own slot
// is free. It returns false if no slot is free, or if the lease is invalid or the
// host is draining.
func (s *Slotter) TryAcquire(t ids.Target) (*Permit, bool) {
	if !s.canAct() {
		return nil, false
	}
	p := s.pools.Load().byTarget[t]
	if p == nil {
		return nil, false
	}
	l, ok := p.tryAcquire(time.Now())
	if !ok {
		return nil, false
	}
	return &Permit{slotter: s, pool: p, loan: l}, true
}

// canAct reports whether the lease is valid and the host is not draining.
func (s *Slotter) canAct() bool {
	return !s.draining.Load() && s.cfg.Lease.Check() == nil
}

// Free returns the number of the target's slots that TryAcquire could take now.
func (s *Slotter) Free(t ids.Target) int {
	p := s.pools.Load().byTarget[t]
	if p == nil || s.draining.Load() {
		return 0
	}
	return p.free(time.Now())
}

// Usage is this host's capacity and load for one target.
type Usage struct {
	// Slots counts the slots that this host may use: its own that are not lent, and
	// the borrowed ones.
	Slots int
	// InFlight counts the slots in use.
	InFlight int
}

// Usage returns this host's usage of a target.
func (s *Slotter) Usage(t ids.Target) Usage {
	p := s.pools.Load().byTarget[t]
	if p == nil {
		return Usage{}
	}
	return p.usage()
}

// wakeUp makes Run start its next round at once.
func (s *Slotter) wakeUp() {
	select {
	case s.wakeRun <- struct{}{}:
	default:
	}
}

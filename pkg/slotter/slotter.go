// Package slotter holds this host's rights to the slots of upstreams. An
// upstream's slots are split over the seats of its region; a host uses those of
// the seats that it holds, and borrows single slots from the other hosts of the
// region while its own are busy. Over all hosts the rights to an upstream never
// add up to more than its slots.
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

// The times of rights and loans.
const (
	// spreadTime is how long another host may still act on what came before a
	// configuration or seat table that this host has applied.
	spreadTime = fencer.TTL + fencer.ClockMargin
	// loanWindow is how long a borrower may start requests on a borrowed slot,
	// from when it asked. Each request then has the service's time-out.
	loanWindow = 500 * time.Millisecond
	// DefaultIdleHold is how long a borrower keeps a slot that it does not use.
	DefaultLoanIdleTimeout = time.Millisecond
	// askTimeout bounds the wait for one lender's reply.
	askTimeout = 250 * time.Millisecond
	// returnTimeout bounds one message that hands slots back.
	returnTimeout = time.Second
)

// Lease is this host's serving lease.
type Lease interface {
	// Check returns nil while the serving lease is valid.
	Check() *refusal.Refusal
}

// Lenders carries messages to the hosts that lend.
type LenderClient interface {
	Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error
}

// Config holds what a Slotter needs. Self and Lease are required.
type Config struct {
	// Self is this host's instance.
	Self ids.Instance
	// Lease guards every slot that is taken or lent.
	Lease Lease
	// Lenders reaches the other hosts; nil means that nothing is borrowed.
	Lenders LenderClient
	// Hosts returns the states of all hosts that are known; it may be nil.
	Hosts func() []*peerpb.HostState
	// Usable reports whether a target may be given work; nil means that all may.
	Usable func(t ids.Target) bool
	// Freed is called without locks when slots of a service became free other
	// than by Right.Release; it may be nil.
	OnSlotsFreed func(svc ids.Service)
	// IdleHold is how long an unused borrowed slot is kept; zero takes the
	// default, and a negative value hands it back at once.
	LoanIdleTimeout time.Duration
	// Checker asserts the invariants of slots; nil switches it off.
	Checker *checker.Checker
}

// Slotter holds the rights. Its methods may be called from several goroutines.
type Slotter struct {
	cfg  Config
	done chan struct{}
	kick chan struct{}

	stopping atomic.Bool
	asks     atomic.Uint64
	pools    atomic.Pointer[poolSet]

	// mu guards what the pools' limits are computed from.
	mu        sync.Mutex
	history   []layout
	held      map[ids.Seat]heldSeat
	vacating  map[ids.Seat]bool
	table     *seater.Table
	snap      *config.Snapshot
	changesAt time.Time
	// unknownUntil is when a layout that this host never knew has gone.
	unknownUntil time.Time

	// lentMu guards lent, which finds the pool of each loan given.
	lentMu sync.Mutex
	lent   map[loanKey]*pool

	returns returnQueue
	denied  denials
}

// poolSet is the immutable index of all pools.
type poolSet struct {
	byTarget  map[ids.Target]*pool
	byService map[ids.Service][]*pool
}

// New returns a Slotter without rights. It holds some after Configure and
// SetTable, and lends and hands back while Run runs.
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
		cfg:      cfg,
		done:     make(chan struct{}),
		kick:     make(chan struct{}, 1),
		vacating: make(map[ids.Seat]bool),
		lent:     make(map[loanKey]*pool),
	}
	s.pools.Store(&poolSet{})
	return s
}

// SetFreed sets Config.Freed. It must be called before Configure.
func (s *Slotter) SetOnSlotsFreed(freed func(svc ids.Service)) { s.cfg.OnSlotsFreed = freed }

// SetUsable sets Config.Usable. It must be called before Configure.
func (s *Slotter) SetUsable(usable func(t ids.Target) bool) { s.cfg.Usable = usable }

// Right is the right to send one request to a target.
type Permit struct {
	s *Slotter
	p *pool
	// l is the loan that the right comes from, or nil for this host's own slot.
	l        *loan
	released atomic.Bool
}

// Borrowed reports whether the right comes from another host.
func (r *Permit) Borrowed() bool { return r.l != nil }

// Release gives the right back, once the target can no longer be working on the
// request. Further calls do nothing.
func (r *Permit) Release() {
	if r.released.Swap(true) {
		return
	}
	r.p.release(r.l, time.Now())
	if r.l != nil {
		r.s.wake()
	}
}

// Take takes a free slot of the target, a borrowed one only if no own is free.
// It reports false when none is free or this host may not act.
func (s *Slotter) TryAcquire(t ids.Target) (*Permit, bool) {
	if !s.mayAct() {
		return nil, false
	}
	p := s.pools.Load().byTarget[t]
	if p == nil {
		return nil, false
	}
	l, ok := p.take(time.Now())
	if !ok {
		return nil, false
	}
	return &Permit{s: s, p: p, l: l}, true
}

// mayAct reports whether this host holds its lease and is not stopping.
func (s *Slotter) mayAct() bool {
	return !s.stopping.Load() && s.cfg.Lease.Check() == nil
}

// Free returns the number of the target's slots that Take would give now.
func (s *Slotter) Free(t ids.Target) int {
	p := s.pools.Load().byTarget[t]
	if p == nil || s.stopping.Load() {
		return 0
	}
	return p.free(time.Now())
}

// Use is how this host's rights to a target stand.
type Usage struct {
	// Slots counts the slots that this host may fill: its own but those lent,
	// and those borrowed.
	Slots int
	// InFlight counts the slots that requests fill.
	InFlight int
}

// Use returns how the rights to a target stand.
func (s *Slotter) Usage(t ids.Target) Usage {
	p := s.pools.Load().byTarget[t]
	if p == nil {
		return Usage{}
	}
	return p.use()
}

// wake makes Run look at what is to be handed back.
func (s *Slotter) wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

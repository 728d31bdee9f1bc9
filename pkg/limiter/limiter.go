// Package limiter holds each workspace to its rate and burst over the whole
// fleet. The limit is split into shares that sit on seats; a host uses the
// shares of its seats and borrows from its peers what it lacks. At every
// instant the usable shares of all hosts add up to at most the limit, and no
// bucket holds more tokens than its share, so that a window of length t admits
// at most B + R·t requests.
package limiter

import (
	"context"
	"hash/maphash"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const (
	// shardCount is the number of shards that the buckets are spread over.
	shardCount = 32
	// tickInterval is the time between two rounds of planning.
	tickInterval = 100 * time.Millisecond
	// maxLoan bounds the time for which a loan may be asked or prolonged.
	maxLoan = 2 * time.Second
	// lenderMargin is how much later a loan ends at its lender.
	lenderMargin = 100 * time.Millisecond
	// spreadMargin is more than the time between two renewals of a lease and what
	// clocks differ by: a host that is that far behind still knows what it missed
	// can not be in full use.
	spreadMargin = 2500 * time.Millisecond
	// spreadTime is the time after which no host uses a revision that this host
	// has replaced.
	spreadTime = fencer.TTL + spreadMargin
)

// Lease tells whether this host may act.
type Lease interface {
	// Check returns nil while the serving lease is valid.
	Check() *refusal.Refusal
	// ValidUntil returns the end of the serving lease.
	ValidUntil() time.Time
}

// Lenders carries messages to the hosts that lend.
type LenderClient interface {
	Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error
}

// Config holds what a Limiter needs. All fields but Checker are required.
type Config struct {
	// Self is this host's instance.
	Self ids.Instance
	// Lease guards every admission and every loan.
	Lease Lease
	// Lenders reaches the other hosts.
	Lenders LenderClient
	// Hosts returns the states of all hosts that are known.
	Hosts func() []*peerpb.HostState
	// Checker, where set, asserts the limits over all hosts of the process.
	Checker *checker.Checker
}

// Limiter admits requests. Its methods may be called from several goroutines.
type Limiter struct {
	cfg     Config
	done    chan struct{}
	seed    maphash.Seed
	shards  [shardCount]shard
	returns returns

	// mu guards what the shares are computed from. A shard's lock may be taken
	// while it is held, never the other way round.
	mu        sync.Mutex
	history   history
	table     *seater.Table
	held      map[ids.Seat]heldSeat
	changesAt time.Time
	seen      map[ids.Instance]uint64
}

// shard holds a part of the buckets.
type shard struct {
	mu      sync.Mutex
	buckets map[ids.Workspace]*bucket
	// loans is the number of the last loan.
	loans uint64
	// closing is set once nothing may be lent or borrowed any more.
	closing bool
	// released is set once the host may give its seats up.
	released bool
	// limitWait bounds the wait for tokens.
	limitWait time.Duration
}

// New returns a Limiter that admits nothing until it has a configuration.
func New(cfg Config) *Limiter {
	l := &Limiter{
		cfg:  cfg,
		done: make(chan struct{}),
		seed: maphash.MakeSeed(),
		seen: make(map[ids.Instance]uint64),
	}
	for i := range l.shards {
		l.shards[i].buckets = make(map[ids.Workspace]*bucket)
		l.shards[i].limitWait = config.DefaultLimitWait
	}
	l.returns.send = l.sendReturns
	return l
}

func (l *Limiter) shard(ws ids.Workspace) *shard {
	return &l.shards[maphash.String(l.seed, string(ws))%shardCount]
}

// Admit takes one token of the workspace. It waits a bounded time for tokens of
// other hosts. The empty workspace is always admitted while the lease is valid.
// Its error is a *refusal.Refusal, or ctx's error.
func (l *Limiter) Admit(ctx context.Context, ws ids.Workspace) error {
	if ws == "" {
		return l.checkLease()
	}
	s := l.shard(ws)
	s.mu.Lock()
	b := s.buckets[ws]
	if s.released {
		s.mu.Unlock()
		return errLeaving()
	}
	if b == nil || !b.known {
		s.mu.Unlock()
		if err := l.checkLease(); err != nil {
			return err
		}
		return refusal.RateExceeded(0)
	}
	now := time.Now()
	if r := l.cfg.Lease.Check(); r != nil {
		s.mu.Unlock()
		return r
	}
	l.advance(b, now)
	b.demand.count++
	if len(b.waiters) == 0 && b.take() {
		l.cfg.Checker.RatesAdmit(ws, string(l.cfg.Self))
		s.mu.Unlock()
		return nil
	}
	return l.wait(ctx, s, b, now)
}

func (l *Limiter) checkLease() error {
	if r := l.cfg.Lease.Check(); r != nil {
		return r
	}
	return nil
}

// advance brings b to now. The caller holds its shard's lock.
func (l *Limiter) advance(b *bucket, now time.Time) {
	if b.advance(now, l.cfg.Lease.ValidUntil()) {
		l.tell(b)
	}
}

// Run plans loans until ctx ends. It may be called once.
func (l *Limiter) Run(ctx context.Context) {
	defer close(l.done)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.tick()
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed once Run has returned.
func (l *Limiter) Done() <-chan struct{} { return l.done }

// tick takes in what is known of the peers, raises shares whose waits are over
// and plans loans.
func (l *Limiter) tick() {
	begun := time.Now()
	l.refreshShares(begun)
	l.refreshPeers(begun)
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		// A loan may have ended while this waited for the lock.
		now := time.Now()
		for _, b := range s.buckets {
			l.advance(b, now)
			b.demand.update(now)
			l.plan(s, b, now)
			l.serve(s, b, now)
			l.tell(b)
		}
		s.mu.Unlock()
	}
}

// Reports returns what this host holds of each workspace's limit.
func (l *Limiter) WorkspaceReports() []*peerpb.WorkspaceReport {
	now := time.Now()
	var all []*peerpb.WorkspaceReport
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, b := range s.buckets {
			l.advance(b, now)
			if r := b.report(); r != nil && !s.closing {
				all = append(all, r)
			}
		}
		s.mu.Unlock()
	}
	return all
}

// report tells what the bucket could lend, or nil for nothing.
func (b *bucket) report() *peerpb.WorkspaceReport {
	if b.ownRate == 0 && b.demand.rate == 0 {
		return nil
	}
	return &peerpb.WorkspaceReport{
		Workspace: string(b.workspace),
		Tokens:    requests(b.lendable()),
		Rate:      requests(b.freeRate()),
		Demand:    b.demand.rate,
	}
}

// requests converts thousand-millionths of a request.
func requests(amount int64) float64 { return float64(amount) / float64(request) }

// Release hands back what was borrowed, lends nothing more, and returns once no
// loan of this host is out any more, or with ctx's error. The seats may be
// released only after it returned nil; from then on nothing is admitted here.
func (l *Limiter) Drain(ctx context.Context) error {
	for i := range l.shards {
		l.closeShard(&l.shards[i])
	}
	l.returns.flush()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for l.hasLent() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for i := range l.shards {
		l.shards[i].release()
	}
	return nil
}

// release refuses what waits and all that comes.
func (s *shard) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = true
	for _, b := range s.buckets {
		for _, w := range b.waiters {
			w.result <- errLeaving()
		}
		b.waiters = nil
	}
}

func errLeaving() *refusal.Refusal {
	return refusal.Unavailable(refusal.CodeLeaving, "this entry host is leaving", 0)
}

func (l *Limiter) closeShard(s *shard) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for _, b := range s.buckets {
		l.advance(b, now)
		for len(b.borrowed) > 0 {
			l.handBack(b, 0)
		}
		l.tell(b)
	}
}

func (l *Limiter) hasLent() bool {
	now := time.Now()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		out := false
		for _, b := range s.buckets {
			l.advance(b, now)
			out = out || len(b.lent) > 0
		}
		s.mu.Unlock()
		if out {
			return true
		}
	}
	return false
}

// tell gives the bucket's usable share to the checker. The caller holds the
// shard's lock.
func (l *Limiter) tell(b *bucket) {
	if l.cfg.Checker == nil {
		return
	}
	parts := []checker.Share{{Rate: b.freeRate(), Burst: b.freeBurst(), Until: b.validUntil}}
	for _, o := range b.borrowed {
		parts = append(parts, checker.Share{Rate: o.rate, Burst: o.burst, Until: o.end})
	}
	l.cfg.Checker.RatesShare(b.workspace, string(l.cfg.Self), b.tokens, parts)
}

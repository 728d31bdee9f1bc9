// Package limiter enforces each workspace's rate and burst across the fleet. A
// limit is split into shares, each assigned to a seat of the seat table. A host
// admits requests from the shares of the seats that it holds, and borrows from
// its peers when they do not suffice. At any instant the usable shares of all
// hosts add up to at most the limit, and no bucket holds more tokens than its
// burst. So any window of length t admits at most B + R·t requests.
//
// Callers create a Limiter with New, feed it with Configure and SetTable, start
// Run, and call Admit once for each request. Drain must return nil before the
// host's seats are released.
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
	// shardCount is the number of lock shards for the buckets.
	shardCount = 32
	// tickInterval is the time between planning rounds.
	tickInterval = 100 * time.Millisecond
	// maxLoanTTL is the longest lifetime of a loan, counted from its grant or
	// extension.
	maxLoanTTL = 2 * time.Second
	// lenderMargin is how much longer a loan counts at its lender than at its
	// borrower.
	lenderMargin = 100 * time.Millisecond
	// propagationMargin covers the time between two lease renewals and the clock
	// difference between hosts. A host that renewed no longer ago than this knows
	// that no other host has raised its shares to a revision that it missed.
	propagationMargin = 2500 * time.Millisecond
	// propagationTime is how long after this host replaces a revision other hosts
	// may still use it.
	propagationTime = fencer.TTL + propagationMargin
)

// Lease is the serving lease of this host.
type Lease interface {
	// Check returns nil while the serving lease is valid, else the refusal for the
	// caller.
	Check() *refusal.Refusal
	// ValidUntil returns the end of the serving lease.
	ValidUntil() time.Time
}

// LenderClient sends borrow and return requests to lending hosts.
type LenderClient interface {
	Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error
}

// Config configures a Limiter. All fields except Checker are required.
type Config struct {
	// Self is this host's instance ID.
	Self ids.Instance
	// Lease must be valid for any request to be admitted or any loan granted.
	Lease Lease
	// Lenders sends requests to the other hosts.
	Lenders LenderClient
	// Hosts returns the states of all known hosts.
	Hosts func() []*peerpb.HostState
	// Checker, if not nil, verifies the limits across all hosts of the process.
	Checker *checker.Checker
}

// Limiter admits requests within the workspaces' limits. It is safe for
// concurrent use.
type Limiter struct {
	cfg      Config
	done     chan struct{}
	hashSeed maphash.Seed
	shards   [shardCount]shard
	returns  returnQueue

	// mu guards the inputs of the shares. Lock order: mu before a shard's mu.
	mu           sync.Mutex
	history      history
	table        *seater.Table
	held         map[ids.Seat]heldSeat
	nextChangeAt time.Time
	peerSeqs     map[ids.Instance]uint64
}

// shard holds the buckets of some workspaces.
type shard struct {
	mu      sync.Mutex
	buckets map[ids.Workspace]*bucket
	// lastLoanID is the ID of the newest loan granted.
	lastLoanID uint64
	// draining is set once nothing may be lent or borrowed.
	draining bool
	// drained is set once the host may release its seats; nothing is admitted from
	// then on.
	drained bool
	// maxTokenWait bounds how long a request waits for a token.
	maxTokenWait time.Duration
}

// New returns a Limiter that admits nothing until Configure and SetTable were
// called.
func New(cfg Config) *Limiter {
	l := &Limiter{
		cfg:      cfg,
		done:     make(chan struct{}),
		hashSeed: maphash.MakeSeed(),
		peerSeqs: make(map[ids.Instance]uint64),
	}
	for i := range l.shards {
		l.shards[i].buckets = make(map[ids.Workspace]*bucket)
		l.shards[i].maxTokenWait = config.DefaultLimitWait
	}
	l.returns.send = l.sendReturns
	return l
}

func (l *Limiter) shard(ws ids.Workspace) *shard {
	return &l.shards[maphash.String(l.hashSeed, string(ws))%shardCount]
}

// Admit takes one token of the workspace, waiting up to the configured limit wait
// for tokens from other hosts. A request without a workspace is admitted whenever
// the lease is valid. The error is a *refusal.Refusal if the limit is exceeded, the
// lease is invalid or the host is drained, else ctx's error.
func (l *Limiter) Admit(ctx context.Context, ws ids.Workspace) error {
	if ws == "" {
		return l.checkLease()
	}
	s := l.shard(ws)
	s.mu.Lock()
	b := s.buckets[ws]
	if s.drained {
		s.mu.Unlock()
		return errHostLeaving()
	}
	if b == nil || !b.configured {
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
	b.demand.arrivals++
	if len(b.waiters) == 0 && b.takeOne() {
		l.cfg.Checker.RequestAdmitted(ws, string(l.cfg.Self))
		s.mu.Unlock()
		return nil
	}
	return l.waitForToken(ctx, s, b, now)
}

func (l *Limiter) checkLease() error {
	if r := l.cfg.Lease.Check(); r != nil {
		return r
	}
	return nil
}

// advance brings b up to now. The caller holds the shard's lock.
func (l *Limiter) advance(b *bucket, now time.Time) {
	if b.advance(now, l.cfg.Lease.ValidUntil()) {
		l.reportShare(b)
	}
}

// Run refreshes shares, plans loans and serves waiters every tickInterval until
// ctx ends. It may be called once.
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

// Done is closed when Run has returned.
func (l *Limiter) Done() <-chan struct{} { return l.done }

// tick reads the peers' states, applies shares whose delay has passed, and plans
// loans.
func (l *Limiter) tick() {
	started := time.Now()
	l.refreshShares(started)
	l.refreshPeers(started)
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		// A loan may have ended during the wait for the lock.
		now := time.Now()
		for _, b := range s.buckets {
			l.advance(b, now)
			b.demand.update(now)
			l.planLoans(s, b, now)
			l.serveWaiters(s, b, now)
			l.reportShare(b)
		}
		s.mu.Unlock()
	}
}

// WorkspaceReports returns this host's tokens, rate and demand for each
// workspace, to be sent to its peers. It leaves out workspaces with neither share
// nor demand.
func (l *Limiter) WorkspaceReports() []*peerpb.WorkspaceReport {
	now := time.Now()
	var all []*peerpb.WorkspaceReport
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, b := range s.buckets {
			l.advance(b, now)
			if r := b.report(); r != nil && !s.draining {
				all = append(all, r)
			}
		}
		s.mu.Unlock()
	}
	return all
}

// report returns what the bucket could lend, or nil if it has neither share nor
// demand.
func (b *bucket) report() *peerpb.WorkspaceReport {
	if b.ownRate == 0 && b.demand.rate == 0 {
		return nil
	}
	return &peerpb.WorkspaceReport{
		Workspace: string(b.workspace),
		Tokens:    toRequests(b.lendableTokens()),
		Rate:      toRequests(b.freeRate()),
		Demand:    b.demand.rate,
	}
}

// toRequests converts nano-requests to requests.
func toRequests(amount int64) float64 { return float64(amount) / float64(oneRequest) }

// Drain returns all borrowed loans, stops lending, and waits until every lent
// loan has come back or ended. It returns ctx's error if that takes longer. The
// seats may be released only after Drain returned nil; from then on Admit refuses
// all requests for a workspace.
func (l *Limiter) Drain(ctx context.Context) error {
	for i := range l.shards {
		l.drainShard(&l.shards[i])
	}
	l.returns.flush()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for l.hasLentLoans() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for i := range l.shards {
		l.shards[i].refuseAll()
	}
	return nil
}

// refuseAll refuses all waiters and all later requests.
func (s *shard) refuseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = true
	for _, b := range s.buckets {
		for _, w := range b.waiters {
			w.result <- errHostLeaving()
		}
		b.waiters = nil
	}
}

func errHostLeaving() *refusal.Refusal {
	return refusal.Unavailable(refusal.CodeLeaving, "this entry host is leaving", 0)
}

func (l *Limiter) drainShard(s *shard) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for _, b := range s.buckets {
		l.advance(b, now)
		for len(b.borrowed) > 0 {
			l.returnLoan(b, 0)
		}
		l.reportShare(b)
	}
}

func (l *Limiter) hasLentLoans() bool {
	now := time.Now()
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		found := false
		for _, b := range s.buckets {
			l.advance(b, now)
			found = found || len(b.lent) > 0
		}
		s.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}

// reportShare reports the bucket's usable share to the checker. The caller holds
// the shard's lock.
func (l *Limiter) reportShare(b *bucket) {
	if l.cfg.Checker == nil {
		return
	}
	parts := []checker.RateShare{{Rate: b.freeRate(), Burst: b.freeBurst(), Until: b.leaseValidUntil}}
	for _, loan := range b.borrowed {
		parts = append(parts, checker.RateShare{Rate: loan.rate, Burst: loan.burst, Until: loan.end})
	}
	l.cfg.Checker.RateShareChanged(b.workspace, string(l.cfg.Self), b.tokens, parts)
}

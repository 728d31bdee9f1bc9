package slotter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// How long a lender is not asked again after it had no slot to lend or did not
// reply.
const (
	noSlotBackoff = 2 * time.Millisecond
	errorBackoff  = time.Second
	// maxBackoffs bounds the number of remembered pairs of lender and service.
	maxBackoffs = 4096
)

// backoffs holds when each lender may be asked again for a service.
type backoffs struct {
	mu    sync.Mutex
	until map[backoffKey]time.Time
}

type backoffKey struct {
	lender  ids.Instance
	service ids.Service
}

func (b *backoffs) add(lender ids.Instance, svc ids.Service, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil || len(b.until) >= maxBackoffs {
		// Dropping all backoffs costs at most one extra request per lender and
		// service.
		b.until = make(map[backoffKey]time.Time)
	}
	b.until[backoffKey{lender, svc}] = until
}

func (b *backoffs) active(lender ids.Instance, svc ids.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[backoffKey{lender, svc}])
}

// RequestLoan borrows one slot of the target, or of another target of its service
// and region, from a host of the region. It returns true once TryAcquire can take
// the borrowed slot, and false if no host lends one. It blocks on requests to
// peers, so ctx should end when the slot is no longer wanted.
func (s *Slotter) RequestLoan(ctx context.Context, t ids.Target) bool {
	p := s.pools.Load().byTarget[t]
	if p == nil || s.cfg.Lenders == nil {
		return false
	}
	for _, lender := range s.lenders(p) {
		if ctx.Err() != nil || !s.canAct() {
			return false
		}
		if s.borrowFrom(ctx, lender, p) {
			return true
		}
	}
	return false
}

// borrowFrom requests a slot from one lender.
func (s *Slotter) borrowFrom(ctx context.Context, lender ids.Instance, p *pool) bool {
	p.mu.Lock()
	timeout := p.timeout
	p.mu.Unlock()
	l := &loan{lender: lender, requestID: s.lastRequestID.Add(1)}
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	reply, err := s.cfg.Lenders.Borrow(ctx, lender, &peerpb.BorrowRequest{
		Borrower:  string(s.cfg.Self),
		Lender:    string(lender),
		Target:    string(p.target),
		Slots:     1,
		TtlMs:     uint64((timeout + loanStartWindow) / time.Millisecond),
		AnyTarget: true,
		Ask:       l.requestID,
	})
	l.startDeadline = sent.Add(loanStartWindow)
	l.end = l.startDeadline.Add(timeout)
	if err != nil {
		// The lender may have granted the loan although no reply came.
		s.backoffs.add(lender, p.service, time.Now().Add(errorBackoff))
		s.queueReturn(p.target, l)
		return false
	}
	if reply.GetSlots() == 0 {
		s.backoffs.add(lender, p.service, time.Now().Add(noSlotBackoff))
		return false
	}
	lentPool := s.pools.Load().byTarget[ids.Target(reply.GetTarget())]
	if lentPool == nil || s.draining.Load() || !time.Now().Before(l.startDeadline) {
		s.queueReturn(ids.Target(reply.GetTarget()), l)
		return false
	}
	l.idleSince = time.Now()
	lentPool.addBorrowed(l)
	s.wakeUp()
	return true
}

// lenders returns the other hosts of the pool's region that may lend, those with
// the most free slots first.
func (s *Slotter) lenders(p *pool) []ids.Instance {
	free := s.freeSlots(p.service)
	now := time.Now()
	var all []ids.Instance
	s.mu.Lock()
	if s.table != nil {
		for _, seat := range s.table.Seats {
			if seat.Region == p.region && seat.Holder != "" && seat.Holder != s.cfg.Self &&
				!slices.Contains(all, seat.Holder) {
				all = append(all, seat.Holder)
			}
		}
	}
	s.mu.Unlock()
	all = slices.DeleteFunc(all, func(i ids.Instance) bool { return s.backoffs.active(i, p.service, now) })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b ids.Instance) int { return cmp.Compare(free[b], free[a]) })
	return all
}

// freeSlots returns each host's free slots of a service, as last reported.
func (s *Slotter) freeSlots(svc ids.Service) map[ids.Instance]int {
	free := make(map[ids.Instance]int)
	if s.cfg.Hosts == nil {
		return free
	}
	for _, h := range s.cfg.Hosts() {
		for _, r := range h.GetServices() {
			if r.GetService() == string(svc) {
				free[ids.Instance(h.GetInstance())] = int(r.GetSlots()) - int(r.GetInFlight()) - int(r.GetWaiting())
			}
		}
	}
	return free
}

// returnQueue holds the loans to be returned, by lender.
type returnQueue struct {
	mu       sync.Mutex
	pending  map[ids.Instance][]*pendingReturn
	inFlight map[ids.Instance]bool
}

type pendingReturn struct {
	target    ids.Target
	requestID uint64
	// lenderEnd is when the lender has ended the loan by itself.
	lenderEnd time.Time
}

// queueReturn queues a loan, which must no longer be in use, to be returned to
// its lender.
func (s *Slotter) queueReturn(t ids.Target, l *loan) {
	q := &s.returns
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = make(map[ids.Instance][]*pendingReturn)
		q.inFlight = make(map[ids.Instance]bool)
	}
	q.pending[l.lender] = append(q.pending[l.lender], &pendingReturn{target: t, requestID: l.requestID, lenderEnd: l.end})
	s.wakeUp()
}

// sendReturns sends the queued returns, one message for each lender.
func (s *Slotter) sendReturns(ctx context.Context, wg *sync.WaitGroup) {
	q := &s.returns
	q.mu.Lock()
	defer q.mu.Unlock()
	for lender, batch := range q.pending {
		if q.inFlight[lender] || len(batch) == 0 {
			continue
		}
		delete(q.pending, lender)
		q.inFlight[lender] = true
		wg.Go(func() { s.sendBatch(ctx, lender, batch) })
	}
}

func (s *Slotter) sendBatch(ctx context.Context, lender ids.Instance, batch []*pendingReturn) {
	r := &peerpb.ReturnRequest{Borrower: string(s.cfg.Self), Lender: string(lender)}
	for _, item := range batch {
		r.Loans = append(r.Loans, &peerpb.LoanReturn{Loan: item.requestID, Target: string(item.target), Slots: 1, Close: true})
	}
	// Returns are also sent while this host stops.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), returnTimeout)
	defer cancel()
	err := s.cfg.Lenders.Return(ctx, lender, r)
	q := &s.returns
	q.mu.Lock()
	delete(q.inFlight, lender)
	if err != nil {
		now := time.Now()
		batch = slices.DeleteFunc(batch, func(item *pendingReturn) bool { return now.After(item.lenderEnd) })
		q.pending[lender] = append(q.pending[lender], batch...)
	}
	more := err == nil && len(q.pending[lender]) > 0
	q.mu.Unlock()
	if more {
		s.wakeUp()
	}
}

// unconfirmed counts the returns that lenders have not confirmed.
func (q *returnQueue) unconfirmed() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.inFlight)
	for _, batch := range q.pending {
		n += len(batch)
	}
	return n
}

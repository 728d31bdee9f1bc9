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

// The back-off from lenders that had nothing to lend or did not answer.
const (
	deniedFor = 2 * time.Millisecond
	failedFor = time.Second
	// maxDenials bounds the lenders and services that are remembered.
	maxDenials = 4096
)

// denials remembers when each lender may be asked again for a service.
type denials struct {
	mu    sync.Mutex
	until map[denial]time.Time
}

type denial struct {
	lender  ids.Instance
	service ids.Service
}

func (d *denials) add(lender ids.Instance, svc ids.Service, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.until == nil || len(d.until) >= maxDenials {
		// Lenders come and go; to forget one costs an ask.
		d.until = make(map[denial]time.Time)
	}
	d.until[denial{lender, svc}] = until
}

func (d *denials) stands(lender ids.Instance, svc ids.Service, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.until[denial{lender, svc}])
}

// Ask borrows one slot of the target, or of another target of its service and
// region, from the hosts of the region. It reports true once a borrowed slot
// can be taken, and false when nobody lends one. It waits for messages, so ctx
// should end when the slot is no longer wanted.
func (s *Slotter) RequestLoan(ctx context.Context, t ids.Target) bool {
	p := s.pools.Load().byTarget[t]
	if p == nil || s.cfg.Lenders == nil {
		return false
	}
	for _, lender := range s.lenders(p) {
		if ctx.Err() != nil || !s.mayAct() {
			return false
		}
		if s.askOne(ctx, lender, p) {
			return true
		}
	}
	return false
}

// askOne asks one lender for a slot.
func (s *Slotter) askOne(ctx context.Context, lender ids.Instance, p *pool) bool {
	p.mu.Lock()
	timeout := p.timeout
	p.mu.Unlock()
	l := &loan{lender: lender, ask: s.asks.Add(1)}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := s.cfg.Lenders.Borrow(ctx, lender, &peerpb.BorrowRequest{
		Borrower:  string(s.cfg.Self),
		Lender:    string(lender),
		Target:    string(p.target),
		Slots:     1,
		TtlMs:     uint64((timeout + loanWindow) / time.Millisecond),
		AnyTarget: true,
		Ask:       l.ask,
	})
	l.startBy = asked.Add(loanWindow)
	l.end = l.startBy.Add(timeout)
	if err != nil {
		// The lender may have lent all the same.
		s.denied.add(lender, p.service, time.Now().Add(failedFor))
		s.handBack(p.target, l)
		return false
	}
	if reply.GetSlots() == 0 {
		s.denied.add(lender, p.service, time.Now().Add(deniedFor))
		return false
	}
	lentBy := s.pools.Load().byTarget[ids.Target(reply.GetTarget())]
	if lentBy == nil || s.stopping.Load() || !time.Now().Before(l.startBy) {
		s.handBack(ids.Target(reply.GetTarget()), l)
		return false
	}
	l.idleSince = time.Now()
	lentBy.addBorrowed(l)
	s.wake()
	return true
}

// lenders returns the other hosts of the pool's region that may lend, those
// with the most free slots first.
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
	all = slices.DeleteFunc(all, func(i ids.Instance) bool { return s.denied.stands(i, p.service, now) })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	slices.SortStableFunc(all, func(a, b ids.Instance) int { return cmp.Compare(free[b], free[a]) })
	return all
}

// freeSlots returns the free slots of a service by host, as last reported.
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

// returnQueue holds the loans that are to be handed back, by lender.
type returnQueue struct {
	mu      sync.Mutex
	waiting map[ids.Instance][]*handBack
	sending map[ids.Instance]bool
}

type handBack struct {
	target ids.Target
	ask    uint64
	// until is when the lender has taken the slot back by itself.
	until time.Time
}

// handBack queues a loan for its lender. Nothing may use it any more.
func (s *Slotter) handBack(t ids.Target, l *loan) {
	q := &s.returns
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[ids.Instance][]*handBack)
		q.sending = make(map[ids.Instance]bool)
	}
	q.waiting[l.lender] = append(q.waiting[l.lender], &handBack{target: t, ask: l.ask, until: l.end})
	s.wake()
}

// sendReturns sends each lender its loans, those of one lender in one message.
func (s *Slotter) sendReturns(ctx context.Context, wg *sync.WaitGroup) {
	q := &s.returns
	q.mu.Lock()
	defer q.mu.Unlock()
	for lender, batch := range q.waiting {
		if q.sending[lender] || len(batch) == 0 {
			continue
		}
		delete(q.waiting, lender)
		q.sending[lender] = true
		wg.Go(func() { s.sendReturn(ctx, lender, batch) })
	}
}

func (s *Slotter) sendReturn(ctx context.Context, lender ids.Instance, batch []*handBack) {
	r := &peerpb.ReturnRequest{Borrower: string(s.cfg.Self), Lender: string(lender)}
	for _, b := range batch {
		r.Loans = append(r.Loans, &peerpb.LoanReturn{Loan: b.ask, Target: string(b.target), Slots: 1, Close: true})
	}
	// What is handed back must arrive also when this host stops.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), returnTimeout)
	defer cancel()
	err := s.cfg.Lenders.Return(ctx, lender, r)
	q := &s.returns
	q.mu.Lock()
	delete(q.sending, lender)
	if err != nil {
		now := time.Now()
		batch = slices.DeleteFunc(batch, func(b *handBack) bool { return now.After(b.until) })
		q.waiting[lender] = append(q.waiting[lender], batch...)
	}
	more := err == nil && len(q.waiting[lender]) > 0
	q.mu.Unlock()
	if more {
		s.wake()
	}
}

// pending counts the loans that no lender has confirmed to have back.
func (q *returnQueue) pending() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.sending)
	for _, batch := range q.waiting {
		n += len(batch)
	}
	return n
}

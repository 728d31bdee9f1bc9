package limiter

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// loanPair is a lender and a borrower whose messages a test delivers by hand.
type loanPair struct {
	checker          *checker.Checker
	lender, borrower *Limiter
	requests         []sentRequest
	replies          []sentReply
	mu               sync.Mutex
	returns          []*peerpb.ReturnRequest
}

type sentRequest struct {
	r    *peerpb.BorrowRequest
	loan *borrowedLoan
	sent time.Time
}

type sentReply struct {
	sentRequest
	reply *peerpb.BorrowReply
}

func newLoanPair() *loanPair {
	p := &loanPair{checker: &checker.Checker{}}
	table := &seater.Table{Revision: 1, Seats: []seater.Seat{{Holder: "lender", Epoch: 1}}}
	newLimiter := func(id ids.Instance) *Limiter {
		l := New(Config{
			Self: id, Lease: &fixedLease{until: time.Now().Add(time.Hour)}, Checker: p.checker,
			Hosts: func() []*peerpb.HostState { return nil },
		})
		l.SetTable(id, table)
		l.Configure(snapshot(1, 1, config.Workspace{Name: "ws", Rate: 10, Burst: 8}))
		return l
	}
	p.lender, p.borrower = newLimiter("lender"), newLimiter("borrower")
	p.borrower.returns.send = func(_ ids.Instance, loans []*peerpb.LoanReturn) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.returns = append(p.returns, &peerpb.ReturnRequest{Borrower: "borrower", Lender: "lender", Loans: loans})
	}
	return p
}

// bucketOf returns a limiter's shard and bucket, advanced to now. No lock is
// needed, as nothing else runs.
func bucketOf(l *Limiter) (*shard, *bucket) {
	s := l.shard("ws")
	b := s.buckets["ws"]
	l.advance(b, time.Now())
	return s, b
}

// loanEvent is one event; do reports whether the event is possible now.
type loanEvent struct {
	name string
	do   func(p *loanPair) bool
}

var loanEvents = []loanEvent{
	{"request rate", func(p *loanPair) bool { return p.requestLoan(5*oneRequest, 0) }},
	{"request tokens", func(p *loanPair) bool { return p.requestLoan(0, 3*oneRequest) }},
	{"request an extension", (*loanPair).requestExtension},
	{"deliver a request", (*loanPair).deliverRequest},
	{"deliver a reply", (*loanPair).deliverReply},
	{"lose a reply", func(p *loanPair) bool {
		if len(p.replies) == 0 {
			return false
		}
		p.replies = p.replies[1:]
		return true
	}},
	{"return a loan", (*loanPair).returnLoan},
	{"deliver a return and keep it for another delivery", func(p *loanPair) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.returns) == 0 {
			return false
		}
		_, err := p.lender.Return(context.Background(), p.returns[0])
		p.returns = append(p.returns[1:], p.returns[0])
		return err == nil
	}},
	{"spend all tokens", (*loanPair).spendAll},
	{"wait", func(*loanPair) bool {
		time.Sleep(1100 * time.Millisecond)
		return true
	}},
}

func (p *loanPair) requestLoan(rate, tokens int64) bool {
	if len(p.requests) > 1 {
		return false
	}
	_, b := bucketOf(p.borrower)
	r := p.borrower.newBorrowRequest(b, "lender")
	r.Rate, r.Burst, r.Tokens = rate, tokens, tokens
	p.requests = append(p.requests, sentRequest{r: r, sent: time.Now()})
	return true
}

func (p *loanPair) requestExtension() bool {
	_, b := bucketOf(p.borrower)
	if len(b.borrowed) == 0 || len(p.requests) > 1 {
		return false
	}
	o := b.borrowed[0]
	r := p.borrower.newBorrowRequest(b, "lender")
	r.Extend = o.id
	p.requests = append(p.requests, sentRequest{r: r, loan: o, sent: time.Now()})
	return true
}

func (p *loanPair) deliverRequest() bool {
	if len(p.requests) == 0 {
		return false
	}
	q := p.requests[0]
	p.requests = p.requests[1:]
	reply, err := p.lender.Borrow(context.Background(), q.r)
	p.replies = append(p.replies, sentReply{q, reply})
	return err == nil
}

func (p *loanPair) deliverReply() bool {
	if len(p.replies) == 0 {
		return false
	}
	answer := p.replies[0]
	p.replies = p.replies[1:]
	s, b := bucketOf(p.borrower)
	if answer.loan != nil {
		p.borrower.handleExtension(b, answer.loan, answer.reply, nil, answer.sent)
		return true
	}
	p.borrower.acceptPlannedLoan(s, b, "lender", answer.reply, nil, answer.sent, time.Now())
	return true
}

func (p *loanPair) returnLoan() bool {
	_, b := bucketOf(p.borrower)
	if len(b.borrowed) == 0 {
		return false
	}
	p.borrower.returnLoan(b, 0)
	p.borrower.reportShare(b)
	time.Sleep(2 * returnBatchDelay)
	return true
}

// spendAll admits as many requests as both hosts have tokens for.
func (p *loanPair) spendAll() bool {
	for _, l := range []*Limiter{p.lender, p.borrower} {
		_, b := bucketOf(l)
		for b.takeOne() {
			p.checker.RequestAdmitted("ws", string(l.cfg.Self))
		}
		l.reportShare(b)
	}
	return true
}

// TestEveryOrderOfLoanEvents checks that no limit is exceeded in any order of up
// to five loan events between two hosts, starting after a request for a first
// loan was delivered and spending all tokens at the end.
func TestEveryOrderOfLoanEvents(t *testing.T) {
	const depth = 5
	synctest.Test(t, func(t *testing.T) {
		var path [depth]int
		runs := 0
		for {
			failed := runLoanEvents(t, path[:])
			runs++
			if t.Failed() {
				return
			}
			// All orders that continue after an impossible event are the same.
			i := min(failed, depth-1)
			clear(path[i+1:])
			for ; i >= 0; i-- {
				path[i]++
				if path[i] < len(loanEvents) {
					break
				}
				path[i] = 0
			}
			if i < 0 {
				t.Logf("%d orders", runs)
				return
			}
		}
	})
}

// runLoanEvents runs one order of events. It returns the index of the first
// impossible event, or the number of events.
func runLoanEvents(t *testing.T, path []int) int {
	p := newLoanPair()
	p.requestLoan(5*oneRequest, 0)
	p.deliverRequest()
	done := len(path)
	for i, n := range path {
		if !loanEvents[n].do(p) {
			done = i
			break
		}
	}
	p.spendAll()
	time.Sleep(3 * time.Second)
	p.spendAll()
	if b := p.checker.Breaches(); len(b) > 0 {
		for _, n := range path[:done] {
			t.Log(loanEvents[n].name)
		}
		t.Error(b[0].Message)
	}
	return done
}

func TestAdmitDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	l := newSingleHost(config.Workspace{Name: "ws", Rate: 1e6, Burst: 1e6})
	n := testing.AllocsPerRun(1000, func() {
		if err := l.Admit(context.Background(), "ws"); err != nil {
			t.Error(err)
		}
	})
	is.Equal(n, 0.0)
}

func TestSharesAddUpExactly(t *testing.T) {
	is := is.New(t)
	for _, w := range []config.Workspace{
		{Name: "a", Rate: 100, Burst: 50}, {Name: "b", Rate: 0.7, Burst: 1},
		{Name: "c", Rate: 33.3, Burst: 7}, {Name: "d", Rate: 1e5, Burst: 1e6},
	} {
		for seats := 1; seats < 30; seats++ {
			h := newSeatQuotas(&w, seats)
			var sum quota
			for n := range seats {
				a := h.seatQuota(ids.Seat(n))
				sum.rate += a.rate
				sum.burst += a.burst
			}
			is.Equal(sum, h.total)
		}
	}
}

func TestFencedHostLendsAndAdmitsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lease := &fixedLease{until: time.Now().Add(time.Second)}
		l := newSingleHost(config.Workspace{Name: "ws", Rate: 10, Burst: 8})
		l.cfg.Lease = lease
		r := &peerpb.BorrowRequest{Borrower: "b", Lender: "alone", Workspace: "ws", Tokens: oneRequest, TtlMs: 2000}
		reply, err := l.Borrow(t.Context(), r)
		is.NoErr(err)
		is.True(reply.GetTokens() > 0)
		is.True(time.Duration(reply.GetTtlMs())*time.Millisecond < time.Second) // ends before the lease
		time.Sleep(2 * time.Second)
		is.True(l.Admit(t.Context(), "ws") != nil)
		is.True(l.Admit(t.Context(), "") != nil)
		reply, err = l.Borrow(t.Context(), r)
		is.NoErr(err)
		is.Equal(reply.GetLoan(), uint64(0))
	})
}

func TestDrainWaitsForLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newLoanPair()
		p.requestLoan(5*oneRequest, 0)
		p.deliverRequest()
		p.deliverReply()
		is.NoErr(p.borrower.Drain(t.Context()))
		synctest.Wait()
		p.mu.Lock()
		is.Equal(len(p.returns), 1) // the borrower returns its loan
		p.mu.Unlock()
		started := time.Now()
		is.NoErr(p.lender.Drain(t.Context()))
		is.True(time.Since(started) > time.Second) // the return was never delivered
		is.True(p.lender.Admit(t.Context(), "ws") != nil)
		is.Equal(len(p.checker.Breaches()), 0)
	})
}

// TestReturnedLoanIsReportedBeforeLenderReusesIt guards against a false breach: a
// lender may reuse a returned loan as soon as the return is queued. If the
// borrower reported its smaller share only afterwards, the checker would count
// the loan twice.
func TestReturnedLoanIsReportedBeforeLenderReusesIt(t *testing.T) {
	is := is.New(t)
	check := &checker.Checker{}
	check.RateLimitApplied("ws", 1, oneRequest, 10*oneRequest)
	l := New(Config{Self: "borrower", Lease: &fakeHost{}, Checker: check})
	l.returns.send = func(ids.Instance, []*peerpb.LoanReturn) {} // The lender reuses the loan below.
	now := time.Now()
	b := newBucket("ws", now)
	b.addBorrowedLoan(&borrowedLoan{lender: "lender", id: 1, burst: 4 * oneRequest, end: now.Add(time.Minute)}, oneRequest)
	l.reportShare(b)
	l.returnLoan(b, 0)
	check.RateShareChanged("ws", "lender", 0, []checker.RateShare{{Rate: oneRequest, Burst: 10 * oneRequest, Until: now.Add(time.Minute)}})
	is.Equal(len(check.Breaches()), 0)
}

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

// loanWorld is a lender and a borrower whose messages a test delivers by hand.
type loanWorld struct {
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

func newLoanWorld() *loanWorld {
	w := &loanWorld{checker: &checker.Checker{}}
	table := &seater.Table{Revision: 1, Seats: []seater.Seat{{Holder: "lender", Epoch: 1}}}
	make1 := func(id ids.Instance) *Limiter {
		l := New(Config{
			Self: id, Lease: &steadyLease{until: time.Now().Add(time.Hour)}, Checker: w.checker,
			Hosts: func() []*peerpb.HostState { return nil },
		})
		l.SetTable(id, table)
		l.Configure(snapshot(1, 1, config.Workspace{Name: "ws", Rate: 10, Burst: 8}))
		return l
	}
	w.lender, w.borrower = make1("lender"), make1("borrower")
	w.borrower.returns.send = func(_ ids.Instance, loans []*peerpb.LoanReturn) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.returns = append(w.returns, &peerpb.ReturnRequest{Borrower: "borrower", Lender: "lender", Loans: loans})
	}
	return w
}

// bucket returns a limiter's bucket, brought to now. Nothing else runs.
func bucketOf(l *Limiter) (*shard, *bucket) {
	s := l.shard("ws")
	b := s.buckets["ws"]
	l.advance(b, time.Now())
	return s, b
}

// step is one event; it reports whether it can happen now.
type step struct {
	name string
	do   func(w *loanWorld) bool
}

var steps = []step{
	{"ask for rate", func(w *loanWorld) bool { return w.ask(5*request, 0) }},
	{"ask for tokens", func(w *loanWorld) bool { return w.ask(0, 3*request) }},
	{"ask to prolong", (*loanWorld).askToProlong},
	{"deliver a request", (*loanWorld).deliverRequest},
	{"deliver a reply", (*loanWorld).deliverReply},
	{"lose a reply", func(w *loanWorld) bool {
		if len(w.replies) == 0 {
			return false
		}
		w.replies = w.replies[1:]
		return true
	}},
	{"hand back", (*loanWorld).handBack},
	{"deliver a hand-back, which stays to be delivered again", func(w *loanWorld) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		if len(w.returns) == 0 {
			return false
		}
		_, err := w.lender.Return(context.Background(), w.returns[0])
		w.returns = append(w.returns[1:], w.returns[0])
		return err == nil
	}},
	{"spend all", (*loanWorld).spend},
	{"wait", func(*loanWorld) bool {
		time.Sleep(1100 * time.Millisecond)
		return true
	}},
}

func (w *loanWorld) ask(rate, tokens int64) bool {
	if len(w.requests) > 1 {
		return false
	}
	_, b := bucketOf(w.borrower)
	r := w.borrower.plannedRequest(b, "lender")
	r.Rate, r.Burst, r.Tokens = rate, tokens, tokens
	w.requests = append(w.requests, sentRequest{r: r, sent: time.Now()})
	return true
}

func (w *loanWorld) askToProlong() bool {
	_, b := bucketOf(w.borrower)
	if len(b.borrowed) == 0 || len(w.requests) > 1 {
		return false
	}
	o := b.borrowed[0]
	r := w.borrower.plannedRequest(b, "lender")
	r.Extend = o.number
	w.requests = append(w.requests, sentRequest{r: r, loan: o, sent: time.Now()})
	return true
}

func (w *loanWorld) deliverRequest() bool {
	if len(w.requests) == 0 {
		return false
	}
	q := w.requests[0]
	w.requests = w.requests[1:]
	reply, err := w.lender.Borrow(context.Background(), q.r)
	w.replies = append(w.replies, sentReply{q, reply})
	return err == nil
}

func (w *loanWorld) deliverReply() bool {
	if len(w.replies) == 0 {
		return false
	}
	p := w.replies[0]
	w.replies = w.replies[1:]
	s, b := bucketOf(w.borrower)
	if p.loan != nil {
		w.borrower.prolonged(b, p.loan, p.reply, nil, p.sent)
		return true
	}
	w.borrower.takePlanned(s, b, "lender", p.reply, nil, p.sent, time.Now())
	return true
}

func (w *loanWorld) handBack() bool {
	_, b := bucketOf(w.borrower)
	if len(b.borrowed) == 0 {
		return false
	}
	w.borrower.handBack(b, 0)
	w.borrower.tell(b)
	time.Sleep(2 * returnDelay)
	return true
}

// spend admits all that both hosts have tokens for.
func (w *loanWorld) spend() bool {
	for _, l := range []*Limiter{w.lender, w.borrower} {
		_, b := bucketOf(l)
		for b.take() {
			w.checker.RatesAdmit("ws", string(l.cfg.Self))
		}
		l.tell(b)
	}
	return true
}

// TestEveryOrderOfLoanEvents runs all orders of up to five events between two
// hosts, after a first loan was granted, and spends all at the end.
func TestEveryOrderOfLoanEvents(t *testing.T) {
	const depth = 5
	synctest.Test(t, func(t *testing.T) {
		var path [depth]int
		runs := 0
		for {
			failed := runLoan(t, path[:])
			runs++
			if t.Failed() {
				return
			}
			// What follows an event that can't happen is the same for all.
			i := min(failed, depth-1)
			clear(path[i+1:])
			for ; i >= 0; i-- {
				path[i]++
				if path[i] < len(steps) {
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

// runLoan runs one order and returns the index of the first event that can't
// happen, or the number of events.
func runLoan(t *testing.T, path []int) int {
	w := newLoanWorld()
	w.ask(5*request, 0)
	w.deliverRequest()
	done := len(path)
	for i, n := range path {
		if !steps[n].do(w) {
			done = i
			break
		}
	}
	w.spend()
	time.Sleep(3 * time.Second)
	w.spend()
	if b := w.checker.Breaches(); len(b) > 0 {
		for _, n := range path[:done] {
			t.Log(steps[n].name)
		}
		t.Error(b[0].What)
	}
	return done
}

func TestAdmitDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	l := newAlone(config.Workspace{Name: "ws", Rate: 1e6, Burst: 1e6})
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
			h := newHomes(&w, seats)
			var sum amounts
			for n := range seats {
				a := h.of(ids.Seat(n))
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
		lease := &steadyLease{until: time.Now().Add(time.Second)}
		l := newAlone(config.Workspace{Name: "ws", Rate: 10, Burst: 8})
		l.cfg.Lease = lease
		r := &peerpb.BorrowRequest{Borrower: "b", Lender: "alone", Workspace: "ws", Tokens: request, TtlMs: 2000}
		reply, err := l.Borrow(t.Context(), r)
		is.NoErr(err)
		is.True(reply.GetTokens() > 0)
		is.True(time.Duration(reply.GetTtlMs())*time.Millisecond < time.Second) // not past its lease
		time.Sleep(2 * time.Second)
		is.True(l.Admit(t.Context(), "ws") != nil)
		is.True(l.Admit(t.Context(), "") != nil)
		reply, err = l.Borrow(t.Context(), r)
		is.NoErr(err)
		is.Equal(reply.GetLoan(), uint64(0))
	})
}

func TestReleaseWaitsForLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newLoanWorld()
		w.ask(5*request, 0)
		w.deliverRequest()
		w.deliverReply()
		is.NoErr(w.borrower.Drain(t.Context()))
		synctest.Wait()
		w.mu.Lock()
		is.Equal(len(w.returns), 1) // the borrower hands back
		w.mu.Unlock()
		started := time.Now()
		is.NoErr(w.lender.Drain(t.Context()))
		is.True(time.Since(started) > time.Second) // the hand-back never came
		is.True(w.lender.Admit(t.Context(), "ws") != nil)
		is.Equal(len(w.checker.Breaches()), 0)
	})
}

// A lender that has its loan back at once, as it may beside load, uses it while the
// borrower no longer counts it.
func TestLoanIsToldBackBeforeItsLenderHasIt(t *testing.T) {
	is := is.New(t)
	check := &checker.Checker{}
	check.RatesLimit("ws", 1, request, 10*request)
	l := New(Config{Self: "borrower", Lease: &fakeHost{}, Checker: check})
	l.returns.send = func(ids.Instance, []*peerpb.LoanReturn) {} // The lender has it by the next lines.
	now := time.Now()
	b := newBucket("ws", now)
	b.borrow(&borrowedLoan{lender: "lender", number: 1, burst: 4 * request, end: now.Add(time.Minute)}, request)
	l.tell(b)
	l.handBack(b, 0)
	check.RatesShare("ws", "lender", 0, []checker.Share{{Rate: request, Burst: 10 * request, Until: now.Add(time.Minute)}})
	is.Equal(len(check.Breaches()), 0)
}

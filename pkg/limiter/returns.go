package limiter

import (
	"context"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// returnBatchDelay is how long returns are collected into one message.
const returnBatchDelay = 5 * time.Millisecond

// returnTimeout bounds the sending of one batch of returns.
const returnTimeout = time.Second

// returnQueue batches loan returns by lender. It has its own lock.
type returnQueue struct {
	send func(lender ids.Instance, loans []*peerpb.LoanReturn)

	mu             sync.Mutex
	pending        map[ids.Instance][]*peerpb.LoanReturn
	flushScheduled bool
}

// add queues the return of a whole loan, which must no longer be in use.
func (r *returnQueue) add(ws ids.Workspace, loan *borrowedLoan, burst, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[ids.Instance][]*peerpb.LoanReturn)
	}
	r.pending[loan.lender] = append(r.pending[loan.lender], &peerpb.LoanReturn{
		Loan:      loan.id,
		Workspace: string(ws),
		Burst:     burst,
		Tokens:    tokens,
		Close:     true,
	})
	if !r.flushScheduled {
		r.flushScheduled = true
		time.AfterFunc(returnBatchDelay, r.flush)
	}
}

// flush sends the queued returns.
func (r *returnQueue) flush() {
	r.mu.Lock()
	pending := r.pending
	r.pending = nil
	r.flushScheduled = false
	r.mu.Unlock()
	for lender, loans := range pending {
		go r.send(lender, loans)
	}
}

// sendReturns sends returns to one lender. It does not retry: a lost return costs
// only its tokens, and the lender takes the rate and burst back when the loan
// ends.
func (l *Limiter) sendReturns(lender ids.Instance, loans []*peerpb.LoanReturn) {
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	err := l.cfg.Lenders.Return(ctx, lender, &peerpb.ReturnRequest{
		Borrower: string(l.cfg.Self),
		Lender:   string(lender),
		Loans:    loans,
	})
	if err != nil {
		l.cfg.Checker.Tracef("limiter %s: returning loans to %s failed: %v; the lender reclaims them at their end", l.cfg.Self, lender, err)
	}
}

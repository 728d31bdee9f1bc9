package dispatcher

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The backoff between attempts to borrow a slot that found none.
const (
	minBorrowBackoff = 2 * time.Millisecond
	maxBorrowBackoff = 8 * time.Millisecond
)

// startBorrowers starts one borrowing goroutine per waiting request, up to
// Config.MaxBorrowers. The caller holds mu.
func (q *serviceQueue) startBorrowers() {
	for q.borrowers < min(q.waiters.Len(), q.d.cfg.MaxBorrowers) && q.d.ctx.Err() == nil {
		q.borrowers++
		q.d.borrowers.Go(q.runBorrower)
	}
}

// runBorrower borrows slots from other hosts until there are more borrowers than
// waiting requests. It also serves the queue on each attempt, so that waiters
// get a slot at a target that shed once its backoff has ended.
func (q *serviceQueue) runBorrower() {
	wait := minBorrowBackoff
	for {
		if t, ok := q.pickBorrowTarget(); ok && q.d.cfg.Slotter.RequestLoan(q.d.ctx, t) {
			wait = minBorrowBackoff
		} else {
			q.pause(wait)
			wait = min(2*wait, maxBorrowBackoff)
		}
		q.serve()
		if q.stopBorrower() {
			return
		}
	}
}

// pickBorrowTarget returns the target of which a slot should be borrowed, and
// false when no target is usable.
func (q *serviceQueue) pickBorrowTarget() (ids.Target, bool) {
	choice, ok := q.d.cfg.Picker.Pick(q.service, nil, func(ids.Target) bool { return true })
	return choice.Target, ok
}

// pause sleeps for d, or until Run ends.
func (q *serviceQueue) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-q.d.ctx.Done():
	}
}

// stopBorrower reports whether the calling borrower must end, because no waiting
// request is left for it or Run has ended. If so, it no longer counts.
func (q *serviceQueue) stopBorrower() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.borrowers <= q.waiters.Len() && q.d.ctx.Err() == nil {
		return false
	}
	q.borrowers--
	return true
}

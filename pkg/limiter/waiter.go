package limiter

import (
	"context"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// minRetryAfter is the smallest Retry-After of a refusal. It is also the time
// between probes, so a request that is retried after it can probe a peer.
const minRetryAfter = 250 * time.Millisecond

// waiter is a request that waits for a token.
type waiter struct {
	deadline time.Time
	// result receives one value: nil if the request is admitted.
	result chan error
}

// waitForToken queues a request, or refuses it if no token is expected in time.
// The caller holds the shard's lock, which waitForToken releases.
func (l *Limiter) waitForToken(ctx context.Context, s *shard, b *bucket, now time.Time) error {
	deadline := now.Add(s.maxTokenWait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if b.expectedTokens(deadline) < int64(len(b.waiters)+1)*oneRequest {
		if !b.canProbe(now) {
			r := refusal.RateExceeded(b.retryAfter())
			s.mu.Unlock()
			return r
		}
	}
	w := &waiter{deadline: deadline, result: make(chan error, 1)}
	b.waiters = append(b.waiters, w)
	l.serveWaiters(s, b, now)
	s.mu.Unlock()
	return l.awaitResult(ctx, s, b, w)
}

// awaitResult returns the waiter's result, a refusal at its deadline, or ctx's
// error.
func (l *Limiter) awaitResult(ctx context.Context, s *shard, b *bucket, w *waiter) error {
	t := time.NewTimer(time.Until(w.deadline))
	defer t.Stop()
	select {
	case err := <-w.result:
		return err
	case <-t.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return <-w.result
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)
	now := time.Now()
	l.advance(b, now)
	l.serveWaiters(s, b, now)
	if err := ctx.Err(); err != nil {
		return err
	}
	return refusal.RateExceeded(b.retryAfter())
}

// serveWaiters admits waiters while there are tokens, borrows for the others, and
// returns loans that are no longer needed. The caller holds the shard's lock and
// has advanced b to now.
func (l *Limiter) serveWaiters(s *shard, b *bucket, now time.Time) {
	if len(b.waiters) > 0 {
		l.admitWaiters(b)
	}
	if len(b.waiters) > 0 && !s.draining {
		l.borrowTokens(s, b, now)
	}
	if len(b.borrowed) > 0 {
		l.returnSpentLoans(b)
	}
	l.scheduleWake(s, b, now)
}

func (l *Limiter) admitWaiters(b *bucket) {
	if refused := l.cfg.Lease.Check(); refused != nil {
		for _, w := range b.waiters {
			w.result <- refused
		}
		b.waiters = nil
		return
	}
	n := 0
	for n < len(b.waiters) && b.takeOne() {
		l.cfg.Checker.RequestAdmitted(b.workspace, string(l.cfg.Self))
		b.waiters[n].result <- nil
		n++
	}
	b.waiters = slices.Delete(b.waiters, 0, n)
}

// returnSpentLoans returns the on-demand loans that no waiter needs.
func (l *Limiter) returnSpentLoans(b *bucket) {
	for i := 0; i < len(b.borrowed); {
		loan := b.borrowed[i]
		rest := b.capacity() - loan.burst
		if loan.planned || len(b.waiters) > 0 && (rest < oneRequest || b.tokens > rest) {
			i++
			continue
		}
		l.returnLoan(b, i)
	}
}

// scheduleWake sets the timer to the next time at which this host has a token or
// a peer can be asked, if requests are waiting.
func (l *Limiter) scheduleWake(s *shard, b *bucket, now time.Time) {
	if len(b.waiters) == 0 {
		return
	}
	delay := timeToAccrue(oneRequest-b.tokens, b.rate())
	if b.capacity() < oneRequest {
		delay = unboundedWait
	}
	for _, peer := range b.peers {
		wait := timeToAccrue(minLoanTokens-peer.tokens, peer.expectedRefill()) - now.Sub(peer.updatedAt)
		delay = min(delay, max(wait, peer.retryAt.Sub(now), minWakeDelay))
	}
	lastDeadline := b.waiters[len(b.waiters)-1].deadline
	if delay >= lastDeadline.Sub(now) {
		return
	}
	if b.timer != nil && b.timerAt.After(now) && !b.timerAt.After(now.Add(delay)) {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timerAt = now.Add(delay)
	b.timer = time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		l.advance(b, now)
		l.serveWaiters(s, b, now)
	})
}

// minWakeDelay is the shortest delay of the timer.
const minWakeDelay = 2 * time.Millisecond

// expectedTokens estimates the tokens that this host and its peers can provide by
// t.
func (b *bucket) expectedTokens(t time.Time) int64 {
	amount, _ := accrue(b.rate(), t.Sub(b.refilledAt), 0, b.maxAccrual(b.capacity()))
	total := b.tokens + amount
	for _, peer := range b.peers {
		if got := peer.tokensAt(t, peer.expectedRefill(), b.seatBurst); got >= minLoanTokens {
			total += got
		}
	}
	return total
}

// maxAccrual returns how much the waiters can draw from refills. Waiters spend
// each token at once, so capacity is no limit unless it is below one request.
func (b *bucket) maxAccrual(capacity int64) int64 {
	if capacity < oneRequest {
		return max(0, capacity-b.tokens)
	}
	return unboundedWait.Nanoseconds() * oneRequest / int64(time.Second)
}

// retryAfter returns the time after which a request is admitted if no others
// arrive. By then this host, or else every home seat, has refilled a whole token
// for it and for each waiter. Tokens reported by peers may be spent by then, so
// they do not shorten the wait.
func (b *bucket) retryAfter() time.Duration {
	ahead := int64(len(b.waiters))
	homeSeats := int64(max(b.homeSeats, 1))
	tokensPerSeat := time.Duration(1 + ahead/homeSeats)
	wait := tokensPerSeat * timeToAccrue(oneRequest*homeSeats, b.fleetRate)
	if b.capacity() >= oneRequest {
		wait = min(wait, timeToAccrue((ahead+1)*oneRequest-b.tokens, b.rate()))
	}
	return max(wait, minRetryAfter)
}

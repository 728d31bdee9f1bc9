package limiter

import (
	"context"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// minRetry is the least wait that a refusal names: after it this host may ask
// a peer again whatever it believes of it.
const minRetry = 250 * time.Millisecond

// waiter is one request that waits for a token.
type waiter struct {
	deadline time.Time
	// result gets one value: nil once the request is admitted.
	result chan error
}

// wait queues a request for a token, or refuses it when none can come in time.
// The caller holds the shard's lock, which wait releases.
func (l *Limiter) wait(ctx context.Context, s *shard, b *bucket, now time.Time) error {
	deadline := now.Add(s.limitWait)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if b.expected(deadline) < int64(len(b.waiters)+1)*request {
		if !b.mayProbe(now) {
			r := refusal.RateExceeded(b.retryAfter())
			s.mu.Unlock()
			return r
		}
	}
	w := &waiter{deadline: deadline, result: make(chan error, 1)}
	b.waiters = append(b.waiters, w)
	l.serve(s, b, now)
	s.mu.Unlock()
	return l.await(ctx, s, b, w)
}

// await returns the waiter's result, its refusal at its deadline, or ctx's error.
func (l *Limiter) await(ctx context.Context, s *shard, b *bucket, w *waiter) error {
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
	l.serve(s, b, now)
	if err := ctx.Err(); err != nil {
		return err
	}
	return refusal.RateExceeded(b.retryAfter())
}

// serve admits the waiters for whom there are tokens, asks peers for what the
// others lack, and hands back what is no longer needed. The caller holds the
// shard's lock and has advanced b to now.
func (l *Limiter) serve(s *shard, b *bucket, now time.Time) {
	if len(b.waiters) > 0 {
		l.admitWaiters(b)
	}
	if len(b.waiters) > 0 && !s.closing {
		l.ask(s, b, now)
	}
	if len(b.borrowed) > 0 {
		l.handBackSpent(b)
	}
	l.arm(s, b, now)
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
	for n < len(b.waiters) && b.take() {
		l.cfg.Checker.RatesAdmit(b.workspace, string(l.cfg.Self))
		b.waiters[n].result <- nil
		n++
	}
	b.waiters = slices.Delete(b.waiters, 0, n)
}

// handBackSpent returns the loans on demand that no waiter needs.
func (l *Limiter) handBackSpent(b *bucket) {
	for i := 0; i < len(b.borrowed); {
		o := b.borrowed[i]
		rest := b.capacity() - o.burst
		if o.planned || len(b.waiters) > 0 && (rest < request || b.tokens > rest) {
			i++
			continue
		}
		l.handBack(b, i)
	}
}

// arm sets the timer for the next token of this host's own, or the next time at
// which a peer can be asked, where requests wait.
func (l *Limiter) arm(s *shard, b *bucket, now time.Time) {
	if len(b.waiters) == 0 {
		return
	}
	wake := timeFor(request-b.tokens, b.rate())
	if b.capacity() < request {
		wake = forever
	}
	for _, v := range b.peers {
		wait := timeFor(minAsk-v.tokens, v.growth()) - now.Sub(v.at)
		wake = min(wake, max(wait, v.notBefore.Sub(now), minPause))
	}
	last := b.waiters[len(b.waiters)-1].deadline
	if wake >= last.Sub(now) {
		return
	}
	if b.timer != nil && b.timerAt.After(now) && !b.timerAt.After(now.Add(wake)) {
		return
	}
	if b.timer != nil {
		b.timer.Stop()
	}
	b.timerAt = now.Add(wake)
	b.timer = time.AfterFunc(wake, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		l.advance(b, now)
		l.serve(s, b, now)
	})
}

// minPause is the least time between two looks at what the peers may have.
const minPause = 2 * time.Millisecond

// expected returns the tokens that can be here at t, those of peers included.
func (b *bucket) expected(t time.Time) int64 {
	amount, _ := grown(b.rate(), t.Sub(b.at), 0, b.reach(b.capacity()))
	sum := b.tokens + amount
	for _, v := range b.peers {
		if got := v.tokensAt(t, v.growth(), b.seatBurst); got >= minAsk {
			sum += got
		}
	}
	return sum
}

// reach is what the waiters may draw from a bucket while they wait: each token
// is spent as it comes, so the capacity bounds only what is kept.
func (b *bucket) reach(capacity int64) int64 {
	if capacity < request {
		return max(0, capacity-b.tokens)
	}
	return forever.Nanoseconds() * request / int64(time.Second)
}

// retryAfter returns the time after which a request gets in if nobody comes
// meanwhile: by then this host, or else each home seat, has made a whole token
// for it and for each one that still waits here. What peers told of their tokens
// may be spent by now, so it makes the wait no shorter.
func (b *bucket) retryAfter() time.Duration {
	ahead := int64(len(b.waiters))
	homes := int64(max(b.homes, 1))
	rounds := time.Duration(1 + ahead/homes)
	wait := rounds * timeFor(request*homes, b.fleetRate)
	if b.capacity() >= request {
		wait = min(wait, timeFor((ahead+1)*request-b.tokens, b.rate()))
	}
	return max(wait, minRetry)
}

package limiter

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

// Configure puts a revision into force; an older or equal one is ignored. Lower
// shares apply at once. Higher shares apply when no host can still use the
// previous revision.
func (l *Limiter) Configure(snap *config.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.history); n > 0 && l.history[n-1].id >= snap.Revision {
		return
	}
	now := time.Now()
	r := newRevision(snap, now)
	for ws, q := range r.quotas {
		l.cfg.Checker.RateLimitApplied(ws, snap.Revision, q.total.rate, q.total.burst)
	}
	renewedAt := l.cfg.Lease.ValidUntil().Add(-fencer.TTL)
	l.history = l.history.add(r, now.Sub(renewedAt)).prune(now)
	l.ensureBuckets(r, snap.Document.Limits.LimitWait(), now)
	l.applyShares(now)
}

// ensureBuckets creates the buckets of new workspaces and marks those of removed
// ones. The caller holds mu.
func (l *Limiter) ensureBuckets(r *revision, wait time.Duration, now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.maxTokenWait = wait
		for _, b := range s.buckets {
			_, b.configured = r.quotas[b.workspace]
		}
		s.mu.Unlock()
	}
	for ws, q := range r.quotas {
		s := l.shard(ws)
		s.mu.Lock()
		b := s.buckets[ws]
		if b == nil {
			b = newBucket(ws, now)
			s.buckets[ws] = b
		}
		b.configured = true
		b.fleetRate = q.total.rate
		b.homeSeats = len(q.homeRanks)
		b.seatBurst = q.total.burst / int64(len(q.homeRanks))
		s.mu.Unlock()
	}
}

// SetTable applies a newer seat table. A seat that this host did not hold before
// starts without tokens, unless no host has ever held it.
func (l *Limiter) SetTable(self ids.Instance, t *seater.Table) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.table != nil && l.table.Revision >= t.Revision {
		return
	}
	now := time.Now()
	held := newHeldSeats(self, t, l.table, l.held, now)
	l.table = t
	kept := make(map[ids.Seat]heldSeat)
	for n, h := range held {
		if old, ok := l.held[n]; ok && old.epoch == h.epoch {
			kept[n] = h
		}
	}
	if len(kept) < len(l.held) {
		l.held = kept // Tokens of the lost seats must not fill the new ones.
		l.applyShares(now)
	}
	l.held = held
	l.applyShares(now)
}

// refreshShares applies shares once their delay has passed.
func (l *Limiter) refreshShares(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextChangeAt.IsZero() || now.Before(l.nextChangeAt) {
		return
	}
	l.history = l.history.prune(now)
	l.applyShares(now)
}

// applyShares recomputes the share of each bucket. The caller holds mu.
func (l *Limiter) applyShares(now time.Time) {
	if len(l.history) == 0 {
		return
	}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, b := range s.buckets {
			l.advance(b, now)
			own, initialTokens := l.ownShare(b.workspace, now)
			b.setOwnShare(own.rate, own.burst, initialTokens)
			l.reportShare(b)
			l.serveWaiters(s, b, now)
		}
		s.mu.Unlock()
	}
	for n, h := range l.held {
		h.unused = false
		l.held[n] = h
	}
	l.nextChangeAt = l.nextShareChange(now)
}

// ownShare returns the share of the seats that this host holds, and the initial
// tokens of those that no host held before. Such seats start full while the first
// configuration is in force. The caller holds mu.
func (l *Limiter) ownShare(ws ids.Workspace, now time.Time) (own quota, initialTokens int64) {
	first := len(l.history) == 1 && l.history[0].id <= 1
	for n, h := range l.held {
		if now.Before(h.quarantinedUntil) {
			continue
		}
		a := l.history.share(ws, n)
		own.rate += a.rate
		own.burst += a.burst
		if h.unused && first {
			initialTokens += a.burst
		}
	}
	return own, initialTokens
}

// nextShareChange returns the next time at which a share rises without an event,
// or zero. The caller holds mu.
func (l *Limiter) nextShareChange(now time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, h := range l.held {
		consider(h.quarantinedUntil)
	}
	if len(l.history) > 1 {
		consider(l.history[1].appliedAt.Add(propagationTime))
	}
	return next
}

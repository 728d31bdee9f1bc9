package balancer

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/pacer"
)

// limitTolerance is how far a target may get ahead of the limit that it names: in any 4 s it
// gets at most 5.2 times its rate and 4 requests, which leaves room for hosts that differ in
// time below 6 times its rate and 5 requests. coldTolerance is how far a cold target may get
// ahead of what it accepts: in any second it gets at most 1.2 times its rate and 3 requests.
var (
	limitTolerance = pacer.Tolerance{Time: 1200 * time.Millisecond, Requests: 3}
	coldTolerance  = pacer.Tolerance{Time: 200 * time.Millisecond, Requests: 2}
)

// maxLimitedRetryAfter bounds the retry delay of callers that wait for a permit, unless
// this host has none before.
const maxLimitedRetryAfter = 5 * time.Second

// ErrLimited means that every target that could take the request has a limit, and that
// this host may not send to any of them now.
type ErrLimited struct {
	// RetryAfter is the time until this host may send one more request.
	RetryAfter time.Duration
}

func (e *ErrLimited) Error() string { return "all eligible targets are at their limits" }

// shares returns this host's shares of the limits and cold rates of a pool's targets. The
// caller holds the pool's lock.
func (b *Balancer) shares(pl *pool) shares {
	s := shares{named: b.ownShare(), cold: b.ownShare()}
	if pl.hasShare {
		s.named = pl.share
	}
	return s
}

// shares are this host's shares of the limits that targets name and of cold rates.
type shares struct{ named, cold pacer.Share }

// ownShare returns this host's share of a limit where demand does not count.
func (b *Balancer) ownShare() pacer.Share {
	if s := b.share.Load(); s != nil {
		return *s
	}
	return pacer.ShareOf(pacer.Place{Members: 1}, []float64{1})
}

// targetLimits holds this host's permits for a target.
type targetLimits struct {
	// named holds the permits while the target names a limit, and warmUp those while it is
	// cold, which are numbered from warmUpOrigin on.
	named, warmUp pacer.Pacer
	warmUpOrigin  time.Time
	// promisedUntil is the time of the last permit that a rejected caller was told of, and
	// next that of the next one to tell, which is true for the shares nextShares.
	promisedUntil, next time.Time
	nextShares          shares
}

// ensureLimits creates the target's limits if it has none. The caller holds the pool's
// lock.
func (t *target) ensureLimits() *targetLimits {
	if t.limits == nil {
		t.limits = &targetLimits{
			named:  pacer.Pacer{Key: uint32(t.run), Tolerance: limitTolerance},
			warmUp: pacer.Pacer{Key: uint32(t.run), Tolerance: coldTolerance},
		}
	}
	return t.limits
}

// namesLimit reports whether the target names a limit. The caller holds the pool's lock.
func (t *target) namesLimit() bool { return t.namedRate() > 0 }

// namedRate returns the limit that the target names, 0 for none. The caller holds the
// pool's lock.
func (t *target) namedRate() ids.Rate {
	if t.limits == nil {
		return 0
	}
	return t.limits.named.Rate()
}

// hasPermit reports whether this host may send to the target now. The caller holds the
// pool's lock.
func (t *target) hasPermit(coldRate ids.Rate, s shares, now time.Time) bool {
	cold := t.cold(now) && coldRate > 0
	switch {
	case !cold && t.limits == nil:
		return true
	case !cold && !t.limits.named.Limited():
		t.limits = nil
		return true
	case !cold:
		coldRate = 0
	}
	l := t.ensureLimits()
	if cold && !l.warmUp.Limited() {
		l.warmUpOrigin = t.ColdUntil
	}
	l.warmUp.SetLimit(coldRate, l.warmUpOrigin, s.cold)
	return l.named.Available(now, s.named) && l.warmUp.Available(now, s.cold)
}

// takePermit uses this host's permits for one request. The caller holds the pool's lock.
func (t *target) takePermit() {
	if t.limits == nil {
		return
	}
	t.limits.named.Take()
	t.limits.warmUp.Take()
}

// nextPermit returns the time until this host may send one more request to one of the
// targets, which have limits. Each call returns another permit, as far as they are due
// soon. The caller holds the lock.
func (pl *pool) nextPermit(limited []*target, s shares, now time.Time) time.Duration {
	best := slices.MinFunc(limited, func(a, b *target) int { return a.nextPermit(s, now).Compare(b.nextPermit(s, now)) })
	next := best.nextPermit(s, now)
	wait := next.Sub(now)
	if wait <= maxLimitedRetryAfter {
		best.limits.promisedUntil, best.limits.next = next, time.Time{}
	}
	return wait
}

// nextPermit returns when the next permit for the target is due that no caller was told of.
// The caller holds the lock.
func (t *target) nextPermit(s shares, now time.Time) time.Time {
	l := t.limits
	if !l.next.Before(now) && l.nextShares == s {
		return l.next
	}
	after := now
	if l.promisedUntil.After(now) {
		after = l.promisedUntil
	}
	l.next, l.nextShares = t.permitAfter(after, s), s
	return l.next
}

// permitAfter returns when this host may send to the target after at. The caller holds the
// lock.
func (t *target) permitAfter(at time.Time, s shares) time.Time {
	l := t.limits
	if l.named.Limited() {
		at = dueAfter(&l.named, at, s.named)
	}
	if !l.warmUp.Limited() || !t.ColdUntil.After(at) {
		return at
	}
	warmUp := dueAfter(&l.warmUp, at, s.cold)
	if warmUp.After(t.ColdUntil) {
		return t.ColdUntil
	}
	return warmUp
}

// dueAfter returns when this host's next permit after at is due, or a later time than most
// callers wait if there is none for long.
func dueAfter(p *pacer.Pacer, at time.Time, s pacer.Share) time.Time {
	if next, ok := p.NextAfter(at, s); ok {
		return next
	}
	return at.Add(maxLimitedRetryAfter)
}

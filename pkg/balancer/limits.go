package balancer

import (
	"slices"
	"strconv"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/pacer"
	"gypsumbeam.example/gypsumbeam/pkg/reconciler"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

// Limit is what an answer tells about the rate that its target accepts from all hosts
// together.
type Limit struct {
	// Rate is the named rate, 0 if the answer names none.
	Rate ids.Rate
	// Ended means that the target has no limit. If it is false and Rate is 0, the answer
	// tells nothing.
	Ended bool
}

// hashRun returns the hash of a target's run.
func hashRun(t registrar.Target) reconciler.RunHash {
	return reconciler.RunHash(hasher.Sum32(string(t.ID) + "/" + strconv.FormatInt(t.StartMillis, 10)))
}

// SetShare sets this host's share of the rates of cold targets, and of the limits that
// targets name until SetServiceShare is called. It may be called often.
func (b *Balancer) SetShare(s pacer.Share) { b.share.Store(&s) }

// SetServiceShare sets this host's share of the limits that the targets of a service name.
// It is to be called often while LimitedServices lists the service.
func (b *Balancer) SetServiceShare(name ids.Service, s pacer.Share) {
	b.mu.RLock()
	pl := b.services[name]
	b.mu.RUnlock()
	if pl == nil {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.share, pl.hasShare = s, true
}

// LimitedServices returns the services some of whose targets name limits.
func (b *Balancer) LimitedServices() []ids.Service {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var all []ids.Service
	for name, pl := range b.services {
		pl.mu.Lock()
		pl.limited = slices.ContainsFunc(pl.targets, (*target).namesLimit)
		pl.hasShare = pl.hasShare && pl.limited
		if pl.limited {
			all = append(all, name)
		}
		pl.mu.Unlock()
	}
	return all
}

// Limits returns what to tell the other hosts about targets' limits in a round of
// messages.
func (b *Balancer) Limits() []reconciler.Observation { return b.limits.Due() }

// MergeLimits takes in what another host told about targets' limits.
func (b *Balancer) MergeLimits(all []reconciler.Observation) {
	for _, o := range all {
		if b.limits.Observe(o) {
			b.applyLimit(o.Run)
		}
	}
}

// Suspended tells that this process was suspended for d without noticing. Others may know
// of newer limits.
func (b *Balancer) Suspended(d time.Duration) {
	b.suspended.Add(int64(d))
	b.limits.Age(d)
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, pl := range b.services {
		pl.mu.Lock()
		for _, t := range pl.targets {
			b.updateLimit(pl, t)
		}
		pl.mu.Unlock()
	}
}

// suspendedTime returns the total of the times that Suspended was told.
func (b *Balancer) suspendedTime() time.Duration { return time.Duration(b.suspended.Load()) }

// applyLimit sets the limit of a target's run, if it is registered.
func (b *Balancer) applyLimit(run reconciler.RunHash) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	pl := b.poolByRun[run]
	if pl == nil {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, t := range pl.targets {
		if t.run != run {
			continue
		}
		before := t.namedRate()
		b.updateLimit(pl, t)
		if rate := t.namedRate(); rate != before && b.cfg.OnLimitHeard != nil {
			b.cfg.OnLimitHeard(t.ID, rate)
		}
	}
}

// updateLimit sets the limit of a target to the newest observation. The observation is read
// while the caller holds the pool's lock, so that an older one never replaces it.
func (b *Balancer) updateLimit(pl *pool, t *target) {
	o := b.limits.Get(t.run)
	if o.Rate == 0 && t.limits == nil {
		return
	}
	l := t.ensureLimits()
	if l.named.SetLimit(o.Rate, o.NamedAt, b.shares(pl).named) {
		l.promisedUntil, l.next = time.Time{}, time.Time{}
	}
}

// Run identifies the run of the target's process that was chosen.
func (c *Choice) Run() reconciler.RunHash { return c.target.run }

// ObserveLimit takes in what the target's answer tells about its limit. It is to be
// called before the answer is passed on. It returns the part of l that counts: an answer
// that was on its way while the target named a limit does not tell its end.
func (c *Choice) ObserveLimit(l Limit) Limit {
	if l.Rate == 0 && !l.Ended {
		return l
	}
	b := c.balancer
	sentAt := c.sentAt.Add(c.suspendedBefore - b.suspendedTime())
	if b.limits.ObserveAnswer(c.target.run, l.Rate, sentAt) {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		b.updateLimit(c.pool, c.target)
	} else if l.Ended && b.limits.Get(c.target.run).Rate > 0 {
		return Limit{}
	}
	return l
}

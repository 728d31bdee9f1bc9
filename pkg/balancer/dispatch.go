package balancer

import (
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Dispatch records that a request for an object was sent to a target. Target is the
// target's hash.
type Dispatch struct {
	Target uint32
	Object ObjectHash
}

// InFlight is the number of requests that a host has in flight at a target. Target is
// the target's hash.
type InFlight struct {
	Target uint32
	Count  int
}

// maxDispatches bounds the dispatches that a DispatchLog keeps. When it is exceeded,
// only the newest half is kept.
const maxDispatches = 1024

// DispatchLog holds the most recent dispatches, numbered from 0. The zero value is
// empty and ready for use, and its methods are safe for concurrent use.
type DispatchLog struct {
	mu      sync.Mutex
	entries []Dispatch
	// next is the number of the next dispatch.
	next uint64
}

// Add appends dispatches.
func (l *DispatchLog) Add(dispatches ...Dispatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, dispatches...)
	l.next += uint64(len(dispatches))
	if len(l.entries) > maxDispatches {
		l.entries = slices.Clone(l.entries[len(l.entries)-maxDispatches/2:])
	}
}

// Since returns the dispatches from number from on, limited to the last limit ones, and
// the number to continue from.
func (l *DispatchLog) Since(from uint64, limit int) ([]Dispatch, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.next - uint64(len(l.entries))
	from = max(from, first)
	if l.next-from > uint64(limit) {
		from = l.next - uint64(limit)
	}
	return slices.Clone(l.entries[from-first:]), l.next
}

// Dispatches returns this host's own dispatches from number from on, limited to the
// last limit ones, and the number to continue from.
func (b *Balancer) Dispatches(from uint64, limit int) ([]Dispatch, uint64) {
	return b.dispatches.Since(from, limit)
}

// InFlight returns the targets at which this host has requests in flight.
func (b *Balancer) InFlight() []InFlight {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var all []InFlight
	for _, pl := range b.services {
		pl.mu.Lock()
		for _, t := range pl.targets {
			if t.inFlight > 0 {
				all = append(all, InFlight{t.hash, t.inFlight})
			}
		}
		pl.mu.Unlock()
	}
	return all
}

// Merge takes in what was received from other hosts: the in-flight counts of a host
// group, which replace the previous ones of that group, and its new dispatches.
func (b *Balancer) Merge(group ids.HostGroup, inFlight []InFlight, dispatches []Dispatch) {
	now := time.Now()
	b.mu.RLock()
	defer b.mu.RUnlock()
	b.applyRemoteTotals(b.remote.replace(group, inFlight, now))
	b.applyRemoteTotals(b.remote.expire(now))
	for _, s := range dispatches {
		b.updateTarget(s.Target, func(pl *pool, t *target) { pl.recordUse(t, s.Object) })
	}
}

// applyRemoteTotals updates the remote in-flight counts of targets. The caller holds
// b.mu.
func (b *Balancer) applyRemoteTotals(totals map[uint32]int) {
	for hash, total := range totals {
		b.updateTarget(hash, func(_ *pool, t *target) { t.remoteInFlight = total })
	}
}

// updateTarget calls change for the target with the given hash, if there is one. The
// caller holds b.mu.
func (b *Balancer) updateTarget(hash uint32, change func(*pool, *target)) {
	pl := b.poolByTarget[hash]
	if pl == nil {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if t := pl.byHash[hash]; t != nil {
		change(pl, t)
	}
}

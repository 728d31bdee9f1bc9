package balancer

import (
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Start says that a target was sent a request for an object.
type Dispatch struct {
	Target uint32
	Object ObjectHash
}

// Running says how many requests a host has at a target.
type InFlight struct {
	Target uint32
	Count  int
}

// maxStarts bounds the starts that a StartLog keeps; beyond it, the older half goes.
const maxStarts = 1024

// StartLog holds the most recent starts, numbered from 0. The zero value is empty, and
// its methods may be called from several goroutines.
type DispatchLog struct {
	mu  sync.Mutex
	all []Dispatch
	// next is the number of the start that comes next.
	next uint64
}

// Add adds starts.
func (l *DispatchLog) Add(starts ...Dispatch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, starts...)
	l.next += uint64(len(starts))
	if len(l.all) > maxStarts {
		l.all = slices.Clone(l.all[len(l.all)-maxStarts/2:])
	}
}

// Since returns the starts from a number on, the last limit of them at most, and the
// number to go on from.
func (l *DispatchLog) Since(from uint64, limit int) ([]Dispatch, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.next - uint64(len(l.all))
	from = max(from, first)
	if l.next-from > uint64(limit) {
		from = l.next - uint64(limit)
	}
	return slices.Clone(l.all[from-first:]), l.next
}

// Starts returns this host's starts from a number on, at most limit of them,
// and the number to go on from.
func (p *Balancer) Dispatches(from uint64, limit int) ([]Dispatch, uint64) {
	return p.starts.Since(from, limit)
}

// Running returns the targets at which this host has requests.
func (p *Balancer) InFlight() []InFlight {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var all []InFlight
	for _, pl := range p.services {
		pl.mu.Lock()
		for _, t := range pl.targets {
			if t.inFlight > 0 {
				all = append(all, InFlight{t.short, t.inFlight})
			}
		}
		pl.mu.Unlock()
	}
	return all
}

// Absorb takes what was told of the requests of other hosts. The counts replace
// those that were told of the same scope before.
func (p *Balancer) Merge(scope ids.HostGroup, running []InFlight, starts []Dispatch) {
	now := time.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	p.applyChanges(p.told.replace(scope, running, now))
	p.applyChanges(p.told.expire(now))
	for _, s := range starts {
		p.update(s.Target, func(pl *pool, t *target) { pl.touch(t, s.Object) })
	}
}

// applyChanges takes over the new counts of targets. The caller holds p.mu.
func (p *Balancer) applyChanges(totals map[uint32]int) {
	for short, total := range totals {
		p.update(short, func(_ *pool, t *target) { t.told = total })
	}
}

// update changes one target, if it is known. The caller holds p.mu.
func (p *Balancer) update(short uint32, change func(*pool, *target)) {
	pl := p.byShort[short]
	if pl == nil {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if t := pl.byShort[short]; t != nil {
		change(pl, t)
	}
}

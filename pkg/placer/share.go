package placer

import (
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Start says that a target was sent a request for an object.
type Start struct {
	Target uint32
	Object Object
}

// Running says how many requests a host has at a target.
type Running struct {
	Target uint32
	Count  int
}

// maxStarts bounds the starts that a StartLog keeps; beyond it, the older half goes.
const maxStarts = 1024

// StartLog holds the most recent starts, numbered from 0. The zero value is empty, and
// its methods may be called from several goroutines.
type StartLog struct {
	mu  sync.Mutex
	all []Start
	// next is the number of the start that comes next.
	next uint64
}

// Add adds starts.
func (l *StartLog) Add(starts ...Start) {
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
func (l *StartLog) Since(from uint64, limit int) ([]Start, uint64) {
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
func (p *Placer) Starts(from uint64, limit int) ([]Start, uint64) {
	return p.starts.Since(from, limit)
}

// Running returns the targets at which this host has requests.
func (p *Placer) Running() []Running {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var all []Running
	for _, pl := range p.services {
		pl.mu.Lock()
		for _, t := range pl.targets {
			if t.inFlight > 0 {
				all = append(all, Running{t.short, t.inFlight})
			}
		}
		pl.mu.Unlock()
	}
	return all
}

// Absorb takes what was told of the requests of other hosts. The counts replace
// those that were told of the same scope before.
func (p *Placer) Absorb(scope ids.Scope, running []Running, starts []Start) {
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
func (p *Placer) applyChanges(totals map[uint32]int) {
	for short, total := range totals {
		p.update(short, func(_ *pool, t *target) { t.told = total })
	}
}

// update changes one target, if it is known. The caller holds p.mu.
func (p *Placer) update(short uint32, change func(*pool, *target)) {
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

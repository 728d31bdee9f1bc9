package slotter

import (
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// loanKey names a loan that this host gave.
type loanKey struct {
	borrower ids.Instance
	ask      uint64
}

// loan is one slot borrowed from another host.
type loan struct {
	lender ids.Instance
	ask    uint64
	// startBy is when the last request may start, and end when the last one
	// must have ended.
	startBy   time.Time
	end       time.Time
	used      bool
	idleSince time.Time
}

// pool holds this host's rights to one target.
type pool struct {
	self    ids.Instance
	target  ids.Target
	service ids.Service
	region  ids.Region
	checker *checker.Checker

	mu       sync.Mutex
	timeout  time.Duration
	limit    int
	inUse    int
	lent     map[loanKey]time.Time
	borrowed []*loan
}

// own returns the number of own slots that are free. The caller holds mu.
func (p *pool) own() int { return max(p.limit-p.inUse-len(p.lent), 0) }

func (p *pool) free(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.own()
	for _, l := range p.borrowed {
		if !l.used && now.Before(l.startBy) {
			n++
		}
	}
	return n
}

// take fills one slot and returns the loan that it comes from, if any.
func (p *pool) take(now time.Time) (*loan, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own() > 0 {
		p.inUse++
		p.tell()
		return nil, true
	}
	for _, l := range p.borrowed {
		if !l.used && now.Before(l.startBy) {
			l.used = true
			p.tell()
			return l, true
		}
	}
	return nil, false
}

func (p *pool) release(l *loan, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l == nil {
		p.inUse--
	} else {
		l.used = false
		l.idleSince = now
	}
	p.tell()
}

func (p *pool) use() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Slots: max(p.limit-len(p.lent), 0) + len(p.borrowed), InFlight: p.inFlight()}
}

// inFlight returns the number of filled slots. The caller holds mu.
func (p *pool) inFlight() int {
	n := p.inUse
	for _, l := range p.borrowed {
		if l.used {
			n++
		}
	}
	return n
}

// setLimit sets the number of own slots, and reports whether one became free.
func (p *pool) setLimit(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.own()
	p.limit = limit
	p.tell()
	return p.own() > before
}

// lend gives one own slot away until end.
func (p *pool) lend(k loanKey, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own() == 0 {
		return false
	}
	if p.lent == nil {
		p.lent = make(map[loanKey]time.Time)
	}
	p.lent[k] = end
	p.tell()
	return true
}

// takeBack ends a loan that this host gave.
func (p *pool) takeBack(k loanKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lent, k)
	p.tell()
}

// expire ends the loans given whose end has passed.
func (p *pool) expire(now time.Time) []loanKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ended []loanKey
	for k, end := range p.lent {
		if !now.Before(end) {
			ended = append(ended, k)
			delete(p.lent, k)
		}
	}
	if len(ended) > 0 {
		p.tell()
	}
	return ended
}

// addBorrowed takes in a slot that another host lent.
func (p *pool) addBorrowed(l *loan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrowed = append(p.borrowed, l)
	p.tell()
}

// dropIdle removes the borrowed slots that are unused since before the time
// given, or may start nothing more, and returns them.
func (p *pool) dropIdle(now time.Time, hold time.Duration) []*loan {
	p.mu.Lock()
	defer p.mu.Unlock()
	var dropped []*loan
	p.borrowed = slices.DeleteFunc(p.borrowed, func(l *loan) bool {
		drop := !l.used && (now.Sub(l.idleSince) >= hold || !now.Before(l.startBy))
		if drop {
			dropped = append(dropped, l)
		}
		return drop
	})
	if len(dropped) > 0 {
		p.tell()
	}
	return dropped
}

// loans counts the borrowed slots.
func (p *pool) loans() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.borrowed)
}

// hasIdle reports whether a borrowed slot is unused.
func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.borrowed, func(l *loan) bool { return !l.used })
}

// excess returns the number of slots filled or lent over the limit, where none
// is in excess when limit is at least their sum.
func (p *pool) excess() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.inUse+len(p.lent)-p.limit, 0)
}

// tell reports the rights to the checker. The caller holds mu.
func (p *pool) tell() {
	p.checker.SlotsHeld(p.self, p.target, checker.SlotUse{
		Rights:   max(p.limit-len(p.lent), p.inUse) + len(p.borrowed),
		InFlight: p.inFlight(),
	})
}

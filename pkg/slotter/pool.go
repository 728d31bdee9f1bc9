package slotter

import (
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// loanKey identifies a loan granted by this host.
type loanKey struct {
	borrower  ids.Instance
	requestID uint64
}

// loan is one slot borrowed from another host.
type loan struct {
	lender    ids.Instance
	requestID uint64
	// startDeadline is when the last request may start on the slot, and end when
	// the last request must have ended.
	startDeadline time.Time
	end           time.Time
	inUse         bool
	idleSince     time.Time
}

// pool holds this host's capacity for one target: its own slots, and those lent
// and borrowed.
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

// freeOwn returns the number of own slots that are free. The caller holds mu.
func (p *pool) freeOwn() int { return max(p.limit-p.inUse-len(p.lent), 0) }

func (p *pool) free(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.freeOwn()
	for _, l := range p.borrowed {
		if !l.inUse && now.Before(l.startDeadline) {
			n++
		}
	}
	return n
}

// tryAcquire takes a slot and returns the loan that it comes from, or nil for an
// own slot.
func (p *pool) tryAcquire(now time.Time) (*loan, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeOwn() > 0 {
		p.inUse++
		p.reportToChecker()
		return nil, true
	}
	for _, l := range p.borrowed {
		if !l.inUse && now.Before(l.startDeadline) {
			l.inUse = true
			p.reportToChecker()
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
		l.inUse = false
		l.idleSince = now
	}
	p.reportToChecker()
}

func (p *pool) usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{Slots: max(p.limit-len(p.lent), 0) + len(p.borrowed), InFlight: p.inFlight()}
}

// inFlight returns the number of slots in use. The caller holds mu.
func (p *pool) inFlight() int {
	n := p.inUse
	for _, l := range p.borrowed {
		if l.inUse {
			n++
		}
	}
	return n
}

// setLimit sets the number of own slots, and reports whether one became free.
func (p *pool) setLimit(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.freeOwn()
	p.limit = limit
	p.reportToChecker()
	return p.freeOwn() > before
}

// lend lends one own slot until end, and reports whether one was free.
func (p *pool) lend(k loanKey, end time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeOwn() == 0 {
		return false
	}
	if p.lent == nil {
		p.lent = make(map[loanKey]time.Time)
	}
	p.lent[k] = end
	p.reportToChecker()
	return true
}

// takeBack ends a lent loan.
func (p *pool) takeBack(k loanKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lent, k)
	p.reportToChecker()
}

// expireLent ends the lent loans whose end has passed and returns their keys.
func (p *pool) expireLent(now time.Time) []loanKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []loanKey
	for k, end := range p.lent {
		if !now.Before(end) {
			expired = append(expired, k)
			delete(p.lent, k)
		}
	}
	if len(expired) > 0 {
		p.reportToChecker()
	}
	return expired
}

// addBorrowed adds a slot borrowed from another host.
func (p *pool) addBorrowed(l *loan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.borrowed = append(p.borrowed, l)
	p.reportToChecker()
}

// removeIdle removes and returns the borrowed slots that have been idle for
// idleTimeout or are past their start deadline.
func (p *pool) removeIdle(now time.Time, idleTimeout time.Duration) []*loan {
	p.mu.Lock()
	defer p.mu.Unlock()
	var removed []*loan
	p.borrowed = slices.DeleteFunc(p.borrowed, func(l *loan) bool {
		remove := !l.inUse && (now.Sub(l.idleSince) >= idleTimeout || !now.Before(l.startDeadline))
		if remove {
			removed = append(removed, l)
		}
		return remove
	})
	if len(removed) > 0 {
		p.reportToChecker()
	}
	return removed
}

// borrowedCount returns the number of borrowed slots.
func (p *pool) borrowedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.borrowed)
}

// hasIdle reports whether a borrowed slot is idle.
func (p *pool) hasIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.borrowed, func(l *loan) bool { return !l.inUse })
}

// excess returns by how many the slots in use or lent exceed the limit.
func (p *pool) excess() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.inUse+len(p.lent)-p.limit, 0)
}

// reportToChecker reports this host's capacity and use to the checker. The caller
// holds mu.
func (p *pool) reportToChecker() {
	p.checker.SlotUseChanged(p.self, p.target, checker.SlotUse{
		Rights:   max(p.limit-len(p.lent), p.inUse) + len(p.borrowed),
		InFlight: p.inFlight(),
	})
}

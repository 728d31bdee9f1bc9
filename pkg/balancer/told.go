package balancer

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// toldLog holds the requests that were told of each scope, and their sums by
// target, so that a choice costs the same however many hosts there are.
type toldLog struct {
	mu     sync.Mutex
	scopes map[ids.HostGroup]toldCounts
	totals map[uint32]int
	// nextLapse is when the oldest word may lapse.
	nextLapse time.Time
}

// toldCounts is what was told last of one scope.
type toldCounts struct {
	counts map[uint32]int
	at     time.Time
}

// replace takes the counts of a scope in place of those before, and returns the new
// sums of the targets whose sum changed.
func (l *toldLog) replace(scope ids.HostGroup, running []InFlight, now time.Time) map[uint32]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.scopes == nil {
		l.scopes = make(map[ids.HostGroup]toldCounts)
		l.totals = make(map[uint32]int)
		l.nextLapse = now.Add(peerLife)
	}
	counts := make(map[uint32]int, len(running))
	changed := make(map[uint32]int)
	for _, r := range running {
		counts[r.Target] += r.Count
	}
	old := l.scopes[scope].counts
	l.subtract(old, counts, changed)
	l.add(counts, old, changed)
	l.scopes[scope] = toldCounts{counts, now}
	return changed
}

// subtract takes the targets out that a scope no longer has. The caller holds the
// lock.
func (l *toldLog) subtract(old, counts, changed map[uint32]int) {
	for short, n := range old {
		if _, ok := counts[short]; !ok {
			l.change(short, -n, changed)
		}
	}
}

// add takes the counts of a scope in that differ from those before. The caller holds
// the lock.
func (l *toldLog) add(counts, old, changed map[uint32]int) {
	for short, n := range counts {
		if more := n - old[short]; more != 0 {
			l.change(short, more, changed)
		}
	}
}

// change changes one sum. The caller holds the lock.
func (l *toldLog) change(short uint32, by int, changed map[uint32]int) {
	total := l.totals[short] + by
	changed[short] = total
	if total == 0 {
		delete(l.totals, short)
		return
	}
	l.totals[short] = total
}

// expire forgets what was told of scopes that have been silent for long, and returns
// the new sums of their targets.
func (l *toldLog) expire(now time.Time) map[uint32]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.scopes) == 0 || now.Before(l.nextLapse) {
		return nil
	}
	changed := make(map[uint32]int)
	l.nextLapse = now.Add(peerLife)
	for scope, c := range l.scopes {
		lapse := c.at.Add(peerLife)
		switch {
		case !now.Before(lapse):
			l.subtract(c.counts, nil, changed)
			delete(l.scopes, scope)
		case lapse.Before(l.nextLapse):
			l.nextLapse = lapse
		}
	}
	return changed
}

// total returns the sum of a target.
func (l *toldLog) total(short uint32) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals[short]
}

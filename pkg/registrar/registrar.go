// Package registrar keeps the targets that registered themselves in the store.
// It forgets a target as soon as the store tells that it left, except just
// after an outage of the store, in which registrations may have expired though
// their targets live.
package registrar

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// returnTime is how long a missing target is kept after an outage of the store. One
// that lived through it registers again within two seconds of the store's return, which
// this host notices a moment later.
const returnTime = 1600 * time.Millisecond

// Target is what a target registered of itself.
type Target struct {
	ID      ids.Target
	Service ids.Service
	// Address is an IP number and port.
	Address string
	Zone    ids.Zone
	// Slots is the number of requests that it serves at the same time.
	Slots int
	// Draining says that it takes no new requests.
	Draining bool
	// ColdUntil is when it has warmed up after its start.
	ColdUntil time.Time
	// Born is its start in milliseconds since 1970, 0 if it is not known. A
	// restart under the same ID has another one.
	StartMillis int64
	// Reports counts what it registered since its start.
	Sequence uint64
}

// Reading says after what all registrations are read.
type ReadKind int

const (
	// Usual is a reading at the start, or of a store that lost nothing.
	NormalRead ReadKind = iota
	// AfterOutage is the first reading after an outage of the store, in which
	// registrations may have expired.
	ReadAfterOutage
	// AfterRestore is the first reading of a store that came back from a copy of
	// itself: it lacks what was written since, and shows what was replaced or removed.
	ReadAfterRestore
)

// String implements fmt.Stringer.
func (r ReadKind) String() string {
	switch r {
	case ReadAfterOutage:
		return "afterOutage"
	case ReadAfterRestore:
		return "afterRestore"
	default:
		return "usual"
	}
}

// Registrar holds the targets that are known. The zero value is empty, and its
// methods may be called from several goroutines.
type Registrar struct {
	// Changed, where set, is called with all targets after each change. It must
	// not call the Registrar.
	OnChange func([]Target)

	mu      sync.Mutex
	targets map[ids.Target]Target
	// held holds the end of the time for which a missing target is kept.
	held map[ids.Target]time.Time
	// departed holds the targets that drain or left.
	departed departed
}

// Put adds a target, or replaces what it registered before.
func (r *Registrar) Put(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.departed.judge(t, time.Now())
	if !ok {
		return
	}
	r.put(t)
}

// put adds a target. The caller holds the lock.
func (r *Registrar) put(t Target) {
	if r.targets == nil {
		r.targets = make(map[ids.Target]Target)
	}
	r.targets[t.ID] = t
	delete(r.held, t.ID)
	r.changed()
}

// Remove forgets a target that left.
func (r *Registrar) Remove(id ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.departed.doubted, id)
	t, ok := r.targets[id]
	if !ok {
		return
	}
	r.departed.left(t, time.Now())
	delete(r.targets, id)
	delete(r.held, id)
	r.changed()
}

// Replace takes all registrations at once. Those that are missing are forgotten
// at once, or after returnTime if they may come back. After a restore, registrations
// of targets that drain or left are believed if they are newer than what was known.
func (r *Registrar) Replace(all []Target, reading ReadKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if reading == ReadAfterRestore {
		r.departed.restored(now)
	}
	next := make(map[ids.Target]Target, len(all))
	for _, t := range all {
		if t, ok := r.departed.judge(t, now); ok {
			next[t.ID] = t
			delete(r.held, t.ID)
		}
	}
	until := now.Add(returnTime)
	for id, t := range r.targets {
		if _, ok := next[id]; ok || r.departed.doubts(id) {
			continue
		}
		if r.keep(id, reading != NormalRead, until) {
			next[id] = t
			continue
		}
		r.departed.left(t, now)
	}
	r.targets = next
	r.changed()
}

// keep reports whether a missing target is kept for now.
func (r *Registrar) keep(id ids.Target, mayReturn bool, until time.Time) bool {
	if end, ok := r.held[id]; ok {
		return time.Now().Before(end)
	}
	if !mayReturn {
		return false
	}
	if r.held == nil {
		r.held = make(map[ids.Target]time.Time)
	}
	r.held[id] = until
	return true
}

// Expire forgets the missing targets whose time is over, and believes registrations
// that a store back from a copy still shows when others would have expired.
func (r *Registrar) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	expired := false
	for id, end := range r.held {
		if now.Before(end) {
			continue
		}
		delete(r.held, id)
		delete(r.targets, id)
		expired = true
	}
	for _, t := range r.departed.expire(now) {
		r.put(t)
	}
	if expired {
		r.changed()
	}
}

func (r *Registrar) changed() {
	if r.OnChange == nil {
		return
	}
	all := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		all = append(all, t)
	}
	r.OnChange(all)
}

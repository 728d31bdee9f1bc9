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
	Born int64
}

// Registrar holds the targets that are known. The zero value is empty, and its
// methods may be called from several goroutines.
type Registrar struct {
	// Changed, where set, is called with all targets after each change. It must
	// not call the Registrar.
	Changed func([]Target)

	mu      sync.Mutex
	targets map[ids.Target]Target
	// held holds the end of the time for which a missing target is kept.
	held map[ids.Target]time.Time
}

// Put adds a target, or replaces what it registered before.
func (r *Registrar) Put(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
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
	if _, ok := r.targets[id]; !ok {
		return
	}
	delete(r.targets, id)
	delete(r.held, id)
	r.changed()
}

// Replace takes all registrations at once. Those that are missing are forgotten
// at once, or after returnTime if the store comes back from an outage.
func (r *Registrar) Replace(all []Target, afterOutage bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[ids.Target]Target, len(all))
	for _, t := range all {
		next[t.ID] = t
		delete(r.held, t.ID)
	}
	until := time.Now().Add(returnTime)
	for id, t := range r.targets {
		if _, ok := next[id]; ok || !r.keep(id, afterOutage, until) {
			continue
		}
		next[id] = t
	}
	r.targets = next
	r.changed()
}

// keep reports whether a missing target is kept for now.
func (r *Registrar) keep(id ids.Target, afterOutage bool, until time.Time) bool {
	if end, ok := r.held[id]; ok {
		return time.Now().Before(end)
	}
	if !afterOutage {
		return false
	}
	if r.held == nil {
		r.held = make(map[ids.Target]time.Time)
	}
	r.held[id] = until
	return true
}

// Expire forgets the missing targets whose time is over.
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
	if expired {
		r.changed()
	}
}

func (r *Registrar) changed() {
	if r.Changed == nil {
		return
	}
	all := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		all = append(all, t)
	}
	r.Changed(all)
}

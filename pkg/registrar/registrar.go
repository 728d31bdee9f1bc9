// Package registrar keeps the targets that are registered in the store. A target that
// is removed from the store is dropped immediately, except after an outage or a restore
// of the store, when registrations may be missing or stale although their targets are
// alive.
//
// The caller passes what it reads from the store to Replace, Put and Remove, and calls
// Expire at short intervals. OnChange receives the resulting targets.
package registrar

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// reregisterTimeout is how long a missing target is kept after an outage of the store.
// A live target registers again within two seconds of the store's recovery, which this
// host detects a moment later.
const reregisterTimeout = 1600 * time.Millisecond

// Target is the registration of a target.
type Target struct {
	ID      ids.Target
	Service ids.Service
	// Address is an IP address and port.
	Address string
	Zone    ids.Zone
	// Slots is the number of requests that the target serves concurrently.
	Slots int
	// Draining means that the target takes no new requests.
	Draining bool
	// ColdUntil is when the target has warmed up after its start.
	ColdUntil time.Time
	// StartMillis is the start time of the target's process in milliseconds since 1970,
	// or 0 if it is not known. It identifies the run: a restart under the same ID has
	// another one.
	StartMillis int64
	// Sequence counts the registrations of the target since its start.
	Sequence uint64
}

// ReadKind tells on which occasion all registrations are read.
type ReadKind int

const (
	// NormalRead is a read at the start of this host, or of a store that lost nothing.
	NormalRead ReadKind = iota
	// ReadAfterOutage is the first read after an outage of the store, during which
	// registrations may have expired.
	ReadAfterOutage
	// ReadAfterRestore is the first read of a store that was restored from a backup.
	// Later writes are missing, and entries that had been replaced or removed are back.
	ReadAfterRestore
)

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

// Registrar holds the known targets. The zero value is empty and ready for use, and its
// methods are safe for concurrent use.
type Registrar struct {
	// OnChange, if set, is called with all targets after each change. It must not call
	// the Registrar.
	OnChange func([]Target)

	mu      sync.Mutex
	targets map[ids.Target]Target
	// missingUntil holds the missing targets that are kept, and until when.
	missingUntil map[ids.Target]time.Time
	// tombstones holds the targets that are draining or were removed.
	tombstones tombstones
	// notifiedAt is when OnChange was last called, and changed is set if it is due.
	notifiedAt time.Time
	changed    bool
}

// Put adds a target, or replaces its registration.
func (r *Registrar) Put(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t, ok := r.tombstones.filter(t, time.Now())
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
	delete(r.missingUntil, t.ID)
	r.notify()
}

// Remove drops a target that was removed from the store.
func (r *Registrar) Remove(id ids.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tombstones.quarantined, id)
	t, ok := r.targets[id]
	if !ok {
		return
	}
	r.tombstones.recordRemoval(t, time.Now())
	delete(r.targets, id)
	delete(r.missingUntil, id)
	r.notify()
}

// Replace replaces all registrations. Missing targets are dropped immediately after a
// NormalRead, and otherwise after reregisterTimeout. After a restore, unless it is newer
// than the last known one, the registration of a removed target is ignored for
// quarantineTime, and that of a draining target counts as draining.
func (r *Registrar) Replace(all []Target, kind ReadKind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if kind == ReadAfterRestore {
		r.tombstones.recordRestore(now)
	}
	next := make(map[ids.Target]Target, len(all))
	for _, t := range all {
		if t, ok := r.tombstones.filter(t, now); ok {
			next[t.ID] = t
			delete(r.missingUntil, t.ID)
		}
	}
	until := now.Add(reregisterTimeout)
	for id, t := range r.targets {
		if _, ok := next[id]; ok || r.tombstones.isQuarantined(id) {
			continue
		}
		if r.keepMissing(id, kind != NormalRead, until) {
			next[id] = t
			continue
		}
		r.tombstones.recordRemoval(t, now)
	}
	r.targets = next
	r.notify()
}

// keepMissing reports whether a missing target is kept for now.
func (r *Registrar) keepMissing(id ids.Target, mayReregister bool, until time.Time) bool {
	if end, ok := r.missingUntil[id]; ok {
		return time.Now().Before(end)
	}
	if !mayReregister {
		return false
	}
	if r.missingUntil == nil {
		r.missingUntil = make(map[ids.Target]time.Time)
	}
	r.missingUntil[id] = until
	return true
}

// Expire drops the missing targets whose time is over, releases the registrations whose
// quarantine is over, and passes on changes that were held back. It is to be called at short
// intervals.
func (r *Registrar) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	expired := false
	for id, end := range r.missingUntil {
		if now.Before(end) {
			continue
		}
		delete(r.missingUntil, id)
		delete(r.targets, id)
		expired = true
	}
	for _, t := range r.tombstones.expire(now) {
		r.put(t)
	}
	if expired || r.changed {
		r.notify()
	}
}

// In registries with more than maxAtOnce targets, changes that follow each other within
// changeInterval are passed on together. Each call of OnChange costs time for all targets, and
// when a fleet starts, or a store comes back, each of them changes.
const (
	maxAtOnce      = 256
	changeInterval = 100 * time.Millisecond
)

// notify calls OnChange, or leaves that to Expire. The caller holds the lock.
func (r *Registrar) notify() {
	now := time.Now()
	r.changed = len(r.targets) > maxAtOnce && now.Sub(r.notifiedAt) < changeInterval
	if r.changed || r.OnChange == nil {
		return
	}
	r.notifiedAt = now
	all := make([]Target, 0, len(r.targets))
	for _, t := range r.targets {
		all = append(all, t)
	}
	r.OnChange(all)
}

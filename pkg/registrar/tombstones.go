package registrar

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// quarantineTime is how long a registration of a removed target is ignored after
	// the store was restored from a backup. If the target is gone, its registration has
	// expired by then, as nobody renews it.
	quarantineTime = 8 * time.Second
	// tombstoneRetention is how long a tombstone is kept. It must be longer than the
	// age of a backup from which the store is restored.
	tombstoneRetention = time.Minute
)

// tombstone is the last registration of a target that is draining or was removed.
type tombstone struct {
	startMillis int64
	sequence    uint64
	removed     bool
	createdAt   time.Time
}

// tombstones distinguishes stale registrations of targets that are draining or were
// removed from new ones. The zero value is empty and ready for use.
type tombstones struct {
	byID map[ids.Target]tombstone
	// quarantined holds the ignored registrations of removed targets.
	quarantined map[ids.Target]Target
	// quarantineUntil is the end of the quarantine, and drainingUntil the end of the
	// time in which stale registrations are marked as draining.
	quarantineUntil, drainingUntil time.Time
}

// recordRestore records that the store was restored from a backup.
func (ts *tombstones) recordRestore(now time.Time) {
	ts.quarantineUntil = now.Add(quarantineTime)
	ts.drainingUntil = now.Add(tombstoneRetention)
}

// recordRemoval records that a target was removed from the store.
func (ts *tombstones) recordRemoval(t Target, now time.Time) {
	ts.put(t, tombstone{startMillis: t.StartMillis, sequence: t.Sequence, removed: true, createdAt: now})
}

func (ts *tombstones) put(t Target, entry tombstone) {
	if ts.byID == nil {
		ts.byID = make(map[ids.Target]tombstone)
	}
	ts.byID[t.ID] = entry
}

// filter returns a registration as it is to be used, or false if it is to be ignored. A
// target that was draining keeps draining unless it registered again since.
func (ts *tombstones) filter(t Target, now time.Time) (Target, bool) {
	delete(ts.quarantined, t.ID)
	last, ok := ts.byID[t.ID]
	stale := ok && last.startMillis == t.StartMillis && t.Sequence <= last.sequence
	switch {
	case stale && last.removed && now.Before(ts.quarantineUntil):
		if ts.quarantined == nil {
			ts.quarantined = make(map[ids.Target]Target)
		}
		ts.quarantined[t.ID] = t
		return t, false
	case stale && !last.removed && now.Before(ts.drainingUntil):
		t.Draining = true
	case t.Draining:
		ts.put(t, tombstone{startMillis: t.StartMillis, sequence: t.Sequence, createdAt: now})
	default:
		delete(ts.byID, t.ID)
	}
	return t, true
}

// isQuarantined reports whether a registration of the target is being ignored.
func (ts *tombstones) isQuarantined(id ids.Target) bool {
	_, ok := ts.quarantined[id]
	return ok
}

// expire drops old tombstones, and returns the registrations whose quarantine is over.
func (ts *tombstones) expire(now time.Time) []Target {
	for id, entry := range ts.byID {
		if now.Sub(entry.createdAt) > tombstoneRetention {
			delete(ts.byID, id)
		}
	}
	if now.Before(ts.quarantineUntil) {
		return nil
	}
	var released []Target
	for _, t := range ts.quarantined {
		released = append(released, t)
	}
	ts.quarantined = nil
	return released
}

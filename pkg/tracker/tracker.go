// Package tracker tracks how old a host's view of the platform's store may be. A host
// applies the store's changes one after the other, and hears from other hosts how far
// the store is. Neither tells by itself whether changes are missing: a source that lags
// behind looks like a store without changes.
//
// The caller passes to Prove what is known of the store's position at some time, by a
// linearizable read or from a host that made one, and to Reach how far its own view is.
package tracker

import (
	"slices"

	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// maxProofs bounds the proofs of positions that the view has not reached. The view
// reaches them one after the other, so an older one is of little use.
const maxProofs = 8

// proof states that all changes acknowledged before at are in the history up to
// position.
type proof struct {
	position ids.Position
	at       confirmer.Timestamp
}

// Tracker holds the position of a view, and the time up to which it is complete. The
// zero value is a view of nothing. It is not safe for concurrent use.
type Tracker struct {
	position ids.Position
	// complete is the latest proof that the view has reached, if reached is set.
	complete confirmer.Timestamp
	reached  bool
	// pending holds the proofs that the view has not reached, ascending in both fields.
	pending []proof
	// proved is the time of the latest proof, reached or not, if known is set.
	proved confirmer.Timestamp
	known  bool
}

// Prove records that all changes that the store acknowledged before at are in its
// history up to position.
func (t *Tracker) Prove(position ids.Position, at confirmer.Timestamp) {
	if !t.known || at.Since(t.proved) > 0 {
		t.proved, t.known = at, true
	}
	if !t.position.Before(position) {
		t.accept(at)
		return
	}
	for _, p := range t.pending {
		if !position.Before(p.position) && at.Since(p.at) <= 0 {
			return // a proof of less says as much
		}
	}
	t.pending = slices.DeleteFunc(t.pending, func(p proof) bool {
		return !p.position.Before(position) && at.Since(p.at) >= 0
	})
	t.pending = append(t.pending, proof{position, at})
	if len(t.pending) > maxProofs {
		t.pending = slices.Delete(t.pending, 0, 1)
	}
}

// Reach records that the view contains all changes up to position.
func (t *Tracker) Reach(position ids.Position) {
	t.position = ids.Latest(t.position, position)
	t.pending = slices.DeleteFunc(t.pending, func(p proof) bool {
		if t.position.Before(p.position) {
			return false
		}
		t.accept(p.at)
		return true
	})
}

func (t *Tracker) accept(at confirmer.Timestamp) {
	if !t.reached || at.Since(t.complete) > 0 {
		t.complete, t.reached = at, true
	}
}

// ProvedAt returns the time of the latest proof, which the view may not have reached, and
// false if there is none.
func (t *Tracker) ProvedAt() (confirmer.Timestamp, bool) { return t.proved, t.known }

// CompleteAt returns the time before which no acknowledged change is missing from the
// view, and false if there is no such time.
func (t *Tracker) CompleteAt() (confirmer.Timestamp, bool) { return t.complete, t.reached }

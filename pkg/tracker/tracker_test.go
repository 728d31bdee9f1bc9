package tracker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/tracker"
)

func at(revision ids.StoreRevision) ids.Position { return ids.Position{Revision: revision} }

// A proof counts once the view has reached its position, and not before.
func TestProofCountsWhenReached(t *testing.T) {
	is := is.New(t)
	now := (&confirmer.Confirmer{}).Now()
	var tr tracker.Tracker
	tr.Reach(at(5))
	_, ok := tr.CompleteAt()
	is.True(!ok)
	tr.Prove(at(5), now)
	tr.Prove(at(7), now.Add(time.Second))
	tr.Prove(at(9), now.Add(2*time.Second))
	got, ok := tr.ProvedAt()
	is.True(ok)
	is.Equal(got, now.Add(2*time.Second)) // whether it is reached or not
	got, ok = tr.CompleteAt()
	is.True(ok)
	is.Equal(got, now)
	tr.Reach(at(8))
	got, _ = tr.CompleteAt()
	is.Equal(got, now.Add(time.Second))
	tr.Reach(ids.Position{Era: 1, Revision: 1})
	got, _ = tr.CompleteAt()
	is.Equal(got, now.Add(2*time.Second))
}

// A later proof of an earlier position replaces an earlier proof of a later one, and a
// proof never makes the view older.
func TestBestProofIsKept(t *testing.T) {
	is := is.New(t)
	now := (&confirmer.Confirmer{}).Now()
	var tr tracker.Tracker
	tr.Prove(at(9), now)
	tr.Prove(at(7), now.Add(time.Second))
	tr.Prove(at(9), now)
	tr.Reach(at(7))
	got, _ := tr.CompleteAt()
	is.Equal(got, now.Add(time.Second))
	tr.Prove(at(1), now)
	got, _ = tr.CompleteAt()
	is.Equal(got, now.Add(time.Second))
}

// However many positions are told, a view that follows at last is current.
func TestManyProofs(t *testing.T) {
	is := is.New(t)
	now := (&confirmer.Confirmer{}).Now()
	var tr tracker.Tracker
	for i := range 100 {
		tr.Prove(at(ids.StoreRevision(i+1)), now.Add(time.Duration(i)*time.Second))
	}
	tr.Reach(at(100))
	got, _ := tr.CompleteAt()
	is.Equal(got, now.Add(99*time.Second))
}

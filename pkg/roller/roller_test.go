package roller_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/standin/store"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

func newRoller(s platform.Store) *roller.Roller {
	return roller.New(roller.Config{
		Self:    "self",
		Serving: func() bool { return true },
		Store:   s,
		Parse: func(b []byte) (*config.Document, error) {
			var d config.Document
			return &d, json.Unmarshal(b, &d)
		},
	})
}

// replyLosingStore loses the reply to every write.
type replyLosingStore struct{ *store.Store }

func (d replyLosingStore) CompareAndSwap(ctx context.Context, key string, v platform.Version, b []byte) (platform.Version, error) {
	d.LoseResponses(1)
	return d.Store.CompareAndSwap(ctx, key, v, b)
}

func TestApplyHeadIgnoresOlderRevisions(t *testing.T) {
	is := is.New(t)
	r := newRoller(nil)
	seen := 0
	r.OnConfig(func(*config.Snapshot) { seen++ })
	is.NoErr(r.ApplyHead(roller.Head{Revision: 5, Document: "{}"}))
	is.NoErr(r.ApplyHead(roller.Head{Revision: 4, Document: "{}"}))
	is.NoErr(r.ApplyHead(roller.Head{Revision: 5, Document: "{}"}))
	is.Equal(seen, 1)
	err := r.ApplyHead(roller.Head{Revision: 6, Document: "{"})
	var broken *roller.ErrNotCompiled
	is.True(errors.As(err, &broken))
	rev, err := r.InForce()
	is.Equal(int(rev), 5)
	is.True(err != nil) // so the lease must not be renewed
	is.NoErr(r.ApplyHead(roller.Head{Revision: 7, Document: "{}"}))
	_, err = r.InForce()
	is.NoErr(err)
}

func TestApplyFindsWriteWhoseReplyWasLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store.Store{}
		result, err := newRoller(replyLosingStore{s}).Apply(t.Context(), []byte("{}"), 0)
		is.NoErr(err)
		is.Equal(int(result.Revision), 1)
		is.True(!result.Accepted) // no seated instance has confirmed it
		e, err := s.Get(t.Context(), roller.HeadKey)
		is.NoErr(err)
		is.Equal(int(e.Version), 1) // stored once
	})
}

func TestApplyReportsUnresolvedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store.Store{}
		s.SetLatency(2 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		time.AfterFunc(7*time.Second, func() { s.SetDown(true) }) // the write took effect at 6 s
		_, err := newRoller(s).Apply(ctx, []byte("{}"), 0)
		var unresolved *roller.ErrUnresolved
		is.True(errors.As(err, &unresolved))
		is.Equal(int(unresolved.Revision), 1)
	})
}

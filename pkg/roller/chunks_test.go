package roller_test

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/standin/store"
	"gypsumbeam.example/gypsumbeam/pkg/chunker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// newSeatedRoller returns a Roller that uses s, accepts every document and holds
// the only seat.
func newSeatedRoller(s *store.Store) *roller.Roller {
	r := roller.New(roller.Config{
		Self:    "a",
		Parse:   func([]byte) (*config.Document, error) { return &config.Document{}, nil },
		Serving: func() bool { return true },
		Store:   s,
	})
	r.ApplyTable(&seater.Table{Revision: 1, Seats: []seater.Seat{{Holder: "a", Epoch: 1}}})
	return r
}

func TestLongDocumentIsStoredInChunks(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	// Each quote takes two bytes in the encoded head.
	document := strings.Repeat("{\"prefix\": \"10.0.0.0/8\"}\n", 36_000)
	result, err := newSeatedRoller(s).Apply(t.Context(), []byte(document), 0)
	is.NoErr(err)
	is.True(result.Accepted)
	e, err := s.Get(t.Context(), roller.HeadKey)
	is.NoErr(err)
	is.True(len(e.Value) < 64<<10) // the head holds the manifest alone
	head, err := roller.DecodeHead(e.Value)
	is.NoErr(err)
	whole, err := newSeatedRoller(s).LoadDocument(t.Context(), head)
	is.NoErr(err)
	is.Equal(whole.Document, document)
	is.Equal(whole.Revision, result.Revision)
}

func TestLoadDocumentFailsWithoutChunks(t *testing.T) {
	is := is.New(t)
	lost := roller.Head{Revision: 1, Manifest: &chunker.Manifest{Bytes: 1, Chunks: []chunker.Hash{"0"}}}
	_, err := newSeatedRoller(&store.Store{}).LoadDocument(context.Background(), lost)
	var missing *chunker.ErrMissing
	is.True(errors.As(err, &missing))
}

func TestConfirmWithManifestLoadsChunks(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	document := strings.Repeat("{\"prefix\": \"10.0.0.0/8\"}\n", 36_000)
	_, err := newSeatedRoller(s).Apply(t.Context(), []byte(document), 0)
	is.NoErr(err)
	list, err := json.Marshal(chunker.ManifestOf([]byte(document)))
	is.NoErr(err)
	q := &peerpb.ConfirmRequest{Config: &peerpb.ConfigHead{Revision: 1, Manifest: list}}
	peer := newSeatedRoller(s)
	reply, err := peer.Confirm(t.Context(), q)
	is.NoErr(err)
	is.Equal(reply.GetRevision(), uint64(1))
	fetched, err := peer.Fetch(t.Context(), &peerpb.FetchRequest{})
	is.NoErr(err)
	is.Equal(string(fetched.GetConfig().GetDocument()), document) // peers can fetch the whole document

	s.SetDown(true)
	reply, err = newSeatedRoller(s).Confirm(t.Context(), q)
	is.NoErr(err)
	is.Equal(reply.GetRevision(), uint64(0)) // not in force without the chunks
}

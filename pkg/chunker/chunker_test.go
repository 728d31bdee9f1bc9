package chunker_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/standin/store"
	"gypsumbeam.example/gypsumbeam/pkg/chunker"
)

// clientBlocksText returns the text of n client blocks of a document.
func clientBlocksText(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, "    {\"prefix\": \"10.%d.%d.0/24\", \"region\": \"region-%02d\", \"site\": \"site-%03d\"},\n",
			i>>8&0xff, i&0xff, i%15, i%350)
	}
	return b.Bytes()
}

func TestChangedLineWritesFewChunks(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	writer, reader := &chunker.Chunker{Store: s}, &chunker.Chunker{Store: s}
	text := clientBlocksText(240_000)
	m, written, err := writer.Save(t.Context(), text)
	is.NoErr(err)
	got, fetched, err := reader.Load(t.Context(), m)
	is.NoErr(err)
	is.True(bytes.Equal(got, text))
	list, err := json.Marshal(m)
	is.NoErr(err)
	is.True(len(list) < 1<<20) // the manifest fits one value of the store
	t.Logf("text of %d bytes: %d chunks, %d written, %d fetched, manifest of %d bytes",
		len(text), len(m.Chunks), written, fetched, len(list))

	at := len(text) / 2
	changed := append(append(bytes.Clone(text[:at]), []byte("// one line more\n")...), text[at:]...)
	m2, written, err := writer.Save(t.Context(), changed)
	is.NoErr(err)
	got, fetched, err = reader.Load(t.Context(), m2)
	is.NoErr(err)
	is.True(bytes.Equal(got, changed))
	t.Logf("one line more: %d written, %d fetched", written, fetched)
	is.True(written <= 3) // not the whole text again
	is.True(fetched <= 3)
}

func TestSaveAgainAfterLostReply(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	s.LoseResponses(1)
	c := &chunker.Chunker{Store: s}
	text := clientBlocksText(5000)
	_, _, err := c.Save(t.Context(), text)
	is.True(err != nil)
	m, _, err := c.Save(t.Context(), text)
	is.NoErr(err)
	got, _, err := (&chunker.Chunker{Store: s}).Load(t.Context(), m)
	is.NoErr(err)
	is.True(bytes.Equal(got, text))
}

func TestLoadRejectsIncompleteText(t *testing.T) {
	is := is.New(t)
	s := &store.Store{}
	m, _, err := (&chunker.Chunker{Store: s}).Save(t.Context(), clientBlocksText(5000))
	is.NoErr(err)
	reader := &chunker.Chunker{Store: s}

	short := m
	short.Chunks = m.Chunks[1:]
	_, _, err = reader.Load(t.Context(), short)
	var corrupt *chunker.ErrCorrupt
	is.True(errors.As(err, &corrupt))

	unknown := m
	unknown.Chunks = append([]chunker.Hash{chunker.HashOf([]byte("x"))}, m.Chunks[1:]...)
	_, _, err = reader.Load(t.Context(), unknown)
	var missing *chunker.ErrMissing
	is.True(errors.As(err, &missing))

	h := chunker.HashOf([]byte("right"))
	_, err = s.CompareAndSwap(t.Context(), chunker.KeyPrefix+string(h), 0, []byte("wrong"))
	is.NoErr(err)
	_, _, err = reader.Load(t.Context(), chunker.Manifest{Bytes: 5, Chunks: []chunker.Hash{h}})
	is.True(errors.As(err, &corrupt))
	is.Equal(corrupt.Hash, h)
}

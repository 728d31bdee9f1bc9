// Package chunker keeps a text that is too long for one value of the store as
// chunks, each under the hash of its content, and a short manifest that lists
// them. Writers store the chunks first and the manifest last; readers fetch only
// the chunks that they do not hold.
package chunker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/service/platform"
)

// KeyPrefix is in front of each chunk's hash in the store.
const KeyPrefix = "config/chunks/"

// Manifest lists the chunks of one text, in their order.
type Manifest struct {
	// Bytes is the length of the text.
	Bytes  int    `json:"bytes"`
	Chunks []Hash `json:"chunks"`
}

// List returns the manifest of a text, without the store.
func ManifestOf(text []byte) Manifest {
	m := Manifest{Bytes: len(text)}
	for _, chunk := range Split(text) {
		m.Chunks = append(m.Chunks, HashOf(chunk))
	}
	return m
}

// ErrMissing says that a chunk of a manifest is not in the store.
type ErrMissing struct {
	Hash Hash
}

// Error names the chunk.
func (e *ErrMissing) Error() string { return fmt.Sprintf("chunk %s is not in the store", e.Hash) }

// ErrCorrupt says that what was read is not what the manifest lists.
type ErrCorrupt struct {
	// Hash is the chunk's; it is empty if the whole text has the wrong length.
	Hash Hash
}

// Error names the chunk.
func (e *ErrCorrupt) Error() string {
	if e.Hash == "" {
		return "the chunks do not add up to the text's length"
	}
	return fmt.Sprintf("chunk %s has another content", e.Hash)
}

// Store is what a Chunker needs of the platform's store.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect platform.Version, value []byte) (platform.Version, error)
}

// Chunker stores and loads texts. It keeps the chunks of the last text, so that
// the next one costs only what differs. Its methods may be called from several
// goroutines.
type Chunker struct {
	// Store holds the chunks; it is required.
	Store Store

	mu   sync.Mutex
	held map[Hash][]byte
}

// Save stores the chunks of a text that are not held already, and returns the
// manifest and the number of chunks written. It may be repeated after an error.
// The text counts as stored only once the caller has stored the manifest.
func (c *Chunker) Save(ctx context.Context, text []byte) (Manifest, int, error) {
	m := ManifestOf(text)
	chunks := make(map[Hash][]byte)
	written := 0
	for i, chunk := range Split(text) {
		h := m.Chunks[i]
		if _, ok := chunks[h]; ok {
			continue
		}
		chunks[h] = bytes.Clone(chunk)
		if c.holds(h) {
			continue
		}
		if err := c.write(ctx, h, chunk); err != nil {
			return Manifest{}, written, err
		}
		written++
	}
	c.hold(chunks)
	return m, written, nil
}

// write stores one chunk. One that is there has the same content, by its name.
func (c *Chunker) write(ctx context.Context, h Hash, chunk []byte) error {
	_, err := c.Store.CompareAndSwap(ctx, KeyPrefix+string(h), 0, chunk)
	var conflict *platform.ErrConflict
	if err != nil && !errors.As(err, &conflict) {
		return errs.New("store chunk %s: %v", h, err)
	}
	return nil
}

// Load returns the text that a manifest lists, and the number of chunks that
// were fetched for it. It fails with *ErrMissing, *ErrCorrupt or the store's
// error, and never returns part of a text.
func (c *Chunker) Load(ctx context.Context, m Manifest) ([]byte, int, error) {
	var text bytes.Buffer
	chunks := make(map[Hash][]byte)
	fetched := 0
	for _, h := range m.Chunks {
		chunk, ok := chunks[h]
		if !ok {
			chunk, ok = c.get(h)
		}
		if !ok {
			var err error
			if chunk, err = c.fetch(ctx, h); err != nil {
				return nil, fetched, err
			}
			fetched++
		}
		chunks[h] = chunk
		_, _ = text.Write(chunk) // A bytes.Buffer takes everything.
	}
	if text.Len() != m.Bytes {
		return nil, fetched, &ErrCorrupt{}
	}
	c.hold(chunks)
	return text.Bytes(), fetched, nil
}

func (c *Chunker) fetch(ctx context.Context, h Hash) ([]byte, error) {
	e, err := c.Store.Get(ctx, KeyPrefix+string(h))
	if err != nil {
		return nil, errs.New("fetch chunk %s: %v", h, err)
	}
	if e.Version == 0 {
		return nil, &ErrMissing{Hash: h}
	}
	if HashOf(e.Value) != h {
		return nil, &ErrCorrupt{Hash: h}
	}
	return e.Value, nil
}

func (c *Chunker) holds(h Hash) bool {
	_, ok := c.get(h)
	return ok
}

func (c *Chunker) get(h Hash) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chunk, ok := c.held[h]
	return chunk, ok
}

func (c *Chunker) hold(chunks map[Hash][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = chunks
}

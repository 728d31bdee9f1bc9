// Package chunker stores a text that is too long for one value of the store as
// chunks, each under the hash of its content. A short manifest lists them.
//
// A writer calls Chunker.Save and then stores the manifest itself. A reader passes
// that manifest to Chunker.Load, which fetches only the chunks that are not cached.
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

// KeyPrefix precedes the chunk's hash in each store key.
const KeyPrefix = "config/chunks/"

// Manifest lists the chunks of one text in order.
type Manifest struct {
	// Bytes is the length of the text in bytes.
	Bytes  int    `json:"bytes"`
	Chunks []Hash `json:"chunks"`
}

// ManifestOf returns the manifest of a text without storing anything.
func ManifestOf(text []byte) Manifest {
	m := Manifest{Bytes: len(text)}
	for _, chunk := range Split(text) {
		m.Chunks = append(m.Chunks, HashOf(chunk))
	}
	return m
}

// ErrMissing is returned if a chunk of a manifest is not in the store.
type ErrMissing struct {
	Hash Hash
}

// Error implements error.
func (e *ErrMissing) Error() string { return fmt.Sprintf("chunk %s is not in the store", e.Hash) }

// ErrCorrupt is returned if the chunks do not match the manifest.
type ErrCorrupt struct {
	// Hash is the hash of the chunk, empty if the whole text has the wrong length.
	Hash Hash
}

// Error implements error.
func (e *ErrCorrupt) Error() string {
	if e.Hash == "" {
		return "the chunks do not have the total length in the manifest"
	}
	return fmt.Sprintf("the content of chunk %s does not match its hash", e.Hash)
}

// Store is the part of platform.Store that a Chunker uses.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expect platform.Version, value []byte) (platform.Version, error)
}

// Chunker stores and loads texts. It caches the chunks of the last text, so that
// only changed chunks of the next one are transferred. It is safe for concurrent
// use.
type Chunker struct {
	// Store holds the chunks; it is required.
	Store Store

	mu     sync.Mutex
	cached map[Hash][]byte
}

// Save stores the chunks of a text that are not cached, and returns the manifest and
// the number of chunks written. It may be repeated after an error, which is that of
// the store. The text is stored only once the caller has stored the manifest.
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
		if c.isCached(h) {
			continue
		}
		if err := c.storeChunk(ctx, h, chunk); err != nil {
			return Manifest{}, written, err
		}
		written++
	}
	c.setCached(chunks)
	return m, written, nil
}

// storeChunk stores one chunk. A conflict is no error: the key is the hash, so the
// stored chunk has the same content.
func (c *Chunker) storeChunk(ctx context.Context, h Hash, chunk []byte) error {
	_, err := c.Store.CompareAndSwap(ctx, KeyPrefix+string(h), 0, chunk)
	var conflict *platform.ErrConflict
	if err != nil && !errors.As(err, &conflict) {
		return errs.New("store chunk %s: %v", h, err)
	}
	return nil
}

// Load returns the text of a manifest and the number of chunks that it fetched from
// the store. The error is an *ErrMissing, an *ErrCorrupt or that of the store. Load
// never returns part of a text.
func (c *Chunker) Load(ctx context.Context, m Manifest) ([]byte, int, error) {
	var text bytes.Buffer
	chunks := make(map[Hash][]byte)
	fetched := 0
	for _, h := range m.Chunks {
		chunk, ok := chunks[h]
		if !ok {
			chunk, ok = c.cachedChunk(h)
		}
		if !ok {
			var err error
			if chunk, err = c.fetchChunk(ctx, h); err != nil {
				return nil, fetched, err
			}
			fetched++
		}
		chunks[h] = chunk
		_, _ = text.Write(chunk) // A bytes.Buffer returns no error.
	}
	if text.Len() != m.Bytes {
		return nil, fetched, &ErrCorrupt{}
	}
	c.setCached(chunks)
	return text.Bytes(), fetched, nil
}

func (c *Chunker) fetchChunk(ctx context.Context, h Hash) ([]byte, error) {
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

func (c *Chunker) isCached(h Hash) bool {
	_, ok := c.cachedChunk(h)
	return ok
}

func (c *Chunker) cachedChunk(h Hash) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chunk, ok := c.cached[h]
	return chunk, ok
}

func (c *Chunker) setCached(chunks map[Hash][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cached = chunks
}

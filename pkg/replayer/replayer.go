// Package replayer buffers the beginning of a request body, so that retries, one
// after the other, can send it again if it is short. A caller creates a Replayer for
// the body, opens a reader for each attempt with NewReader, and asks Replayable
// before a retry.
package replayer

import (
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
)

var (
	errTooLarge = errors.New("the request body exceeds its size limit")
	errClosed   = errors.New("read from a closed request body")
	errDropped  = errors.New("a part of the request body is no longer buffered")
)

// prefixSize is how much of a body is kept that is too long to be buffered.
const prefixSize = 4 << 10

// Replayer buffers the beginning of a body. It is created by New; its methods may be
// called from several goroutines.
type Replayer struct {
	bufferSize int64
	// readers is the number of readers.
	readers atomic.Int64

	mu     sync.Mutex
	limit  int64
	source io.Reader
	// buffer holds all bytes read from source, unless overflowed. prefix holds the first
	// prefixSize bytes then.
	buffer, prefix []byte
	// read counts the bytes read from source.
	read int64
	err  error
	// overflowed is set once read exceeds bufferSize.
	overflowed bool
}

// New returns a Replayer of source. A body of up to bufferSize bytes can be read
// again. Reads fail after more than limit bytes; 0 means no limit.
func New(source io.Reader, bufferSize, limit int64) *Replayer {
	return &Replayer{source: source, bufferSize: bufferSize, limit: limit}
}

// Replayable reports whether a new reader can return the whole body: what was read
// so far is buffered and the source has not failed. It is false while a Read of an
// earlier reader is waiting for the source.
func (r *Replayer) Replayable() bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	return !r.overflowed && (r.err == nil || errors.Is(r.err, io.EOF))
}

// Whole reports whether the body was read to its end and a new reader returns all of it
// without waiting for the source. It is false while a Read is waiting for the source.
func (r *Replayer) Whole() bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	return !r.overflowed && errors.Is(r.err, io.EOF)
}

// TooLarge reports whether the body exceeds its limit. It is false while a Read is
// waiting for the source.
func (r *Replayer) TooLarge() bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	return errors.Is(r.err, errTooLarge)
}

// Broken reports whether reading the body failed before its end, the limit
// included. It is false while a Read is waiting for the source.
func (r *Replayer) Broken() bool {
	if !r.mu.TryLock() {
		return false
	}
	defer r.mu.Unlock()
	return r.err != nil && !errors.Is(r.err, io.EOF)
}

// Kept returns the whole body, or the first prefixSize bytes of one that fills the buffer.
// It returns false if the body was not read so far, or while a Read of a reader is waiting
// for the source.
func (r *Replayer) Kept() ([]byte, bool) {
	if !r.mu.TryLock() {
		return nil, false
	}
	defer r.mu.Unlock()
	switch {
	case r.overflowed:
		return r.prefix, true
	case r.read == r.bufferSize:
		return r.buffer[:min(prefixSize, len(r.buffer))], true
	default:
		return r.buffer, errors.Is(r.err, io.EOF)
	}
}

// Fill reads the body until it ends or as much is buffered as is kept, so that Kept returns
// it. It waits for the source. The body can still be read from its start.
func (r *Replayer) Fill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := make([]byte, prefixSize)
	for r.err == nil && !r.overflowed && r.read < r.bufferSize {
		if _, err := r.next(p[:min(int64(len(p)), r.bufferSize-r.read)]); err != nil {
			return // the next reader returns it
		}
	}
}

// SetLimit sets the limit in bytes; it applies from the next read of the source.
func (r *Replayer) SetLimit(limit int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = limit
}

// NewReader returns a reader of the body from its start, for one attempt. Earlier readers read
// no further from the source: what they took would be missing from the buffer of this one.
func (r *Replayer) NewReader() io.ReadCloser {
	return &reader{body: r, number: r.readers.Add(1), done: make(chan struct{})}
}

// reader reads the body for one attempt.
type reader struct {
	body *Replayer
	// number counts the readers of the body.
	number int64
	pos    int64
	once   sync.Once
	done   chan struct{}
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	select {
	case <-r.done:
		return 0, errClosed
	default:
	}
	if r.pos < int64(len(r.body.buffer)) {
		n := copy(p, r.body.buffer[r.pos:])
		r.pos += int64(n)
		return n, nil
	}
	switch {
	case r.pos != r.body.read:
		return 0, errDropped
	case r.body.err == nil && r.number != r.body.readers.Load():
		return 0, errClosed
	}
	n, err := r.body.next(p)
	r.pos += int64(n)
	return n, err
}

// next reads from the source. The caller holds mu.
func (r *Replayer) next(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(p)
	r.read += int64(n)
	if r.limit > 0 && r.read > r.limit {
		n, err = 0, errTooLarge
	}
	r.err = err
	switch {
	case r.overflowed:
	case r.read > r.bufferSize:
		r.overflowed = true
		r.prefix = append(r.prefix, r.buffer...)
		r.prefix = append(r.prefix, p[:n]...)
		r.prefix = slices.Clone(r.prefix[:min(prefixSize, len(r.prefix))])
		r.buffer = nil
	default:
		r.buffer = append(r.buffer, p[:n]...)
	}
	return n, err
}

// Close implements io.Closer. Later reads fail.
func (r *reader) Close() error {
	r.once.Do(func() { close(r.done) })
	return nil
}

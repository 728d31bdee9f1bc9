// Package replayer lets the body of one request be sent several times, one after
// the other, as long as it is short.
package replayer

import (
	"errors"
	"io"
	"sync"
)

var (
	errTooLarge = errors.New("the body is over its bound")
	errClosed   = errors.New("the attempt is over")
)

// Replayer keeps the beginning of a body. New makes one; its methods may be
// called from several goroutines.
type Replayer struct {
	keep int64

	mu    sync.Mutex
	limit int64
	src   io.Reader
	kept  []byte
	read  int64
	err   error
	spent bool
}

// New returns a Replayer of src that keeps up to keep bytes and fails over limit
// bytes; a limit of 0 means no bound.
func New(src io.Reader, keep, limit int64) *Replayer {
	return &Replayer{src: src, keep: keep, limit: limit}
}

// Replayable reports whether another attempt can have the whole body. It is
// false while an earlier attempt still waits for the caller.
func (b *Replayer) Replayable() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return !b.spent && (b.err == nil || errors.Is(b.err, io.EOF))
}

// TooLarge reports whether the body has passed its limit.
func (b *Replayer) TooLarge() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return errors.Is(b.err, errTooLarge)
}

// Broken reports whether the body ended before it was whole.
func (b *Replayer) Broken() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.err != nil && !errors.Is(b.err, io.EOF)
}

// Bound sets the limit for what is read from now on.
func (b *Replayer) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Attempt returns the body from its start.
func (b *Replayer) NewReader() io.ReadCloser { return &attempt{b: b, done: make(chan struct{})} }

// attempt is the body of one attempt.
type attempt struct {
	b    *Replayer
	pos  int64
	once sync.Once
	done chan struct{}
}

// Read implements io.Reader.
func (a *attempt) Read(p []byte) (int, error) {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	select {
	case <-a.done:
		return 0, errClosed
	default:
	}
	if a.pos < int64(len(a.b.kept)) {
		n := copy(p, a.b.kept[a.pos:])
		a.pos += int64(n)
		return n, nil
	}
	n, err := a.b.next(p)
	a.pos += int64(n)
	return n, err
}

// next reads on from the caller. The caller of next holds mu.
func (b *Replayer) next(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		n, err = 0, errTooLarge
	}
	b.err = err
	switch {
	case b.spent:
	case b.read > b.keep:
		b.spent = true
		b.kept = nil
	default:
		b.kept = append(b.kept, p[:n]...)
	}
	return n, err
}

// Close implements io.Closer. Later reads fail.
func (a *attempt) Close() error {
	a.once.Do(func() { close(a.done) })
	return nil
}

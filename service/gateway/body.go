package gateway

import (
	"errors"
	"io"
	"sync"
)

// replayBytes is how much of a body is kept for a second send.
const replayBytes = 128 << 10

var (
	errBodyTooLarge = errors.New("the body is over its bound")
	errBodyClosed   = errors.New("the attempt is over")
)

// replayBody lets a request's body be sent to several targets, one after the
// other, as long as it is short.
type replayBody struct {
	limit  int64
	length int64

	mu    sync.Mutex
	src   io.Reader
	kept  []byte
	read  int64
	err   error
	spent bool
}

// replayable reports whether another send can have the whole body. It is false
// while an earlier one still waits for the caller.
func (b *replayBody) replayable() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return !b.spent && (b.err == nil || errors.Is(b.err, io.EOF))
}

// tooLarge reports whether the body is over its bound.
func (b *replayBody) tooLarge() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return errors.Is(b.err, errBodyTooLarge)
}

// broken reports whether the caller's body ended before it was whole.
func (b *replayBody) broken() bool {
	if !b.mu.TryLock() {
		return false
	}
	defer b.mu.Unlock()
	return b.err != nil && !errors.Is(b.err, io.EOF)
}

// attempt returns the body from its start.
func (b *replayBody) attempt() io.ReadCloser { return &attemptBody{b: b, done: make(chan struct{})} }

// attemptBody is the body of one send.
type attemptBody struct {
	b    *replayBody
	pos  int
	once sync.Once
	done chan struct{}
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	select {
	case <-a.done:
		return 0, errBodyClosed
	default:
	}
	if a.pos < len(a.b.kept) {
		n := copy(p, a.b.kept[a.pos:])
		a.pos += n
		return n, nil
	}
	n, err := a.b.next(p)
	a.pos += n
	return n, err
}

// next reads on from the caller. The caller of next holds mu.
func (b *replayBody) next(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	b.read += int64(n)
	if b.limit > 0 && b.read > b.limit {
		n, err = 0, errBodyTooLarge
	}
	b.err = err
	switch {
	case b.spent:
	case b.read > replayBytes:
		b.spent = true
		b.kept = nil
	default:
		b.kept = append(b.kept, p[:n]...)
	}
	return n, err
}

// Close implements io.Closer. Later reads fail.
func (a *attemptBody) Close() error {
	a.once.Do(func() { close(a.done) })
	return nil
}

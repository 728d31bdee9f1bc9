package pipeliner

import (
	"context"
	"errors"
	"io"
	"sync"
)

// body is the body of a request, as its handler reads it.
type body struct {
	ex              *exchange
	source          io.ReadCloser
	expectsContinue bool

	once  sync.Once
	ended chan struct{}
}

func (b *body) end() { b.once.Do(func() { close(b.ended) }) }

func (b *body) hasEnded() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// Read implements io.Reader. If the caller waits for a 100 Continue response, the first
// call sends it.
func (b *body) Read(p []byte) (int, error) {
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.sendContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.end()
	}
	return n, err
}

func (b *body) sendContinue() error {
	if !b.ex.waitForTurn() {
		return context.Canceled
	}
	if b.ex.responseStarted.Load() {
		return ErrBodyLength // The response has begun; an interim one cannot follow.
	}
	written, err := b.ex.c.writeInterim()
	if err == nil && !written {
		return ErrBodyLength // It has begun since.
	}
	return err
}

// Close implements io.Closer. The connection discards the unread rest.
func (b *body) Close() error { return nil }

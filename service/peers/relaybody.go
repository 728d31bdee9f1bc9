package peers

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// errBodyTruncated is the error of a body that its sender did not finish.
var errBodyTruncated = errors.New("the body was cut short")

// errBodyClosed is the error of reads after Close.
var errBodyClosed = errors.New("the body is closed")

// relayBody reads a body from the frames of a stream. Read returns io.EOF only
// after the end frame. Close may be called concurrently with Read.
type relayBody struct {
	recv func() (*peerpb.RelayFrame, error)
	// trailer receives the trailer's fields when the body ends; it may be nil.
	trailer http.Header
	// stop ends the stream, which unblocks a waiting Read; it may be nil.
	stop func()

	mu       sync.Mutex
	buffered []byte
	err      error
	once     sync.Once
	done     chan struct{}
}

func newRelayBody(recv func() (*peerpb.RelayFrame, error), trailer http.Header, stop func()) *relayBody {
	return &relayBody{recv: recv, trailer: trailer, stop: stop, done: make(chan struct{})}
}

// Read implements io.Reader.
func (b *relayBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.buffered) == 0 && b.err == nil {
		b.readFrame()
	}
	select {
	case <-b.done:
		return 0, errBodyClosed
	default:
	}
	if len(b.buffered) == 0 {
		return 0, b.err
	}
	n := copy(p, b.buffered)
	b.buffered = b.buffered[n:]
	return n, nil
}

// readFrame receives one frame. The caller holds mu.
func (b *relayBody) readFrame() {
	frame, err := b.recv()
	if err != nil {
		b.err = errBodyTruncated
		return
	}
	switch part := frame.GetPart().(type) {
	case *peerpb.RelayFrame_Body:
		b.buffered = part.Body
	case *peerpb.RelayFrame_End:
		b.err = io.EOF
		if part.End.GetError() != "" {
			b.err = errBodyTruncated
		}
		for name, values := range decodeHeaders(part.End.GetTrailers()) {
			if b.trailer != nil {
				b.trailer[name] = values
			}
		}
	default:
		b.err = errBodyTruncated
	}
}

// Close implements io.Closer.
func (b *relayBody) Close() error {
	b.once.Do(func() { close(b.done) })
	if b.stop != nil {
		b.stop()
	}
	return nil
}

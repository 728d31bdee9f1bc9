package callers

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/sanitizer"
)

// Limits on the transfer of bodies.
const (
	// maxReplayBytes is how much of a request body is kept for a retry.
	maxReplayBytes = 64 << 10
	// bodyIdleTimeout is how long a caller may send or receive nothing.
	bodyIdleTimeout = 30 * time.Second
	// bodyDrainTimeout is how long the rest of a refused request's body may take.
	bodyDrainTimeout = 2 * time.Second
	// maxDrainBytes is the longest body that is read to keep the connection open after
	// a refusal. maxLingerBytes bounds what is read before a connection is closed.
	maxDrainBytes  = 128 << 10
	maxLingerBytes = 4 << 20
	// copyBufferBytes is the size of the buffer for copying a response to a caller.
	copyBufferBytes = 32 << 10
)

// errBodyTooLarge is the read error of a body over the service's limit.
var errBodyTooLarge = errors.New("request body exceeds the service's limit")

// trailerBody is a request body that, when it ends, copies the announced trailer fields
// of a request to a header, sanitised.
type trailerBody struct {
	io.ReadCloser
	from  *http.Request
	to    http.Header
	clean sanitizer.Sanitizer
}

// Read implements io.Reader.
func (t *trailerBody) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name, values := range t.clean.RequestHeader(t.from.Trailer) {
			if _, announced := t.to[name]; announced {
				t.to[name] = values
			}
		}
	}
	return n, err
}

// callerBody is the body of a caller's request. Reading fails if the caller sends
// nothing for bodyIdleTimeout, and after the deadline.
type callerBody struct {
	io.ReadCloser
	rc *http.ResponseController
	// deadline is the deadline of the request; zero means that it is not known yet.
	deadline time.Time
	// ended is set when the whole body was read, and broken after any other error.
	ended  atomic.Bool
	broken atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	// The error is ignored: a connection without support for deadlines is read without
	// one.
	_ = b.rc.SetReadDeadline(earlier(time.Now().Add(bodyIdleTimeout), b.deadline))
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.ended.Store(true)
		_ = b.rc.SetReadDeadline(time.Time{})
	default:
		b.broken.Store(true)
	}
	return n, err
}

// earlier returns the earlier one of two times; a zero deadline is ignored.
func earlier(t, deadline time.Time) time.Time {
	if !deadline.IsZero() && deadline.Before(t) {
		return deadline
	}
	return t
}

// readAll reads a whole body. It returns errBodyTooLarge if that is longer than limit
// bytes.
func readAll(r io.Reader, limit int64) ([]byte, error) {
	var buf bytes.Buffer
	n, err := buf.ReadFrom(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if n > limit {
		return nil, errBodyTooLarge
	}
	return buf.Bytes(), nil
}

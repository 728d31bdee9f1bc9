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

// The bounds of bodies on their way.
const (
	// replayBytes is how much of a body is kept for a retry.
	replayBytes = 64 << 10
	// bodyProgress is how long a caller may send or take nothing.
	bodyProgress = 30 * time.Second
	// bodyDrain is how long the rest of a refused request's body may take.
	bodyDrain = 2 * time.Second
	// bodyDrainBytes is the longest rest for which a connection is kept, and
	// bodyLingerBytes the longest that is read from one that is not.
	bodyDrainBytes  = 128 << 10
	bodyLingerBytes = 4 << 20
	// copyBytes is the size of the buffer between a target and a caller.
	copyBytes = 32 << 10
)

// errBodyTooLarge ends a body that is over the service's bound.
var errBodyTooLarge = errors.New("the body is over the service's bound")

// trailerBody hands the trailer on when the body ends.
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
		for name, values := range t.clean.Request(t.from.Trailer) {
			if _, announced := t.to[name]; announced {
				t.to[name] = values
			}
		}
	}
	return n, err
}

// progressBody is a caller's body. It gives up on a caller that sends nothing
// for too long, and knows whether the body has ended as it should.
type progressBody struct {
	io.ReadCloser
	rc *http.ResponseController
	// until is the end of the request's time; zero means that it is not known.
	until time.Time
	// ended is set once the whole body was read, and broken at any other error.
	ended  atomic.Bool
	broken atomic.Bool
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	// A connection without deadlines is read without a bound.
	_ = b.rc.SetReadDeadline(earlier(time.Now().Add(bodyProgress), b.until))
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

// earlier returns the earlier one of two times; a zero until does not count.
func earlier(t, until time.Time) time.Time {
	if !until.IsZero() && until.Before(t) {
		return until
	}
	return t
}

// readAll reads a whole body of at most limit bytes.
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

// Package receiver reads the bodies of responses and tells whether one is arriving, so that a
// slow link can be told from a stalled one.
package receiver

import (
	"io"
	"sync/atomic"
	"time"
)

// Receiver tracks the bodies that are being read. The zero value is ready for use, and its
// methods are safe for concurrent use.
type Receiver struct {
	bytes atomic.Int64
	// open counts the bodies that are being read.
	open atomic.Int64
	// lastAt is when something arrived last.
	lastAt atomic.Pointer[time.Time]
}

// ReadAll reads a body to its end. It returns the error of the body.
func (r *Receiver) ReadAll(body io.Reader) ([]byte, error) {
	r.open.Add(1)
	defer r.open.Add(-1)
	return io.ReadAll(&reader{r, body})
}

// Bytes returns the number of bytes that were read so far.
func (r *Receiver) Bytes() int64 { return r.bytes.Load() }

// Receiving reports whether a body is arriving: a part of it came within the last recent.
func (r *Receiver) Receiving(recent time.Duration) bool {
	at := r.lastAt.Load()
	return r.open.Load() > 0 && at != nil && time.Since(*at) < recent
}

// reader records what is read.
type reader struct {
	receiver *Receiver
	body     io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n > 0 {
		now := time.Now()
		r.receiver.bytes.Add(int64(n))
		r.receiver.lastAt.Store(&now)
	}
	return n, err
}

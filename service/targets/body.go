package targets

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// writeTimeout is how long the end of a response waits for the writing of its request:
	// a target may respond before the write of what it has read returns.
	writeTimeout = 200 * time.Millisecond
	// writePollInterval is the time between two checks whether the writing has ended.
	writePollInterval = time.Millisecond
)

// responseBody is a response body whose connection can be closed, also while the
// connection carries the next request.
type responseBody struct {
	io.ReadCloser
	tracker   *connTracker
	conn      *countedConn
	transport *transport
	// untilClose is set if the body ends with its connection, and truncated if it ended
	// before the whole request was written.
	untilClose, truncated bool
}

// wrapBody gives the response a responseBody.
func (ct *connTracker) wrapBody(resp *http.Response, t *transport) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.conn == nil {
		return
	}
	if resp.Body == http.NoBody {
		ct.conn.setAnswered(ct)
	}
	untilClose := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	resp.Body = &responseBody{ReadCloser: resp.Body, tracker: ct, conn: ct.conn, transport: t, untilClose: untilClose}
}

// Read implements io.Reader. If the body ends with its connection, it returns io.EOF only if
// the whole request was written: when a write fails by a reset of the connection, the read
// that follows sees an orderly end.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.untilClose {
		b.truncated = b.truncated || !b.requestWritten()
		if b.truncated {
			return n, io.ErrUnexpectedEOF
		}
	}
	b.conn.setAnswered(b.tracker)
	return n, err
}

// requestWritten reports whether the whole request was written. It waits until that is known,
// for up to writeTimeout.
func (b *responseBody) requestWritten() bool {
	for end := time.Now().Add(writeTimeout); ; time.Sleep(writePollInterval) {
		written, failed := b.tracker.progress()
		if written || failed || !time.Now().Before(end) {
			return written && !failed
		}
	}
}

// CloseConnection closes the connection of the response. It also closes the target's
// idle connections, as net/http would still reuse this one.
func (b *responseBody) CloseConnection() {
	_ = b.conn.abandon() // it is unusable even if closing it fails
	b.transport.CloseIdleConnections()
}

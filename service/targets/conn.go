package targets

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// errResent is the write error that keeps net/http from retrying a request by itself.
var errResent = errs.New("the request may already have been sent on another connection; not sending it again")

// blankLine ends the header of a request.
const blankLine = "\r\n\r\n"

// countedConn counts the attempted writes, tracks how much of a request was written, and
// can reject further writes. A request that is given up ends with the connection: Close resets
// it then, as the kernel would otherwise go on to deliver what the target has not received yet.
type countedConn struct {
	net.Conn
	rejectWrites atomic.Bool
	// onClose is called once when the connection is closed.
	onClose func()
	closed  sync.Once

	mu sync.Mutex
	// attempted counts the writes, and ended those that have returned.
	attempted, ended uint64
	failed           bool
	// matched is how many bytes of the blankLine of the current request were written, and
	// bodyBytes how many bytes after it.
	matched   int
	bodyBytes int64
	// unanswered is the request to which no whole response has been read, nil if there is none.
	// abandoned is set if no response is wanted any more.
	unanswered *connTracker
	abandoned  bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.closed.Do(func() {
		if t, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok && c.isGivenUp() {
			_ = t.SetLinger(0) // it fails if the connection is closed
		}
		c.onClose()
	})
	return c.Conn.Close()
}

// abandon closes the connection, and gives up its request, if there is one.
func (c *countedConn) abandon() error {
	c.mu.Lock()
	c.abandoned = true
	c.mu.Unlock()
	return c.Close()
}

// isGivenUp reports whether there is a request whose response is not wanted any more.
func (c *countedConn) isGivenUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered != nil && (c.abandoned || c.unanswered.ctx.Err() != nil)
}

// setAnswered takes in that the response to a request has been read whole. The next request may
// have begun.
func (c *countedConn) setAnswered(ct *connTracker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered == ct {
		c.unanswered = nil
	}
}

// Write counts before it writes, so that a failed write counts too. It fails with
// errResent once rejectWrites is set.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.rejectWrites.Load() {
		return 0, errResent
	}
	c.mu.Lock()
	c.attempted++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
	c.failed = c.failed || err != nil
	c.track(b[:n])
	return n, err
}

// track takes in bytes of a request that were written. The caller holds mu.
func (c *countedConn) track(b []byte) {
	for c.matched < len(blankLine) {
		if len(b) == 0 {
			return
		}
		switch b[0] {
		case blankLine[c.matched]:
			c.matched++
		case blankLine[0]:
			c.matched = 1
		default:
			c.matched = 0
		}
		b = b[1:]
	}
	c.bodyBytes += int64(len(b))
}

// begin prepares for the next request. It returns the number of attempted writes.
func (c *countedConn) begin(ct *connTracker) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.matched, c.bodyBytes = 0, 0
	c.unanswered = ct
	return c.attempted
}

// attempts returns the number of attempted writes.
func (c *countedConn) attempts() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attempted
}

// connTracker tracks the connections that net/http uses for one request. If a reused
// connection breaks, net/http retries a request that has an Idempotency-Key;
// connTracker allows that only if nothing was written yet.
type connTracker struct {
	// ctx is the context of the request.
	ctx context.Context
	// length is the length of the request's body, or -1 if it is not known.
	length int64

	mu           sync.Mutex
	conn         *countedConn
	writesBefore uint64
	reused       bool
	// buffered is set when the whole request is in the write buffer of the connection, and
	// writesBuffered is the number of attempted writes then.
	buffered       bool
	writesBuffered uint64
}

// newConnTracker returns a connTracker for the request.
func newConnTracker(ctx context.Context, r *http.Request) *connTracker {
	ct := &connTracker{ctx: ctx}
	switch {
	case r.Body == nil || r.Body == http.NoBody:
	case r.ContentLength == 0:
		ct.length = -1 // net/http takes a length of 0 for unknown
	default:
		ct.length = r.ContentLength
	}
	return ct
}

// gotConn is the httptrace hook that is called before the request is written to a
// connection.
func (ct *connTracker) gotConn(info httptrace.GotConnInfo) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	next, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	if ct.sent() {
		next.rejectWrites.Store(true)
		return
	}
	ct.conn = next
	ct.writesBefore = next.begin(ct)
	ct.reused = info.Reused
}

// wroteRequest is the httptrace hook that is called when the request was written to the
// buffer of the connection, which is flushed afterwards.
func (ct *connTracker) wroteRequest(info httptrace.WroteRequestInfo) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.conn != nil && info.Err == nil {
		ct.buffered, ct.writesBuffered = true, ct.conn.attempts()
	}
}

// sent reports whether a write was attempted. The caller holds mu.
func (ct *connTracker) sent() bool {
	return ct.conn != nil && ct.conn.attempts() > ct.writesBefore
}

// progress reports whether the whole request was written, and whether a write failed.
func (ct *connTracker) progress() (written, failed bool) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	c := ct.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if ct.length >= 0 {
		return c.matched == len(blankLine) && c.bodyBytes >= ct.length, c.failed
	}
	// The end of a chunked body is always in the buffer at first, and flushed by one more
	// write.
	return ct.buffered && c.ended > ct.writesBuffered, c.failed
}

func (ct *connTracker) trace() Trace {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return Trace{Connected: ct.conn != nil, Sent: ct.sent(), Reused: ct.reused}
}

package targets

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/zeebo/errs"
)

// errResent is the write error that keeps net/http from retrying a request by itself.
var errResent = errs.New("the request may already have been sent on another connection; not sending it again")

// countedConn counts the attempted writes, and can reject further ones.
type countedConn struct {
	net.Conn
	writes       atomic.Uint64
	rejectWrites atomic.Bool
}

// Write counts before it writes, so that a failed write counts too. It fails with
// errResent once rejectWrites is set.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.rejectWrites.Load() {
		return 0, errResent
	}
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// connTracker tracks the connections that net/http uses for one request. If a reused
// connection breaks, net/http retries a request that has an Idempotency-Key;
// connTracker allows that only if nothing was written yet.
type connTracker struct {
	mu           sync.Mutex
	conn         *countedConn
	writesBefore uint64
	reused       bool
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
	ct.writesBefore = next.writes.Load()
	ct.reused = info.Reused
}

// sent reports whether a write was attempted. The caller holds mu.
func (ct *connTracker) sent() bool {
	return ct.conn != nil && ct.conn.writes.Load() > ct.writesBefore
}

// responseBody is a response body whose connection can be closed, also while the
// connection carries the next request.
type responseBody struct {
	io.ReadCloser
	conn      *countedConn
	transport *transport
}

// CloseConnection closes the connection of the response. It also closes the target's
// idle connections, as net/http would still reuse this one.
func (b *responseBody) CloseConnection() {
	_ = b.conn.Close() // it is unusable even if closing it fails
	b.transport.CloseIdleConnections()
}

// wrapBody gives the response a responseBody.
func (ct *connTracker) wrapBody(resp *http.Response, t *transport) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.conn != nil {
		resp.Body = &responseBody{resp.Body, ct.conn, t}
	}
}

func (ct *connTracker) trace() Trace {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return Trace{Connected: ct.conn != nil, Sent: ct.sent(), Reused: ct.reused}
}

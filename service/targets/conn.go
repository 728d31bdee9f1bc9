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

// errResent stops the transport's own repetition of a request.
var errResent = errs.New("the request may have been sent before")

// countedConn counts the writes that were tried, and can refuse further ones.
type countedConn struct {
	net.Conn
	writes  atomic.Uint64
	refuses atomic.Bool
}

// Write counts before it writes, so that a failed write counts too.
func (c *countedConn) Write(b []byte) (int, error) {
	if c.refuses.Load() {
		return 0, errResent
	}
	c.writes.Add(1)
	return c.Conn.Write(b)
}

// attempt follows one request over the connections that it gets. The transport
// repeats a request that has an Idempotency-Key when a kept connection breaks;
// attempt lets it do so only while nothing was written.
type attempt struct {
	mu     sync.Mutex
	conn   *countedConn
	before uint64
	reused bool
}

// gotConn is called before the request is written to the connection.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	if a.sent() {
		next.refuses.Store(true)
		return
	}
	a.conn = next
	a.before = next.writes.Load()
	a.reused = info.Reused
}

// sent reports whether a write was tried. The caller holds mu.
func (a *attempt) sent() bool {
	return a.conn != nil && a.conn.writes.Load() > a.before
}

// body is the body of an answer. Its connection can be ended from outside, also while
// it carries the next request.
type body struct {
	io.ReadCloser
	conn      *countedConn
	transport *transport
}

// Break ends the connection that the answer came on. The connections to the target that
// are not in use go too, as the transport would still give this one out.
func (b *body) CloseConnection() {
	_ = b.conn.Close() // It is of no more use either way.
	b.transport.CloseIdleConnections()
}

// wrap lets the answer's connection be ended.
func (a *attempt) wrap(resp *http.Response, t *transport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		resp.Body = &body{resp.Body, a.conn, t}
	}
}

func (a *attempt) trace() Trace {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Trace{Connected: a.conn != nil, Sent: a.sent(), Reused: a.reused}
}

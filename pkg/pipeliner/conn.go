package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// conn is one caller's connection. A reader goroutine reads requests and starts
// their handlers; each handler writes its answer when its turn has come.
type conn struct {
	srv    *Server
	nc     net.Conn
	limit  *headLimit
	br     *bufio.Reader
	bw     *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// active counts the requests whose answers are not finished.
	active int
	// closing is set once the connection carries no further request.
	closing bool
	// answering is set while an answer is being written.
	answering bool
	// plain is set once a request came whose caller knows no interim answers.
	plain bool
}

// headLimit bounds the bytes that are read for one head; a negative rest means
// no bound.
type headLimit struct {
	r    io.Reader
	rest int
}

// errHeadTooLarge ends the reading of a head that is over its bound.
var errHeadTooLarge = errors.New("the head is over its bound")

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.rest == 0 {
		return 0, errHeadTooLarge
	}
	if l.rest > 0 && len(p) > l.rest {
		p = p[:l.rest]
	}
	n, err := l.r.Read(p)
	if l.rest > 0 {
		l.rest -= n
	}
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{srv: s, nc: nc, limit: &headLimit{r: nc, rest: -1}}
	c.br = bufio.NewReaderSize(c.limit, bufferBytes)
	c.bw = bufio.NewWriterSize(nc, bufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.srv.forget(c)
	defer c.cancel()
	turn := make(chan struct{})
	close(turn)
	for {
		r, err := c.next()
		if err != nil {
			c.refuse(err, turn)
			return
		}
		next := make(chan struct{})
		ex := newExchange(c, r, turn, next)
		if !repeatable(r) && !ex.wait() {
			return
		}
		if !c.begin() {
			// The answer before it closes the connection: this one is not read.
			return
		}
		go ex.run()
		turn = next
		if !ex.bodyRead() {
			return
		}
	}
}

// repeatable reports whether a request may be handled while the answers before
// it are not out yet.
func repeatable(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ContentLength == 0
}

// next reads one request. While the connection waits for its first byte it may
// be closed at any time.
func (c *conn) next() (*http.Request, error) {
	bounds := c.srv.bounds()
	_ = c.nc.SetReadDeadline(time.Now().Add(bounds.IdleTimeout)) // A closed connection fails the read.
	if c.br.Buffered() == 0 {
		if err := c.awaitFirst(); err != nil {
			return nil, err
		}
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(bounds.HeaderTimeout))
	c.limit.rest = max(bounds.MaxHeaderBytes-c.br.Buffered(), 0) + headSlack
	r, err := http.ReadRequest(c.br)
	c.limit.rest = -1
	if err != nil {
		return nil, &ErrHead{Err: err}
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	r.RemoteAddr = c.nc.RemoteAddr().String()
	c.plain = c.plain || !takesInterim(r)
	return r, nil
}

// awaitFirst waits for a byte. Idle time counts only while no answer is due.
func (c *conn) awaitFirst() error {
	for {
		_, err := c.br.Peek(1)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.busy() {
			_ = c.nc.SetReadDeadline(time.Now().Add(c.srv.bounds().IdleTimeout))
			continue
		}
		return err
	}
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > 0
}

// begin counts a request in, unless the connection is closing.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.active++
	return true
}

// end counts a request out.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
}

// seal lets no further request begin.
func (c *conn) seal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// abort cuts the connection and what still runs for it.
func (c *conn) abort() {
	c.seal()
	c.cancel()
	_ = c.nc.Close() // Nothing is left to tell.
}

// finish closes the connection behind its last answer. The caller may still be
// sending: what comes is read for a while, as a close over unread bytes would
// reset the connection and could take the answer with it.
func (c *conn) finish() {
	c.seal()
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok && t.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
		return // The reader closes.
	}
	_ = c.nc.Close()
}

// refuse answers a request that cannot be read, in its turn.
func (c *conn) refuse(err error, turn <-chan struct{}) {
	var head *ErrHead
	if !errors.As(err, &head) {
		c.gone(err, turn)
		return
	}
	if status := head.status(); status != 0 {
		select {
		case <-turn:
			c.seal()
			writeStatus(c.bw, status)
		case <-c.ctx.Done():
		}
	}
	c.linger()
}

// gone ends a connection that brings no further request. A caller that only closed
// its side for writing gets its answers first; what runs for one that closed both
// sides is cancelled.
func (c *conn) gone(err error, turn <-chan struct{}) {
	if c.isClosing() {
		c.linger()
		return
	}
	if errors.Is(err, io.EOF) && !c.plain {
		c.serveHalfClosed(turn)
	}
	c.abort()
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// linger reads what is still on its way, and closes.
func (c *conn) linger() {
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite() // A connection that is gone is closed below.
	}
	_, _ = io.CopyN(io.Discard, c.nc, lingerBytes) // Whatever ends it, the connection is closed.
	c.abort()
}

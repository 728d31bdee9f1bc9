package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// conn is one caller's connection. One goroutine reads requests and starts a goroutine
// for each; that one writes its response after the earlier responses.
type conn struct {
	server     *Server
	nc         net.Conn
	headReader *headReader
	br         *bufio.Reader
	bw         *bufio.Writer
	state      connState
	// ctx ends with the connection, and requests, the context of its requests, at the latest
	// then.
	ctx            context.Context
	cancel         context.CancelFunc
	requests       context.Context
	cancelRequests context.CancelCauseFunc
	// noInterim is set once a request came whose HTTP version has no interim responses.
	noInterim bool
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, headReader: &headReader{r: nc, remaining: -1, heads: s.heads}}
	c.state.shutdown, c.state.lastDue = &s.shutdown, time.Now()
	c.br = bufio.NewReaderSize(c.headReader, bufferBytes)
	c.bw = bufio.NewWriterSize(nc, bufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.requests, c.cancelRequests = context.WithCancelCause(c.ctx)
	return c
}

// serve reads requests and starts their handlers until the connection ends.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	turn := make(chan struct{})
	close(turn)
	for {
		r, err := c.readRequest()
		if err != nil {
			c.handleReadError(err, turn)
			return
		}
		done := make(chan struct{})
		ex := newExchange(c, r, turn, done)
		if !c.begin(ex) {
			c.awaitResponses(turn)
			return
		}
		go ex.run()
		turn = done
		if !ex.waitForBody() {
			return
		}
	}
}

// begin waits until the request may begin. It returns false if an earlier response closes the
// connection, or the connection has ended: the request is dropped.
func (c *conn) begin(ex *exchange) bool {
	early := mayRunEarly(ex.r) && ex.startEarly()
	for {
		if !early && !ex.waitForTurn() {
			return false
		}
		a, number := c.state.beginRequest(ex.r.Close)
		if a == admitted {
			ex.number = number
			return true
		}
		if early {
			ex.endEarly()
		}
		if a == dropped {
			return false
		}
		early = false
	}
}

// mayRunEarly reports whether a request may be handled before the earlier responses
// are written.
func mayRunEarly(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ContentLength == 0
}

// readRequest reads the head of the next request. The error is an *ErrHead if the head
// cannot be read after its first byte came.
func (c *conn) readRequest() (*http.Request, error) {
	bounds := c.server.bounds()
	c.setReadDeadline(time.Now().Add(bounds.IdleTimeout))
	if c.br.Buffered() == 0 {
		if err := c.waitFirstByte(); err != nil {
			return nil, err
		}
	}
	c.state.setIncoming(true)
	deadline := time.Now().Add(bounds.HeaderTimeout)
	c.setReadDeadline(deadline)
	c.headReader.begin(max(bounds.MaxHeaderBytes-c.br.Buffered(), 0)+headExtraBytes, deadline)
	r, err := http.ReadRequest(c.br)
	c.headReader.end()
	if err != nil {
		c.state.setIncoming(false)
		return nil, &ErrHead{Err: err}
	}
	c.setReadDeadline(time.Time{})
	r.RemoteAddr = c.nc.RemoteAddr().String()
	c.noInterim = c.noInterim || !acceptsInterim(r)
	return r, nil
}

// waitFirstByte waits for the first byte of a request. The idle timeout starts again
// while a response is due.
func (c *conn) waitFirstByte() error {
	for {
		_, err := c.br.Peek(1)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.state.dueCount() > 0 {
			c.setReadDeadline(time.Now().Add(c.server.bounds().IdleTimeout))
			continue
		}
		return err
	}
}

// setReadDeadline bounds the next reads, unless the connection is lingering, whose bound
// stays.
func (c *conn) setReadDeadline(t time.Time) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if !c.state.lingering {
		_ = c.nc.SetReadDeadline(t) // A closed connection fails the read.
	}
}

// extendWriteDeadline must be called before each write, as the deadline of an earlier one may
// have passed.
func (c *conn) extendWriteDeadline() {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // A closed connection fails the write.
}

// closeIfIdle closes the connection, unless it has come into use.
func (c *conn) closeIfIdle() {
	if c.state.closeIfIdle() {
		c.abort()
	}
}

// abort closes the connection and cancels its requests.
func (c *conn) abort() {
	c.state.close()
	c.cancel()
	_ = c.nc.Close() // There is nobody to report an error to.
}

// cutOff is like abort, and counts the responses that are due, unless the caller is gone.
func (c *conn) cutOff(callerGone bool) {
	if !callerGone && c.ctx.Err() == nil {
		c.server.cut.Add(int64(c.state.dueCount()))
	}
	c.abort()
}

// closeAfterResponse closes the connection after its last response. The caller may
// still be sending. A close with unread bytes would reset the connection, and the
// caller could lose the response; so only the write side is closed, and the reading
// goroutine discards what comes for lingerTime before it closes the connection.
func (c *conn) closeAfterResponse() {
	c.state.close()
	if !c.beginLinger() {
		_ = c.nc.Close()
	}
}

// beginLinger closes the write side and bounds the time of further reads. It returns false if
// the connection has no sides that can be closed alone.
func (c *conn) beginLinger() bool {
	c.state.mu.Lock()
	c.state.lingering = true
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime)) // A closed connection fails the read.
	c.state.mu.Unlock()
	t, ok := c.nc.(interface{ CloseWrite() error })
	return ok && t.CloseWrite() == nil
}

// linger closes the write side, discards what the caller still sends for at most
// lingerTime and lingerBytes, and closes the connection.
func (c *conn) linger() {
	c.beginLinger()
	_, _ = io.CopyN(io.Discard, c.nc, lingerBytes) // The connection is closed below in any case.
	c.abort()
}

// awaitResponses is called when no further request may begin. It discards what the caller still
// sends until the responses that are due have been written, turn being closed by the last one.
// A caller that disconnects before that cancels its requests.
func (c *conn) awaitResponses(turn <-chan struct{}) {
	c.setReadDeadline(time.Time{})
	_, err := io.CopyN(io.Discard, c.nc, lingerBytes)
	switch {
	case err == nil: // The caller does not stop sending, and its bytes are left unread.
		c.waitFor(turn)
		c.linger()
	case errors.Is(err, io.EOF):
		c.serveHalfClosed(turn)
	}
	c.abort()
}

// waitFor waits until the last response that is due is written. It returns false if the
// connection ends before that.
func (c *conn) waitFor(turn <-chan struct{}) bool {
	select {
	case <-turn:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// handleReadError ends the connection after a failed readRequest. If the head was
// invalid, it writes an error response after the earlier responses.
func (c *conn) handleReadError(err error, turn <-chan struct{}) {
	var head *ErrHead
	switch {
	case c.state.isClosing():
		c.awaitResponses(turn)
	case errors.As(err, &head) && head.status() != 0:
		c.rejectHead(head.status(), turn)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		c.serveHalfClosed(turn)
	}
	c.abort()
}

// rejectHead writes an error response after the earlier responses, unless one of them closes
// the connection.
func (c *conn) rejectHead(status int, turn <-chan struct{}) {
	if c.waitFor(turn) && c.state.close() {
		c.extendWriteDeadline()
		writeStatus(c.bw, status)
	}
	c.linger()
}

package pipeliner

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
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
	ctx        context.Context
	cancel     context.CancelFunc

	mu sync.Mutex
	// active counts the requests whose responses are not written yet, and lastActive is
	// when that was last above 0.
	active     int
	lastActive time.Time
	// reading is set while a request head is being read.
	reading bool
	// closing is set once no further request may begin.
	closing bool
	// writingResponse is set while a response is being written.
	writingResponse bool
	// noInterim is set once a request came whose HTTP version has no interim
	// responses.
	noInterim bool
}

// headReader bounds the bytes and the lines that are read for one request head. If remaining
// is negative, there is no bound.
type headReader struct {
	r                io.Reader
	remaining, lines int
	// heads has room for the heads that may exceed the read buffer at once, and holds is set
	// while this one takes up room. The wait for room ends at deadline.
	heads    chan struct{}
	holds    bool
	deadline time.Time
	read     int
}

// errHeadTooLarge is returned by headReader when the bound is reached.
var errHeadTooLarge = errors.New("the request head is too large")

// begin bounds the head that is read next, until end.
func (l *headReader) begin(maxBytes int, deadline time.Time) {
	l.remaining, l.lines, l.read, l.deadline = maxBytes, maxHeadLines, 0, deadline
}

// waitForRoom returns an error if there is no room for a large head until the deadline.
func (l *headReader) waitForRoom() error {
	t := time.NewTimer(time.Until(l.deadline))
	defer t.Stop()
	select {
	case l.heads <- struct{}{}:
		l.holds = true
		return nil
	case <-t.C:
		return os.ErrDeadlineExceeded
	}
}

func (l *headReader) end() {
	l.remaining = -1
	if l.holds {
		<-l.heads
		l.holds = false
	}
}

// Read implements io.Reader.
func (l *headReader) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return l.r.Read(p)
	}
	if l.remaining == 0 || l.lines <= 0 {
		return 0, errHeadTooLarge
	}
	if l.read >= bufferBytes && !l.holds {
		if err := l.waitForRoom(); err != nil {
			return 0, err
		}
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.read += n
	l.lines -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{server: s, nc: nc, headReader: &headReader{r: nc, remaining: -1, heads: s.heads}, lastActive: time.Now()}
	c.br = bufio.NewReaderSize(c.headReader, bufferBytes)
	c.bw = bufio.NewWriterSize(nc, bufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// serve reads requests and starts their handlers until the connection ends.
func (c *conn) serve() {
	defer c.server.removeConn(c)
	defer c.cancel()
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
		if !mayRunEarly(r) || !ex.startEarly() {
			if !ex.waitForTurn() {
				return
			}
		}
		if !c.beginRequest() {
			// An earlier response closes the connection; this request is dropped.
			ex.endEarly()
			return
		}
		go ex.run()
		turn = done
		if !ex.waitForBody() {
			return
		}
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
	_ = c.nc.SetReadDeadline(time.Now().Add(bounds.IdleTimeout)) // A closed connection fails the read.
	if c.br.Buffered() == 0 {
		if err := c.waitFirstByte(); err != nil {
			return nil, err
		}
	}
	c.setReading(true)
	defer c.setReading(false)
	deadline := time.Now().Add(bounds.HeaderTimeout)
	_ = c.nc.SetReadDeadline(deadline)
	c.headReader.begin(max(bounds.MaxHeaderBytes-c.br.Buffered(), 0)+headExtraBytes, deadline)
	r, err := http.ReadRequest(c.br)
	c.headReader.end()
	if err != nil {
		return nil, &ErrHead{Err: err}
	}
	_ = c.nc.SetReadDeadline(time.Time{})
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
		if errors.As(err, &timeout) && timeout.Timeout() && c.hasActive() {
			_ = c.nc.SetReadDeadline(time.Now().Add(c.server.bounds().IdleTimeout))
			continue
		}
		return err
	}
}

// extendWriteDeadline must be called before each write, as the deadline of an earlier one may
// have passed.
func (c *conn) extendWriteDeadline() {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // A closed connection fails the write.
}

func (c *conn) hasActive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active > 0
}

// beginRequest adds a request to active. It returns false if the connection is
// closing.
func (c *conn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.active++
	return true
}

// endRequest removes a request from active.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active--
	c.lastActive = time.Now()
}

// idleSince returns since when the connection has been idle, and false if it is in use.
func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastActive, c.active == 0 && !c.reading
}

// closeIfIdle closes the connection, unless it has come into use.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	idle := c.active == 0 && !c.reading
	c.closing = c.closing || idle
	c.mu.Unlock()
	if idle {
		c.abort()
	}
}

func (c *conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// setClosing prevents further requests from beginning.
func (c *conn) setClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// abort closes the connection and cancels its requests.
func (c *conn) abort() {
	c.setClosing()
	c.cancel()
	_ = c.nc.Close() // There is nobody to report an error to.
}

// closeAfterResponse closes the connection after its last response. The caller may
// still be sending. A close with unread bytes would reset the connection, and the
// caller could lose the response; so only the write side is closed, and the reader
// discards what comes for lingerTime.
func (c *conn) closeAfterResponse() {
	c.setClosing()
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok && t.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
		return // The reading goroutine closes the connection.
	}
	_ = c.nc.Close()
}

// handleReadError ends the connection after a failed readRequest. If the head was
// invalid, it writes an error response after the earlier responses.
func (c *conn) handleReadError(err error, turn <-chan struct{}) {
	var head *ErrHead
	if !errors.As(err, &head) {
		c.handleDisconnect(err, turn)
		return
	}
	if status := head.status(); status != 0 {
		select {
		case <-turn:
			c.setClosing()
			c.extendWriteDeadline()
			writeStatus(c.bw, status)
		case <-c.ctx.Done():
		}
	}
	c.linger()
}

// handleDisconnect ends a connection that brings no further request. A caller that
// closed only its side for writing gets its responses first. The requests of one that
// closed both sides are cancelled.
func (c *conn) handleDisconnect(err error, turn <-chan struct{}) {
	if c.isClosing() {
		c.linger()
		return
	}
	if errors.Is(err, io.EOF) && !c.noInterim {
		c.serveHalfClosed(turn)
	}
	c.abort()
}

func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// linger closes the write side, discards what the caller still sends for at most
// lingerTime and lingerBytes, and closes the connection.
func (c *conn) linger() {
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime))
	if t, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = t.CloseWrite() // The connection is closed below in any case.
	}
	_, _ = io.CopyN(io.Discard, c.nc, lingerBytes) // The connection is closed below in any case.
	c.abort()
}

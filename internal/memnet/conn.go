package memnet

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bufferBytes is the number of unread bytes in one direction from which on writers
// wait.
const bufferBytes = 256 << 10

// maxSegmentBytes is the size of the pieces in which longer writes pass the links, so that
// other connections' data passes between them.
const maxSegmentBytes = 16 << 10

// conn is one end of a connection.
type conn struct {
	network    *Network
	local      string
	remote     string
	remoteAddr net.Addr
	r, w       *stream
	// resets is set if Close resets the connection.
	resets atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) { return c.r.read(b) }

// Write implements net.Conn. A write after the other side has closed the connection
// resets the reading direction too, as TCP does.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.w.write(b)
	if errors.Is(err, syscall.EPIPE) {
		c.r.reset()
	}
	return n, err
}

// SetLinger makes Close reset the connection if sec is 0, as that of net.TCPConn does: data that has
// not arrived is lost.
func (c *conn) SetLinger(sec int) error {
	c.resets.Store(sec == 0)
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.resets.Load() {
		c.abort()
		return nil
	}
	c.r.closeRead()
	c.w.closeWrite()
	c.unregister()
	return nil
}

// CloseWrite closes the writing direction, as that of net.TCPConn does.
func (c *conn) CloseWrite() error {
	c.w.closeWrite()
	return nil
}

// abort resets both directions.
func (c *conn) abort() {
	c.r.reset()
	c.w.reset()
	c.unregister()
}

func (c *conn) unregister() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(net.JoinHostPort(c.local, "1")) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remoteAddr }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.r.setReadDeadline(t)
	c.w.setWriteDeadline(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.r.setReadDeadline(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.w.setWriteDeadline(t)
	return nil
}

// segment is the data of one write and the time at which it arrives.
type segment struct {
	data      []byte
	arrivesAt time.Time
}

// stream is one direction of a connection.
type stream struct {
	network  *Network
	from, to string

	mu            sync.Mutex
	segments      []segment
	buffered      int
	eofAt         time.Time
	writeClosed   bool
	readClosed    bool
	aborted       bool
	readDeadline  time.Time
	writeDeadline time.Time
	changed       chan struct{}
}

// update applies change under the stream's lock and wakes the waiters.
func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func (s *stream) closeWrite() {
	at := s.network.arrival(s.from, s.to, 0)
	s.update(func() {
		s.writeClosed = true
		s.eofAt = at
	})
}

func (s *stream) reset()     { s.update(func() { s.aborted = true }) }
func (s *stream) closeRead() { s.update(func() { s.readClosed = true }) }

func (s *stream) setReadDeadline(t time.Time)  { s.update(func() { s.readDeadline = t }) }
func (s *stream) setWriteDeadline(t time.Time) { s.update(func() { s.writeDeadline = t }) }

// wait blocks until the stream or the network changes, or until the earliest of the
// times that are not zero. The caller holds mu, which is released meanwhile.
func (s *stream) wait(networkChanged chan struct{}, times ...time.Time) {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	changed := s.changed
	s.mu.Unlock()
	defer s.mu.Lock()
	var earliest time.Time
	for _, t := range times {
		if !t.IsZero() && (earliest.IsZero() || t.Before(earliest)) {
			earliest = t
		}
	}
	var timeout <-chan time.Time
	if !earliest.IsZero() {
		timer := time.NewTimer(time.Until(earliest))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-changed:
	case <-networkChanged:
	case <-timeout:
	}
}

func (s *stream) linkState() (blocked bool, changed chan struct{}) {
	s.network.mu.Lock()
	defer s.network.mu.Unlock()
	return s.network.blocked(s.from, s.to), s.network.changeNotify()
}

func (s *stream) read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		blocked, networkChanged := s.linkState()
		now := time.Now()
		switch {
		case s.readClosed:
			return 0, net.ErrClosed
		case s.aborted:
			return 0, syscall.ECONNRESET
		case expired(s.readDeadline, now):
			return 0, os.ErrDeadlineExceeded
		case blocked:
			s.wait(networkChanged, s.readDeadline)
		case len(s.segments) > 0 && !s.segments[0].arrivesAt.After(now):
			return s.consume(b), nil
		case len(s.segments) > 0:
			s.wait(networkChanged, s.readDeadline, s.segments[0].arrivesAt)
		case s.writeClosed && !s.eofAt.After(now):
			return 0, io.EOF
		case s.writeClosed:
			s.wait(networkChanged, s.readDeadline, s.eofAt)
		default:
			s.wait(networkChanged, s.readDeadline)
		}
	}
}

// consume moves bytes of the first segment to b. The caller holds mu.
func (s *stream) consume(b []byte) int {
	n := copy(b, s.segments[0].data)
	s.segments[0].data = s.segments[0].data[n:]
	if len(s.segments[0].data) == 0 {
		s.segments = s.segments[1:]
	}
	s.buffered -= n
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return n
}

// write sends b in segments.
func (s *stream) write(b []byte) (int, error) {
	written := 0
	for {
		n, err := s.writeSegment(b[written:min(len(b), written+maxSegmentBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (s *stream) writeSegment(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case s.writeClosed:
			return 0, net.ErrClosed
		case s.aborted, s.readClosed:
			return 0, syscall.EPIPE
		case expired(s.writeDeadline, time.Now()):
			return 0, os.ErrDeadlineExceeded
		case s.buffered < bufferBytes:
			at := s.network.arrival(s.from, s.to, len(b))
			s.segments = append(s.segments, segment{data: append([]byte(nil), b...), arrivesAt: at})
			s.buffered += len(b)
			if s.changed != nil {
				close(s.changed)
				s.changed = nil
			}
			return len(b), nil
		default:
			s.wait(nil, s.writeDeadline)
		}
	}
}

func expired(deadline, now time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

// Package pipeliner implements an HTTP/1.1 server with pipelining: callers may send
// requests before the earlier ones are answered. It handles GET and HEAD requests of
// one connection concurrently, all others after the earlier responses, and writes all
// responses in the order of their requests. A caller that closes its connection cancels
// its requests; one that closes only its side for writing still gets its responses.
//
// A response that closes the connection is always the last one that is due: no request
// begins behind it, and each that has begun gets its response. Only a response that is broken off
// takes along those behind it; its handler can prevent that by the methods HoldPipeline and
// ReleasePipeline of its http.ResponseWriter.
//
// A program creates a Server with New and calls Serve. To stop gracefully it calls
// DisableKeepAlives, DisablePipelining, Drain and Close, with pauses in which callers turn to
// other servers.
package pipeliner

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
)

const (
	// bufferBytes is the size of a connection's read buffer and write buffer.
	bufferBytes = 4 << 10
	// maxHeadLines bounds the lines of a request head, as each field takes more memory than
	// its bytes.
	maxHeadLines = 1000
	// maxLargeHeads is the number of heads that may exceed the read buffer at once, and
	// maxEarly that of requests that begin before earlier ones of their connections are
	// answered. Further ones wait.
	maxLargeHeads = 128
	maxEarly      = 256
	// headExtraBytes is by how much a request head may exceed MaxHeaderBytes before
	// the connection is given up, so that a response can still be written.
	headExtraBytes = 4 << 10
	// lingerTime and lingerBytes bound what is read and discarded after the last
	// response.
	lingerTime  = time.Second
	lingerBytes = 4 << 20
	// acceptPause is the pause after a connection could not be accepted, acceptLogInterval
	// the time between two log lines about that, and idleConnsToClose the number of idle
	// connections that are closed if that is for lack of descriptors.
	acceptPause       = 20 * time.Millisecond
	acceptLogInterval = time.Second
	idleConnsToClose  = 16
)

// Defaults of Bounds.
const (
	defaultMaxHeaderBytes = 32 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 60 * time.Second
)

// Bounds limits what a caller may send. Zero fields mean the defaults: 32 KiB, 10 s and
// 60 s.
type Bounds struct {
	// MaxHeaderBytes bounds a request's head, that is, its request line and header.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a head to its end.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request of a connection while no
	// response is due.
	IdleTimeout time.Duration
}

// Config configures a Server. Handler is required.
type Config struct {
	// Handler handles requests. It is called concurrently, also for several requests
	// of one connection.
	Handler http.Handler
	// Bounds returns the current bounds. It is called for each request; nil means the
	// defaults.
	Bounds func() Bounds
}

// Server serves callers' connections. Its methods are safe for concurrent use.
type Server struct {
	cfg Config
	// heads and early hold an element for each large head and each early request.
	heads, early chan struct{}
	shutdown     shutdown
	// cut counts the responses that callers waited for when their connections were closed.
	cut atomic.Int64

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	stopped  bool
	done     chan struct{}
}

// New returns a Server that is ready for Serve.
func New(cfg Config) *Server {
	return &Server{
		cfg: cfg, conns: make(map[*conn]struct{}), done: make(chan struct{}),
		heads: make(chan struct{}, maxLargeHeads), early: make(chan struct{}, maxEarly),
	}
}

// Serve accepts connections from l until Close is called, or until
// accepting fails for good. Errors that can pass, as when descriptors run out, only make it
// pause. It may be called once.
func (s *Server) Serve(l net.Listener) {
	defer close(s.done)
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	var logged time.Time
	for {
		nc, err := l.Accept()
		if err == nil {
			s.start(nc)
			continue
		}
		if !canPass(err) {
			if !errors.Is(err, net.ErrClosed) {
				log.WithError(err).Error("accepting connections failed; no more are accepted")
			}
			return
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			s.closeIdle(idleConnsToClose)
		}
		if time.Since(logged) >= acceptLogInterval {
			logged = time.Now()
			log.WithError(err).Warn("accepting connections failed; trying again")
		}
		time.Sleep(acceptPause)
	}
}

// canPass reports whether accepting may succeed after an error.
func canPass(err error) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	for _, passing := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.EPROTO,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// closeIdle closes the connections that have been idle longest, at most n. No request is lost
// by that: what they bring next is not read.
func (s *Server) closeIdle(n int) {
	type idleConn struct {
		c     *conn
		since time.Time
	}
	var idle []idleConn
	s.mu.Lock()
	for c := range s.conns {
		if since, ok := c.state.idleSince(); ok {
			idle = append(idle, idleConn{c, since})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, i := range idle[:min(n, len(idle))] {
		i.c.closeIfIdle()
	}
}

func (s *Server) start(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	stopped := s.stopped
	if !stopped {
		s.conns[c] = struct{}{}
	}
	s.mu.Unlock()
	if stopped {
		_ = nc.Close() // No request was read from it.
		return
	}
	go c.serve()
}

// Done is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// stopListening closes the listener.
func (s *Server) stopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close() // It may be closed already.
	}
}

// DisableKeepAlives makes each connection close with the first response behind which no other
// one is due and no request is coming. It may be called at any time.
func (s *Server) DisableKeepAlives() { s.shutdown.keepAlivesDisabled.Store(true) }

// DisablePipelining makes each connection on which responses are due close with the last of them.
// Requests that come behind them do not begin. It may be called at any time after
// DisableKeepAlives, which does not close a connection that never pauses.
func (s *Server) DisablePipelining() { s.shutdown.pipeliningDisabled.Store(true) }

// ErrShutdown is the cause of the end of requests that CancelRequests cancels.
var ErrShutdown = errors.New("pipeliner: the server is shutting down")

// CancelRequests cancels the requests in progress. Their connections stay open, so that
// handlers can still respond, and complete responses behind theirs reach the callers.
func (s *Server) CancelRequests() {
	for _, c := range s.openConns() {
		c.cancelRequests(ErrShutdown)
	}
}

// Cut returns the number of requests whose connections were closed while the caller waited for
// their responses.
func (s *Server) Cut() int64 { return s.cut.Load() }

// Drain waits until no request is in progress, and callers have closed the connections that are
// to be closed. It returns ctx's error if ctx ends before that.
func (s *Server) Drain(ctx context.Context) error {
	const poll = 20 * time.Millisecond
	t := time.NewTicker(poll)
	defer t.Stop()
	for s.isBusy() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Active returns the number of requests whose responses are not written yet.
func (s *Server) Active() int {
	n := 0
	for _, c := range s.openConns() {
		n += c.state.dueCount()
	}
	return n
}

func (s *Server) isBusy() bool {
	return slices.ContainsFunc(s.openConns(), func(c *conn) bool { return c.state.isBusy() })
}

func (s *Server) openConns() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// Close closes the listener and all connections, and cancels their requests.
func (s *Server) Close() {
	s.stopListening()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	for _, c := range s.openConns() {
		c.cutOff(false)
	}
}

func (s *Server) removeConn(c *conn) {
	c.abort()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) bounds() Bounds {
	var b Bounds
	if s.cfg.Bounds != nil {
		b = s.cfg.Bounds()
	}
	if b.MaxHeaderBytes <= 0 {
		b.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if b.HeaderTimeout <= 0 {
		b.HeaderTimeout = defaultHeaderTimeout
	}
	if b.IdleTimeout <= 0 {
		b.IdleTimeout = defaultIdleTimeout
	}
	return b
}

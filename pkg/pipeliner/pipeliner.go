// Package pipeliner serves HTTP/1.1 to callers that send requests before the
// earlier ones are answered. Safe requests of one connection are handled at the
// same time, and all answers are written in the order of their requests. A
// caller that closes its connection cancels what still runs for it; one that closes
// only its side for writing gets its answers.
package pipeliner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// bufferBytes is the size of a connection's buffer each way.
	bufferBytes = 4 << 10
	// headSlack is what a head may be longer than its bound before the
	// connection is given up, so that an answer can still be written.
	headSlack = 4 << 10
	// lingerTime and lingerBytes bound what is read behind a last answer.
	lingerTime  = time.Second
	lingerBytes = 4 << 20
)

// The defaults of zero Bounds.
const (
	defaultHeadBytes = 32 << 10
	defaultHeader    = 10 * time.Second
	defaultIdle      = 60 * time.Second
)

// Bounds limit what a caller may send. Zero fields take their defaults.
type Bounds struct {
	// HeadBytes bounds a request's head.
	MaxHeaderBytes int
	// Header bounds the time in which a head must come.
	HeaderTimeout time.Duration
	// Idle bounds the time between two requests of a connection.
	IdleTimeout time.Duration
}

// Config holds what a Server needs. Handler is required.
type Config struct {
	// Handler answers requests. It may be called at the same time for several
	// requests of one connection.
	Handler http.Handler
	// Bounds returns the bounds in force; nil means the defaults.
	Bounds func() Bounds
}

// Server serves callers' connections.
type Server struct {
	cfg Config

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	stopped  bool
	done     chan struct{}
}

// New returns a Server that is ready to Serve.
func New(cfg Config) *Server {
	return &Server{cfg: cfg, conns: make(map[*conn]struct{}), done: make(chan struct{})}
}

// Serve takes connections from l until Close or StopListening. It may be called
// once.
func (s *Server) Serve(l net.Listener) {
	defer close(s.done)
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			return
		}
		s.start(nc)
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
		_ = nc.Close() // Nothing was read from it.
		return
	}
	go c.serve()
}

// Done is closed once no further connection is taken.
func (s *Server) Done() <-chan struct{} { return s.done }

// StopListening takes no further connection. Those that are open stay.
func (s *Server) StopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close() // It is closed either way.
	}
}

// Drain waits until no request is in progress, or until ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	const poll = 20 * time.Millisecond
	t := time.NewTicker(poll)
	defer t.Stop()
	for s.Active() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Active returns the number of requests whose answers are not finished.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		c.mu.Lock()
		n += c.active
		c.mu.Unlock()
	}
	return n
}

// Close cuts all connections.
func (s *Server) Close() {
	s.StopListening()
	s.mu.Lock()
	s.stopped = true
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.abort()
	}
}

func (s *Server) forget(c *conn) {
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
		b.MaxHeaderBytes = defaultHeadBytes
	}
	if b.HeaderTimeout <= 0 {
		b.HeaderTimeout = defaultHeader
	}
	if b.IdleTimeout <= 0 {
		b.IdleTimeout = defaultIdle
	}
	return b
}

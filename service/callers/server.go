package callers

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// The bounds of callers' connections.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// ServerConfig holds the settings of a Server. Zero fields take their defaults.
type ServerConfig struct {
	Handler http.Handler
	// ReadHeaderTimeout bounds the time in which a request's head must come.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds a request's head.
	MaxHeaderBytes int
}

// Server is the HTTP server towards callers.
type Server struct {
	http *http.Server
	done chan struct{}
}

// NewServer returns a Server that is ready to Start.
func NewServer(cfg ServerConfig) *Server {
	if cfg.ReadHeaderTimeout == 0 {
		cfg.ReadHeaderTimeout = readHeaderTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = idleTimeout
	}
	if cfg.MaxHeaderBytes == 0 {
		cfg.MaxHeaderBytes = maxHeaderBytes
	}
	s := &Server{done: make(chan struct{})}
	s.http = &http.Server{
		Handler:                      markHandled(cfg.Handler),
		ReadHeaderTimeout:            cfg.ReadHeaderTimeout,
		IdleTimeout:                  cfg.IdleTimeout,
		MaxHeaderBytes:               cfg.MaxHeaderBytes,
		DisableGeneralOptionsHandler: true,
		ConnContext:                  withConn,
		ConnState:                    clearHandled,
	}
	return s
}

// Start serves on l until Drain or Stop.
func (s *Server) Start(l net.Listener) {
	go func() {
		defer close(s.done)
		_ = s.http.Serve(outcomeListener{l}) // It returns when the server stops.
	}()
}

// Done is closed once the server has stopped taking connections.
func (s *Server) Done() <-chan struct{} { return s.done }

// Drain takes no new connection and waits for the requests in flight, at most
// until ctx ends; its error is then ctx's.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

// CloseWhenIdle ends connections after their next answer.
func (s *Server) DisableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

// Stop cuts all connections.
func (s *Server) Stop() { _ = s.http.Close() }

// outcomeListener adds the outcome to the answers that net/http itself gives
// to requests which it cannot read.
type outcomeListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l outcomeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &outcomeConn{Conn: c}, nil
}

// outcomeConn is one connection. Handled is set from the time at which a
// handler has the request until its answer is written.
type outcomeConn struct {
	net.Conn
	handled atomic.Bool
}

// unread starts the answers that net/http writes without a handler.
var unread = []byte("HTTP/1.1 ")

// Write implements net.Conn.
func (c *outcomeConn) Write(b []byte) (int, error) {
	if c.handled.Load() || !bytes.HasPrefix(b, unread) {
		return c.Conn.Write(b)
	}
	if _, err := c.Conn.Write(withOutcomeField(b)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// CloseWrite ends the answers; net/http asks for it so that a caller can read
// the last one before the connection is closed.
func (c *outcomeConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// withOutcomeField adds the field to the head of an answer.
func withOutcomeField(b []byte) []byte {
	head, rest, ok := bytes.Cut(b, []byte("\r\n"))
	if !ok {
		return b
	}
	field := "\r\n" + refusal.HeaderOutcome + ": " + string(refusal.NotRun) + "\r\n"
	out := append([]byte(nil), head...)
	out = append(out, field...)
	return append(out, rest...)
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func markHandled(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*outcomeConn); ok {
			c.handled.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

func clearHandled(c net.Conn, state http.ConnState) {
	if oc, ok := c.(*outcomeConn); ok && state == http.StateIdle {
		oc.handled.Store(false)
	}
}

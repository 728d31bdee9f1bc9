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

// Defaults of the zero fields of a ServerConfig.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
)

// ServerConfig holds the settings of a Server. Zero fields take their defaults; Handler
// is required.
type ServerConfig struct {
	Handler http.Handler
	// ReadHeaderTimeout bounds the time for reading a request's header.
	ReadHeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the size of a request's header.
	MaxHeaderBytes int
}

// Server is the HTTP server for callers.
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

// Start serves on l in the background until Drain or Stop. It may be called once.
func (s *Server) Start(l net.Listener) {
	go func() {
		defer close(s.done)
		_ = s.http.Serve(outcomeListener{l}) // returns when the server stops
	}()
}

// Done returns a channel that is closed once the server has stopped accepting
// connections.
func (s *Server) Done() <-chan struct{} { return s.done }

// Drain stops accepting connections and waits for the requests in flight. It returns
// ctx's error if ctx ends first.
func (s *Server) Drain(ctx context.Context) error { return s.http.Shutdown(ctx) }

// DisableKeepAlives makes the server close each connection after its next response.
func (s *Server) DisableKeepAlives() { s.http.SetKeepAlivesEnabled(false) }

// Stop closes all connections at once.
func (s *Server) Stop() { _ = s.http.Close() }

// outcomeListener adds the outcome field to the responses that net/http itself writes
// to requests that it cannot parse.
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

// outcomeConn is one connection. handled is set from when a handler gets a request
// until its response is written.
type outcomeConn struct {
	net.Conn
	handled atomic.Bool
}

// statusLinePrefix starts the responses that net/http writes without a handler.
var statusLinePrefix = []byte("HTTP/1.1 ")

// Write implements net.Conn.
func (c *outcomeConn) Write(b []byte) (int, error) {
	if c.handled.Load() || !bytes.HasPrefix(b, statusLinePrefix) {
		return c.Conn.Write(b)
	}
	if _, err := c.Conn.Write(withOutcomeField(b)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// CloseWrite closes the writing side. net/http calls it so that a caller can read the
// last response before the connection is closed.
func (c *outcomeConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// withOutcomeField adds the outcome field to the header of a response.
func withOutcomeField(b []byte) []byte {
	statusLine, rest, ok := bytes.Cut(b, []byte("\r\n"))
	if !ok {
		return b
	}
	field := "\r\n" + refusal.HeaderOutcome + ": " + string(refusal.NotRun) + "\r\n"
	out := append([]byte(nil), statusLine...)
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

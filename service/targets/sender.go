// Package targets is the HTTP client for targets. A Sender forwards requests over
// pooled connections and reports whether any byte was sent, which decides whether a
// retry is safe. A Prober checks the health and load of the targets in this host's
// region.
package targets

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
)

// Header fields exchanged with targets.
const (
	// HeaderTimeout is the time remaining for a request, in milliseconds.
	HeaderTimeout = "Gypsum-Timeout-Ms"
	// HeaderShed is "1" on a response to a request that the target shed without running
	// it.
	HeaderShed = "Gypsum-Shed"
	// HeaderLeaving is "1" on the responses of a target that is draining.
	HeaderLeaving = "Gypsum-Leaving"
)

// Defaults of the zero fields of a SenderConfig.
const (
	DefaultConnectTimeout    = 500 * time.Millisecond
	DefaultIdleTimeout       = 90 * time.Second
	DefaultMaxConnsPerTarget = 32
)

// SenderConfig holds the settings of a Sender. Zero fields take their defaults.
type SenderConfig struct {
	// Dial opens a connection to an IP address and port; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ConnectTimeout bounds the opening of one connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// MaxConnsPerTarget bounds the connections of this host to a target for which
	// Configure has set no limit.
	MaxConnsPerTarget int
	// OnConnect, if set, is called with the time that it took to open a connection.
	OnConnect func(address string, took time.Duration)
	// OnConnectError, if set, is called when a connection cannot be opened.
	OnConnectError func(address string, err error)
	// OmitTimeout leaves HeaderTimeout out, for callers that send the remaining time in
	// another field.
	OmitTimeout bool
}

// Sender sends requests to targets over pooled connections. Its methods may be called
// concurrently.
type Sender struct {
	cfg SenderConfig

	mu sync.Mutex
	// connLimits holds the maximum number of connections to each configured address.
	connLimits map[string]int
	transports map[string]*transport

	// connsMu guards conns, the open connections. It may be locked while mu is.
	connsMu sync.Mutex
	conns   map[*countedConn]struct{}
}

// transport is the connection pool of one target.
type transport struct {
	*http.Transport
	limit int
}

// Trace tells how far one request got on its way to a target.
type Trace struct {
	// Connected reports that the request got a connection.
	Connected bool
	// Sent reports that a byte of the request may have been written. If it is false,
	// the request cannot have run.
	Sent bool
	// Reused reports that the connection had carried a request before.
	Reused bool
}

// NewSender returns a Sender that is ready.
func NewSender(cfg SenderConfig) *Sender {
	if cfg.ConnectTimeout == 0 {
		cfg.ConnectTimeout = DefaultConnectTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.MaxConnsPerTarget == 0 {
		cfg.MaxConnsPerTarget = DefaultMaxConnsPerTarget
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	return &Sender{cfg: cfg, transports: make(map[string]*transport), conns: make(map[*countedConn]struct{})}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Configure divides the connection limit of each service's targets among the entry
// hosts, of which there are hostCount. It may be called at any time.
func (s *Sender) Configure(snap *config.Snapshot, hostCount int) {
	limits := make(map[string]int)
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		limit := max(svc.ConnectionLimit()/max(hostCount, 1), 1)
		for j := range svc.Upstreams {
			limits[svc.Upstreams[j].Address] = limit
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connLimits = limits
	for address, t := range s.transports {
		if t.limit != limits[address] {
			t.CloseIdleConnections()
			delete(s.transports, address)
		}
	}
}

// transport returns the connection pool of the target at address.
func (s *Sender) transport(address string) *transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.transports[address]; ok {
		return t
	}
	limit, ok := s.connLimits[address]
	if !ok {
		limit = s.cfg.MaxConnsPerTarget
	}
	t := &transport{Transport: s.newTransport(limit), limit: limit}
	s.transports[address] = t
	return t
}

func (s *Sender) newTransport(maxConns int) *http.Transport {
	return &http.Transport{
		DialContext:            s.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConnsPerHost:    maxConns,
		IdleConnTimeout:        s.cfg.IdleTimeout,
		ExpectContinueTimeout:  time.Second,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// maxResponseHeaderBytes bounds the header of a response, as a faulty target may send
// an endless one.
const maxResponseHeaderBytes = 16 << 10

func (s *Sender) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ConnectTimeout)
	defer cancel()
	start := time.Now()
	c, err := s.cfg.Dial(ctx, address)
	if err != nil {
		if s.cfg.OnConnectError != nil {
			s.cfg.OnConnectError(address, err)
		}
		return nil, err
	}
	if s.cfg.OnConnect != nil {
		s.cfg.OnConnect(address, time.Since(start))
	}
	return s.add(c), nil
}

// add keeps a connection until it is closed.
func (s *Sender) add(nc net.Conn) *countedConn {
	c := &countedConn{Conn: nc}
	c.onClose = func() {
		s.connsMu.Lock()
		defer s.connsMu.Unlock()
		delete(s.conns, c)
	}
	s.connsMu.Lock()
	defer s.connsMu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

// Refuses reports whether nothing listens at the address of a target, as after a crash. It
// returns false if that is not known, as when the target does not answer.
func (s *Sender) Refuses(ctx context.Context, address string) bool {
	return errors.Is(s.tryConnect(ctx, address), syscall.ECONNREFUSED)
}

// Reaches reports whether a connection to the target at an address can be opened.
func (s *Sender) Reaches(ctx context.Context, address string) bool {
	return s.tryConnect(ctx, address) == nil
}

// tryConnect opens a connection and closes it.
func (s *Sender) tryConnect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ConnectTimeout)
	defer cancel()
	c, err := s.cfg.Dial(ctx, address)
	if err == nil {
		_ = c.Close() // it was not used
	}
	return err
}

// Do is like Send, but reports only whether a byte of r may have been written, which is
// true whenever there is a response.
func (s *Sender) Do(ctx context.Context, address string, r *http.Request) (resp *http.Response, wrote bool, err error) {
	resp, trace, err := s.Send(ctx, address, r)
	return resp, trace.Sent, err
}

// Send sends r to the target at address, an IP address and port, and returns the
// response with its body unread. It follows no redirects, does not change the response,
// and never writes r to a second connection after a byte of it may have been written to
// a first. The Trace is valid whether or not there is an error. If the body of the
// response ends with its connection, reading it fails unless the whole request was
// written.
//
// The header of r must contain no keys and no hop-by-hop fields. Send sets
// HeaderTimeout to the time remaining until ctx's deadline, unless OmitTimeout is set.
// When ctx ends before the response has been read whole, the connection is reset: the target is
// told that it may stop, and what it has not received does not reach it later. The
// body of the response has a method CloseConnection, to be called if the response
// belongs to another request.
func (s *Sender) Send(ctx context.Context, address string, r *http.Request) (*http.Response, Trace, error) {
	tracker := newConnTracker(ctx, r)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn, WroteRequest: tracker.wroteRequest})
	trailer := r.Trailer
	r = r.Clone(ctx)
	r.Trailer = trailer // its values are set when the body ends
	r.URL.Scheme = "http"
	r.URL.Host = address
	r.RequestURI = ""
	if deadline, ok := ctx.Deadline(); ok && !s.cfg.OmitTimeout {
		// Rounded up, so that the target does not give up before this host does.
		remaining := max(time.Until(deadline)+time.Millisecond-1, 0).Milliseconds()
		r.Header.Set(HeaderTimeout, strconv.FormatInt(remaining, 10))
	}
	t := s.transport(address)
	resp, err := t.RoundTrip(r)
	if err == nil {
		tracker.wrapBody(resp, t)
	}
	return resp, tracker.trace(), err
}

// Close closes all connections. Those of requests in progress are reset.
func (s *Sender) Close() {
	s.connsMu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.connsMu.Unlock()
	for _, c := range conns {
		_ = c.abandon() // it may be closed already
	}
}

// Package targets speaks HTTP to the targets of this host's region: Sender
// forwards requests, and Prober asks the targets how they are.
package targets

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
)

// The header fields between entry hosts and targets.
const (
	// HeaderTimeout holds the time left for a request, in milliseconds.
	HeaderTimeout = "Gypsum-Timeout-Ms"
	// HeaderShed is "1" on an answer that says that the request did not run.
	HeaderShed = "Gypsum-Shed"
	// HeaderLeaving is "1" on the answers of a target that takes no new work.
	HeaderLeaving = "Gypsum-Leaving"
)

// The defaults of a Config's zero fields.
const (
	DefaultConnectTimeout    = 500 * time.Millisecond
	DefaultIdleTimeout       = 90 * time.Second
	DefaultMaxConnsPerTarget = 32
)

// Config holds what a Sender needs. The zero value dials by TCP.
type SenderConfig struct {
	// Dial opens a connection to an IP number and port; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ConnectTimeout bounds the opening of one connection.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// Connections bounds the connections from this host to one target that
	// Configure has not named.
	MaxConnsPerTarget int
	// Connected, where set, is told how long opening a connection took.
	OnConnect func(address string, took time.Duration)
	// Untimed leaves HeaderTimeout out: the time left is told in another field.
	OmitTimeout bool
}

// Sender sends requests to targets over connections that it keeps. Its methods
// may be called from several goroutines.
type Sender struct {
	cfg SenderConfig

	mu sync.Mutex
	// limits holds the connections allowed to each configured address.
	limits     map[string]int
	transports map[string]*transport
}

// transport holds the connections to one target.
type transport struct {
	*http.Transport
	limit int
}

// Trace tells what one request may have done to its target.
type Trace struct {
	// Connected says that the request got a connection.
	Connected bool
	// Sent says that a byte of the request may have been written. While it is
	// false, the request cannot have run.
	Sent bool
	// Reused says that the connection had carried a request before.
	Reused bool
}

// New returns a Sender that is ready.
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
	return &Sender{cfg: cfg, transports: make(map[string]*transport)}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Configure divides the connections that each service's targets allow over the
// entry hosts, which are hosts in number.
func (s *Sender) Configure(snap *config.Snapshot, hosts int) {
	limits := make(map[string]int)
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		limit := max(svc.ConnectionLimit()/max(hosts, 1), 1)
		for j := range svc.Upstreams {
			limits[svc.Upstreams[j].Address] = limit
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	for address, t := range s.transports {
		if t.limit != limits[address] {
			t.CloseIdleConnections()
			delete(s.transports, address)
		}
	}
}

// transport returns the connections to the target at address.
func (s *Sender) transport(address string) *transport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.transports[address]; ok {
		return t
	}
	limit, ok := s.limits[address]
	if !ok {
		limit = s.cfg.MaxConnsPerTarget
	}
	t := &transport{Transport: s.newTransport(limit), limit: limit}
	s.transports[address] = t
	return t
}

func (s *Sender) newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext:            s.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        s.cfg.IdleTimeout,
		ExpectContinueTimeout:  time.Second,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// maxHeaderBytes bounds the head of an answer: a target in trouble may send one
// without end.
const maxHeaderBytes = 64 << 10

func (s *Sender) dial(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.ConnectTimeout)
	defer cancel()
	begun := time.Now()
	c, err := s.cfg.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if s.cfg.OnConnect != nil {
		s.cfg.OnConnect(address, time.Since(begun))
	}
	return &countedConn{Conn: c}, nil
}

// Do is Send for callers that only need to know whether a byte of r may have
// been written, which is true whenever there is an answer.
func (s *Sender) Do(ctx context.Context, address string, r *http.Request) (resp *http.Response, wrote bool, err error) {
	resp, trace, err := s.Send(ctx, address, r)
	return resp, trace.Sent, err
}

// Send sends r to the target at address, an IP number and port, and returns the
// answer with its body unread. It follows no redirect, changes nothing of the
// answer, and never writes r to a second connection after a byte of it may have
// been written to a first. The Trace is right whether or not there is an error.
//
// r's header must be free of keys and hop-by-hop fields. Send sets HeaderTimeout
// to the time left until ctx's deadline unless the Sender is Untimed. When ctx ends the connection is
// closed, by which the target learns that it may stop. The answer's body has a method
// Break that ends the connection, for answers that are not the request's.
func (s *Sender) Send(ctx context.Context, address string, r *http.Request) (*http.Response, Trace, error) {
	a := &attempt{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	trailer := r.Trailer
	r = r.Clone(ctx)
	r.Trailer = trailer // Its values come with the end of the body.
	r.URL.Scheme = "http"
	r.URL.Host = address
	r.RequestURI = ""
	if deadline, ok := ctx.Deadline(); ok && !s.cfg.OmitTimeout {
		// Rounded up, so that the target does not give up before this host does.
		left := max(time.Until(deadline)+time.Millisecond-1, 0).Milliseconds()
		r.Header.Set(HeaderTimeout, strconv.FormatInt(left, 10))
	}
	t := s.transport(address)
	resp, err := t.RoundTrip(r)
	if err == nil {
		a.wrap(resp, t)
	}
	return resp, a.trace(), err
}

// Close closes the connections that carry no request.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.transports {
		t.CloseIdleConnections()
	}
}

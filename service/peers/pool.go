// Package peers connects entry hosts by gRPC. A host runs a Server, which passes
// the calls of other hosts to the host's components, and calls its peers through a
// Pool. RelayClient and RelayServer forward whole requests between hosts.
package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// DialFunc opens a connection to an IP address and port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Limits of connections between entry hosts.
const (
	minConnectTimeout = time.Second
	baseBackoff       = 100 * time.Millisecond
	maxBackoff        = time.Second
	backoffMultiplier = 1.6
	backoffJitter     = 0.2
	pingInterval      = 10 * time.Second
	pingTimeout       = 2 * time.Second
	// MaxMessageBytes bounds the size of one message. The largest one carries a
	// configuration, of at most 4 MB.
	MaxMessageBytes = 8 << 20
)

// Pool keeps one connection to each peer address. The zero value is ready to use
// and dials by TCP. Its methods may be called concurrently.
type Pool struct {
	// Dial opens connections; nil means TCP.
	Dial DialFunc

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// Peer returns a client of the peer at address. The connection is opened at the
// first call and stays open until Close; after Close, Peer returns an error.
func (p *Pool) Peer(address string) (peerpb.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errs.New("the pool of peer connections is closed")
	}
	if c, ok := p.conns[address]; ok {
		return peerpb.NewPeerClient(c), nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, p.options()...)
	if err != nil {
		return nil, errs.New("cannot create a client of peer %s: %v", address, err)
	}
	if p.conns == nil {
		p.conns = make(map[string]*grpc.ClientConn)
	}
	p.conns[address] = c
	return peerpb.NewPeerClient(c), nil
}

func (p *Pool) options() []grpc.DialOption {
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  baseBackoff,
				Multiplier: backoffMultiplier,
				Jitter:     backoffJitter,
				MaxDelay:   maxBackoff,
			},
			MinConnectTimeout: minConnectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
	}
	if p.Dial != nil {
		opts = append(opts, grpc.WithContextDialer(p.Dial))
	}
	return opts
}

// CloseExcept closes the connections to all addresses for which keep returns
// false.
func (p *Pool) CloseExcept(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		if keep(address) {
			continue
		}
		_ = c.Close() // it fails only if the connection is closed already
		delete(p.conns, address)
	}
}

// Close closes all connections. Calls in flight and later ones fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseExcept(func(string) bool { return false })
}

// Package memnet is an in-memory network for tests on a virtual clock. It provides
// listeners and connections between hosts of one process, and simulates delays, cut
// links, paused hosts and hosts that die.
//
// A host listens with Network.Listen and connects with the function that
// Network.Dialer returns; SetCut, SetFrozen and Kill inject faults.
package memnet

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network connects hosts, which are identified by their IP addresses. The zero value
// has no delays and no faults. Its methods may be called concurrently.
type Network struct {
	// Delay returns the one-way delay between two IP addresses; nil means none.
	Delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	// packetConns holds the open addresses for datagrams.
	packetConns map[string]*packetConn
	cut         map[link]bool
	refused     map[link]bool
	frozen      map[string]bool
	conns       map[*conn]bool
	changed     chan struct{}
	// bandwidth returns the capacity of a host's link; nil means that all are unlimited.
	bandwidth func(host string) Bandwidth
	// outgoing and incoming tell until when the links are occupied.
	outgoing, incoming queues
}

// link is one direction between two IP addresses.
type link struct{ from, to string }

// Listen opens a listener at an IP address and port. The error wraps
// syscall.EADDRINUSE if there is one already.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, &net.OpError{Op: "listen", Net: "mem", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{network: n, address: address, backlog: make(chan net.Conn), done: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[address] = l
	n.notify()
	return l, nil
}

// Dialer returns a function that opens connections on behalf of the host at IP
// address from. Its error wraps syscall.ECONNREFUSED if nothing listens, or is ctx's.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if err := n.awaitDelivery(ctx, from, to); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l, ok := n.listeners[address]
	ok = ok && !n.refused[link{from, to}]
	n.mu.Unlock()
	if err := n.awaitDelivery(ctx, to, from); err != nil {
		return nil, err
	}
	if !ok {
		return nil, errRefused(address)
	}
	local, remote := n.newConnPair(from, to, address)
	select {
	case l.backlog <- remote:
		return local, nil
	case <-l.done:
		local.abort()
		return nil, errRefused(address)
	case <-ctx.Done():
		local.abort()
		return nil, ctx.Err()
	}
}

func errRefused(address string) error {
	return &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: syscall.ECONNREFUSED}
}

// awaitDelivery waits until a packet that is sent now would arrive: for the delay,
// and then while the link is blocked. It returns ctx's error if ctx ends before.
func (n *Network) awaitDelivery(ctx context.Context, from, to string) error {
	t := time.NewTimer(time.Until(n.arrival(from, to, handshakeBytes)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		n.mu.Lock()
		blocked, changed := n.blocked(from, to), n.changeNotify()
		n.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Network) delay(from, to string) time.Duration {
	if n.Delay == nil {
		return 0
	}
	return n.Delay(from, to)
}

// blocked reports whether the link is cut or one of its hosts frozen. The caller
// holds mu.
func (n *Network) blocked(from, to string) bool {
	return n.cut[link{from, to}] || n.frozen[from] || n.frozen[to]
}

// changeNotify returns a channel that is closed at the next change of a fault or a
// listener. The caller holds mu.
func (n *Network) changeNotify() chan struct{} {
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// notify closes the channel that changeNotify returned. The caller holds mu.
func (n *Network) notify() {
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// SetCut cuts or restores the link from one IP address to another; the opposite
// direction is not affected. Data sent over a cut link arrives once it is restored.
func (n *Network) SetCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[link]bool)
	}
	n.cut[link{from, to}] = cut
	n.notify()
}

// SetRefused makes new connections from one IP address to another be refused, or no longer.
// Open ones are not affected.
func (n *Network) SetRefused(from, to string, refused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refused == nil {
		n.refused = make(map[link]bool)
	}
	n.refused[link{from, to}] = refused
}

// Reset resets the open connections between two hosts.
func (n *Network) Reset(one, other string) {
	n.reset(func(c *conn) bool {
		return (c.local == one && c.remote == other) || (c.local == other && c.remote == one)
	})
}

// reset resets the connections that match.
func (n *Network) reset(match func(c *conn) bool) {
	n.mu.Lock()
	var resetting []*conn
	for c := range n.conns {
		if match(c) {
			resetting = append(resetting, c)
		}
	}
	n.mu.Unlock()
	for _, c := range resetting {
		c.abort()
	}
}

// SetFrozen stops or resumes all traffic of a host, as if its process were paused.
func (n *Network) SetFrozen(host string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen = make(map[string]bool)
	}
	n.frozen[host] = frozen
	n.notify()
}

// Kill closes the host's listeners and datagram addresses and resets its connections, as
// if its process had died. The host can listen again afterwards.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var closing []io.Closer
	for _, c := range n.packetConns {
		if c.ip == host {
			closing = append(closing, c)
		}
	}
	for address, l := range n.listeners {
		if ip, _, err := net.SplitHostPort(address); err == nil && ip == host {
			closing = append(closing, l)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		_ = c.Close() // never returns an error
	}
	n.reset(func(c *conn) bool { return c.local == host || c.remote == host })
}

// newConnPair returns the two ends of a new connection to a listener's address.
func (n *Network) newConnPair(from, to, address string) (local, remote *conn) {
	outgoing := &stream{network: n, from: from, to: to}
	incoming := &stream{network: n, from: to, to: from}
	local = &conn{network: n, local: from, remote: to, remoteAddr: addr(address), r: incoming, w: outgoing}
	remote = &conn{network: n, local: to, remote: from, remoteAddr: addr(net.JoinHostPort(from, "1")), r: outgoing, w: incoming}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]bool)
	}
	n.conns[local] = true
	n.conns[remote] = true
	return local, remote
}

// addr is the IP address and port of a listener or of one end of a connection.
type addr string

// Network returns "mem".
func (a addr) Network() string { return "mem" }

// String returns the IP address and port.
func (a addr) String() string { return string(a) }

// listener implements net.Listener for one address.
type listener struct {
	network *Network
	address string
	backlog chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

// Package memnet is a small in-memory network for tests on a virtual clock. It
// fakes the net.Conn interface between processes: delays, cut links, hosts
// that freeze and hosts that die.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Network connects hosts, which are named by their IP numbers. The zero value
// has no delays and no faults.
type Network struct {
	// Delay returns the one-way delay between two IP numbers; nil means none.
	Delay func(from, to string) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[link]bool
	frozen    map[string]bool
	conns     map[*conn]bool
	changed   chan struct{}
}

// link is one direction between two IP numbers.
type link struct{ from, to string }

// Listen opens a listener at an IP number and port.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.listeners[address]; ok {
		return nil, &net.OpError{Op: "listen", Net: "mem", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{n: n, address: address, backlog: make(chan net.Conn), done: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[address] = l
	n.wake()
	return l, nil
}

// Dialer returns the function by which the host at IP number from dials.
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
	if err := n.travel(ctx, from, to); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l, ok := n.listeners[address]
	n.mu.Unlock()
	if err := n.travel(ctx, to, from); err != nil {
		return nil, err
	}
	if !ok {
		return nil, refused(address)
	}
	near, far := n.pair(from, to, address)
	select {
	case l.backlog <- far:
		return near, nil
	case <-l.done:
		near.abort()
		return nil, refused(address)
	case <-ctx.Done():
		near.abort()
		return nil, ctx.Err()
	}
}

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "mem", Addr: addr(address), Err: syscall.ECONNREFUSED}
}

// travel waits as long as one packet takes, cuts included.
func (n *Network) travel(ctx context.Context, from, to string) error {
	t := time.NewTimer(n.delay(from, to))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		n.mu.Lock()
		blocked, changed := n.blocked(from, to), n.changes()
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

// blocked reports whether nothing passes from one IP number to another. The
// caller holds mu.
func (n *Network) blocked(from, to string) bool {
	return n.cut[link{from, to}] || n.frozen[from] || n.frozen[to]
}

// changes returns a channel that closes at the next change of the network's
// faults. The caller holds mu.
func (n *Network) changes() chan struct{} {
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// wake tells all waiters that the network has changed. The caller holds mu.
func (n *Network) wake() {
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}

// Cut stops or heals one direction between two IP numbers. What was sent
// meanwhile arrives after the cut heals.
func (n *Network) SetCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = make(map[link]bool)
	}
	n.cut[link{from, to}] = cut
	n.wake()
}

// Freeze stops or resumes all traffic of a host, as when its process is paused.
func (n *Network) SetFrozen(host string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen = make(map[string]bool)
	}
	n.frozen[host] = frozen
	n.wake()
}

// Kill closes the host's listeners and resets its connections, as when its
// process dies. The host can listen again afterwards.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	var dead []*conn
	for c := range n.conns {
		if c.local == host || c.remote == host {
			dead = append(dead, c)
		}
	}
	var closing []*listener
	for address, l := range n.listeners {
		if ip, _, err := net.SplitHostPort(address); err == nil && ip == host {
			closing = append(closing, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closing {
		_ = l.Close() // It has no error.
	}
	for _, c := range dead {
		c.abort()
	}
}

// pair makes the two ends of a connection.
func (n *Network) pair(from, to, address string) (near, far *conn) {
	out := &half{n: n, from: from, to: to}
	back := &half{n: n, from: to, to: from}
	near = &conn{n: n, local: from, remote: to, remoteAddr: addr(address), r: back, w: out}
	far = &conn{n: n, local: to, remote: from, remoteAddr: addr(net.JoinHostPort(from, "1")), r: out, w: back}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*conn]bool)
	}
	n.conns[near] = true
	n.conns[far] = true
	return near, far
}

// addr is the address of a listener or connection.
type addr string

// Network returns "mem".
func (a addr) Network() string { return "mem" }

// String returns the IP number and port.
func (a addr) String() string { return string(a) }

// listener accepts the connections to one address.
type listener struct {
	n       *Network
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
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		if l.n.listeners[l.address] == l {
			delete(l.n.listeners, l.address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

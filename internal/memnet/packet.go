package memnet

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// inboxSize is the number of datagrams that a packetConn holds until they are read.
// Further ones are dropped.
const inboxSize = 10_000

// datagram is a received datagram.
type datagram struct {
	from net.Addr
	data []byte
}

// packetConn implements net.PacketConn for one address.
type packetConn struct {
	network *Network
	ip      string
	address string
	inbox   chan datagram
	once    sync.Once
	done    chan struct{}
}

// ListenPacket opens an address, an IP address and port, for datagrams. Those sent over
// a cut link, or from or to a frozen host, are lost. The error wraps syscall.EADDRINUSE
// if the address is open already.
func (n *Network) ListenPacket(address string) (net.PacketConn, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.packetConns[address]; ok {
		return nil, &net.OpError{Op: "listen", Net: "mem", Addr: addr(address), Err: syscall.EADDRINUSE}
	}
	c := &packetConn{network: n, ip: ip, address: address, inbox: make(chan datagram, inboxSize), done: make(chan struct{})}
	if n.packetConns == nil {
		n.packetConns = make(map[string]*packetConn)
	}
	n.packetConns[address] = c
	return c, nil
}

// ReadFrom implements net.PacketConn.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.inbox:
		return copy(p, d.data), d.from, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn. A datagram that is lost causes no error.
func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	ip, _, err := net.SplitHostPort(to.String())
	if err != nil {
		return 0, err
	}
	d := datagram{addr(c.address), append([]byte(nil), p...)}
	time.AfterFunc(time.Until(c.network.arrival(c.ip, ip, len(p))), func() { c.network.deliver(link{c.ip, ip}, to.String(), d) })
	return len(p), nil
}

// deliver puts a datagram into the recipient's inbox, unless the link is blocked.
func (n *Network) deliver(l link, to string, d datagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.packetConns[to]
	if c == nil || n.blocked(l.from, l.to) {
		return
	}
	select {
	case c.inbox <- d:
	default:
	}
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		if c.network.packetConns[c.address] == c {
			delete(c.network.packetConns, c.address)
		}
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return addr(c.address) }

// SetDeadline implements net.PacketConn. Deadlines are not supported and have no effect.
func (c *packetConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.PacketConn like SetDeadline.
func (c *packetConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.PacketConn like SetDeadline.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

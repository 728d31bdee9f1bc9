package slopes

import (
	"context"
	"net"
	"strings"
	"sync/atomic"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
)

// counter counts the bytes that connections transfer in both directions, and the
// writes of the dialling side. Only the dialling side counts, so that each byte is
// counted once.
type counter struct {
	bytes  atomic.Int64
	writes atomic.Int64
}

// traffic counts the traffic of the connections that entry hosts dial, by the kind
// of the other side.
type traffic struct {
	store   counter
	peers   counter
	targets counter
}

// countConnections makes a node count the connections that it dials. They are plain
// TCP connections instead of the fleet's proxied ones, whose copying would add to
// the hosts' CPU time.
func (t *traffic) countConnections(f *fleet.Fleet, n *fleet.Node, peers map[string]bool) {
	store := f.StoreIP() + ":"
	n.Config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		switch {
		case strings.HasPrefix(address, store):
			return &countedConn{Conn: conn, counter: &t.store}, nil
		case peers[address]:
			return &countedConn{Conn: conn, counter: &t.peers}, nil
		}
		return &countedConn{Conn: conn, counter: &t.targets}, nil
	}
}

// countedConn is a connection that adds its traffic to a counter.
type countedConn struct {
	net.Conn
	counter *counter
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.bytes.Add(int64(n))
	c.counter.writes.Add(1)
	return n, err
}

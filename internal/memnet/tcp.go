package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// TCPDialer returns a function that opens TCP connections on behalf of the host at IP
// address from, with this network's delays and faults. Programs that run a whole
// fleet on loopback addresses use it.
func (n *Network) TCPDialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		if err := n.awaitDelivery(ctx, from, to); err != nil {
			return nil, err
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		if err := n.awaitDelivery(ctx, to, from); err != nil {
			_ = c.Close() // the connection is not used
			return nil, err
		}
		local, remote := n.newConnPair(from, to, address)
		go relay(c, remote)
		return local, nil
	}
}

// relay copies both directions between a and b until both have ended, and closes them.
func relay(a, b net.Conn) {
	var wg sync.WaitGroup
	wg.Go(func() { copyOneWay(a, b) })
	wg.Go(func() { copyOneWay(b, a) })
	wg.Wait()
	_ = a.Close() // both directions have ended
	_ = b.Close()
}

// copyOneWay copies from r to w. At the end of file it closes the writing direction
// of w; any other error aborts both connections.
func copyOneWay(w, r net.Conn) {
	_, err := io.Copy(w, r)
	if err != nil && !errors.Is(err, io.EOF) {
		abortConn(w)
		abortConn(r)
		return
	}
	closeWrite(w)
}

// closeWrite closes the writing direction of a connection.
func closeWrite(c net.Conn) {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite() // an error means that it is closed already
	}
}

// abortConn closes a connection so that the other side sees a reset.
func abortConn(c net.Conn) {
	switch c := c.(type) {
	case *net.TCPConn:
		_ = c.SetLinger(0) // no effect on a closed connection
		_ = c.Close()      // the connection is not used again
	case *conn:
		c.abort()
	}
}

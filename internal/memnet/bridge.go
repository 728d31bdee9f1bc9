package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// Bridge returns the function by which the host at IP number from dials over
// real TCP, with this network's delays and faults on top. It serves programs
// that run a whole fleet on loopback addresses.
func (n *Network) TCPDialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		if err := n.travel(ctx, from, to); err != nil {
			return nil, err
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		if err := n.travel(ctx, to, from); err != nil {
			_ = c.Close() // The caller has given up.
			return nil, err
		}
		near, far := n.pair(from, to, address)
		go carry(c, far)
		return near, nil
	}
}

// carry copies both directions of a connection until both have ended.
func carry(a, b net.Conn) {
	var wg sync.WaitGroup
	wg.Go(func() { pump(a, b) })
	wg.Go(func() { pump(b, a) })
	wg.Wait()
	_ = a.Close() // Both directions have ended.
	_ = b.Close()
}

// pump copies one direction. An end of file is passed on as such, and any
// other error breaks both connections.
func pump(w, r net.Conn) {
	_, err := io.Copy(w, r)
	if err != nil && !errors.Is(err, io.EOF) {
		breakConn(w)
		breakConn(r)
		return
	}
	closeWrite(w)
}

// closeWrite ends the writing direction of a connection.
func closeWrite(c net.Conn) {
	switch c := c.(type) {
	case *net.TCPConn:
		_ = c.CloseWrite() // An error means that it is closed already.
	case *conn:
		c.w.finish()
	}
}

// breakConn closes a connection so that the other side sees an error.
func breakConn(c net.Conn) {
	switch c := c.(type) {
	case *net.TCPConn:
		_ = c.SetLinger(0) // Without effect on a closed connection.
		_ = c.Close()      // It is given up.
	case *conn:
		c.abort()
	}
}

package target

import (
	"net"
	"sync"
	"time"
)

// slowListener delays the first read of each accepted connection.
type slowListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.delay == 0 {
		return c, err
	}
	return &slowConn{Conn: c, delay: l.delay}, nil
}

// slowConn delays its first read.
type slowConn struct {
	net.Conn
	delay time.Duration
	once  sync.Once
}

// Read implements net.Conn.
func (c *slowConn) Read(b []byte) (int, error) {
	c.once.Do(func() { time.Sleep(c.delay) })
	return c.Conn.Read(b)
}

package gatewayhost_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pipeliningCaller is a caller's connection on which requests can be sent before earlier ones are
// answered.
type pipeliningCaller struct {
	is   *is.I
	conn net.Conn
	br   *bufio.Reader
	sent int
}

// connect opens a connection to a host.
func (fl *fleet) connect(h *fleetHost) *pipeliningCaller {
	conn, err := fl.network.Dialer(hostIP(0))(fl.t.Context(), h.self.CallersAddress)
	if err != nil {
		fl.t.Fatal(err)
	}
	return &pipeliningCaller{is: is.New(fl.t), conn: conn, br: bufio.NewReader(conn)}
}

// send sends a request whose answer is on its way for a time.
func (c *pipeliningCaller) send(delivery time.Duration) {
	c.sent++
	_, err := fmt.Fprintf(c.conn, "GET /%d HTTP/1.1\r\nHost: h.example\r\nId: %s-%d\r\n%s: %v\r\n\r\n",
		c.sent, c.conn.LocalAddr(), c.sent, deliveryHeader, delivery)
	c.is.NoErr(err)
}

// receive returns the status of the next response, and whether that closes the connection.
func (c *pipeliningCaller) receive() (status int, closes bool) {
	resp, err := http.ReadResponse(c.br, nil)
	c.is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	c.is.NoErr(err)
	return resp.StatusCode, resp.Close
}

// Guards against a host that stops and leaves connections open: first each response with nothing
// behind it closes its connection, and at last requests are rejected.
func TestStoppingHostClosesConnections(t *testing.T) {
	withFleet(t, 1, 1, func(fl *fleet) {
		is := is.New(fl.t)
		h := fl.hosts[0]
		early, late := fl.connect(h), fl.connect(h)
		for _, c := range []*pipeliningCaller{early, late} {
			c.send(0)
			status, closes := c.receive()
			is.Equal(status, http.StatusOK)
			is.True(!closes)
		}
		fl.callers.Go(h.host.Stop)
		fl.hosts = nil // it is stopped once
		time.Sleep(100 * time.Millisecond)
		early.send(0)
		status, closes := early.receive()
		is.Equal(status, http.StatusOK)
		is.True(closes)
		time.Sleep(800 * time.Millisecond) // half of the grace period without its margin is over
		late.send(0)
		status, closes = late.receive()
		is.Equal(status, http.StatusServiceUnavailable)
		is.True(closes)
	})
}

// Guards against a host that stops and cuts off requests that it has sent to targets, or never
// tells a caller that does not pause to leave.
func TestStoppingHostAnswersPipelinedRequests(t *testing.T) {
	withFleet(t, 1, 1, func(fl *fleet) {
		is := is.New(fl.t)
		h := fl.hosts[0]
		c := fl.connect(h)
		const inProgress = 3
		for range inProgress {
			c.send(0)
		}
		stopping := time.Now()
		fl.callers.Go(h.host.Stop)
		fl.hosts = nil // it is stopped once
		answered := 0
		for closes := false; !closes; answered++ {
			var status int
			status, closes = c.receive()
			is.Equal(status, http.StatusOK)
			c.send(0)
		}
		is.True(time.Since(stopping) < time.Second)
		is.Equal(len(fl.targets[0].arrivals), answered) // what the target got is answered
	})
}

// Guards against a request that outlasts the grace period and takes along complete responses behind
// it.
func TestStoppingHostAnswersBehindLongRequest(t *testing.T) {
	withFleet(t, 1, 1, func(fl *fleet) {
		is := is.New(fl.t)
		h := fl.hosts[0]
		c := fl.connect(h)
		const long = 10 * time.Second
		c.send(long)
		c.send(0)
		stopping := time.Now()
		fl.callers.Go(h.host.Stop)
		fl.hosts = nil // it is stopped once
		status, closes := c.receive()
		is.Equal(status, http.StatusBadGateway)
		is.True(!closes)
		status, closes = c.receive()
		is.Equal(status, http.StatusOK)
		is.True(closes)
		is.True(time.Since(stopping) < 2*time.Second) // the grace period
		time.Sleep(long)                              // for the target
	})
}

// Package pipelinecaller is an HTTP/1.1 caller for tests that sends requests before the earlier
// ones of its connection are answered. Run uses a Caller's connection until it ends.
package pipelinecaller

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// Request is a request of a Caller.
type Request struct {
	// ID names the request to Caller.End, and Text is what is sent.
	ID, Text string
	// Pause is the time until the next request is sent.
	Pause time.Duration
}

// Response is a complete response.
type Response struct {
	Status int
	Body   []byte
	// Closes is set if the response closes the connection.
	Closes bool
}

// ErrNotRead is the error of requests that no response is due to: they were sent behind a
// response that closed the connection, or not at all.
var ErrNotRead = errors.New("pipelinecaller: the connection was closed by an earlier response")

// Caller sends requests on one connection. All fields but Timeout and HalfClose are required.
type Caller struct {
	Conn net.Conn
	// Depth is the number of requests that are in progress at most.
	Depth int
	// Next returns the next request, and false if there is none. End is called once for each of
	// them, with its response or an error. Both may be called concurrently.
	Next func() (Request, bool)
	End  func(id string, resp *Response, err error)
	// Timeout bounds the wait for each response; 0 means that there is no bound.
	Timeout time.Duration
	// HalfClose makes the caller close its side for writing after the last request.
	HalfClose bool
}

// Run sends requests until a response closes the connection, an error occurs, or Next returns
// false. It returns once no response is due, and closes the connection.
func (c *Caller) Run() {
	due, closing := make(chan string, c.Depth-1), make(chan struct{})
	go c.sendAll(due, closing)
	br := bufio.NewReader(c.Conn)
	open := true
	for id := range due {
		if !open {
			c.End(id, nil, ErrNotRead)
			continue
		}
		resp, err := c.receive(br)
		c.End(id, resp, err)
		if err != nil || resp.Closes {
			open = false
			close(closing)
		}
	}
	_ = c.Conn.Close() // nothing is due
}

// sendAll sends requests until there are no more, or closing is closed. It closes due then.
func (c *Caller) sendAll(due chan<- string, closing <-chan struct{}) {
	defer close(due)
	for {
		r, ok := c.Next()
		if !ok {
			break
		}
		select {
		case <-closing:
			c.End(r.ID, nil, ErrNotRead)
			return
		case due <- r.ID:
		}
		if _, err := io.WriteString(c.Conn, r.Text); err != nil {
			return
		}
		time.Sleep(r.Pause)
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.HalfClose {
		_ = w.CloseWrite() // the connection may have ended
	}
}

// receive reads the next final response.
func (c *Caller) receive(br *bufio.Reader) (*Response, error) {
	if c.Timeout > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.Timeout)) // a closed connection fails the read
	}
	resp, err := http.ReadResponse(br, nil)
	for err == nil && resp.StatusCode == http.StatusContinue {
		resp, err = http.ReadResponse(br, nil)
	}
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	_ = resp.Body.Close() // it has been read
	return &Response{Status: resp.StatusCode, Body: body, Closes: resp.Close}, nil
}

//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var serial atomic.Int64

// newID returns the ID of a new request.
func newID() string { return fmt.Sprintf("%016x", 0x1000000000000000+serial.Add(1)) }

// head returns the head of a request without its blank line.
func head(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, routeHost, id, id[12:], deadline.Milliseconds(), key)
}

// answerOf reads the answer to a request and records it. It returns false if the connection
// brings no further one.
func (s *stage) answerOf(br *bufio.Reader, id, path string) bool {
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
	if err != nil {
		s.ended(id, fmt.Sprintf("no answer: %v", err))
		return false
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // it was read
	s.update(id, func(l *life) {
		l.status, l.complete, l.endedAt = resp.StatusCode, err == nil, time.Now()
		l.ending = resp.Status
		switch {
		case err != nil:
			l.ending += fmt.Sprintf(", broken off: %v", err)
		case resp.StatusCode < 300 && !strings.HasPrefix(string(text), answerTo(id, path, shortAnswer)):
			l.ending += ", the body is wrong"
		}
		if resp.Close {
			l.ending += ", closes"
		}
	})
	return err == nil && !resp.Close
}

func (s *stage) ended(id, how string) {
	s.update(id, func(l *life) { l.endedAt, l.ending = time.Now(), how })
}

// dial opens a client's connection.
func dial(address string) (*net.TCPConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

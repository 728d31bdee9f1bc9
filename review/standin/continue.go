//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// uploaders is the number of callers, and uploadBytes the length of their uploads.
	uploaders   = 40
	uploadBytes = 20 << 10
	// longIdle is within four fifths of the idle timeout, and shortIdle much shorter.
	longIdle  = 11 * time.Second
	shortIdle = 3 * time.Second
)

func init() {
	cases["continue"] = continueCase
}

// continueCase: callers send two uploads on a connection, with a pause of less than four
// fifths of the idle timeout. They ask by "Expect: 100-continue" whether to send the body.
func continueCase(w *world) (bool, error) {
	var ran atomic.Int64
	for i := range 4 {
		if err := w.startTarget(fmt.Sprintf("i-%d", i), i%2, 20*time.Millisecond, func(r *http.Request) {
			ran.Add(1)
			w.logf("run: request %s", r.Header.Get("Request-Id"))
		}); err != nil {
			return false, err
		}
	}
	w.putConfig(12, nil)
	a, err := w.newHost("a", 0, w.address)
	if err != nil {
		return false, err
	}
	if err := a.start(); err != nil {
		return false, err
	}
	if err := waitReady(10*time.Second, a); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	idle := shortIdle
	if w.trouble {
		idle = longIdle
	}
	var mu sync.Mutex
	results := make(map[string]int)
	var all sync.WaitGroup
	for i := range uploaders {
		all.Go(func() {
			c, err := net.Dial("tcp", a.callers)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			br := bufio.NewReader(c)
			for n := range 2 {
				id := fmt.Sprintf("up%d-%d", i, n)
				result := uploadAfterContinue(c, br, id)
				w.logf("answer: upload %s: %s", id, result)
				mu.Lock()
				results[fmt.Sprintf("%d: %s", n+1, result)]++
				mu.Unlock()
				time.Sleep(idle)
			}
		})
	}
	all.Wait()
	w.logf("uploads: %d, pause on the connection %v, answers by number of the upload: %v, run: %d", 2*uploaders, idle, results, ran.Load())
	denied := 0
	for result, n := range results {
		if strings.HasPrefix(result, "1: 4") || strings.HasPrefix(result, "2: 4") {
			denied += n
		}
	}
	// More than 5 + one in 500 of all requests are ended with a 4xx of the host's own.
	return float64(denied) <= 5+2*uploaders/500.0, nil
}

// uploadAfterContinue sends the head of an upload, waits up to a second for leave to send
// the body, sends it, and returns the status of the response.
func uploadAfterContinue(c net.Conn, br *bufio.Reader, id string) string {
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /order/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", id, routeHost, id, uploadBytes); err != nil {
		return "connection ended"
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	_, err := br.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	if err == nil {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return "no answer"
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusContinue {
			return resp.Status
		}
	}
	if _, err := c.Write(make([]byte, uploadBytes)); err != nil {
		return "connection ended"
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return "no answer"
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Status
}

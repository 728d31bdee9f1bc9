//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

func init() {
	cases["slashes"] = slashesCase
}

// slashesCase: callers ask for paths that begin with two slashes, as links do that were put
// together carelessly. The route with the prefix "/" allows them.
func slashesCase(w *world) (bool, error) {
	var changed atomic.Int64
	for i := range 4 {
		if err := w.startTarget(fmt.Sprintf("i-%d", i), i%2, func(r *http.Request) {
			id, sent := r.Header.Get("Request-Id"), r.Header.Get("X-Sent")
			if r.RequestURI == sent {
				w.logf("run: request %s, %s", id, r.RequestURI)
				return
			}
			changed.Add(1)
			w.logf("run: request %s, %s, path as its target reads it: %s; sent: %s", id, r.RequestURI, r.URL.Path, sent)
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
	if err := waitReady(a); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	slash := "/"
	if w.trouble {
		slash = "//"
	}
	served := 0
	for i := range 40 {
		path := fmt.Sprintf("%ssizes/order/%d", slash, i)
		status, err := get(a.callers, path, fmt.Sprintf("g%d", i))
		w.logf("answer: request g%d, %s: %s", i, path, status)
		if err != nil {
			return false, err
		}
		if status == "200 OK" {
			served++
		}
	}
	w.logf("requests: 40, answered with 200: %d, run with another path: %d", served, changed.Load())
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return changed.Load() == 0, nil
}

// get sends a request with a path as it is, and returns the status of the response.
func get(address, path, id string) (string, error) {
	c, err := dial(address)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nX-Sent: %s\r\nDeadline-Ms: 2000\r\nConnection: close\r\n\r\n", path, routeHost, id, path); err != nil {
		return "", err
	}
	text, err := io.ReadAll(io.LimitReader(c, 4<<10))
	if err != nil || len(text) < 15 {
		return "no answer", nil
	}
	var status int
	if _, err := fmt.Sscanf(string(text), "HTTP/1.1 %d", &status); err != nil {
		return "no answer", nil
	}
	return fmt.Sprint(status, " ", http.StatusText(status)), nil
}

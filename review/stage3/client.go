//go:build review

package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// call is one client attempt.
type call struct {
	id, key, host, path string
	sentAt              time.Time
	status              int
	body                string
	err                 error
	took                time.Duration
}

// calls holds the client attempts of a case.
type calls struct {
	rec *recorder

	mu  sync.Mutex
	all []call
}

// newID returns an ID for a client attempt.
func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:]) // it never fails
	return hex.EncodeToString(raw[:])
}

// send sends one request on a connection of its own and records the outcome.
func (c *calls) send(h *host, method, path, key string, body []byte, deadline time.Duration) {
	a := call{id: newID(), key: key, host: h.name, path: path}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+h.callers+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		panic(err)
	}
	r.ContentLength = int64(len(body))
	if len(body) == 0 {
		r.Body = nil
	}
	r.Host = "shop.example"
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+key)
	a.sentAt = time.Now()
	c.rec.note("client sends %s with key %s to %s: %s %s", a.id, key, a.host, method, path)
	resp, err := client.Do(r)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.body = string(text)
		a.status = resp.StatusCode
	}
	a.err, a.took = err, time.Since(a.sentAt)
	c.rec.note("client gets for %s: status %d, error %v, after %v", a.id, a.status, err, a.took.Round(time.Millisecond))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, a)
}

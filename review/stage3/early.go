//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// uploadBytes is the length of an upload, which the client sends in parts of partBytes with
	// partPause between them.
	uploadBytes, partBytes = 1 << 20, 32 << 10
	partPause              = 15 * time.Millisecond
	// readFirst is how much of an upload an upstream that answers early has read by then.
	readFirst = 256 << 10
)

// slowBody returns a body in parts.
type slowBody struct{ rest *bytes.Reader }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.rest.Len() < uploadBytes {
		time.Sleep(partPause)
	}
	return b.rest.Read(p[:min(len(p), partBytes)])
}

// uploads counts what the targets got of each upload that they ran, by its ID.
type uploads struct {
	mu  sync.Mutex
	got map[string]int64
}

// serveUploads serves a connection of a target that may answer an upload before it has read it
// whole. It keeps the connection, and reads on.
func (t *target) serveUploads(nc net.Conn, all *uploads, early bool) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if r.Header.Get("Expect-Instance") != t.id {
			return
		}
		first := int64(uploadBytes)
		if early {
			first = readFirst
		}
		n, err := io.CopyN(io.Discard, r.Body, first)
		if err != nil {
			t.fleet.rec.note("target %s got %d bytes of %s and does not run it: %v", t.id, n, id, err)
			return
		}
		t.fleet.rec.note("target %s runs %s and answers 200 after %d bytes of %d", t.id, id, n, r.ContentLength)
		text := answerTo(id, r.URL.Path, nil)
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", id, t.id, len(text), text)
		rest, err := io.Copy(io.Discard, r.Body)
		t.fleet.rec.note("target %s has read %d bytes of %s: error %v", t.id, n+rest, id, err)
		all.mu.Lock()
		all.got[id] = n + rest
		all.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// playEarly sends uploads to targets that answer them early and read on. Each upload that is
// answered with success must reach its target whole.
func playEarly(rec *recorder, trouble bool) error {
	const count = 60
	f, err := newFleet(rec)
	if err != nil {
		return err
	}
	defer f.close()
	doc := strings.ReplaceAll(document(1, "key"), `"kind":"unsafe"`, `"kind":"upload"`)
	f.store.Put("op/config", strings.ReplaceAll(doc, `"maxBodyBytes":1048576`, `"maxBodyBytes":4194304`))
	all := &uploads{got: make(map[string]int64)}
	for i := range 3 {
		t := &target{id: fmt.Sprintf("i-till%d", i), service: "till", zone: zones[i%len(zones)].name, fleet: f, state: "ready", quit: make(chan struct{})}
		if err := t.listenRaw(func(nc net.Conn) { t.serveUploads(nc, all, trouble) }); err != nil {
			return err
		}
		t.keepRegistered()
	}
	if err := f.startAll(f.hosts...); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c := &calls{rec: rec}
	var clients sync.WaitGroup
	for n := range count {
		h := f.hosts[n%len(f.hosts)]
		clients.Go(func() { c.upload(h, fmt.Sprintf("/order/%d", n), "key") })
		time.Sleep(150 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	return checkWhole(rec, c.all, all)
}

// upload sends an upload to its end, whatever is answered meanwhile, and then reads the answer.
func (c *calls) upload(h *host, path, key string) {
	a := call{id: newID(), key: key, host: h.name, path: path, sentAt: time.Now()}
	nc, err := (&net.Dialer{}).Dial("tcp", h.callers)
	if err != nil {
		c.rec.note("%v", err)
		return
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(4 * time.Second)) // a failed call fails the reads below
	c.rec.note("client sends %s to %s: an upload of %d bytes", a.id, a.host, uploadBytes)
	_, _ = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, a.id, key, uploadBytes)
	sent, sendErr := io.Copy(nc, &slowBody{bytes.NewReader(make([]byte, uploadBytes))})
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body = resp.StatusCode, string(text)
	}
	a.err = err
	c.rec.note("client has sent %d bytes of %s (error %v) and got status %d, error %v, after %v", sent, a.id, sendErr, a.status, err, time.Since(a.sentAt).Round(time.Millisecond))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, a)
}

// checkWhole checks that each upload that was answered with success reached its target whole.
func checkWhole(rec *recorder, all []call, u *uploads) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	broken, served := 0, 0
	for _, a := range all {
		if a.status != http.StatusOK {
			continue
		}
		served++
		if got := u.got[a.id]; got != uploadBytes {
			broken++
			rec.note("broken: the client of %s got status 200, and the target that ran it got %d bytes of its body of %d", a.id, got, uploadBytes)
		}
	}
	rec.note("%d of %d uploads that were answered with success are not whole", broken, served)
	switch {
	case broken > 0:
		return errBroken
	case served*10 < len(all)*9:
		return fmt.Errorf("only %d of %d uploads were served: the case says nothing", served, len(all))
	default:
		return nil
	}
}

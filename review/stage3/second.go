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
	"time"
)

// faultyPeriod makes one of so many answers of a faulty target be followed by a second one: the
// largest share that the site's entry of this disruption names is 0.03.
const faultyPeriod = 34

// serveConn serves one connection of a target that speaks HTTP by itself. If the target is faulty,
// some of its answers are followed by a second one, a bare error, which arrives late: at the point
// where the next answer is expected.
func (t *target) serveConn(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	extra := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if extra != "" {
			if _, err := io.WriteString(nc, extra); err != nil {
				return
			}
			t.fleet.rec.note("target %s sends a second answer to an earlier request as %s arrives: %q", t.id, id, extra)
			extra = ""
		}
		if r.Header.Get("Expect-Instance") != t.id {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id) // the next read fails
			continue
		}
		answer, n := t.run(r, id, body)
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
		if t.faulty && n%faultyPeriod == 0 {
			text := fmt.Sprintf("error after the answer to %s\n", id)
			extra = fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	}
}

// run runs a request. It returns the answer, and the number of requests that the target ran.
func (t *target) run(r *http.Request, id string, body []byte) (answer string, n int) {
	t.mu.Lock()
	t.runs = append(t.runs, run{time.Now(), id, t.id, r.Header.Get("Tenant"), r.URL.Path})
	n = len(t.runs)
	t.mu.Unlock()
	t.fleet.rec.note("target %s runs %s for tenant %q: %s %s", t.id, id, r.Header.Get("Tenant"), r.Method, r.URL.Path)
	time.Sleep(t.work)
	text := answerTo(id, r.URL.Path, body)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n%s", id, t.id, len(text), text), n
}

// listenRaw makes the target accept connections, which serve serves, until the fleet is closed.
func (t *target) listenRaw(serve func(net.Conn)) error {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	t.address = l.Addr().String()
	var mu sync.Mutex
	open := make(map[net.Conn]bool)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open[nc] = true
			mu.Unlock()
			go func() {
				serve(nc)
				mu.Lock()
				defer mu.Unlock()
				delete(open, nc)
			}()
		}
	}()
	t.fleet.closed = append(t.fleet.closed, func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for nc := range open {
			_ = nc.Close()
		}
	})
	return nil
}

// playSecond sends orders to targets of which half send second answers. No client may get an
// answer that belongs to another request.
func playSecond(rec *recorder, trouble bool) error {
	const playFor = 8 * time.Second
	f, err := newFleet(rec)
	if err != nil {
		return err
	}
	defer f.close()
	f.store.Put("op/config", document(1, "key"))
	for i := range 6 {
		t := &target{
			id: fmt.Sprintf("i-till%d", i), service: "till", zone: zones[i%len(zones)].name, fleet: f, work: 100 * time.Millisecond,
			state: "ready", quit: make(chan struct{}), faulty: trouble && i < 3,
		}
		if err := t.listenRaw(t.serveConn); err != nil {
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
	start := time.Now()
	for n := 0; time.Since(start) < playFor; n++ {
		h := f.hosts[n%len(f.hosts)]
		path := fmt.Sprintf("/order/%d", n)
		clients.Go(func() { c.send(h, http.MethodPost, path, "key", []byte("one blazer"), 4*time.Second) })
		time.Sleep(10 * time.Millisecond)
	}
	clients.Wait()
	return checkOwn(rec, c.all)
}

// checkOwn checks that each answer belongs to its request.
func checkOwn(rec *recorder, all []call) error {
	broken, served := 0, 0
	for _, a := range all {
		if a.status == http.StatusOK {
			served++
		}
		_, other, found := strings.Cut(a.body, "error after the answer to ")
		if found && !strings.HasPrefix(other, a.id) || a.status == http.StatusOK && a.body != answerTo(a.id, a.path, []byte("one blazer")) {
			broken++
			rec.note("broken: the client of %s gets status %d with an answer that belongs to another request: %q", a.id, a.status, a.body)
		}
	}
	rec.note("%d of %d requests got the answer of another one; %d were served", broken, len(all), served)
	switch {
	case broken > 0:
		return errBroken
	case served*10 < len(all)*9:
		return fmt.Errorf("only %d of %d requests were served: the case says nothing", served, len(all))
	default:
		return nil
	}
}

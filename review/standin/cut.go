//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

const (
	// cutTime is how long host a is cut off from all targets.
	cutTime = 8 * time.Second
	// busyCallers is the number of callers of host a, with a request each every
	// busyPeriod. Host b has quietCallers with a request each every quietPeriod.
	busyCallers  = 10
	busyPeriod   = 500 * time.Millisecond
	quietCallers = 3
	quietPeriod  = 12 * time.Second
	// afterQuiet is the time from the requests of host b until the cut begins.
	afterQuiet = 4500 * time.Millisecond
)

// path is the path from one host to one target. It can be cut.
type path struct {
	address, target string

	mu    sync.Mutex
	ln    net.Listener
	conns map[net.Conn]bool
}

// paths are the paths from one host to all targets.
type paths struct {
	mu  sync.Mutex
	all map[string]*path
}

// to returns the address of the path to a target.
func (ps *paths) to(target string) string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if ps.all == nil {
		ps.all = make(map[string]*path)
	}
	if p := ps.all[target]; p != nil {
		return p.address
	}
	address, err := freeAddress()
	if err != nil {
		return target
	}
	p := &path{address: address, target: target, conns: make(map[net.Conn]bool)}
	if err := p.open(); err != nil {
		return target
	}
	ps.all[target] = p
	return address
}

// cut resets all connections and refuses new ones, until restore is called.
func (ps *paths) cut() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.all {
		p.close()
	}
}

// restore lets connections be opened again.
func (ps *paths) restore() error {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.all {
		if err := p.open(); err != nil {
			return err
		}
	}
	return nil
}

func (p *path) open() error {
	ln, err := listen(p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ln = ln
	go p.accept(ln)
	return nil
}

func (p *path) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.ln.Close()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // the close resets the connection
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *path) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		to, err := dial(p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[to] = true, true
		p.mu.Unlock()
		for _, pair := range [][2]net.Conn{{c, to}, {to, c}} {
			go func() {
				_, _ = io.Copy(pair[0], pair[1])
				_ = pair[0].Close()
				_ = pair[1].Close()
				p.mu.Lock()
				delete(p.conns, pair[0])
				p.mu.Unlock()
			}()
		}
	}
}

// viewOf serves the store to one host. The entries of targets name the paths of that host.
func (w *world) viewOf(ps *paths) (string, error) {
	ln, err := listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		w.store.ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		if strings.HasPrefix(r.URL.Path, "/kv-range") || strings.HasPrefix(r.URL.Path, "/kv-watch") {
			body = ps.rewrite(body)
		}
		for name, values := range rec.Header() {
			rw.Header()[name] = values
		}
		rw.WriteHeader(rec.Code)
		_, _ = rw.Write(body)
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(ln) }()
	return ln.Addr().String(), nil
}

// rewrite replaces the addresses of targets in a response of the store.
func (ps *paths) rewrite(body []byte) []byte {
	var resp map[string]any
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if d.Decode(&resp) != nil {
		return body
	}
	for _, list := range []string{"items", "events"} {
		items, _ := resp[list].([]any)
		for _, it := range items {
			item, _ := it.(map[string]any)
			key, _ := item["key"].(string)
			value, _ := item["value"].(string)
			if !strings.HasPrefix(key, "servers/") || value == "" {
				continue
			}
			item["value"] = ps.rewriteEntry(value)
		}
	}
	text, err := json.Marshal(resp)
	if err != nil {
		return body
	}
	return text
}

// rewriteEntry replaces the address in an entry, which is in base64.
func (ps *paths) rewriteEntry(value string) any {
	var text []byte
	if json.Unmarshal([]byte(`"`+value+`"`), &text) != nil {
		return value
	}
	var entry map[string]json.RawMessage
	var address string
	if json.Unmarshal(text, &entry) != nil || json.Unmarshal(entry["address"], &address) != nil {
		return value
	}
	entry["address"] = json.RawMessage(fmt.Sprintf("%q", ps.to(address)))
	out, err := json.Marshal(entry)
	if err != nil {
		return value
	}
	return out // encoded as base64
}

// tries counts first tries at one host.
type tries struct {
	mu          sync.Mutex
	all, served int
	results     map[string]int
}

func init() {
	cases["cut"] = cutCase
}

// cutCase: host a loses its paths to all targets for some seconds, and host b has not. Few
// callers use host b.
func cutCase(w *world) (bool, error) {
	for i := range 6 {
		if err := w.startTarget(fmt.Sprintf("i-%d", i), i%2, func(*http.Request) {}); err != nil {
			return false, err
		}
	}
	w.putConfig(12, nil)
	ps := &paths{}
	view, err := w.viewOf(ps)
	if err != nil {
		return false, err
	}
	a, err := w.newHost("a", 0, view)
	if err != nil {
		return false, err
	}
	b, err := w.newHost("b", 1, w.address)
	if err != nil {
		return false, err
	}
	for _, h := range []*host{a, b} {
		if err := h.start(); err != nil {
			return false, err
		}
	}
	if err := waitReady(a, b); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var from, to time.Time // the time that counts
	var mu sync.Mutex
	count := map[*host]*tries{a: {results: make(map[string]int)}, b: {results: make(map[string]int)}}
	stop := make(chan struct{})
	var calling sync.WaitGroup
	call := func(h *host, name string, period time.Duration) {
		client := &http.Client{Transport: &http.Transport{}}
		for n := 0; ; n++ {
			begin := time.Now()
			result := w.firstTry(h, client, fmt.Sprintf("%s-%d", name, n))
			mu.Lock()
			counts := !from.IsZero() && begin.After(from) && begin.Before(to)
			mu.Unlock()
			if counts {
				count[h].add(result)
			}
			w.logf("first try %s-%d at host %s: %s", name, n, h.name, result)
			select {
			case <-time.After(time.Until(begin.Add(period))):
			case <-stop:
				return
			}
		}
	}
	for i := range quietCallers {
		calling.Go(func() { call(b, fmt.Sprintf("quiet%d", i), quietPeriod) })
	}
	quietAt := time.Now()
	for i := range busyCallers {
		calling.Go(func() {
			time.Sleep(time.Duration(i) * busyPeriod / busyCallers)
			call(a, fmt.Sprintf("busy%d", i), busyPeriod)
		})
	}
	time.Sleep(time.Until(quietAt.Add(quietPeriod + afterQuiet)))
	mu.Lock()
	from, to = time.Now().Add(stableWindow), time.Now().Add(cutTime)
	mu.Unlock()
	if w.trouble {
		ps.cut()
		w.logf("host a is cut off from %d targets", len(ps.all))
	}
	time.Sleep(cutTime / 2)
	w.logf("host a says that it is ready: %v", a.ready())
	time.Sleep(cutTime / 2)
	if w.trouble {
		if err := ps.restore(); err != nil {
			return false, err
		}
		w.logf("host a reaches the targets again")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	calling.Wait()
	return w.judgeCut(count[a], count[b]), nil
}

// add counts a first try.
func (t *tries) add(result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	t.results[result]++
	if result == "200" {
		t.served++
	}
}

// judgeCut applies the rule: at the host that was cut off, less than two thirds as many of
// the first tries were served as at the other, and more than 10 + 1 in 50 of all failed.
func (w *world) judgeCut(cut, other *tries) bool {
	w.logf("first tries from stableWindow after the cut began to its end: host a %d, served %d %v; host b %d, served %d %v",
		cut.all, cut.served, cut.results, other.all, other.served, other.results)
	if cut.all == 0 || other.all == 0 {
		return true
	}
	failed := cut.all - cut.served
	shareCut := float64(cut.served) / float64(cut.all)
	shareOther := float64(other.served) / float64(other.all)
	few := shareCut < shareOther*2/3
	many := float64(failed) > 10+float64(cut.all+other.all)/50
	return !few || !many
}

// firstTry sends the first try of a request to a host, on a kept connection.
func (w *world) firstTry(h *host, client *http.Client, id string) string {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.callers+"/look/"+id, nil)
	if err != nil {
		return err.Error()
	}
	client.Timeout = 2 * time.Second
	r.Host = routeHost
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "2000")
	resp, err := client.Do(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken off"
	}
	return fmt.Sprint(resp.StatusCode)
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// tenant is a tenant of the configuration.
type tenant struct {
	name string
	keys []string
}

// putConfig writes a version of the configuration. The store's answer is the
// acknowledgement.
func (w *world) putConfig(version int, tenants []tenant) {
	w.store.Put("op/config", w.config(version, tenants))
	w.logf("op/config r%d acknowledged", version)
}

// config returns a version of the configuration: the safe routes / and /look/ and the
// unsafe one /order/. Without tenants, the routes are open.
func (w *world) config(version int, tenants []tenant) string {
	all := []map[string]any{}
	for _, t := range tenants {
		all = append(all, map[string]any{"name": t.name, "apiKeys": t.keys, "priority": 1, "ratePerS": 0, "burst": 0, "homeRegions": []string{}})
	}
	path := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "prefix": prefix, "kind": kind, "timeout": strconv.FormatInt(routeTimeout.Milliseconds(), 10) + "ms", "targetLatency": "500ms", "priority": 1,
			"service": "shop", "maxAttempts": 2, "anonymous": len(tenants) == 0, "affinity": false, "homeRegions": []string{},
		}
	}
	paths := []map[string]any{path("r-page", "/", "safe"), path("r-look", "/look/", "safe"), path("r-order", "/order/", "unsafe")}
	text, err := json.Marshal(map[string]any{
		"version":  "r" + strconv.Itoa(version),
		"services": []map[string]any{{"name": "shop", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "coldStart": "0s", "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
		"tenants":  all,
		"hosts":    []map[string]any{{"host": routeHost, "paths": paths}},
	})
	if err != nil {
		panic(err) // the values are constants
	}
	return string(text)
}

// target is a stand-in of an upstream.
type target struct {
	w       *world
	id      string
	zone    int
	address string
	born    int64
	slots   chan struct{}
	waiting atomic.Int64
	// onRun is called as a request begins to run.
	onRun func(r *http.Request)
	seq   int
}

// A target has defaultSlots slots unless the case sets others, and a queue of queueFactor
// times as many.
const (
	defaultSlots = 64
	queueFactor  = 3
)

// workTime is how long a request takes.
const workTime = 20 * time.Millisecond

// routeTimeout is the timeout of all routes.
const routeTimeout = 2 * time.Second

// startTarget starts a target, which registers itself every heartbeat.
func (w *world) startTarget(id string, zone int, onRun func(r *http.Request)) error {
	ln, err := listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	t := &target{
		w: w, id: id, zone: zone, address: ln.Addr().String(), born: time.Now().UnixMilli(), slots: make(chan struct{}, w.slots),
		onRun: onRun,
	}
	go func() { _ = (&http.Server{Handler: t}).Serve(ln) }()
	go func() {
		for {
			t.register()
			time.Sleep(heartbeat)
		}
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.targets = append(w.targets, t)
	return nil
}

// register writes the entry of the target.
func (t *target) register() {
	t.seq++
	t.w.store.Put("servers/"+t.id, fmt.Sprintf(
		`{"service":"shop","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldLeft":"0ms","seq":%d,"born":%d}`,
		t.address, zones[t.zone]["zone"], cap(t.slots), t.seq, t.born))
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != t.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if t.waiting.Add(1) > int64(cap(t.slots)*(1+queueFactor)) {
		t.waiting.Add(-1)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.waiting.Add(-1)
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the body is not whole: nothing runs
	}
	t.onRun(r)
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Server-Stamp", "stamp-"+t.id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(t.slots), cap(t.slots)))
	_, _ = fmt.Fprintf(w, "%s %s %d\n", id, r.URL.Path, len(body)) // the host may be gone
}

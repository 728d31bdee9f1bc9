//go:build review

package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is one request that a target began to work on.
type run struct {
	at                       time.Time
	id, target, tenant, path string
}

// target is a sound upstream.
type target struct {
	id, service, zone, address string
	fleet                      *fleet
	work                       time.Duration
	// faulty makes the target send some second answers.
	faulty bool

	mu    sync.Mutex
	seq   int
	state string
	runs  []run
	quit  chan struct{}
}

// newTarget starts a target and registers it at each heartbeat.
func (f *fleet) newTarget(id, service string, z zone, work time.Duration) (*target, error) {
	t := &target{id: id, service: service, zone: z.name, fleet: f, work: work, state: "ready", quit: make(chan struct{})}
	var err error
	if t.address, err = f.serve(t); err != nil {
		return nil, err
	}
	t.keepRegistered()
	return t, nil
}

// keepRegistered writes the target's entry at each heartbeat until the fleet is closed.
func (t *target) keepRegistered() {
	t.register()
	go func() {
		for {
			select {
			case <-t.quit:
				return
			case <-time.After(heartbeat):
				t.register()
			}
		}
	}()
	t.fleet.closed = append(t.fleet.closed, func() { close(t.quit) })
}

// register writes the target's entry.
func (t *target) register() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	text, err := json.Marshal(map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": 6, "state": t.state,
		"coldLeft": "0ms", "seq": t.seq, "born": t.fleet.rec.start.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	t.fleet.store.Put("servers/"+t.id, string(text))
}

// answerTo returns the only valid body of an answer to a request.
func answerTo(id, path string, body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%s %s %s\n", id, path, hex.EncodeToString(sum[:]))
}

// ServeHTTP runs requests. It answers with the hash of what it got.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", t.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != t.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request is incomplete, and is not run
	}
	t.mu.Lock()
	t.runs = append(t.runs, run{time.Now(), id, t.id, r.Header.Get("Tenant"), r.URL.Path})
	t.mu.Unlock()
	t.fleet.rec.note("target %s runs %s for tenant %q: %s %s", t.id, id, r.Header.Get("Tenant"), r.Method, r.RequestURI)
	time.Sleep(t.work)
	w.Header().Set("Server-Stamp", "stamp."+t.id)
	_, _ = io.WriteString(w, answerTo(id, r.URL.Path, body)) // the caller may be gone
}

// allRuns returns what the targets ran.
func allRuns(targets []*target) []run {
	var all []run
	for _, t := range targets {
		t.mu.Lock()
		all = append(all, t.runs...)
		t.mu.Unlock()
	}
	return all
}

//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// upstream is a server of a service. It runs slots requests at once and queues a few more.
type upstream struct {
	stage                      *stage
	id, service, zone, address string
	slots                      chan struct{}
	queue                      chan struct{}
	born                       int64
	seq                        int
	srv                        *http.Server
	// work is how long a request takes, and lines the length of its answer.
	work  time.Duration
	lines int
	// breaksOff tells whether the upstream breaks off its answer to a request; nil means never. One
	// for which it is set is not sound.
	breaksOff func() bool
}

// slotCount is how many requests an upstream runs at once.
const slotCount = 6

// addUpstream starts an upstream and registers it.
func (s *stage) addUpstream(service string, z int, work time.Duration) (*upstream, error) {
	n := len(s.servers) + 1
	l, err := net.Listen("tcp", s.ip(100+n)+":0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		stage: s, id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zones[z].name, address: l.Addr().String(),
		slots: make(chan struct{}, slotCount), queue: make(chan struct{}, slotCount+6), born: time.Now().UnixMilli(), work: work, lines: shortAnswer,
	}
	u.srv = &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = u.srv.Serve(l) }() // ends with the upstream
	s.servers = append(s.servers, u)
	u.register("ready")
	return u, nil
}

// register writes the upstream's entry.
func (u *upstream) register(state string) {
	u.seq++
	u.stage.store.Put("servers/"+u.id, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldLeft":"0ms","seq":%d,"born":%d}`,
		u.service, u.address, u.zone, slotCount, state, u.seq, u.born))
}

// crash ends the upstream with all its connections.
func (u *upstream) crash() { _ = u.srv.Close() }

func (u *upstream) load() string {
	running := len(u.slots)
	return fmt.Sprintf("%d,%d,%d", running, max(len(u.queue)-running, 0), slotCount)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", u.id)
		w.Header().Set("Server-Load", u.load())
		return
	}
	u.stage.update(id, func(l *life) {
		l.arrivals = append(l.arrivals, u.id)
		if l.arrivedAt.IsZero() {
			l.arrivedAt = time.Now()
		}
	})
	w.Header().Set("Request-Id", id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != u.id {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.queue <- struct{}{}:
		defer func() { <-u.queue }()
	default:
		u.refuse(w)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	}
	u.stage.update(id, func(l *life) { l.runs = append(l.runs, u.id) })
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request was cut off
	}
	if !wait(r.Context(), u.work) {
		return // its connection was closed
	}
	w.Header().Set("Server-Stamp", "stamp-"+u.id)
	w.Header().Set("Server-Load", u.load())
	text := answerTo(id, r.URL.Path, u.lines)
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	if u.breaksOff != nil && u.breaksOff() {
		u.stage.note("%s breaks off its answer to %s", u.id, id)
		text = text[:len(text)/2] // net/http then closes the connection
	}
	_, _ = io.WriteString(w, text) // the host may have left
}

func (u *upstream) refuse(w http.ResponseWriter) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Server-Load", u.load())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// shortAnswer is the number of lines of an answer of some 300 bytes, and longAnswer that of one of
// some 100 KB.
const (
	shortAnswer = 8
	longAnswer  = 2500
)

// answerTo returns the only right body of the answer to a request.
func answerTo(id, path string, lines int) string { return strings.Repeat(id+" "+path+"\n", lines) }

// wait waits for d, and returns false if ctx ends before.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sheetBytes is the length of an answer.
	sheetBytes = 1100 << 10
	// sheetWork is how long the targets work on a request.
	sheetWork = 150 * time.Millisecond
	// clientCount clients have up to pipelineDepth requests in progress on a connection.
	clientCount, pipelineDepth = 16, 3
	// faultyTargets of sheetTargets break off one in faultyPeriod of their answers for faultyFor.
	sheetTargets, faultyTargets = 12, 7
	faultyFor                   = 5500 * time.Millisecond
)

// sheetRequest is what became of one request.
type sheetRequest struct {
	host string
	// reached lists the targets that the request reached, and sound tells that none of them is faulty.
	reached []string
	sound   bool
	// whole is set once the client has read the whole answer, and ending tells how it ended.
	whole  bool
	ending string
	// kept tells that its connection had carried an answer before.
	kept bool
}

// sheets holds the requests of a case by their IDs.
type sheets struct {
	// faultyAnswers counts the answers of the faulty targets while they break some off.
	faultyAnswers atomic.Int64

	mu  sync.Mutex
	all map[string]*sheetRequest
}

func (s *sheets) update(id string, change func(*sheetRequest)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.all[id]
	if r == nil {
		r = &sheetRequest{sound: true}
		s.all[id] = r
	}
	change(r)
}

// serveSheets serves a connection of a target, which breaks off some answers from start on if it is
// faulty.
func (t *target) serveSheets(nc net.Conn, s *sheets, start func() time.Time) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	body := bytes.Repeat([]byte{'x'}, sheetBytes)
	for {
		r, err := http.ReadRequest(br)
		if err != nil || r.Header.Get("Expect-Instance") != t.id {
			return
		}
		id := r.Header.Get("Request-Id")
		s.update(id, func(q *sheetRequest) { q.reached, q.sound = append(q.reached, t.id), q.sound && !t.faulty })
		time.Sleep(sheetWork)
		at := start()
		breaks := false
		if t.faulty && !at.IsZero() && time.Since(at) < faultyFor {
			breaks = s.faultyAnswers.Add(1)%faultyPeriod == 0
		}
		if _, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\nContent-Length: %d\r\n\r\n", id, t.id, sheetBytes); err != nil {
			return
		}
		if breaks {
			_, _ = nc.Write(body[:sheetBytes/2])
			t.fleet.rec.note("target %s breaks off its answer to %s", t.id, id)
			return
		}
		if _, err := nc.Write(body); err != nil {
			return
		}
	}
}

// sheetClient sends safe requests to a host, further ones before the first one is answered, and
// opens another connection when one ends.
func (s *sheets) sheetClient(h *host, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		nc, err := (&net.Dialer{}).Dial("tcp", h.callers)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		s.pipeline(h, nc, stop)
		_ = nc.Close()
	}
}

func (s *sheets) pipeline(h *host, nc net.Conn, stop <-chan struct{}) {
	due, ended := make(chan string, pipelineDepth-1), make(chan struct{})
	go func() {
		defer close(due)
		for {
			id := newID()
			s.update(id, func(q *sheetRequest) { q.host = h.name })
			head := fmt.Sprintf("GET /order/%s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer key\r\n\r\n", id, id)
			if _, err := io.WriteString(nc, head); err != nil {
				s.update(id, func(q *sheetRequest) { q.ending = "not sent" })
				return
			}
			select {
			case due <- id:
			case <-ended:
				s.update(id, func(q *sheetRequest) { q.ending = "the connection has ended" })
				return
			}
			select {
			case <-stop:
				return
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	br := bufio.NewReader(nc)
	open, kept := true, false
	for id := range due {
		ending := "the connection has ended"
		if open {
			ending, open = readSheet(br, id)
			if !open {
				close(ended)
			}
		}
		s.update(id, func(q *sheetRequest) { q.ending, q.whole, q.kept = ending, ending == "whole", kept })
		kept = kept || ending == "whole"
	}
}

// readSheet reads one answer. It reports whether the connection goes on.
func readSheet(br *bufio.Reader, id string) (ending string, open bool) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return "no answer: " + err.Error(), false
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	switch {
	case err != nil:
		return fmt.Sprintf("broken off after %d bytes: %v", n, err), false
	case resp.StatusCode != http.StatusOK:
		return fmt.Sprintf("status %d", resp.StatusCode), !resp.Close
	case resp.Header.Get("Request-Id") != id || n != sheetBytes:
		return fmt.Sprintf("the answer to %s with %d bytes", resp.Header.Get("Request-Id"), n), false
	default:
		return "whole", !resp.Close
	}
}

// playBroken lets some targets break off some long answers, while clients have several safe requests
// in progress on their connections. At most three requests that sound targets run may get no answer
// as their connections are closed.
func playBroken(rec *recorder, trouble bool) error {
	f, err := newFleet(rec)
	if err != nil {
		return err
	}
	defer f.close()
	f.store.Put("op/config", safeDocument())
	s := &sheets{all: make(map[string]*sheetRequest)}
	var mu sync.Mutex
	var startedAt time.Time
	start := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return startedAt
	}
	for i := range sheetTargets {
		t := &target{
			id: fmt.Sprintf("i-till%d", i), service: "till", zone: zones[i%len(zones)].name, fleet: f, state: "ready",
			quit: make(chan struct{}), faulty: i < faultyTargets,
		}
		if err := t.listenRaw(func(nc net.Conn) { t.serveSheets(nc, s, start) }); err != nil {
			return err
		}
		t.keepRegistered()
	}
	if err := f.startAll(f.hosts...); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range clientCount {
		h := f.hosts[i%len(f.hosts)]
		clients.Go(func() { s.sheetClient(h, stop) })
	}
	time.Sleep(3 * time.Second)
	if trouble {
		rec.note("targets 0 to %d begin to break off answers", faultyTargets-1)
		mu.Lock()
		startedAt = time.Now()
		mu.Unlock()
	}
	time.Sleep(faultyFor + 500*time.Millisecond)
	close(stop)
	clients.Wait()
	return s.check(rec)
}

// check counts the requests that were passed on to sound targets only and got no answer, as their
// connection was closed.
func (s *sheets) check(rec *recorder) error {
	const allowed = 3
	s.mu.Lock()
	defer s.mu.Unlock()
	lost, whole := 0, 0
	for id, q := range s.all {
		rec.note("%s sent to %s, reached %v, ended: %s", id, q.host, q.reached, q.ending)
		if q.whole {
			whole++
		}
		if q.whole || len(q.reached) == 0 || !q.sound || !q.kept || q.ending != "the connection has ended" {
			continue
		}
		lost++
		rec.note("lost: %s, sent to %s and passed on to %v, which is sound, got no answer: %s", id, q.host, q.reached, q.ending)
	}
	rec.note("%d requests that were passed on to sound targets got no answer (allowed %d); %d of %d were answered whole", lost, allowed, whole, len(s.all))
	switch {
	case lost > allowed:
		return errBroken
	case whole*10 < len(s.all)*8:
		return fmt.Errorf("only %d of %d requests were answered: the case says nothing", whole, len(s.all))
	default:
		return nil
	}
}

//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	pipelineClients = 12
	// pipelineDepth bounds the requests of a connection that are in progress at once.
	pipelineDepth = 3
	// pipelineWork is how long the upstreams work on a request.
	pipelineWork  = 250 * time.Millisecond
	sheetDeadline = 3 * time.Second
)

// pipelineAtStop stops one of three hosts while clients have several safe requests in progress on
// each of their connections.
func pipelineAtStop(s *stage) ([]string, error) {
	s.publish(2)
	for i := range 12 {
		if _, err := s.addUpstream("stitch", i%len(zones), pipelineWork); err != nil {
			return nil, err
		}
	}
	for z := range 3 {
		if _, err := s.addHost(z); err != nil {
			return nil, err
		}
	}
	if err := s.waitReady(); err != nil {
		return nil, err
	}
	if err := s.waitKnown(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	for i := range pipelineClients {
		clients.Go(func() { s.pipelineClient(ctx, zones[i%len(s.hosts)]) })
	}
	time.Sleep(stableWindow + time.Second)
	if n := s.inProgress(s.hosts[0].front); n == 0 {
		return nil, fmt.Errorf("the host that is to be stopped has no request in progress")
	}
	stopped := time.Now()
	if s.trouble {
		s.hosts[0].terminate()
	} else {
		time.Sleep(gracePeriod)
	}
	cancel()
	clients.Wait()
	return s.cutOff(stopped, func(*life) bool { return true }), nil
}

// waitKnown waits until the look-ups of all hosts name to the clients of each zone the host of that
// zone. Just after the start the hosts do not know each other yet.
func (s *stage) waitKnown() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		known := true
		for _, asked := range s.hosts {
			for i, h := range s.hosts {
				addresses := s.lookUp(asked, zones[i])
				known = known && len(addresses) == 1 && addresses[0] == h.front
			}
		}
		if known {
			s.note("the look-ups name the host of each zone")
			return nil
		}
	}
	return fmt.Errorf("the look-ups do not name the hosts of the zones after 15 s")
}

// inProgress returns the number of requests that were sent to an address and have not ended.
func (s *stage) inProgress(address string) int {
	n := 0
	for _, l := range s.lives() {
		if l.host == address && l.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// lookUp asks the directory of a host where clients of a zone are to connect.
func (s *stage) lookUp(h *host, z zone) []string {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s/resolve?name=%s&region=%s&zone=%s", h.directory, routeHost, z.region, z.name))
	if err != nil {
		return nil
	}
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	_ = resp.Body.Close() // it was read
	if err != nil {
		return nil
	}
	return answer.Addrs
}

// resolve asks the directory where to connect, and returns an address other than the one that
// has closed the last connection, if there is one.
func (s *stage) resolve(z zone, closed string) string {
	for _, h := range s.hosts {
		if h.front == closed {
			continue
		}
		for _, a := range s.lookUp(h, z) {
			if a != closed {
				return a
			}
		}
	}
	return ""
}

// pipelineClient keeps a connection to a host of its zone, and opens another one when that is
// closed.
func (s *stage) pipelineClient(ctx context.Context, z zone) {
	closed := ""
	for ctx.Err() == nil {
		address := s.resolve(z, closed)
		if address == "" {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if c, err := dial(address); err == nil {
			s.pipelineOn(ctx, c, address)
			_ = c.Close() // all that was due has been read
		}
		closed = address
	}
}

// pipelineOn sends safe requests on a connection, further ones before the first one is answered,
// until a response closes the connection or ctx ends. It reads until the connection ends.
func (s *stage) pipelineOn(ctx context.Context, c io.ReadWriter, address string) {
	due := make(chan string, pipelineDepth-1)
	closing := make(chan struct{})
	go func() {
		defer close(due)
		for ctx.Err() == nil {
			select {
			case <-closing:
				return
			default:
			}
			id := newID()
			s.update(id, func(l *life) { l.sentAt, l.host = time.Now(), address })
			if _, err := io.WriteString(c, head("GET", "/sheet/"+id, id, sheetDeadline)+"\r\n"); err != nil {
				s.ended(id, "not sent")
				return
			}
			due <- id
			time.Sleep(20 * time.Millisecond)
		}
	}()
	br := bufio.NewReader(c)
	open := true
	for id := range due {
		if !s.answerOf(br, id, "/sheet/"+id) && open {
			open = false
			close(closing)
		}
	}
}

// cutOff returns the requests that count, had reached an upstream and got no complete answer. Times
// are from the disruption on.
func (s *stage) cutOff(since time.Time, counts func(l *life) bool) []string {
	var broken []string
	all := s.lives()
	sort.Slice(all, func(i, j int) bool { return all[i].id < all[j].id })
	for _, l := range all {
		s.note("%s sent to %s %+.3f s from the disruption on, reached %v %+.3f, ran at %v, ended %+.3f: %s", l.id, l.host, l.sentAt.Sub(since).Seconds(),
			l.arrivals, l.arrivedAt.Sub(since).Seconds(), l.runs, l.endedAt.Sub(since).Seconds(), l.ending)
		if len(l.arrivals) > 0 && !l.complete && counts(l) {
			broken = append(broken, fmt.Sprintf("%s, sent to %s %+.3f s from the disruption on, was passed on to %v and got no complete answer: %s",
				l.id, l.host, l.sentAt.Sub(since).Seconds(), l.arrivals, l.ending))
		}
	}
	return broken
}

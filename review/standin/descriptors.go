//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowds is the number of processes that stand for callers, and crowdSize the callers
	// of each. All callers together keep some 2,300 connections to each of two hosts.
	crowds    = 7
	crowdSize = 660
	// stayers is the number of callers of a crowd that stay when the others leave.
	stayers = 100
	// callPeriod is the time between two requests of a caller, within four fifths of the
	// idle timeout.
	callPeriod = 10 * time.Second
	// machineFDs is the limit of descriptors of a host. Of the 4,100 of the site, sockets
	// and pipes share 3,900.
	machineFDs = 4000
	// probers is the number of callers that open new connections at the end.
	probers = 20
)

func init() {
	cases["descriptors"] = descriptorsCase
	helpers["crowd"] = runCrowd
}

// descriptorsCase: callers keep connections to two hosts, on each fewer than the limit of
// descriptors allows. One host is lost for good, its callers connect to the other one, and
// another host is added later. Then most callers leave. Does the host that stayed take new
// connections?
func descriptorsCase(w *world) (bool, error) {
	var ran atomic.Int64
	for i := range 6 {
		if err := w.startTarget(fmt.Sprintf("i-%d", i), i%2, func(*http.Request) { ran.Add(1) }); err != nil {
			return false, err
		}
	}
	w.putConfig(12, nil)
	var hosts []*host
	for i, name := range []string{"a", "b", "c"} {
		h, err := w.newHost(name, i, w.address)
		if err != nil {
			return false, err
		}
		h.maxFDs = machineFDs
		hosts = append(hosts, h)
	}
	a, b, c := hosts[0], hosts[1], hosts[2]
	if err := a.start(); err != nil {
		return false, err
	}
	if err := b.start(); err != nil {
		return false, err
	}
	if err := waitReady(a, b); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	all, err := startCrowds(w, a, b, c)
	if err != nil {
		return false, err
	}
	defer all.end()
	time.Sleep(22 * time.Second)
	all.log(w, "before the loss")
	if w.trouble {
		b.kill()
		w.logf("host b is lost for good")
	}
	time.Sleep(18 * time.Second)
	all.log(w, "after the loss")
	if w.trouble {
		if err := c.start(); err != nil {
			return false, err
		}
		if err := waitReady(c); err != nil {
			return false, err
		}
		w.logf("host c, which was added, is ready")
	}
	all.shrink()
	w.logf("most callers leave")
	time.Sleep(14 * time.Second)
	all.log(w, "after most callers left")
	w.logf("targets have run %d requests so far", ran.Load())
	return w.probe(a)
}

// probe opens new connections to a host for longer than stableWindow, and reports whether
// any of them got an answer, or the host did not say that it is ready.
func (w *world) probe(h *host) (bool, error) {
	const rounds = 5
	var answered, tried atomic.Int64
	readyThroughout := true
	for round := range rounds {
		begin := time.Now()
		readyThroughout = readyThroughout && h.ready()
		var trying sync.WaitGroup
		for i := range probers {
			trying.Go(func() {
				tried.Add(1)
				result := newConnection(h.callers, fmt.Sprintf("probe-%d-%d", round, i))
				if strings.HasPrefix(result, "200") {
					answered.Add(1)
				}
				w.logf("new connection %d-%d to host %s: %s", round, i, h.name, result)
			})
		}
		trying.Wait()
		time.Sleep(time.Until(begin.Add(1200 * time.Millisecond)))
	}
	readyThroughout = readyThroughout && h.ready()
	w.logf("host %s: ready throughout: %v, new connections: %d, answered: %d", h.name, readyThroughout, tried.Load(), answered.Load())
	return answered.Load() > 0 || !readyThroughout, nil
}

// newConnection opens a connection, sends one request, and returns what came of it within
// a second.
func newConnection(address, id string) string {
	c, err := dial(address)
	if err != nil {
		return "not connected: " + err.Error()
	}
	defer func() { _ = c.Close() }()
	status, err := exchange(c, bufio.NewReader(c), id, time.Second)
	if err != nil {
		return "no answer: " + err.Error()
	}
	return strconv.Itoa(status)
}

// exchange sends one request on a connection and reads the response.
func exchange(c net.Conn, br *bufio.Reader, id string, limit time.Duration) (int, error) {
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(c, "GET /look/%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", id, routeHost, id, limit.Milliseconds()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.Close {
		return resp.StatusCode, io.EOF
	}
	return resp.StatusCode, nil
}

// crowd is the processes that stand for callers.
type crowd struct {
	cmds   []*exec.Cmd
	stdins []io.WriteCloser

	mu     sync.Mutex
	counts []string
}

// startCrowds starts the processes of callers, which may connect to any of the hosts.
func startCrowds(w *world, hosts ...*host) (*crowd, error) {
	var lookups []string
	for _, h := range hosts {
		lookups = append(lookups, h.lookups)
	}
	all := &crowd{counts: make([]string, crowds)}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	for i := range crowds {
		cmd := exec.CommandContext(context.Background(), self, "crowd", strconv.Itoa(i), strings.Join(lookups, ","))
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		if err := cmd.Start(); err != nil {
			return nil, err
		}
		all.cmds, all.stdins = append(all.cmds, cmd), append(all.stdins, in)
		go func() {
			lines := bufio.NewScanner(out)
			for lines.Scan() {
				all.mu.Lock()
				all.counts[i] = lines.Text()
				all.mu.Unlock()
			}
		}()
	}
	w.logf("%d processes with %d callers each begin", crowds, crowdSize)
	return all, nil
}

// shrink makes most callers leave.
func (all *crowd) shrink() {
	for _, in := range all.stdins {
		_, _ = io.WriteString(in, "shrink\n") // the process may have ended
	}
}

// end ends the processes.
func (all *crowd) end() {
	for _, cmd := range all.cmds {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// log records the last report of each process.
func (all *crowd) log(w *world, when string) {
	all.mu.Lock()
	defer all.mu.Unlock()
	for i, line := range all.counts {
		w.logf("%s: callers of process %d: %s", when, i, line)
	}
}

// callers is one process of callers.
type callers struct {
	lookups []string
	left    chan struct{}

	mu        sync.Mutex
	addresses []string
	open      map[string]int
	results   map[string]int
}

// runCrowd stands for crowdSize callers until it is killed or its input ends. The
// arguments are its number and the addresses for look-ups.
func runCrowd(args []string) {
	if len(args) != 2 {
		return
	}
	p := &callers{lookups: strings.Split(args[1], ","), left: make(chan struct{}), open: make(map[string]int), results: make(map[string]int)}
	go p.lookUp()
	go p.report()
	for i := range crowdSize {
		go p.call(fmt.Sprintf("c%s-%d", args[0], i), i >= stayers)
	}
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		if input.Text() == "shrink" {
			close(p.left)
		}
	}
}

// lookUp keeps the addresses of the hosts.
func (p *callers) lookUp() {
	client := &http.Client{Transport: &http.Transport{}}
	for {
		var named []string
		for _, lookups := range p.lookups {
			h := &host{lookups: lookups}
			for _, z := range zones {
				if all, err := h.resolve(client, z["zone"], z["region"]); err == nil {
					named = append(named, all...)
				}
			}
			if len(named) > 0 {
				break
			}
		}
		p.mu.Lock()
		if len(named) > 0 {
			p.addresses = named
		}
		p.mu.Unlock()
		time.Sleep(2 * time.Second)
	}
}

// report writes how many connections are open, and the results so far.
func (p *callers) report() {
	for {
		time.Sleep(500 * time.Millisecond)
		p.mu.Lock()
		line := fmt.Sprint("open ", p.open, " results ", p.results)
		p.mu.Unlock()
		fmt.Println(line)
	}
}

// count changes a counter.
func (p *callers) count(m map[string]int, name string, by int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m[name] += by
}

// call is one caller: it sends a request every callPeriod on a connection that it keeps,
// and opens another one when that has ended.
func (p *callers) call(name string, leaves bool) {
	time.Sleep(rand.N(callPeriod))
	var left <-chan struct{}
	if leaves {
		left = p.left
	}
	for n := 0; ; {
		address := p.pick()
		if address == "" {
			time.Sleep(time.Second)
			continue
		}
		c, err := dial(address)
		if err != nil {
			p.count(p.results, "not connected", 1)
			time.Sleep(time.Second)
			continue
		}
		p.count(p.open, address, 1)
		gone := p.use(c, name, &n, left)
		_ = c.Close()
		p.count(p.open, address, -1)
		if gone {
			return
		}
	}
}

// use sends requests on a connection until it ends or the caller leaves, and reports
// whether the caller has left.
func (p *callers) use(c net.Conn, name string, n *int, left <-chan struct{}) bool {
	br := bufio.NewReader(c)
	for {
		*n++
		status, err := exchange(c, br, fmt.Sprintf("%s-%d", name, *n), 2*time.Second)
		if err != nil {
			p.count(p.results, "no answer", 1)
			time.Sleep(rand.N(time.Second))
			return false
		}
		p.count(p.results, strconv.Itoa(status), 1)
		select {
		case <-time.After(callPeriod):
		case <-left:
			return true
		}
	}
}

// pick returns the address of a host that the last look-up named.
func (p *callers) pick() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.addresses) == 0 {
		return ""
	}
	return p.addresses[rand.IntN(len(p.addresses))]
}

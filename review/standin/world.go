//go:build review

// Command standin runs the cases of the review: it starts gateway hosts as separate
// processes on loopback addresses, between stand-ins of the platform's store, of targets
// and of callers, and checks one rule in each case.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumbeam.example/gypsumbeam/platform/kvstore"
)

// Bounds of the small deployment; those of the site file crestline-lb.toml.
const (
	revokeBound  = 5 * time.Second
	stableWindow = 3 * time.Second
	heartbeat    = 1500 * time.Millisecond
	routeHost    = "shop.example"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

// logf writes one line with the time since the start.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// world is a small deployment.
type world struct {
	*recorder
	folder  string
	store   *kvstore.Store
	address string
	trouble bool
	// slots is the number of slots of each target.
	slots int

	mu      sync.Mutex
	hosts   []*host
	targets []*target
}

// newWorld returns a deployment with a store and no hosts. The folder is removed by close.
func newWorld(rec *recorder, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{recorder: rec, folder: folder, store: &kvstore.Store{}, trouble: trouble, slots: defaultSlots}
	ln, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: w.store}).Serve(ln) }()
	return w, nil
}

// close ends all processes and removes the folder.
func (w *world) close() {
	w.mu.Lock()
	hosts := w.hosts
	w.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
	_ = os.RemoveAll(w.folder)
}

// listen opens a TCP port.
func listen(address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", address)
}

// dial opens a connection within a second.
func dial(address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", address)
}

// nextPort counts the ports that were tried.
var nextPort atomic.Uint32

// freeAddress returns a loopback address that is free for TCP and UDP, below the range of
// outgoing connections.
func freeAddress() (string, error) {
	var lc net.ListenConfig
	for range 20000 {
		port := 10000 + (uint32(os.Getpid())*37+nextPort.Add(1))%20000
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(int(port)))
		l, err := listen(address)
		if err != nil {
			continue
		}
		c, err := lc.ListenPacket(context.Background(), "udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = c.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

// host is one gateway host. It runs as a process of its own.
type host struct {
	w                                                            *world
	name, zone, region, settings                                 string
	callers, lookups, readiness, siblings, metrics, storeAddress string
	// maxFDs is the limit of descriptors of the process, 0 for that of the shell.
	maxFDs int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// zones of the deployment and their regions.
var zones = []map[string]string{
	{"zone": "connacht-one", "region": "connacht"},
	{"zone": "leinster-one", "region": "leinster"},
	{"zone": "munster-one", "region": "munster"},
}

// newHost returns a host that is not started. Its settings are those of
// deploy/settings.tmpl, filled in with the bounds of the site.
func (w *world) newHost(name string, zone int, storeAddress string) (*host, error) {
	h := &host{
		w: w, name: name, zone: zones[zone]["zone"], region: zones[zone]["region"],
		settings: filepath.Join(w.folder, name+".json"), storeAddress: storeAddress,
	}
	for _, a := range []*string{&h.callers, &h.lookups, &h.readiness, &h.siblings, &h.metrics} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = free
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "zone": h.zone, "region": h.region,
		"listen":  map[string]string{"callers": h.callers, "lookups": h.lookups, "readiness": h.readiness, "siblings": h.siblings},
		"metrics": h.metrics,
		"machine": map[string]float64{"cores": 0.32, "linkMbps": 1000},
		"store":   storeAddress, "zones": zones,
		"bounds": map[string]any{
			"revoke": "5000ms", "drain": "2000ms", "apply": "2000ms", "grace": "6s",
			"rateWindow": "5s", "rateExcess": 0.1, "rateSlack": 20,
		},
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts = append(w.hosts, h)
	return h, nil
}

// start starts the process with the command of the deploy file, under the limit of
// descriptors that a machine has.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.w.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.CommandContext(context.Background(), "target/gypsumd", "--gateway", h.settings)
	if h.maxFDs > 0 {
		cmd = exec.CommandContext(context.Background(), "/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/gypsumd --gateway %s", h.maxFDs, h.settings))
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		err := cmd.Wait()
		h.w.logf("host %s ended: %v", h.name, err)
		close(done)
	}(h.done)
	h.w.logf("host %s started, pid %d, callers at %s", h.name, cmd.Process.Pid, h.callers)
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		h.w.logf("host %s gets %v", h.name, s)
		_ = h.cmd.Process.Signal(s) // it may have ended
	}
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-done
}

// ready reports whether the host says that it is ready.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.readiness+"/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := c.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startTimeout is the time within which hosts must be ready after their start.
const startTimeout = 10 * time.Second

// waitReady waits until all hosts are ready.
func waitReady(hosts ...*host) error {
	end := time.Now().Add(startTimeout)
	for _, h := range hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// resolve returns the addresses that the look-up of a host names.
func (h *host) resolve(c *http.Client, zone, region string) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.lookups+"/resolve?name="+routeHost+"&region="+region+"&zone="+zone, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var body struct {
		Addrs []string `json:"addrs"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&body)
	return body.Addrs, err
}

//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"gypsumbeam.example/gypsumbeam/platform/kvstore"
)

// heartbeat is the time between two writes of a target to the store.
const heartbeat = 1500 * time.Millisecond

// zone is an availability zone with its region.
type zone struct{ name, region string }

var zones = []zone{{"east-a", "east"}, {"west-a", "west"}, {"north-a", "north"}}

// fleet is a small deployment on loopback: a store, and entry hosts as processes.
type fleet struct {
	folder string
	rec    *recorder
	store  *kvstore.Store
	hosts  []*host
	closed []func()
}

// host is one entry host as a process.
type host struct {
	name, settings                        string
	callers, lookups, readiness, siblings string
	endpoint                              *kvstore.Endpoint

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newFleet starts a store, and writes the settings of a host for each zone, which are not started.
func newFleet(rec *recorder) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, rec: rec, store: &kvstore.Store{}}
	for i, z := range zones {
		h, err := f.newHost(fmt.Sprintf("front-%d", i), z)
		if err != nil {
			f.close()
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	return f, nil
}

// newHost writes the settings of a host. It reaches the store by an endpoint of its own.
func (f *fleet) newHost(name string, z zone) (*host, error) {
	h := &host{name: name, endpoint: &kvstore.Endpoint{Store: f.store}, settings: filepath.Join(f.folder, name+".json")}
	store, err := f.serve(h.endpoint)
	if err != nil {
		return nil, err
	}
	for _, a := range []*string{&h.callers, &h.lookups, &h.readiness, &h.siblings} {
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	all := make([]map[string]string, 0, len(zones))
	for _, o := range zones {
		all = append(all, map[string]string{"zone": o.name, "region": o.region})
	}
	text, err := json.Marshal(map[string]any{
		"name": name, "zone": z.name, "region": z.region, "zones": all, "store": store,
		"listen":  map[string]string{"callers": h.callers, "lookups": h.lookups, "readiness": h.readiness, "siblings": h.siblings},
		"machine": map[string]any{"cores": 0.32, "linkMbps": 1000.0, "memoryMb": 284},
		"bounds": map[string]any{
			"revoke": "5000ms", "drain": "2000ms", "apply": "2000ms", "grace": "6s",
			"rateWindow": "5s", "rateExcess": 0.1, "rateSlack": 20,
		},
	})
	if err != nil {
		return nil, err
	}
	return h, os.WriteFile(h.settings, text, 0o600)
}

// serve serves a handler on a free loopback address until the fleet is closed.
func (f *fleet) serve(handler http.Handler) (string, error) {
	l, err := listen("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }() // ends with the fleet
	f.closed = append(f.closed, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

func listen(address string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(context.Background(), "tcp", address)
}

// Hosts use ports below the range from which the kernel takes those of connections.
const (
	firstPort = 10000
	portCount = 20000
)

var portsTried int

// freeAddress returns a loopback address that is free for TCP and UDP.
func freeAddress() (string, error) {
	for range portCount {
		portsTried++
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+(os.Getpid()*211+portsTried)%portCount))
		l, err := listen(address)
		if err != nil {
			continue
		}
		_ = l.Close()
		var lc net.ListenConfig
		c, err := lc.ListenPacket(context.Background(), "udp", address)
		if err != nil {
			continue
		}
		_ = c.Close()
		return address, nil
	}
	return "", errors.New("no port is free")
}

// start starts the process of a host by the command of the deploy file.
func (f *fleet) start(h *host) error {
	log, err := os.OpenFile(filepath.Join(f.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), "target/gypsumd", "--gateway", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	f.rec.note("host %s started, process %d", h.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait() // the state tells how it ended
		f.rec.note("host %s ended: %v", h.name, cmd.ProcessState)
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// startAll starts hosts and waits until they are ready.
func (f *fleet) startAll(hosts ...*host) error {
	for _, h := range hosts {
		if err := f.start(h); err != nil {
			return err
		}
	}
	for _, h := range hosts {
		if err := h.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// ready reports whether the readiness check of a host answers 200.
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

func (h *host) waitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if h.ready() {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready within %v", h.name, within)
}

// close ends all processes and servers, and removes the temporary folder.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.mu.Lock()
		cmd, exited := h.cmd, h.exited
		h.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT) // it may be stopped, or have ended
			_ = cmd.Process.Kill()
			<-exited
		}
	}
	for _, c := range f.closed {
		c()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder) // what is left is in the temporary folder
	} else {
		f.rec.note("logs are kept in %s", f.folder)
	}
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumbeam.example/gypsumbeam/platform/kvstore"
)

// Bounds of the deployment, those of the smallest site.
const (
	gracePeriod  = 6 * time.Second
	stableWindow = 3 * time.Second
)

// zone is an availability zone of the deployment.
type zone struct{ name, region string }

var zones = []zone{
	{"connacht-one", "connacht"}, {"leinster-one", "leinster"}, {"munster-one", "munster"},
	{"connacht-two", "connacht"}, {"leinster-two", "leinster"}, {"munster-two", "munster"},
}

// stage is one played case.
type stage struct {
	folder   string
	trouble  bool
	store    *kvstore.Store
	storeSrv *http.Server
	storeAt  string
	network  int
	// taken is held while the stage uses its network.
	taken net.Listener
	// startCount and endCount count the starts and ends of the processes of all hosts.
	startCount, endCount atomic.Int64
	hosts                []*host
	servers              []*upstream

	mu     sync.Mutex
	record *os.File
	start  time.Time
	events map[string]*life
}

// life is what the stand-ins saw of one request.
type life struct {
	id string
	// sentAt is when its last byte was sent, and by which host it was to be taken.
	sentAt time.Time
	host   string
	// arrivals and runs are the upstreams that it reached, and those that ran it.
	arrivals, runs []string
	arrivedAt      time.Time
	// status is that of the answer, 0 for none. complete is set if the answer was whole.
	status   int
	complete bool
	endedAt  time.Time
	ending   string
}

func newStage(folder, record string, trouble bool) (*stage, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	s := &stage{folder: folder, trouble: trouble, store: &kvstore.Store{}, record: f, start: time.Now(), events: make(map[string]*life)}
	if err := s.takeNetwork(); err != nil {
		return nil, err
	}
	s.note("the disruption is played: %t", trouble)
	l, err := net.Listen("tcp", s.ip(200)+":0")
	if err != nil {
		return nil, err
	}
	s.storeAt = l.Addr().String()
	s.storeSrv = &http.Server{Handler: s.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.storeSrv.Serve(l) }() // ends with the stage
	return s, nil
}

// metricsPort is the port of the metrics, which the template of the settings sets.
const metricsPort = "9464"

// takeNetwork takes a range of loopback addresses that no other stage uses: hosts of two stages at
// one address would share the port of the metrics.
func (s *stage) takeNetwork() (err error) {
	for i := range 250 {
		s.network = (os.Getpid()+i)%250 + 1
		if s.taken, err = net.Listen("tcp", s.ip(250)+":"+metricsPort); err == nil {
			return nil
		}
	}
	return err
}

// ip returns a loopback address of this stage.
func (s *stage) ip(n int) string { return fmt.Sprintf("127.88.%d.%d", s.network, n) }

// note writes a line to the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// of returns the life of a request. The caller holds mu.
func (s *stage) of(id string) *life {
	l := s.events[id]
	if l == nil {
		l = &life{id: id}
		s.events[id] = l
	}
	return l
}

// update changes the life of a request.
func (s *stage) update(id string, f func(l *life)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.of(id))
}

// lives returns what was seen of all requests.
func (s *stage) lives() []*life {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*life
	for _, l := range s.events {
		c := *l
		all = append(all, &c)
	}
	return all
}

// close ends all processes that the stage started.
func (s *stage) close() {
	for _, h := range s.hosts {
		h.stop()
	}
	s.note("%d processes were started, %d have ended", s.startCount.Load(), s.endCount.Load())
	for _, u := range s.servers {
		u.crash()
	}
	_ = s.storeSrv.Close() // the stage ends
	_ = s.taken.Close()    // the stage ends
	_ = s.record.Close()   // the stage ends
}

// host is a gateway host in a process of its own. The platform restarts it when it exits.
type host struct {
	stage                       *stage
	name, settings              string
	front, directory, readiness string
	log                         *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool
	starts  int
}

// freePort returns a port that is free at an address for TCP and UDP.
func freePort(ip string) (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		c, err := net.ListenPacket("udp", address)
		_ = l.Close() // only its port is needed
		if err != nil {
			continue
		}
		_ = c.Close() // only its port is needed
		_, port, _ := net.SplitHostPort(address)
		return port, nil
	}
	return "", fmt.Errorf("no port is free at %s", ip)
}

// section is a section of the template that is written once for each entry.
var section = regexp.MustCompile(`(?s)\{\{#zones\}\}(.*?)\{\{,\}\}\{\{/zones\}\}`)

// fill fills the template of the deployment, as the platform does.
func fill(template string, fields map[string]any) string {
	text := section.ReplaceAllStringFunc(template, func(m string) string {
		body := section.FindStringSubmatch(m)[1]
		var all []string
		for _, z := range zones {
			all = append(all, strings.NewReplacer("{{@}}", z.name, "{{.}}", z.region).Replace(body))
		}
		return strings.Join(all, ",")
	})
	for name, v := range fields {
		quoted, _ := json.Marshal(v) // strings and numbers
		text = strings.ReplaceAll(text, "{{"+name+"|json}}", string(quoted))
		text = strings.ReplaceAll(text, "{{"+name+"}}", fmt.Sprint(v))
	}
	return text
}

// addHost starts a gateway host in the zone with an index.
func (s *stage) addHost(z int) (*host, error) {
	n := len(s.hosts) + 1
	ip := s.ip(n)
	h := &host{stage: s, name: "front-" + zones[z].name + "-" + strconv.Itoa(n)}
	ports := make([]string, 4)
	for i := range ports {
		p, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = p
	}
	h.front, h.directory, h.readiness = ip+":"+ports[0], ip+":"+ports[1], ip+":"+ports[2]
	template, err := os.ReadFile("deploy/settings.tmpl")
	if err != nil {
		return nil, err
	}
	text := fill(string(template), map[string]any{
		"node": h.name, "zone": zones[z].name, "region": zones[z].region, "ip": ip,
		"listen.front": h.front, "listen.directory": h.directory, "listen.ready": h.readiness, "internalPorts.0": ports[3],
		"limits.cpuShare": 0.32, "limits.linkMbps": 1000, "limits.memoryMb": 284, "platform.address": s.storeAt,
		"bounds.revoke": "5000ms", "bounds.drain": "2000ms", "bounds.configApply": "2000ms", "bounds.grace": "6s",
		"bounds.quotaWindow": "5s", "bounds.quotaExcess": 0.1, "bounds.quotaSlack": 20,
	})
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template has a field that is not known: %s", text)
	}
	h.settings = filepath.Join(s.folder, h.name+".json")
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(s.folder, h.name+".log")); err != nil {
		return nil, err
	}
	s.hosts = append(s.hosts, h)
	return h, h.run()
}

// run starts the process.
func (h *host) run() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	h.cmd = exec.Command("target/gypsumd", "--gateway", h.settings)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMBEAM_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.starts++
	h.stage.startCount.Add(1)
	h.stage.note("%s: process %d started", h.name, h.cmd.Process.Pid)
	h.exited = make(chan struct{})
	go h.await(h.cmd, h.exited)
	return nil
}

// await restarts the process when it has exited.
func (h *host) await(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // the status is in the note
	h.stage.note("%s: process %d exited: %s", h.name, cmd.Process.Pid, cmd.ProcessState)
	h.stage.endCount.Add(1)
	close(exited)
	time.Sleep(500 * time.Millisecond)
	if err := h.run(); err != nil {
		h.stage.note("%s: cannot be restarted: %v", h.name, err)
	}
}

// signal sends a signal to the process.
func (h *host) signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(sig) // it may have exited
	h.stage.note("%s: signal %v", h.name, sig)
}

// terminate sends SIGTERM, and SIGKILL after the grace period, as the platform does. It returns
// when the process has exited.
func (h *host) terminate() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	h.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		_ = cmd.Process.Kill() // it may have exited
		<-exited
	}
}

// stop kills the process, which is not restarted.
func (h *host) stop() {
	h.mu.Lock()
	h.stopped = true
	exited := h.exited
	_ = h.cmd.Process.Signal(syscall.SIGCONT) // it may have exited
	_ = h.cmd.Process.Kill()                  // it may have exited
	h.mu.Unlock()
	<-exited
}

// ready reports whether the host says that it is ready.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + h.readiness + "/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body) // it has none
	_ = resp.Body.Close()                 // it was read
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all hosts are ready.
func (s *stage) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, h := range s.hosts {
			all = all && h.ready()
		}
		if all {
			s.note("all hosts are ready")
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after 15 s")
}

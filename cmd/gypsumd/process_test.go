package main_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/standin/store"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
)

// readyWithin bounds the time until a started or resumed host is ready. It is the
// time in which a workspace must recover from the crash of a host.
const readyWithin = 10 * time.Second

// maxIdleBytes bounds the resident memory of a daemon without load.
const maxIdleBytes = 30 << 20

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	var total, resident int64
	if _, err := fmt.Sscan(string(text), &total, &resident); err != nil {
		t.Fatal(err)
	}
	resident *= int64(os.Getpagesize())
	t.Logf("process %d takes %.1f MB", pid, float64(resident)/(1<<20))
	return resident
}

// process is a gypsumd in a separate process.
type process struct {
	settings  string
	callers   string
	operators string
	cmd       *exec.Cmd
}

// start starts the daemon with the settings file.
func (p *process) start(t *testing.T, binary string) {
	t.Helper()
	p.cmd = exec.Command(binary, p.settings)
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd := p.cmd
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended already
		_ = cmd.Wait()
	})
}

// waitReady waits until the host reports that it is ready.
func (p *process) waitReady(t *testing.T) {
	t.Helper()
	end := time.Now().Add(readyWithin)
	var last string
	for time.Now().Before(end) {
		status, body, err := get(t.Context(), "http://"+p.operators+"/readyz", "")
		if err == nil && status == http.StatusOK {
			return
		}
		last = fmt.Sprint(status, " ", body, " ", err)
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s is not ready after %v: %s", p.callers, readyWithin, last)
}

// get sends one request on a new connection. The returned body is preceded by the
// value of Gypsum-Outcome and a space.
func get(ctx context.Context, url, key string) (status int, body string, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, "", err
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	r.Close = true
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Gypsum-Outcome") + " " + string(b), err
}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// The ports of the processes lie below those that the kernel assigns to outgoing
// connections, so that they are still free when a process restarts.
const (
	firstPort = 10000
	portCount = 20000
)

// lastPort is the offset of the port that was last tried. It starts at a value that
// depends on the process, so that concurrent test processes try different ports.
var lastPort = os.Getpid() * 101

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		lastPort++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort%portCount)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close() // only the address is needed
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

const processKey = "0123456789abcdef0123456789abcdef"

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newProcesses starts a stand-in platform and target in this process, and three
// daemons in one region. It returns when the daemons are ready.
func newProcesses(t *testing.T, binary string) ([]*process, *target.Target) {
	t.Helper()
	tg := target.New(target.Config{Name: "shop-1", Slots: 6, Secrets: []string{processKey}})
	targetListener := listen(t, "127.0.0.1:0")
	tg.Start(targetListener)
	t.Cleanup(tg.Crash)
	doc := &config.Document{
		Fleet:      "processes",
		Regions:    []config.Region{{Name: "east", Zones: []ids.Zone{"east-a"}, Seats: 3}},
		Services:   []config.Service{{Name: "shop", Slots: 6, TimeoutMs: 3000, Upstreams: []config.Upstream{{Name: "shop-1", Region: "east", Zone: "east-a", Address: targetListener.Addr().String()}}}},
		Workspaces: []config.Workspace{{Name: "school", Rate: 100, Burst: 50, Keys: []config.Key{{ID: "k1", SHA256: hashOf(processKey)}}}},
		Presets:    []config.Preset{{Name: "ordinary"}},
		Preset:     "ordinary",
	}
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	head, err := roller.Head{Revision: 1, Document: string(text), WriteID: "first"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var s store.Store
	if _, err := s.CompareAndSwap(t.Context(), roller.HeadKey, 0, head); err != nil {
		t.Fatal(err)
	}
	storeListener := listen(t, "127.0.0.1:0")
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(storeListener) }()
	t.Cleanup(func() { _ = server.Close() })
	var all []*process
	for i := range 3 {
		p := &process{callers: freeAddress(t), operators: freeAddress(t), settings: filepath.Join(t.TempDir(), "host.jsonc")}
		settings := fmt.Sprintf(`{
			// Host %d of the test.
			"region": "east", "zone": "east-a", "platformUrl": "http://%s", "noticeMs": 500,
			"listen": {"callers": %q, "peers": %q, "operators": %q},
			"log": {"on": false}
		}`, i, storeListener.Addr(), p.callers, freeAddress(t), p.operators)
		if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
			t.Fatal(err)
		}
		p.start(t, binary)
		all = append(all, p)
	}
	for _, p := range all {
		p.waitReady(t)
	}
	return all, tg
}

// buildDaemon builds gypsumd from this tree and returns the path of the binary.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "gypsumd")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

func TestProcessesThroughPauseAndDeath(t *testing.T) {
	is := is.New(t)
	binary := buildDaemon(t)
	all, tg := newProcesses(t, binary)
	for _, p := range all {
		status, body, err := get(t.Context(), "http://"+p.callers+"/s/shop/stock", processKey)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(strings.HasPrefix(body, "ran "))
	}

	for _, p := range all {
		is.True(residentBytes(t, p.cmd.Process.Pid) < maxIdleBytes)
	}

	// A process that is paused until its lease has expired must refuse the requests
	// that arrived meanwhile, and serve again afterwards.
	paused := all[1]
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGSTOP))
	time.Sleep(6500 * time.Millisecond)
	before := tg.Stats().Arrived
	type response struct {
		status int
		body   string
		err    error
	}
	responses := make(chan response, 1)
	go func() {
		status, body, err := get(context.WithoutCancel(t.Context()), "http://"+paused.callers+"/s/shop/stock", processKey)
		responses <- response{status, body, err}
	}()
	time.Sleep(time.Second)
	is.NoErr(paused.cmd.Process.Signal(syscall.SIGCONT))
	a := <-responses
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(strings.HasPrefix(a.body, "notRun "))
	is.Equal(tg.Stats().Arrived, before) // the request did not reach the target
	paused.waitReady(t)

	// A process that is killed and restarted at the same address serves again.
	is.NoErr(all[2].cmd.Process.Kill())
	_ = all[2].cmd.Wait() // returns an error, because the process was killed
	all[2].start(t, binary)
	all[2].waitReady(t)

	// SIGTERM stops a process gracefully, with exit code 0.
	is.NoErr(all[0].cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(all[0].cmd.Wait())
	status, _, err := get(t.Context(), "http://"+all[2].callers+"/s/shop/stock", processKey)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(tg.Stats().SecretsSeen, 0)
	is.Equal(tg.Stats().OverSlots, 0)
}

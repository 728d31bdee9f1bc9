package callers_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers"
	"gypsumbeam.example/gypsumbeam/service/targets"
)

const (
	goodKey    = "wk-7f3a91c2d4"
	otherKey   = "wk-00beef1234"
	callerHost = "10.9.0.1"
)

// fleet is a region west with targets, and entry hosts in one or more regions, on one
// in-memory network. Only the dependencies of the entry hosts that decide (lease, rate
// limit, dispatcher, steerer) are fakes.
type fleet struct {
	net     *memnet.Network
	conf    *fakeConfig
	targets []*target.Target
	// mu guards hosts, which the Directory methods read concurrently.
	mu    sync.Mutex
	hosts []*host
}

// host is one entry host.
type host struct {
	ip         string
	instance   ids.Instance
	region     ids.Region
	handler    *callers.Handler
	server     *callers.Server
	peers      *peers.Server
	pool       *peers.Pool
	lease      *fakeLease
	dispatcher *fakeDispatcher
	steerer    *fakeSteerer
	// crashed is set when the process crashes.
	crashed atomic.Bool
}

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func document() *config.Document {
	return &config.Document{
		Fleet:   "test",
		Regions: []config.Region{{Name: "west", Zones: []ids.Zone{"w1"}, Seats: 2}, {Name: "east", Zones: []ids.Zone{"e1"}, Seats: 2}},
		Services: []config.Service{{
			Name: "till", Slots: 4, TimeoutMs: 5000, MaxBodyBytes: 1 << 20,
			Routes: []config.Route{{Prefix: "/pay", Once: true, Methods: []string{"POST"}}, {Prefix: "/open", Open: true}},
		}},
		Workspaces: []config.Workspace{
			{Name: "school", Rate: 10, Burst: 10, Keys: []config.Key{{ID: "k1", SHA256: hash(goodKey)}}},
			{Name: "club", Rate: 10, Burst: 10, Keys: []config.Key{{ID: "k2", SHA256: hash(otherKey)}}},
		},
		Limits: config.Limits{RetryShare: 1},
	}
}

// newFleet starts nTargets targets in the region west and one entry host for each
// element of regions.
func newFleet(t *testing.T, nTargets int, regions ...ids.Region) *fleet {
	t.Helper()
	f := &fleet{net: &memnet.Network{}, conf: &fakeConfig{}}
	f.conf.set(config.NewSnapshot(1, document()))
	for i := range nTargets {
		tg := target.New(target.Config{Name: fmt.Sprint("t", i), Secrets: []string{goodKey, otherKey}})
		tg.Start(f.listen(t, f.targetAddress(i)))
		f.targets = append(f.targets, tg)
	}
	for i, r := range regions {
		f.hosts = append(f.hosts, f.newHost(t, i, r))
	}
	return f
}

func (f *fleet) targetAddress(i int) string { return fmt.Sprintf("10.0.1.%d:80", i+1) }

func (f *fleet) listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := f.net.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func (f *fleet) newHost(t *testing.T, i int, region ids.Region) *host {
	h := &host{
		ip: fmt.Sprintf("10.0.0.%d", i+1), instance: ids.NewInstance(), region: region,
		lease: &fakeLease{}, dispatcher: &fakeDispatcher{f: f}, steerer: &fakeSteerer{region: region},
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		if h.crashed.Load() {
			return nil, net.ErrClosed
		}
		return f.net.Dialer(h.ip)(ctx, address)
	}
	h.pool = &peers.Pool{Dial: dial}
	h.handler = callers.New(callers.Config{
		Self: h.instance, Region: region, Lease: h.lease, ConfigSource: f.conf,
		RateLimiter: admitAll{}, Dispatcher: h.dispatcher, Steerer: h.steerer,
		Relayer:     &peers.RelayClient{Pool: h.pool, Directory: f},
		Sender:      targets.NewSender(targets.SenderConfig{Dial: dial}),
		Idempotency: deduplicator.New(deduplicator.Config{Self: h.instance}),
	})
	h.server = callers.NewServer(callers.ServerConfig{Handler: h.handler})
	h.server.Start(f.listen(t, h.ip+":80"))
	h.peers = &peers.Server{Relayer: &peers.RelayServer{Forwarder: h.handler}}
	h.peers.Start(f.listen(t, h.ip+":90"))
	return h
}

// crash simulates the crash of a host's process: nothing that it does from now on
// reaches another host or a target.
func (f *fleet) crash(h *host) {
	h.crashed.Store(true)
	h.lease.lost.Store(true)
	f.net.Kill(h.ip)
}

// replace starts a new process in place of a crashed one.
func (f *fleet) replace(t *testing.T, i int) {
	t.Helper()
	old := f.hosts[i]
	old.stop()
	h := f.newHost(t, i, old.region)
	h.steerer.routeTo = old.steerer.routeTo
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[i] = h
}

// stop ends all goroutines of a host.
func (h *host) stop() {
	h.server.Stop()
	h.handler.Wait()
	h.pool.Close()
	h.peers.Stop()
}

// stop ends all hosts and targets.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.stop()
		f.net.Kill(h.ip)
	}
	for _, tg := range f.targets {
		tg.Crash()
	}
	f.net.Kill(callerHost)
	time.Sleep(time.Second) // net/http closes a connection some time after its last response
}

// Region implements peers.Directory.
func (f *fleet) Region(r ids.Region) []peers.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []peers.Host
	for _, h := range f.hosts {
		if h.region == r {
			out = append(out, peers.Host{Instance: h.instance, PeersAddress: h.ip + ":90", Region: r, Weight: 1})
		}
	}
	return out
}

// Instance implements peers.Directory.
func (f *fleet) Instance(i ids.Instance) (peers.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.instance == i {
			return peers.Host{Instance: i, PeersAddress: h.ip + ":90", Region: h.region}, true
		}
	}
	return peers.Host{}, false
}

// response is what a caller receives. err is set if it is incomplete.
type response struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
	err     error
}

func (r response) outcome() refusal.Outcome {
	return refusal.Outcome(r.header.Get(refusal.HeaderOutcome))
}

func (r response) code() refusal.Code {
	var p struct {
		Code refusal.Code `json:"code"`
	}
	if json.Unmarshal([]byte(r.body), &p) != nil {
		return ""
	}
	return p.Code
}

// do sends one request from the caller's host to h on a new connection. header holds
// names and values of header fields.
func (f *fleet) do(ctx context.Context, h *host, method, path string, body io.Reader, header ...string) response {
	tr := f.transport()
	defer tr.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.ip+":80"+path, body)
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+goodKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), trailer: resp.Trailer, err: err}
}

func (f *fleet) transport() *http.Transport {
	return &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.net.Dialer(callerHost)(ctx, address)
		},
	}
}

// raw sends bytes on a new connection and returns all responses.
func (f *fleet) raw(t *testing.T, h *host, text string) []response {
	t.Helper()
	c, err := f.net.Dialer(callerHost)(t.Context(), h.ip+":80")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	var out []response
	br := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return out
		}
		b, err := io.ReadAll(resp.Body)
		out = append(out, response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err})
	}
}

// key returns an idempotency key that h owns.
func (h *host) key(id string) string { return h.handler.IdempotencyPrefix() + "." + id }

type fakeConfig struct {
	s atomic.Pointer[config.Snapshot]
}

func (c *fakeConfig) Snapshot() *config.Snapshot { return c.s.Load() }
func (c *fakeConfig) set(s *config.Snapshot)     { c.s.Store(s) }

type fakeLease struct{ lost atomic.Bool }

func (l *fakeLease) Check() *refusal.Refusal {
	if l.lost.Load() {
		return refusal.Unavailable(refusal.CodeNotServing, "the lease has run out", time.Second)
	}
	return nil
}

type admitAll struct{}

func (admitAll) Admit(ctx context.Context, _ ids.Workspace) error { return ctx.Err() }

// fakeSteerer routes all requests to one region, by default its own.
type fakeSteerer struct {
	region   ids.Region
	mu       sync.Mutex
	routeTo  ids.Region
	failover ids.Region
	capped   bool
	// accepted counts the requests that AdmitRemote admitted.
	accepted int
}

func (s *fakeSteerer) routeToWest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routeTo = "west"
}

func (s *fakeSteerer) Lookup(svc ids.Service, _ ids.Region, _ string) (*callers.LookupResponse, error) {
	return &callers.LookupResponse{Service: svc, Region: s.region, TTLMs: 5900, Revision: 1}, nil
}

func (s *fakeSteerer) Origin(_ string, claimed ids.Region) ids.Region {
	if claimed != "" {
		return claimed
	}
	return s.region
}

func (s *fakeSteerer) FailoverRegion(ids.Service, ids.Region) (ids.Region, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failover, s.failover != ""
}

func (s *fakeSteerer) Route(ids.Service, ids.Region) ids.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routeTo != "" {
		return s.routeTo
	}
	return s.region
}

func (s *fakeSteerer) AdmitRemote(ids.Service, ids.Region) *refusal.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.capped {
		return refusal.Unavailable(refusal.CodeShiftCap, "the shift cap is reached", time.Second)
	}
	s.accepted++
	return nil
}

// fakeDispatcher selects the targets in turn and counts the slots in use.
type fakeDispatcher struct {
	f     *fleet
	next  atomic.Int64
	inUse atomic.Int64
	// wait is how long a request waits for its slot, in nanoseconds.
	wait atomic.Int64
	// noTarget makes Acquire fail.
	noTarget atomic.Bool
	// last is the result of the last request.
	last atomic.Pointer[callers.AttemptResult]
}

func (d *fakeDispatcher) Acquire(ctx context.Context, w callers.SlotRequest) (callers.Slot, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(time.Duration(d.wait.Load())):
	}
	if d.noTarget.Load() {
		return nil, refusal.Unavailable(refusal.CodeNoTarget, "no target", time.Second)
	}
	for range d.f.targets {
		i := int(d.next.Add(1)) % len(d.f.targets)
		s := &fakeSlot{d: d, name: ids.Target(fmt.Sprint("t", i)), address: d.f.targetAddress(i)}
		if len(w.Avoid) < len(d.f.targets) && contains(w.Avoid, s.name) {
			continue
		}
		d.inUse.Add(1)
		return s, nil
	}
	return nil, refusal.Unavailable(refusal.CodeNoTarget, "no target", time.Second)
}

func contains(list []ids.Target, t ids.Target) bool {
	return strings.Contains(fmt.Sprint(list), string(t))
}

type fakeSlot struct {
	d        *fakeDispatcher
	name     ids.Target
	address  string
	released atomic.Bool
}

func (s *fakeSlot) Target() ids.Target { return s.name }
func (s *fakeSlot) Address() string    { return s.address }
func (s *fakeSlot) Release(r callers.AttemptResult) {
	s.d.last.Store(&r)
	if s.released.Swap(true) {
		panic("a slot was released twice")
	}
	s.d.inUse.Add(-1)
}

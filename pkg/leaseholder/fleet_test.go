package leaseholder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/internal/standin/store"
	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/leaseholder"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

const (
	storeIP        = "10.0.0.1"
	storeAddress   = storeIP + ":7000"
	seatsPerRegion = 4
	withinRegion   = 1500 * time.Microsecond
	betweenRegions = 12 * time.Millisecond
)

var regions = []ids.Region{"connacht", "leinster", "munster"}

// gateway calls peers over gRPC.
type gateway struct{ pool *peers.Pool }

// call asks the peer at an address.
func call[R any](g gateway, address string, f func(peerpb.PeerClient) (R, error)) (R, error) {
	c, err := g.pool.Peer(address)
	if err != nil {
		var none R
		return none, err
	}
	return f(c)
}

func (g gateway) Promise(ctx context.Context, address string, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	return call(g, address, func(c peerpb.PeerClient) (*peerpb.PromiseReply, error) {
		return c.Promise(ctx, r)
	})
}

func (g gateway) Fence(ctx context.Context, address string, r *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	return call(g, address, func(c peerpb.PeerClient) (*peerpb.FenceReply, error) {
		return c.Fence(ctx, r)
	})
}

func (g gateway) Fetch(ctx context.Context, address string, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return call(g, address, func(c peerpb.PeerClient) (*peerpb.FetchReply, error) {
		return c.Fetch(ctx, r)
	})
}

func (g gateway) Confirm(ctx context.Context, address string, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	return call(g, address, func(c peerpb.PeerClient) (*peerpb.ConfirmReply, error) {
		return c.Confirm(ctx, r)
	})
}

// host is one entry host without its traffic.
type host struct {
	ip     string
	region ids.Region
	id     ids.Instance
	fence  *fencer.Fencer
	roll   *roller.Roller
	keep   *leaseholder.Leaseholder
	client *platform.Client
	pool   *peers.Pool
	server *peers.Server
	cancel context.CancelFunc
}

// fleet is a store and entry hosts on one network.
type fleet struct {
	t      *testing.T
	net    *memnet.Network
	store  *store.Store
	http   *http.Server
	served chan struct{}
	check  *checker.Checker
	hosts  []*host
	seeds  []string
	lastIP map[ids.Region]int
}

// newFleet starts a store that holds a first configuration, and n hosts.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, net: &memnet.Network{Delay: delay}, store: &store.Store{}, check: &checker.Checker{},
		served: make(chan struct{}), lastIP: make(map[ids.Region]int),
	}
	l, err := f.net.Listen(storeAddress)
	if err != nil {
		t.Fatal(err)
	}
	f.http = &http.Server{Handler: f.store.Handler(), ReadHeaderTimeout: time.Minute}
	go func() {
		defer close(f.served)
		_ = f.http.Serve(l)
	}()
	head, err := roller.Head{Revision: 1, Document: document("first"), WriteID: "first"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.store.CompareAndSwap(t.Context(), roller.HeadKey, 0, head); err != nil {
		t.Fatal(err)
	}
	f.check.ConfigStored(1)
	for i := range n {
		f.start(regions[i%len(regions)], "")
	}
	return f
}

// document is a configuration that says what it is called.
func document(name string) string {
	d := config.Document{Fleet: name}
	for _, r := range regions {
		d.Regions = append(d.Regions, config.Region{Name: r, Seats: seatsPerRegion})
	}
	b, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func parse(b []byte) (*config.Document, error) {
	var d config.Document
	if err := json.Unmarshal(b, &d); err != nil {
		return nil, err
	}
	return &d, nil
}

func delay(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case site(from) == site(to):
		return withinRegion
	default:
		return betweenRegions
	}
}

// site returns the region's part of an IP number. The store is in connacht.
func site(ip string) string {
	if ip == storeIP {
		return "1"
	}
	return strings.Split(ip, ".")[2]
}

// start starts a host at an IP number, or at a new one of the region.
func (f *fleet) start(r ids.Region, ip string) {
	f.t.Helper()
	if ip == "" {
		f.lastIP[r]++
		for n, name := range regions {
			if name == r {
				ip = fmt.Sprintf("10.0.%d.%d", n+1, f.lastIP[r])
			}
		}
	}
	h := &host{ip: ip, region: r, id: ids.NewInstance(), fence: &fencer.Fencer{}}
	h.pool = &peers.Pool{Dial: f.net.Dialer(ip)}
	h.client = platform.New(platform.Config{BaseURL: "http://" + storeAddress, Dial: f.net.Dialer(ip)})
	h.roll = roller.New(roller.Config{
		Self: h.id, Parse: parse, Serving: h.fence.Valid, Store: h.client,
		Call: gateway{h.pool}.Confirm, Checker: f.check,
	})
	address := ip + ":7100"
	h.keep = leaseholder.New(leaseholder.Config{
		Self:  seater.Holder{Instance: h.id, Region: r, PeersAddress: address},
		Store: h.client, Peers: gateway{h.pool}, Fencer: h.fence, Roller: h.roll, Seeds: f.seeds, Checker: f.check,
	})
	l, err := f.net.Listen(address)
	if err != nil {
		f.t.Fatal(err)
	}
	h.server = &peers.Server{Voter: h.keep, Roller: h.roll}
	h.server.Start(l)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.keep.Run(ctx)
	f.check.Note("host %s starts as %s in %s", ip, h.id, r)
	f.hosts = append(f.hosts, h)
}

// crash ends a host's process at once.
func (f *fleet) crash(h *host) {
	f.check.InstanceEnded(h.id)
	f.net.Kill(h.ip)
	f.remove(h)
	h.cancel()
	h.close()
	<-h.keep.Done()
}

// leave ends a host's process gracefully.
func (f *fleet) leave(h *host) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.check.Note("host %s leaves", h.id)
	f.remove(h)
	err := h.keep.Leave(ctx)
	h.cancel()
	<-h.keep.Done()
	h.close()
	return err
}

func (f *fleet) remove(h *host) {
	for i := range f.hosts {
		if f.hosts[i] == h {
			f.hosts = append(f.hosts[:i:i], f.hosts[i+1:]...)
			return
		}
	}
}

func (h *host) close() {
	h.client.Close()
	h.pool.Close()
	h.server.Stop()
}

// stop ends everything, so that the bubble can end.
func (f *fleet) stop() {
	for len(f.hosts) > 0 {
		f.crash(f.hosts[0])
	}
	_ = f.http.Close()
	<-f.served
	time.Sleep(2 * time.Minute) // Connections that were cut end by themselves.
}

// table returns the stored seat table.
func (f *fleet) table() *seater.Table {
	f.t.Helper()
	f.store.SetDown(false)
	e, err := f.store.Get(context.Background(), roller.SeatsKey)
	if err != nil {
		f.t.Fatal(err)
	}
	t, err := seater.Decode(e.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return t
}

// revision returns the stored revision.
func (f *fleet) revision() ids.Revision {
	f.t.Helper()
	e, err := f.store.Get(context.Background(), roller.HeadKey)
	if err != nil {
		f.t.Fatal(err)
	}
	h, err := roller.DecodeHead(e.Value)
	if err != nil {
		f.t.Fatal(err)
	}
	return h.Revision
}

// lacking tells what keeps the fleet from being whole: every host serves with
// the stored configuration, and every seat has a holder that lives.
func (f *fleet) lacking() string {
	newest := f.revision()
	live := make(map[ids.Instance]bool)
	for _, h := range f.hosts {
		live[h.id] = true
		s := h.keep.Status()
		if !s.Serving || s.Revision != newest || len(s.Seats) == 0 {
			return fmt.Sprintf("host %s: %+v; revision %d is stored", h.ip, s, newest)
		}
	}
	for _, s := range f.table().Seats {
		if !live[s.Holder] {
			return fmt.Sprintf("seat %d of %s is held by %q", s.Number, s.Region, s.Holder)
		}
	}
	return ""
}

// waitWhole waits until nothing is lacking, and returns how long it took.
func (f *fleet) waitWhole(bound time.Duration) (time.Duration, error) {
	began := time.Now()
	for {
		lacking := f.lacking()
		took := time.Since(began)
		if lacking == "" {
			return took, nil
		}
		if took > bound {
			return took, fmt.Errorf("not whole after %v: %s", took, lacking)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// wantNoBreach fails the test with the trace of the first broken invariant.
func (f *fleet) wantNoBreach() {
	f.t.Helper()
	for i, b := range f.check.Breaches() {
		f.t.Errorf("%s: %s", b.At.UTC().Format(time.TimeOnly), b.What)
		if i == 0 {
			f.t.Log(strings.Join(b.Trace, "\n"))
		}
	}
}

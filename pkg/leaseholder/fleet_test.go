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
	storeIP             = "10.0.0.1"
	storeAddress        = storeIP + ":7000"
	seatsPerRegion      = 4
	delayWithinRegion   = 1500 * time.Microsecond
	delayBetweenRegions = 12 * time.Millisecond
)

var regions = []ids.Region{"connacht", "leinster", "munster"}

// peerClient implements leaseholder.Peers and roller.Config.Call over gRPC.
type peerClient struct{ pool *peers.Pool }

// call sends a request to the peer at an address.
func call[R any](p peerClient, address string, f func(peerpb.PeerClient) (R, error)) (R, error) {
	c, err := p.pool.Peer(address)
	if err != nil {
		var none R
		return none, err
	}
	return f(c)
}

func (p peerClient) Promise(ctx context.Context, address string, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	return call(p, address, func(c peerpb.PeerClient) (*peerpb.PromiseReply, error) {
		return c.Promise(ctx, r)
	})
}

func (p peerClient) Fence(ctx context.Context, address string, r *peerpb.FenceRequest) (*peerpb.FenceReply, error) {
	return call(p, address, func(c peerpb.PeerClient) (*peerpb.FenceReply, error) {
		return c.Fence(ctx, r)
	})
}

func (p peerClient) Fetch(ctx context.Context, address string, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return call(p, address, func(c peerpb.PeerClient) (*peerpb.FetchReply, error) {
		return c.Fetch(ctx, r)
	})
}

func (p peerClient) Confirm(ctx context.Context, address string, r *peerpb.ConfirmRequest) (*peerpb.ConfirmReply, error) {
	return call(p, address, func(c peerpb.PeerClient) (*peerpb.ConfirmReply, error) {
		return c.Confirm(ctx, r)
	})
}

// host is an entry host without request traffic.
type host struct {
	ip          string
	region      ids.Region
	id          ids.Instance
	fencer      *fencer.Fencer
	roller      *roller.Roller
	leaseholder *leaseholder.Leaseholder
	client      *platform.Client
	pool        *peers.Pool
	server      *peers.Server
	cancel      context.CancelFunc
}

// fleet is a store and a number of entry hosts on one in-memory network.
type fleet struct {
	t       *testing.T
	net     *memnet.Network
	store   *store.Store
	http    *http.Server
	served  chan struct{}
	checker *checker.Checker
	hosts   []*host
	seeds   []string
	lastIP  map[ids.Region]int
}

// newFleet starts a store that holds a first configuration, and n hosts spread
// over the regions.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, net: &memnet.Network{Delay: networkDelay}, store: &store.Store{}, checker: &checker.Checker{},
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
	f.checker.ConfigStored(1)
	for i := range n {
		f.start(regions[i%len(regions)], "")
	}
	return f
}

// document returns a configuration document whose fleet has the given name.
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

func networkDelay(from, to string) time.Duration {
	switch {
	case from == to:
		return 0
	case regionOctet(from) == regionOctet(to):
		return delayWithinRegion
	default:
		return delayBetweenRegions
	}
}

// regionOctet returns the part of an IP address that tells the region. The store
// is in connacht.
func regionOctet(ip string) string {
	if ip == storeIP {
		return "1"
	}
	return strings.Split(ip, ".")[2]
}

// start starts a host at an IP address; if ip is empty, at a new one of the region.
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
	h := &host{ip: ip, region: r, id: ids.NewInstance(), fencer: &fencer.Fencer{}}
	h.pool = &peers.Pool{Dial: f.net.Dialer(ip)}
	h.client = platform.New(platform.Config{BaseURL: "http://" + storeAddress, Dial: f.net.Dialer(ip)})
	h.roller = roller.New(roller.Config{
		Self: h.id, Parse: parse, Serving: h.fencer.Valid, Store: h.client,
		Confirm: peerClient{h.pool}.Confirm, Checker: f.checker,
	})
	address := ip + ":7100"
	h.leaseholder = leaseholder.New(leaseholder.Config{
		Self:  seater.Holder{Instance: h.id, Region: r, PeersAddress: address},
		Store: h.client, Peers: peerClient{h.pool}, Fencer: h.fencer, Roller: h.roller, Seeds: f.seeds, Checker: f.checker,
	})
	l, err := f.net.Listen(address)
	if err != nil {
		f.t.Fatal(err)
	}
	h.server = &peers.Server{Voter: h.leaseholder, Roller: h.roller}
	h.server.Start(l)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go h.leaseholder.Run(ctx)
	f.checker.Tracef("host %s starts as %s in %s", ip, h.id, r)
	f.hosts = append(f.hosts, h)
}

// crash ends a host without a shutdown.
func (f *fleet) crash(h *host) {
	f.checker.InstanceEnded(h.id)
	f.net.Kill(h.ip)
	f.remove(h)
	h.cancel()
	h.close()
	<-h.leaseholder.Done()
}

// leave shuts a host down gracefully.
func (f *fleet) leave(h *host) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.checker.Tracef("host %s leaves", h.id)
	f.remove(h)
	err := h.leaseholder.Leave(ctx)
	h.cancel()
	<-h.leaseholder.Done()
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

// stop ends all hosts and the store, so that the synctest bubble can end.
func (f *fleet) stop() {
	for len(f.hosts) > 0 {
		f.crash(f.hosts[0])
	}
	_ = f.http.Close()
	<-f.served
	time.Sleep(2 * time.Minute) // Connections on cut links end by their own timeouts.
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

// revision returns the stored revision of the configuration.
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

// unhealthy returns a description of what is wrong with the fleet, or "" if every
// host serves with the stored configuration and every seat is held by a live host.
func (f *fleet) unhealthy() string {
	newest := f.revision()
	live := make(map[ids.Instance]bool)
	for _, h := range f.hosts {
		live[h.id] = true
		s := h.leaseholder.Status()
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

// waitHealthy waits until the fleet is healthy, and returns how long it took. It
// returns an error after bound.
func (f *fleet) waitHealthy(bound time.Duration) (time.Duration, error) {
	began := time.Now()
	for {
		problem := f.unhealthy()
		took := time.Since(began)
		if problem == "" {
			return took, nil
		}
		if took > bound {
			return took, fmt.Errorf("not healthy after %v: %s", took, problem)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkInvariants fails the test for each violated invariant, and logs the trace
// of the first one.
func (f *fleet) checkInvariants() {
	f.t.Helper()
	for i, b := range f.checker.Breaches() {
		f.t.Errorf("%s: %s", b.At.UTC().Format(time.TimeOnly), b.Message)
		if i == 0 {
			f.t.Log(strings.Join(b.Trace, "\n"))
		}
	}
}

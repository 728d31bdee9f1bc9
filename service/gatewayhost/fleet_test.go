package gatewayhost_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
	"gypsumbeam.example/gypsumbeam/service/gatewayhost"
)

const (
	zoneCount   = 6
	regionDelay = 500 * time.Microsecond
	farDelay    = 20 * time.Millisecond
	// settlingTime is the time until the hosts of a new fleet know each other's state.
	settlingTime = 3 * time.Second
	// objectCount is the number of objects that requests are about.
	objectCount = 60
	// callTimeout is how long callers wait for an answer.
	callTimeout = 12 * time.Second
)

// codec is a gateway.HeaderCodec with simple header fields.
type codec struct{}

func (codec) ReadRequest(h http.Header) gateway.RequestInfo {
	delivery, _ := time.ParseDuration(h.Get(deliveryHeader)) // 0 if missing
	return gateway.RequestInfo{ID: h.Get("Id"), Object: h.Get("Object"), Timeout: 3*time.Second + delivery}
}

func (codec) ReadHealth(http.Header) gateway.HealthInfo { return gateway.HealthInfo{} }

func (codec) WriteRelay(http.Header, time.Duration) {}

func (codec) WriteForward(h http.Header, s gateway.ForwardInfo) { h.Set("Target", string(s.Target)) }

func (codec) ReadResponse(_ int, h http.Header, id string) gateway.ResponseInfo {
	info := gateway.ResponseInfo{Stamped: h.Get("Stamp") != "", IDMatch: h.Get("Id") == id, NotRun: h.Get("Shed") != ""}
	rate, err := strconv.ParseFloat(h.Get("Limit"), 64)
	if err != nil {
		info.Limit = balancer.Limit{Ended: info.Stamped}
		return info
	}
	info.Limit = balancer.Limit{Rate: ids.Rate(rate * float64(ids.RatePerSecond))}
	return info
}

// storeState implements siblings.State for a store that never changes.
type storeState struct{}

func (storeState) Version() uint64 { return 1 }
func (storeState) Position() (ids.Position, confirmer.Timestamp) {
	return ids.Position{Revision: 1}, confirmer.Timestamp{}
}
func (storeState) ObservePeer(uint64, ids.Position, confirmer.Timestamp) {}
func (storeState) Outdated() bool                                        { return false }

// zoneName, regionName, targetIP and hostIP describe target or host i. Each region has two
// zones.
func zoneName(i int) ids.Zone     { return ids.Zone(fmt.Sprintf("z%d", i%zoneCount)) }
func regionName(i int) ids.Region { return ids.Region(fmt.Sprintf("r%d", i%zoneCount/2)) }
func targetIP(i int) string       { return fmt.Sprintf("10.9.%d.%d", i%zoneCount, i) }
func hostIP(i int) string         { return fmt.Sprintf("10.1.%d.%d", i%zoneCount, i) }

// regionOfIP returns the region of a host or target by the zone in its IP address.
func regionOfIP(ip string) ids.Region { return regionName(int(netip.MustParseAddr(ip).As4()[2])) }

func delay(from, to string) time.Duration {
	if regionOfIP(from) == regionOfIP(to) {
		return regionDelay
	}
	return farDelay
}

// fleet is a number of gateway hosts and targets of one service on the virtual clock.
type fleet struct {
	t       *testing.T
	network *memnet.Network
	hosts   []*fleetHost
	targets []*fleetTarget
	random  *rand.Rand

	mu      sync.Mutex
	results []callResult
	callers sync.WaitGroup
	nextID  int
}

// fleetHost is one gateway host.
type fleetHost struct {
	ip      string
	self    lister.Host
	host    *gatewayhost.Host
	callers http.Client
}

// callResult is the answer to one request of a caller.
type callResult struct {
	at         time.Time
	status     int
	elapsed    time.Duration
	retryAfter time.Duration
}

// withFleet runs f with hosts and targets that are spread evenly over six zones.
func withFleet(t *testing.T, hosts, targets int, f func(fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{t: t, network: &memnet.Network{Delay: delay}, random: rand.New(rand.NewPCG(1, uint64(hosts)))}
		for i := range targets {
			fl.startTarget(i)
		}
		for i := range hosts {
			fl.hosts = append(fl.hosts, fl.startHost(i))
		}
		fl.register()
		time.Sleep(settlingTime)
		defer fl.stop()
		f(fl)
	})
}

// stop waits for the callers and stops all hosts and targets.
func (fl *fleet) stop() {
	fl.callers.Wait()
	for _, h := range fl.hosts {
		h.callers.CloseIdleConnections()
		h.host.Stop()
	}
	for _, target := range fl.targets {
		_ = target.srv.Close() // the test ends
	}
}

// startHost starts host i, which is not registered yet.
func (fl *fleet) startHost(i int) *fleetHost {
	ip := hostIP(i)
	conn, err := fl.network.ListenPacket(ip + ":7740")
	if err != nil {
		fl.t.Fatal(err)
	}
	listener, err := fl.network.Listen(ip + ":80")
	if err != nil {
		fl.t.Fatal(err)
	}
	h := &fleetHost{ip: ip, self: lister.Host{
		Instance: ids.Instance(fmt.Sprintf("%s-%d", ip, fl.random.Uint32())), CallersAddress: ip + ":80", PeersAddress: ip + ":7740",
		Zone: zoneName(i), Region: regionName(i),
	}}
	regions := make(map[ids.Zone]ids.Region)
	for z := range zoneCount {
		regions[zoneName(z)] = regionName(z)
	}
	confirmed := &confirmer.Confirmer{}
	h.host = gatewayhost.New(gatewayhost.Config{
		Self: h.self, Regions: regions, HeaderCodec: codec{}, Confirmer: confirmed, State: storeState{}, Conn: conn,
		Bounds: gatewayhost.Bounds{RevocationTime: time.Hour, GracePeriod: 2 * time.Second, RetryRatio: 0.2},
		Dial:   fl.network.Dialer(ip),
	})
	confirmed.Confirm(confirmed.Now())
	dial := fl.network.Dialer(ip)
	h.callers.Transport = &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
		MaxIdleConnsPerHost: 100,
	}
	h.host.SetDocument(router.Document{
		Version: 1, Services: []router.Service{{Name: "s"}},
		Routes: []*router.Route{{
			Name: "r", Host: "h.example", Prefix: "/", Objective: time.Second, MaxAttempts: 2, Open: true, Affinity: true,
			Shares: []router.Share{{Service: "s", Weight: 1}},
		}},
		Limits: router.Limits{MaxHeaderBytes: 1 << 14, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute},
	})
	h.host.Start(listener)
	return h
}

// replaceHost kills host i without notice, and starts another one in its place.
func (fl *fleet) replaceHost(i int) {
	old := fl.hosts[i]
	fl.network.Kill(old.ip)
	fl.callers.Go(old.host.Stop)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.hosts[i] = fl.startHost(i)
}

// cutHosts cuts the hosts with an index below n from the others, or connects them again.
func (fl *fleet) cutHosts(n int, cut bool) {
	for _, a := range fl.hosts[:n] {
		for _, b := range fl.hosts[n:] {
			fl.network.SetCut(a.ip, b.ip, cut)
			fl.network.SetCut(b.ip, a.ip, cut)
		}
	}
}

// register tells all hosts of all hosts and targets.
func (fl *fleet) register() {
	var hosts []lister.Host
	for _, h := range fl.hosts {
		hosts = append(hosts, h.self)
	}
	for _, h := range fl.hosts {
		h.host.SetHosts(hosts)
		h.host.SetTargets(fl.registrations(), registrar.NormalRead)
	}
}

func (fl *fleet) registrations() []registrar.Target {
	var all []registrar.Target
	for _, t := range fl.targets {
		all = append(all, t.registration())
	}
	return all
}

// call sends rate requests per second to each host, at random times, for a time. A
// refused caller returns once, at a host of the same zone, when it was told to.
func (fl *fleet) call(rate float64, d time.Duration) {
	for i := range fl.hosts {
		fl.callHost(i, rate, d)
	}
}

// callHost is like call for one host.
func (fl *fleet) callHost(i int, rate float64, d time.Duration) {
	fl.callers.Go(func() {
		end := time.Now().Add(d)
		for time.Now().Before(end) {
			fl.callers.Go(func() { fl.callTwice(i) })
			time.Sleep(fl.gap(rate))
		}
	})
}

// gap returns a random time between two requests of a Poisson process.
func (fl *fleet) gap(rate float64) time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return time.Duration(fl.random.ExpFloat64() / rate * float64(time.Second))
}

// callTwice sends a request to host i, and once more to a host of its zone.
func (fl *fleet) callTwice(i int) {
	res := fl.callOnce(fl.hostAt(i))
	if res.status != http.StatusServiceUnavailable {
		return
	}
	time.Sleep(res.retryAfter)
	zone := i % zoneCount
	fl.mu.Lock()
	other := zone + zoneCount*fl.random.IntN((len(fl.hosts)-zone+zoneCount-1)/zoneCount)
	fl.mu.Unlock()
	fl.callOnce(fl.hostAt(other))
}

// hostAt returns the present host with an index.
func (fl *fleet) hostAt(i int) *fleetHost {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.hosts[i]
}

// callLate sends a request to host i whose answer is on its way for a time.
func (fl *fleet) callLate(i int, delivery time.Duration) {
	fl.callers.Go(func() {
		header := fl.newHeader()
		header.Set(deliveryHeader, delivery.String())
		h := fl.hostAt(i)
		send(&h.callers, h.self.CallersAddress, header)
	})
}

// newHeader returns the header of a new request for a random object.
func (fl *fleet) newHeader() http.Header {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.nextID++
	return http.Header{"Id": {strconv.Itoa(fl.nextID)}, "Object": {strconv.Itoa(fl.random.IntN(objectCount))}}
}

// callOnce sends one request and records its result. Status 0 means no answer.
func (fl *fleet) callOnce(h *fleetHost) callResult {
	header := fl.newHeader()
	res := callResult{at: time.Now()}
	res.status, res.retryAfter = send(&h.callers, h.self.CallersAddress, header)
	res.elapsed = time.Since(res.at)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.results = append(fl.results, res)
	return res
}

// send sends one request, and returns the status and Retry-After of its answer.
func send(c *http.Client, address string, header http.Header) (int, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/a", http.NoBody)
	if err != nil {
		return 0, 0
	}
	r.Host = "h.example"
	r.Header = header
	resp, err := c.Do(r)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0 if missing
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// outcome counts the results since a time.
func (fl *fleet) outcome(since time.Time) (served, refused int, slowestRefusal time.Duration) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, r := range fl.results {
		switch {
		case r.at.Before(since):
		case r.status == http.StatusOK:
			served++
		default:
			refused++
			slowestRefusal = max(slowestRefusal, r.elapsed)
		}
	}
	return served, refused, slowestRefusal
}

// trimPort returns the IP address of an address.
func trimPort(address string) string { return address[:strings.LastIndex(address, ":")] }

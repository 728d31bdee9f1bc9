package siblings_test

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
	"gypsumbeam.example/gypsumbeam/service/siblings"
)

// countingConn counts what is sent, and sends it if it has a PacketConn.
type countingConn struct {
	net.PacketConn
	messages, bytes atomic.Int64
}

func (c *countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.messages.Add(1)
	c.bytes.Add(int64(len(p)))
	if c.PacketConn == nil {
		return len(p), nil
	}
	return c.PacketConn.WriteTo(p, to)
}

// host is a simulated host.
type host struct {
	self        lister.Host
	conn        *countingConn
	confirmer   *confirmer.Confirmer
	balancer    *balancer.Balancer
	throttler   *throttler.Throttler
	broadcaster *siblings.Broadcaster
	version     atomic.Uint64
	stopped     chan struct{}
	once        sync.Once
	// paused is set while the host is suspended.
	paused atomic.Bool
}

func (h *host) Version() uint64 { return h.version.Load() }

func (h *host) Position() (ids.Position, confirmer.Timestamp) {
	at, _ := h.confirmer.Last() // the zero Timestamp if there is none
	return ids.Position{Revision: 1}, at
}

func (h *host) ObservePeer(_ uint64, _ ids.Position, provenAt confirmer.Timestamp) {
	if !provenAt.IsZero() {
		h.confirmer.Confirm(provenAt)
	}
}

// ip returns the host's IP address.
func (h *host) ip() string { return strings.TrimSuffix(h.self.PeersAddress, ":1") }

// fleet is a set of hosts that know each other by the platform's host list.
type fleet struct {
	t       *testing.T
	network *memnet.Network
	// requests is the number of requests that the test started, at one host after the other.
	requests int

	mu    sync.Mutex
	hosts map[string]*host
	// outdated, if set, replaces the host at its address in the host list.
	outdated *lister.Host
	// older, if set, tells which hosts are of an older build.
	older func(h lister.Host) bool
}

// newFleet returns a fleet without hosts, whose datagrams take delay.
func newFleet(t *testing.T, delay time.Duration) *fleet {
	t.Helper()
	return &fleet{
		t: t, network: &memnet.Network{Delay: func(string, string) time.Duration { return delay }}, hosts: make(map[string]*host),
	}
}

// cut cuts or restores the links to a host and those from it.
func (fl *fleet) cut(h *host, to, from bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, o := range fl.hosts {
		if o != h {
			fl.network.SetCut(o.ip(), h.ip(), to)
			fl.network.SetCut(h.ip(), o.ip(), from)
		}
	}
}

// withFleet runs f with two hosts on the virtual clock.
func withFleet(t *testing.T, delay time.Duration, f func(fl *fleet, a, b *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, delay)
		a, b := fl.start("10.0.0.1:1", "a1"), fl.start("10.0.0.2:1", "b1")
		time.Sleep(time.Second)
		defer func() {
			for _, h := range fl.hosts {
				h.stop()
			}
		}()
		f(fl, a, b)
	})
}

func (fl *fleet) hostList() []lister.Host {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var all []lister.Host
	for _, h := range fl.hosts {
		self := h.self
		if fl.outdated != nil && fl.outdated.CallersAddress == self.CallersAddress {
			self = *fl.outdated
		}
		all = append(all, self)
	}
	return all
}

// start starts a host, in place of the previous one at its address.
func (fl *fleet) start(address string, instance ids.Instance) *host {
	return fl.startHost(lister.Host{Instance: instance, CallersAddress: address, PeersAddress: address, Zone: "z", Region: "r"})
}

// startHost starts the host that self describes.
func (fl *fleet) startHost(self lister.Host) *host {
	conn, err := fl.network.ListenPacket(self.PeersAddress)
	if err != nil {
		fl.t.Fatal(err)
	}
	if fl.older != nil && fl.older(self) {
		conn = &olderConn{conn, fl.t}
	}
	h := &host{
		self:      self,
		conn:      &countingConn{PacketConn: conn},
		confirmer: &confirmer.Confirmer{},
		balancer:  balancer.New(balancer.Config{Zone: self.Zone}),
		throttler: &throttler.Throttler{},
		stopped:   make(chan struct{}),
	}
	h.version.Store(7)
	h.balancer.SetTargets([]registrar.Target{{ID: "t", Service: "s", Address: "10.1.0.1:1", Slots: 2, Zone: "z"}})
	h.broadcaster = siblings.New(siblings.Config{
		Self: h.self, Conn: h.conn, Hosts: fl.hostList, Ready: func() bool { return true }, ReachesTargets: func() bool { return true }, State: h,
		Confirmer: h.confirmer, Balancer: h.balancer, Throttler: h.throttler, Isolator: &isolator.Isolator{}, Log: logflags.Logger(logflags.Peers),
	})
	fl.mu.Lock()
	fl.hosts[self.PeersAddress] = h
	fl.mu.Unlock()
	go h.broadcaster.Receive()
	go h.run()
	return h
}

func (h *host) run() {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if h.paused.Load() {
				continue
			}
			h.broadcaster.Tick()
		case <-h.stopped:
			return
		}
	}
}

func (h *host) stop() {
	h.once.Do(func() { close(h.stopped) })
	_ = h.conn.Close() // It always returns nil.
	<-h.broadcaster.Done()
}

// A proof of one host is used by the other one, where it is never considered younger than
// it is.
func TestProofIsPassedOnWithItsAge(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond, 900 * time.Millisecond} {
		withFleet(t, delay, func(_ *fleet, a, b *host) {
			is := is.New(t)
			requestedAt := time.Now()
			timestamp := a.confirmer.Now()
			time.Sleep(10 * time.Millisecond)
			a.confirmer.Confirm(timestamp)
			for range 80 {
				time.Sleep(50 * time.Millisecond)
				if age, ok := b.confirmer.Age(); ok {
					is.True(age >= time.Since(requestedAt))
				}
			}
			age, ok := b.confirmer.Age()
			is.True(ok)
			is.True(age <= time.Since(requestedAt)+2*delay+300*time.Millisecond)
		})
	}
}

// A host that restarted gets answers to messages of its previous process. They confirm
// nothing, because the clocks of the two processes are unrelated.
func TestAnswerToPreviousProcessConfirmsNothing(t *testing.T) {
	withFleet(t, 10*time.Millisecond, func(fl *fleet, a, b *host) {
		is := is.New(t)
		a.confirmer.Confirm(a.confirmer.Now())
		confirmedAt := time.Now()
		time.Sleep(8 * time.Second)
		b.stop()
		// The other host does not know yet that a new process has the address.
		fl.mu.Lock()
		fl.outdated = &b.self
		fl.mu.Unlock()
		b = fl.start("10.0.0.2:1", "b2")
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			if age, ok := b.confirmer.Age(); ok {
				is.True(age >= time.Since(confirmedAt)) // the confirmation at the new process
			}
		}
	})
}

// Two hosts that hear only each other cannot keep a proof young.
func TestProofAgesBetweenIsolatedHosts(t *testing.T) {
	withFleet(t, 20*time.Millisecond, func(_ *fleet, a, b *host) {
		is := is.New(t)
		a.confirmer.Confirm(a.confirmer.Now())
		time.Sleep(10 * time.Second)
		for _, h := range []*host{a, b} {
			age, ok := h.confirmer.Age()
			is.True(ok)
			is.True(age >= 10*time.Second)
		}
	})
}

// In-flight requests and warm objects are known to other hosts within 250 ms.
func TestInFlightRequestsAreShared(t *testing.T) {
	withFleet(t, 10*time.Millisecond, func(_ *fleet, a, b *host) {
		is := is.New(t)
		w := balancer.Request{Service: "s", Class: "c", Object: balancer.HashObject("c", "o"), Objective: time.Second, TimeLeft: time.Minute}
		for range 5 {
			_, err := a.balancer.Pick(w)
			is.NoErr(err)
		}
		time.Sleep(250 * time.Millisecond)
		c, err := b.balancer.Pick(w)
		is.NoErr(err)
		is.Equal(c.Backlog, 5.0)
		is.True(c.Warm)
	})
}

// A silent host is reported as unavailable. A host that hears nobody cannot tell silent
// hosts from its own isolation.
func TestSilentHostsAreUnavailable(t *testing.T) {
	withFleet(t, 0, func(fl *fleet, a, b *host) {
		is := is.New(t)
		is.Equal(len(a.broadcaster.Unavailable()), 0)
		fl.cut(b, true, true)
		time.Sleep(2 * time.Second)
		is.True(a.broadcaster.Unavailable()["10.0.0.2:1"])
		is.True(b.broadcaster.Unavailable()["10.0.0.1:1"])
		fl.cut(b, false, false)
		time.Sleep(time.Second)
		is.Equal(len(a.broadcaster.Unavailable()), 0)
	})
}

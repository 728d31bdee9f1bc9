package siblings_test

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
	"gypsumbeam.example/gypsumbeam/service/siblings"
)

// network carries datagrams between hosts with a delay, and drops those from and to
// hosts in cut.
type network struct {
	delay time.Duration

	mu    sync.Mutex
	conns map[string]*conn
	cut   map[string]bool
	// Datagrams to hosts in deaf and from hosts in mute are dropped.
	deaf, mute map[string]bool
	// messages and bytes count what was sent.
	messages, bytes int
}

// datagram is a datagram in transit.
type datagram struct {
	from net.Addr
	data []byte
}

// conn is the net.PacketConn of one host.
type conn struct {
	network *network
	addr    net.Addr
	in      chan datagram
	closed  chan struct{}
	once    sync.Once
}

func (n *network) open(address string) *conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := &conn{
		network: n, addr: net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)),
		in: make(chan datagram, 10_000), closed: make(chan struct{}),
	}
	n.conns[address] = e
	return e
}

func (e *conn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-e.in:
		return copy(p, d.data), d.from, nil
	case <-e.closed:
		return 0, nil, net.ErrClosed
	}
}

func (e *conn) WriteTo(p []byte, to net.Addr) (int, error) {
	data := append([]byte(nil), p...)
	e.network.mu.Lock()
	e.network.messages++
	e.network.bytes += len(data)
	e.network.mu.Unlock()
	time.AfterFunc(e.network.delay, func() {
		e.network.mu.Lock()
		defer e.network.mu.Unlock()
		if e.network.mute[e.addr.String()] || e.network.deaf[to.String()] {
			return
		}
		if o := e.network.conns[to.String()]; o != nil && !e.network.cut[to.String()] && !e.network.cut[e.addr.String()] {
			o.in <- datagram{e.addr, data}
		}
	})
	return len(p), nil
}

func (e *conn) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

func (e *conn) LocalAddr() net.Addr              { return e.addr }
func (e *conn) SetDeadline(time.Time) error      { return nil }
func (e *conn) SetReadDeadline(time.Time) error  { return nil }
func (e *conn) SetWriteDeadline(time.Time) error { return nil }

// host is a simulated host.
type host struct {
	self        lister.Host
	conn        *conn
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

func (h *host) Version() uint64                           { return h.version.Load() }
func (h *host) Position() ids.Position                    { return ids.Position{Revision: 1} }
func (h *host) ConfirmedBy(v uint64, _ ids.Position) bool { return v <= h.version.Load() }
func (h *host) ObservePeer(uint64, ids.Position)          {}

// fleet is a set of hosts that know each other by the platform's host list.
type fleet struct {
	network  *network
	hosts    map[string]*host
	requests int
	// outdated, if set, replaces the host at its address in the host list.
	outdated *lister.Host
}

// withFleet runs f with two hosts on the virtual clock.
func withFleet(t *testing.T, delay time.Duration, f func(fl *fleet, a, b *host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := &fleet{
			network: &network{delay: delay, conns: make(map[string]*conn), cut: make(map[string]bool)},
			hosts:   make(map[string]*host),
		}
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
	fl.network.mu.Lock()
	defer fl.network.mu.Unlock()
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
	h := &host{
		self:      self,
		conn:      fl.network.open(self.PeersAddress),
		confirmer: &confirmer.Confirmer{},
		balancer:  balancer.New(balancer.Config{Zone: self.Zone}),
		throttler: &throttler.Throttler{},
		stopped:   make(chan struct{}),
	}
	h.version.Store(7)
	h.balancer.SetTargets([]registrar.Target{{ID: "t", Service: "s", Address: "10.1.0.1:1", Slots: 2, Zone: "z"}})
	h.broadcaster = siblings.New(siblings.Config{
		Self: h.self, Conn: h.conn, Hosts: fl.hostList, Ready: func() bool { return true }, State: h,
		Confirmer: h.confirmer, Balancer: h.balancer, Throttler: h.throttler, Log: logflags.Logger(logflags.Peers),
	})
	fl.network.mu.Lock()
	fl.hosts[self.PeersAddress] = h
	fl.network.mu.Unlock()
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

// A confirmation of one host is used by the other one, where it is never considered
// younger than it is.
func TestConfirmationIsPassedOnWithItsAge(t *testing.T) {
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
		fl.network.mu.Lock()
		fl.outdated = &b.self
		fl.network.mu.Unlock()
		b = fl.start("10.0.0.2:1", "b2")
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			if age, ok := b.confirmer.Age(); ok {
				is.True(age >= time.Since(confirmedAt)) // the confirmation at the new process
			}
		}
	})
}

// A confirmation of a newer version does not confirm the own version, but one of an
// older version does.
func TestConfirmationOfNewerVersionIsIgnored(t *testing.T) {
	withFleet(t, 0, func(_ *fleet, a, b *host) {
		is := is.New(t)
		b.version.Store(6)
		a.confirmer.Confirm(a.confirmer.Now())
		time.Sleep(time.Second)
		_, ok := b.confirmer.Age()
		is.True(!ok)
		b.version.Store(8)
		time.Sleep(time.Second)
		_, ok = b.confirmer.Age()
		is.True(ok)
	})
}

// Two hosts that hear only each other cannot keep a confirmation young.
func TestConfirmationAgesBetweenIsolatedHosts(t *testing.T) {
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
		fl.network.mu.Lock()
		fl.network.cut["10.0.0.2:1"] = true
		fl.network.mu.Unlock()
		time.Sleep(2 * time.Second)
		is.True(a.broadcaster.Unavailable()["10.0.0.2:1"])
		is.True(b.broadcaster.Unavailable()["10.0.0.1:1"])
		fl.network.mu.Lock()
		fl.network.cut = map[string]bool{}
		fl.network.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(len(a.broadcaster.Unavailable()), 0)
	})
}

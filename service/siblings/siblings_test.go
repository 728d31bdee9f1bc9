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

// wire carries datagrams between hosts with a delay. Its cut links lose them.
type wire struct {
	delay time.Duration

	mu   sync.Mutex
	ends map[string]*end
	cut  map[string]bool
	// deaf holds the hosts that get nothing, mute those from which nothing comes.
	deaf, mute map[string]bool
	// messages and bytes count what was sent.
	messages, bytes int
}

// datagram is one message on its way.
type datagram struct {
	from net.Addr
	text []byte
}

// end is one host's net.PacketConn.
type end struct {
	w      *wire
	addr   net.Addr
	in     chan datagram
	closed chan struct{}
	once   sync.Once
}

func (w *wire) open(address string) *end {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &end{
		w: w, addr: net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)),
		in: make(chan datagram, 10_000), closed: make(chan struct{}),
	}
	w.ends[address] = e
	return e
}

func (e *end) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-e.in:
		return copy(p, d.text), d.from, nil
	case <-e.closed:
		return 0, nil, net.ErrClosed
	}
}

func (e *end) WriteTo(p []byte, to net.Addr) (int, error) {
	text := append([]byte(nil), p...)
	e.w.mu.Lock()
	e.w.messages++
	e.w.bytes += len(text)
	e.w.mu.Unlock()
	time.AfterFunc(e.w.delay, func() {
		e.w.mu.Lock()
		defer e.w.mu.Unlock()
		if e.w.mute[e.addr.String()] || e.w.deaf[to.String()] {
			return
		}
		if o := e.w.ends[to.String()]; o != nil && !e.w.cut[to.String()] && !e.w.cut[e.addr.String()] {
			o.in <- datagram{e.addr, text}
		}
	})
	return len(p), nil
}

func (e *end) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

func (e *end) LocalAddr() net.Addr              { return e.addr }
func (e *end) SetDeadline(time.Time) error      { return nil }
func (e *end) SetReadDeadline(time.Time) error  { return nil }
func (e *end) SetWriteDeadline(time.Time) error { return nil }

// host is one host with what it believes.
type host struct {
	self      lister.Host
	conn      *end
	confirmed *confirmer.Confirmer
	placer    *balancer.Balancer
	allotter  *throttler.Throttler
	gossiper  *siblings.Broadcaster
	version   atomic.Uint64
	stop      chan struct{}
	once      sync.Once
	// paused is set while the host does nothing.
	paused atomic.Bool
}

func (h *host) Version() uint64                           { return h.version.Load() }
func (h *host) Position() ids.Position                    { return ids.Position{Revision: 1} }
func (h *host) ConfirmedBy(v uint64, _ ids.Position) bool { return v <= h.version.Load() }
func (h *host) ObservePeer(uint64, ids.Position)          {}

// fleet is hosts that know each other by a list, as the platform tells it.
type fleet struct {
	wire  *wire
	hosts map[string]*host
	asked int
	// outdated, where set, stands in the list for the host at its address.
	outdated *lister.Host
}

// withFleet runs f on the virtual clock with two hosts.
func withFleet(t *testing.T, delay time.Duration, f func(fl *fleet, a, b *host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := &fleet{
			wire:  &wire{delay: delay, ends: make(map[string]*end), cut: make(map[string]bool)},
			hosts: make(map[string]*host),
		}
		a, b := fl.start("10.0.0.1:1", "a1"), fl.start("10.0.0.2:1", "b1")
		time.Sleep(time.Second)
		defer func() {
			for _, h := range fl.hosts {
				h.end()
			}
		}()
		f(fl, a, b)
	})
}

func (fl *fleet) list() []lister.Host {
	fl.wire.mu.Lock()
	defer fl.wire.mu.Unlock()
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

// start starts a host, in place of the one that had its address.
func (fl *fleet) start(address string, instance ids.Instance) *host {
	return fl.startIn(lister.Host{Instance: instance, CallersAddress: address, PeersAddress: address, Zone: "z", Region: "r"})
}

// startIn starts a host by what it tells of itself.
func (fl *fleet) startIn(self lister.Host) *host {
	h := &host{
		self:      self,
		conn:      fl.wire.open(self.PeersAddress),
		confirmed: &confirmer.Confirmer{},
		placer:    balancer.New(balancer.Config{Zone: self.Zone}),
		allotter:  &throttler.Throttler{},
		stop:      make(chan struct{}),
	}
	h.version.Store(7)
	h.placer.SetTargets([]registrar.Target{{ID: "t", Service: "s", Address: "10.1.0.1:1", Slots: 2, Zone: "z"}})
	h.gossiper = siblings.New(siblings.Config{
		Self: h.self, Conn: h.conn, Hosts: fl.list, Ready: func() bool { return true }, State: h,
		Confirmer: h.confirmed, Balancer: h.placer, Throttler: h.allotter, Log: logflags.Logger(logflags.Peers),
	})
	fl.wire.mu.Lock()
	fl.hosts[self.PeersAddress] = h
	fl.wire.mu.Unlock()
	go h.gossiper.Receive()
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
			h.gossiper.Tick()
		case <-h.stop:
			return
		}
	}
}

func (h *host) end() {
	h.once.Do(func() { close(h.stop) })
	_ = h.conn.Close() // It always returns nil.
	<-h.gossiper.Done()
}

// A proof that one host got counts at the other, and is never younger there than
// it is.
func TestProofIsHandedOnWithItsAge(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond, 900 * time.Millisecond} {
		withFleet(t, delay, func(_ *fleet, a, b *host) {
			is := is.New(t)
			asked := time.Now()
			stamp := a.confirmed.Now()
			time.Sleep(10 * time.Millisecond)
			a.confirmed.Confirm(stamp)
			for range 80 {
				time.Sleep(50 * time.Millisecond)
				if age, ok := b.confirmed.Age(); ok {
					is.True(age >= time.Since(asked))
				}
			}
			age, ok := b.confirmed.Age()
			is.True(ok)
			is.True(age <= time.Since(asked)+2*delay+300*time.Millisecond)
		})
	}
}

// A host that restarted gets answers to what its predecessor sent. They prove
// nothing: the clocks of two processes have nothing to do with each other.
func TestAnswerToAPredecessorProvesNothing(t *testing.T) {
	withFleet(t, 10*time.Millisecond, func(fl *fleet, a, b *host) {
		is := is.New(t)
		a.confirmed.Confirm(a.confirmed.Now())
		proved := time.Now()
		time.Sleep(8 * time.Second)
		b.end()
		// The other host does not know yet that it speaks to a new process.
		fl.wire.mu.Lock()
		fl.outdated = &b.self
		fl.wire.mu.Unlock()
		b = fl.start("10.0.0.2:1", "b2")
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			if age, ok := b.confirmed.Age(); ok {
				is.True(age >= time.Since(proved)) // the proof at the new process
			}
		}
	})
}

// A proof of a newer version says nothing of the own one; a proof of an older one
// says that the own one was new enough.
func TestProofOfANewerVersionDoesNotCount(t *testing.T) {
	withFleet(t, 0, func(_ *fleet, a, b *host) {
		is := is.New(t)
		b.version.Store(6)
		a.confirmed.Confirm(a.confirmed.Now())
		time.Sleep(time.Second)
		_, ok := b.confirmed.Age()
		is.True(!ok)
		b.version.Store(8)
		time.Sleep(time.Second)
		_, ok = b.confirmed.Age()
		is.True(ok)
	})
}

// Two hosts that hear only each other cannot keep a proof young.
func TestProofAgesBetweenHostsThatAreCutOff(t *testing.T) {
	withFleet(t, 20*time.Millisecond, func(_ *fleet, a, b *host) {
		is := is.New(t)
		a.confirmed.Confirm(a.confirmed.Now())
		time.Sleep(10 * time.Second)
		for _, h := range []*host{a, b} {
			age, ok := h.confirmed.Age()
			is.True(ok)
			is.True(age >= 10*time.Second)
		}
	})
}

// What a host has at targets is known to the others within moments.
func TestRequestsAtTargetsAreTold(t *testing.T) {
	withFleet(t, 10*time.Millisecond, func(_ *fleet, a, b *host) {
		is := is.New(t)
		w := balancer.Request{Service: "s", Class: "c", Object: balancer.HashObject("c", "o"), Objective: time.Second, TimeLeft: time.Minute}
		for range 5 {
			_, err := a.placer.Pick(w)
			is.NoErr(err)
		}
		time.Sleep(250 * time.Millisecond)
		c, err := b.placer.Pick(w)
		is.NoErr(err)
		is.Equal(c.Backlog, 5.0)
		is.True(c.Warm)
	})
}

// A host that says nothing any more gets no callers; one that hears nobody cannot
// tell who is silent from being cut off itself.
func TestSilentHostsAreKnown(t *testing.T) {
	withFleet(t, 0, func(fl *fleet, a, b *host) {
		is := is.New(t)
		is.Equal(len(a.gossiper.Unavailable()), 0)
		fl.wire.mu.Lock()
		fl.wire.cut["10.0.0.2:1"] = true
		fl.wire.mu.Unlock()
		time.Sleep(2 * time.Second)
		is.True(a.gossiper.Unavailable()["10.0.0.2:1"])
		is.True(b.gossiper.Unavailable()["10.0.0.1:1"])
		fl.wire.mu.Lock()
		fl.wire.cut = map[string]bool{}
		fl.wire.mu.Unlock()
		time.Sleep(time.Second)
		is.Equal(len(a.gossiper.Unavailable()), 0)
	})
}

// Package siblings carries what entry hosts tell each other, in datagrams: the
// requests they have at targets, what they admitted of each workspace, and how
// new their configuration is. Datagrams may be lost: each one tells the present
// state, or counts from the start.
package siblings

import (
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"gypsumbeam.example/gypsumbeam/pkg/allotter"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/placer"
)

const (
	// nearInterval is the time between two messages to a host of the region,
	// and farInterval to one of another region.
	nearInterval = 100 * time.Millisecond
	farInterval  = 200 * time.Millisecond
	// fewHosts is the size of a fleet up to which those intervals hold. In larger
	// ones they grow with the size, so that a host sends as many messages.
	fewHosts = 16
	// longestStretch bounds that growth, as what is told ages with it.
	longestStretch = 4
	// maxStarts bounds the starts in one message.
	maxStarts = 60
	// maxDatagram is the longest message that is read.
	maxDatagram = 8 << 10
	// maxOrigin bounds the random start of a clock, and leaves room for years.
	maxOrigin = math.MaxInt64 / 2
	// silentTime is how long a host may say nothing before callers are no longer
	// sent to it.
	silentTime = 1200 * time.Millisecond
	// missedMessages is how many messages in a row must be missing as well.
	missedMessages = 3
)

// message is one datagram.
type message struct {
	_    struct{} `cbor:",toarray"`
	From ids.Instance
	// Sent is the sender's clock in nanoseconds. Echo is the recipient's Sent
	// that came last, and Held the time since.
	Sent int64
	Echo int64
	Held int64
	// Version is the sender's configuration, known to be the newest Age ago, in
	// nanoseconds; a negative Age means never.
	Version uint64
	Age     int64
	// Revision is how far the sender has followed the store.
	Revision uint64
	// Ready says that the sender takes callers.
	Ready   bool
	Running []running
	Starts  []start
	Usages  []usage
}

type running struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Count  int
}

type start struct {
	_      struct{} `cbor:",toarray"`
	Target uint32
	Object uint32
}

type usage struct {
	_         struct{} `cbor:",toarray"`
	Workspace uint32
	Admitted  uint64
	Demand    uint32
}

// State is what this host knows of the platform's store.
type State interface {
	// Version returns the configuration in force, 0 if there is none.
	Version() uint64
	// Revision returns how far this host has followed the store.
	Revision() uint64
	// Behind is called with what another host has seen.
	Behind(version, revision uint64)
}

// Config holds what a Gossiper needs. All fields are required.
type Config struct {
	Self      lister.Host
	Conn      net.PacketConn
	Hosts     func() []lister.Host
	Ready     func() bool
	State     State
	Confirmer *confirmer.Confirmer
	Placer    *placer.Placer
	Allotter  *allotter.Allotter
	Log       log.Interface
}

// Gossiper tells the other hosts of this one and takes what they tell.
type Gossiper struct {
	cfg   Config
	begun confirmer.Stamp
	// origin is the reading of this process's clock at its start. It is random,
	// so that an answer to an earlier process at this address is known as such.
	origin int64
	done   chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is another host, by its address for siblings.
type peer struct {
	host lister.Host
	addr net.Addr
	// since is when it was first known, heard when it last told something.
	since, heard time.Time
	ready        bool
	silent       bool
	// echo is its clock when it sent its last message, held when that came.
	echo   int64
	held   confirmer.Stamp
	nextAt time.Time
	starts uint64
}

// New returns a Gossiper that does not run yet.
func New(cfg Config) *Gossiper {
	return &Gossiper{
		cfg: cfg, begun: cfg.Confirmer.Stamp(), origin: rand.Int64N(maxOrigin), done: make(chan struct{}),
		peers: make(map[string]*peer),
	}
}

// Done is closed once Receive has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// clock returns this process's clock, which counts suspensions.
func (g *Gossiper) clock() int64 { return g.origin + int64(g.cfg.Confirmer.Stamp().Since(g.begun)) }

// Tick sends what is due. It is to be called about every nearInterval.
func (g *Gossiper) Tick() {
	now := time.Now()
	// The proof is read before the version: a version that is newer than the one
	// proved makes it no weaker. And all is read before the lock is taken, as other
	// parts call this one under their own locks.
	proof, proved := g.cfg.Confirmer.Last()
	news := message{
		From: g.cfg.Self.Instance, Version: g.cfg.State.Version(), Revision: g.cfg.State.Revision(),
		Ready: g.cfg.Ready(), Running: g.running(), Usages: g.usages(), Age: -1,
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(now)
	for _, p := range g.peers {
		if now.Before(p.nextAt) {
			continue
		}
		p.nextAt = now.Add(g.interval(p) - nearInterval/4)
		g.send(p, news, proof, proved)
	}
}

// interval returns the time between two messages to p. The caller holds the lock.
func (g *Gossiper) interval(p *peer) time.Duration {
	if p.host.Region == g.cfg.Self.Region {
		return time.Duration(float64(nearInterval) * g.stretch())
	}
	return time.Duration(float64(farInterval) * g.stretch())
}

// stretch returns how much longer the intervals are than in a small fleet. The
// caller holds the lock.
func (g *Gossiper) stretch() float64 {
	return min(max(float64(len(g.peers))/fewHosts, 1), longestStretch)
}

// silence returns after which time without a message a host counts as silent. The
// caller holds the lock.
func (g *Gossiper) silence() time.Duration {
	return max(silentTime, time.Duration(missedMessages*float64(farInterval)*g.stretch()))
}

// refresh takes the registered hosts over. The caller holds the lock.
func (g *Gossiper) refresh(now time.Time) {
	known := make(map[string]bool)
	for _, h := range g.cfg.Hosts() {
		known[h.Siblings] = true
		if h.Siblings == g.cfg.Self.Siblings {
			continue
		}
		p := g.peers[h.Siblings]
		if p != nil && p.host.Instance == h.Instance {
			continue
		}
		addr, err := netip.ParseAddrPort(h.Siblings)
		if err != nil {
			g.cfg.Log.WithError(err).Warn("host has no usable address")
			continue
		}
		g.peers[h.Siblings] = &peer{host: h, addr: net.UDPAddrFromAddrPort(addr), since: now, heard: now, ready: true}
	}
	for address := range g.peers {
		if !known[address] {
			delete(g.peers, address)
		}
	}
}

func (g *Gossiper) running() []running {
	var all []running
	for _, r := range g.cfg.Placer.Running() {
		all = append(all, running{Target: r.Target, Count: r.Count})
	}
	return all
}

func (g *Gossiper) usages() []usage {
	var all []usage
	for _, u := range g.cfg.Allotter.Usages() {
		all = append(all, usage{Workspace: uint32(u.Workspace), Admitted: u.Admitted, Demand: uint32(u.Demand + 0.5)})
	}
	return all
}

// send tells one host the news, what is for it alone, and the age of the proof that
// the version is the newest. The caller holds the lock.
func (g *Gossiper) send(p *peer, m message, proof confirmer.Stamp, proved bool) {
	m.Sent, m.Echo = g.clock(), p.echo
	if p.echo != 0 {
		m.Held = int64(g.cfg.Confirmer.Stamp().Since(p.held))
	}
	if proved {
		// Taken after Held, as a suspension in between must make the proof older.
		m.Age = int64(g.cfg.Confirmer.Stamp().Since(proof))
	}
	var starts []placer.Start
	starts, p.starts = g.cfg.Placer.Starts(p.starts, maxStarts)
	for _, s := range starts {
		m.Starts = append(m.Starts, start{Target: s.Target, Object: uint32(s.Object)})
	}
	text, err := cbor.Marshal(m)
	if err != nil {
		g.cfg.Log.WithError(err).Error("message not encoded")
		return
	}
	// A datagram that cannot be sent is as one that is lost.
	_, _ = g.cfg.Conn.WriteTo(text, p.addr)
}

// Receive takes messages until the connection is closed.
func (g *Gossiper) Receive() {
	defer close(g.done)
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.cfg.Conn.ReadFrom(buf)
		if err != nil {
			return
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			g.cfg.Log.WithError(err).WithField("from", from.String()).Warn("message ignored")
			continue
		}
		g.take(from.String(), &m)
	}
}

// take takes one message.
func (g *Gossiper) take(from string, m *message) {
	g.mu.Lock()
	p := g.peers[from]
	if p == nil || p.host.Instance != m.From {
		g.mu.Unlock()
		return // A host that is not registered, or no longer.
	}
	p.heard = time.Now()
	p.ready = m.Ready
	p.echo, p.held = m.Sent, g.cfg.Confirmer.Stamp()
	g.mu.Unlock()
	g.confirm(m)
	g.cfg.State.Behind(m.Version, m.Revision)
	g.absorb(m)
}

// confirm takes over a proof that the configuration is the newest. The message
// was sent later than this host's own message that it answers, by at least the
// time for which the other host held that. So the proof is not older than this
// host can tell by its own clock.
func (g *Gossiper) confirm(m *message) {
	if m.Age < 0 || m.Held < 0 || m.Version == 0 || m.Version > g.cfg.State.Version() {
		return
	}
	answered := m.Echo + m.Held
	if m.Echo < g.origin || answered > g.clock() {
		return // It answers another process.
	}
	g.cfg.Confirmer.Confirm(g.begun.Add(time.Duration(answered - m.Age - g.origin)))
}

func (g *Gossiper) absorb(m *message) {
	run := make([]placer.Running, 0, len(m.Running))
	for _, r := range m.Running {
		run = append(run, placer.Running{Target: r.Target, Count: r.Count})
	}
	starts := make([]placer.Start, 0, len(m.Starts))
	for _, s := range m.Starts {
		starts = append(starts, placer.Start{Target: s.Target, Object: placer.Object(s.Object)})
	}
	usages := make([]allotter.Usage, 0, len(m.Usages))
	for _, u := range m.Usages {
		usages = append(usages, allotter.Usage{Workspace: allotter.Name(u.Workspace), Admitted: u.Admitted, Demand: float64(u.Demand)})
	}
	g.cfg.Placer.Absorb(ids.Scope(m.From), run, starts)
	g.cfg.Allotter.Absorb(m.From, usages)
	g.cfg.Allotter.SetLag(g.lag())
}

// lag returns how old what hosts tell each other may be.
func (g *Gossiper) lag() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(float64(farInterval) * g.stretch())
}

// Silent returns the hosts to which callers are not to be sent, by their
// addresses for callers. If no other host is heard of, this host is cut off and
// cannot tell.
func (g *Gossiper) Silent() map[string]bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := make(map[string]bool)
	for _, p := range g.peers {
		quiet := now.Sub(p.heard) > g.silence()
		if quiet != p.silent {
			p.silent = quiet
			g.cfg.Log.WithField("host", p.host.Callers).WithField("silent", quiet).Warn("host heard of")
		}
		if quiet || !p.ready {
			silent[p.host.Callers] = true
		}
	}
	return silent
}

// Answering returns the hosts that are heard of and take callers, by their addresses
// for callers.
func (g *Gossiper) Answering() map[string]bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[string]bool, len(g.peers))
	for _, p := range g.peers {
		if p.ready && now.Sub(p.heard) <= g.silence() {
			all[p.host.Callers] = true
		}
	}
	return all
}

// Rank returns the place of this host among those that are heard of, 0 being
// the first.
func (g *Gossiper) Rank() int {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	rank := 0
	for _, p := range g.peers {
		if now.Sub(p.heard) <= g.silence() && p.host.Instance < g.cfg.Self.Instance {
			rank++
		}
	}
	return rank
}

// Package siblings carries what entry hosts tell each other, in datagrams: the
// requests they have at targets, what they admitted of each workspace, and how
// new their configuration is. Datagrams may be lost: each one tells the present
// state, or counts from the start.
//
// In a small fleet each host tells every other one. In a larger one, the hosts of an
// availability zone tell one of them, which tells the sum to the other zones, and all
// sums to its own zone.
package siblings

import (
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"gypsumbeam.example/gypsumbeam/pkg/aggregator"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

const (
	// nearInterval is the time between two messages to a host of the region,
	// and farInterval to one of another region, in a small fleet.
	nearInterval = 100 * time.Millisecond
	farInterval  = 200 * time.Millisecond
	// fewHosts is the size of a fleet up to which each host tells every other one.
	fewHosts = 16
	// maxStarts bounds the starts in one message.
	maxStarts = 60
	// maxOrigin bounds the random start of a clock, and leaves room for years.
	maxOrigin = math.MaxInt64 / 2
	// silentTime is how long a host may say nothing before callers are no longer
	// sent to it.
	silentTime = 1200 * time.Millisecond
)

// State is what this host knows of the platform's store.
type State interface {
	// Version returns the configuration in force, 0 if there is none.
	Version() uint64
	// Position returns how far this host has followed the store.
	Position() ids.Position
	// Proves reports whether a version that another host knows to be the newest, at its
	// position, makes the one in force the newest as well.
	Proves(version uint64, at ids.Position) bool
	// Behind is called with what another host has seen.
	Behind(version uint64, position ids.Position)
}

// Config holds what a Gossiper needs. All fields are required.
type Config struct {
	Self      lister.Host
	Conn      net.PacketConn
	Hosts     func() []lister.Host
	Ready     func() bool
	State     State
	Confirmer *confirmer.Confirmer
	Balancer  *balancer.Balancer
	Throttler *throttler.Throttler
	Log       log.Interface
}

// Gossiper tells the other hosts of this one and takes what they tell.
type Broadcaster struct {
	cfg   Config
	begun confirmer.Timestamp
	// origin is the reading of this process's clock at its start. It is random,
	// so that an answer to an earlier process at this address is known as such.
	origin  int64
	done    chan struct{}
	traffic Traffic

	mu    sync.Mutex
	peers peers
	zone  zone
	// lastHeard is when the last message came.
	lastHeard time.Time
}

// Traffic counts what a Gossiper sent, by where it went. Its fields may be read at
// any time.
type Traffic struct {
	Messages atomic.Int64
	// ZoneBytes stay in the availability zone, RegionBytes go to other zones of the
	// region, and FarBytes to other regions.
	IntraZoneBytes, InterZoneBytes, InterRegionBytes atomic.Int64
}

// New returns a Gossiper that does not run yet.
func New(cfg Config) *Broadcaster {
	now := time.Now()
	return &Broadcaster{
		cfg: cfg, begun: cfg.Confirmer.Now(), origin: rand.Int64N(maxOrigin), done: make(chan struct{}),
		peers: newPeers(), zone: newZone(delegatorHost(cfg.Self, true, true), now), lastHeard: now,
	}
}

// Done is closed once Receive has returned.
func (g *Broadcaster) Done() <-chan struct{} { return g.done }

// Traffic returns the counters of what was sent.
func (g *Broadcaster) Traffic() *Traffic { return &g.traffic }

// clock returns this process's clock, which counts suspensions.
func (g *Broadcaster) clock() int64 { return g.origin + int64(g.cfg.Confirmer.Now().Since(g.begun)) }

// large reports whether the fleet is so large that hosts speak for their zones. The
// caller holds the lock.
func (g *Broadcaster) large() bool { return len(g.peers.byAddress) >= fewHosts }

// silence returns after which time without a message a host counts as silent. The
// caller holds the lock.
func (g *Broadcaster) silence() time.Duration {
	if g.large() {
		return silentTime + abroadInterval
	}
	return silentTime
}

// round is what a host tells in one round of messages.
type round struct {
	now     time.Time
	message message
	proof   confirmer.Timestamp
	proved  bool
	running []balancer.InFlight
	// usages are set where they are due.
	usages []throttler.Usage
	// words are what this host learns from its own sum.
	words []word
}

// Tick sends what is due. It is to be called about every nearInterval.
func (g *Broadcaster) Tick() {
	// The proof is read before the version: a version that is newer than the one
	// proved makes it no weaker. And all is read before the lock is taken, as other
	// parts call this one under their own locks.
	r := &round{now: time.Now()}
	r.proof, r.proved = g.cfg.Confirmer.Last()
	at := g.cfg.State.Position()
	r.message = message{
		From: g.cfg.Self.Instance, Version: g.cfg.State.Version(), Era: at.Era, Revision: at.Revision,
		Ready: g.cfg.Ready(), Age: -1,
	}
	r.running = g.cfg.Balancer.InFlight()
	g.tell(r)
	for _, w := range r.words {
		g.absorb(w)
	}
}

// tell sends what is due in a round.
func (g *Broadcaster) tell(r *round) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refresh(r.now)
	// Read before anything is sent: what answers this round was sent later.
	r.message.Sent = g.clock()
	if g.large() {
		g.tellZone(r)
		return
	}
	g.tellAll(r)
}

// tellAll tells every other host that is due. The caller holds the lock.
func (g *Broadcaster) tellAll(r *round) {
	r.usages = g.cfg.Throttler.Usages()
	for _, p := range g.peers.byAddress {
		if r.now.Before(p.nextAt) {
			continue
		}
		interval := farInterval
		if p.host.Region == g.cfg.Self.Region {
			interval = nearInterval
		}
		p.nextAt = r.now.Add(interval - nearInterval/4)
		g.send(p, r, g.encode(reportNews(g.report(r, p))))
	}
}

// report returns this host's report to p, with the starts since the last one. The
// caller holds the lock.
func (g *Broadcaster) report(r *round, p *peer) *aggregator.Report {
	rep := &aggregator.Report{Ready: r.message.Ready, InFlight: r.running, Usages: r.usages}
	rep.Dispatches, p.starts = g.cfg.Balancer.Dispatches(p.starts, maxStarts)
	return rep
}

// encode encodes news once for all who get it.
func (g *Broadcaster) encode(n *news) cbor.RawMessage {
	text, err := cbor.Marshal(n)
	if err != nil {
		g.cfg.Log.WithError(err).Error("news not encoded")
	}
	return text
}

// send tells one host some news, what is for it alone, and the age of the proof that
// the version is the newest. The caller holds the lock.
func (g *Broadcaster) send(p *peer, r *round, all ...cbor.RawMessage) {
	m := r.message
	m.News, m.Echo = all, p.echo
	if p.echo != 0 {
		m.Held = int64(g.cfg.Confirmer.Now().Since(p.held))
	}
	if r.proved {
		// Taken after Held, as a suspension in between must make the proof older.
		m.Age = int64(g.cfg.Confirmer.Now().Since(r.proof))
	}
	text, err := cbor.Marshal(&m)
	if err != nil {
		g.cfg.Log.WithError(err).Error("message not encoded")
		return
	}
	g.count(p, len(text))
	// A datagram that cannot be sent is as one that is lost.
	_, _ = g.cfg.Conn.WriteTo(text, p.addr)
}

// count adds a message to the counters.
func (g *Broadcaster) count(p *peer, bytes int) {
	g.traffic.Messages.Add(1)
	switch {
	case p.host.Zone == g.cfg.Self.Zone:
		g.traffic.IntraZoneBytes.Add(int64(bytes))
	case p.host.Region == g.cfg.Self.Region:
		g.traffic.InterZoneBytes.Add(int64(bytes))
	default:
		g.traffic.InterRegionBytes.Add(int64(bytes))
	}
}

// Rank returns the place of this host among those that are to ask the store, 0 being
// the first.
func (g *Broadcaster) Rank() int {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.large() {
		return g.zone.rank(g.cfg.Self.Zone, now)
	}
	rank := 0
	for _, p := range g.peers.byAddress {
		if g.alive(p, now) && p.host.Instance < g.cfg.Self.Instance {
			rank++
		}
	}
	return rank
}

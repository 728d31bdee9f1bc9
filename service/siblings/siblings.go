// Package siblings exchanges state between sibling entry hosts in UDP datagrams: their
// in-flight requests at targets, their usage of each workspace's rate limit, and how far
// the platform's store was when. Datagrams may be lost, as each one carries the current
// state, or counts since the start.
//
// In a fleet of up to 16 hosts each host sends to every other one. In a larger one, the
// hosts of an availability zone send reports to the zone's leader, which sends their sum
// to the leaders of the other zones, and all sums to the hosts of its own zone.
//
// The caller runs Receive in a goroutine and calls Tick at intervals of 100 ms. To
// stop, it closes Config.Conn and waits for Done.
package siblings

import (
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"gypsumbeam.example/gypsumbeam/pkg/aggregator"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

const (
	// In a fleet without leaders, regionInterval is the time between two messages to a host of the
	// same region, and crossRegionInterval to one of another region.
	regionInterval      = 100 * time.Millisecond
	crossRegionInterval = 200 * time.Millisecond
	// maxFlatHosts is the size of the largest fleet in which each host sends to every
	// other one. In larger fleets, zones have leaders.
	maxFlatHosts = 16
	// maxDispatches bounds the dispatches in a report.
	maxDispatches = 60
	// maxClockOrigin bounds the random start of a host's clock, so that it does not
	// overflow for years.
	maxClockOrigin = math.MaxInt64 / 2
	// silenceTimeout is the time without a message after which a host gets no more
	// callers. In a fleet with leaders it is longer by crossRegionSummaryInterval.
	silenceTimeout = 1200 * time.Millisecond
)

// State is this host's view of the platform's store.
type State interface {
	// Version returns the version of the configuration in force, or 0 if there is none.
	Version() uint64
	// Position returns the newest position of the store that this host knows of, by its
	// own calls or by what ObservePeer was told, and when the store was last proved to be no
	// further: all changes that it acknowledged before provenAt are in its history up to
	// position. The zero Timestamp means that this is not known of any time.
	Position() (position ids.Position, provenAt confirmer.Timestamp)
	// ObservePeer is called with the version, position and proof of another host, which may
	// be ahead of this one.
	ObservePeer(version uint64, position ids.Position, provenAt confirmer.Timestamp)
}

// Config is the configuration of a Broadcaster. All fields are required.
type Config struct {
	Self lister.Host
	// Conn carries the datagrams. The Broadcaster does not close it.
	Conn net.PacketConn
	// Hosts returns the known hosts; this host may be among them.
	Hosts func() []lister.Host
	// Ready reports whether this host accepts callers.
	Ready func() bool
	// ReachesTargets reports whether this host gets answers from targets.
	ReachesTargets func() bool
	State          State
	// Confirmer is the clock of all proofs.
	Confirmer *confirmer.Confirmer
	Balancer  *balancer.Balancer
	Throttler *throttler.Throttler
	Isolator  *isolator.Isolator
	Log       log.Interface
}

// Broadcaster sends this host's state to the other hosts and processes what they send.
// Its methods are safe for concurrent use, except that Receive must be called only
// once.
type Broadcaster struct {
	cfg       Config
	startedAt confirmer.Timestamp
	// clockOrigin is the start value of this process's clock. It is random, so that an
	// answer to an earlier process at the same address can be recognised.
	clockOrigin int64
	done        chan struct{}
	traffic     Traffic

	mu    sync.Mutex
	peers peers
	zone  zone
	// lastHeard is when the last message was received.
	lastHeard time.Time
}

// Traffic counts the sent messages and bytes. Its fields may be read at any time.
type Traffic struct {
	Messages atomic.Int64
	// IntraZoneBytes counts the bytes sent within the availability zone, InterZoneBytes
	// those to other zones of the region, and InterRegionBytes those to other regions.
	IntraZoneBytes, InterZoneBytes, InterRegionBytes atomic.Int64
}

// New returns a Broadcaster that does not run yet.
func New(cfg Config) *Broadcaster {
	now := time.Now()
	return &Broadcaster{
		cfg: cfg, startedAt: cfg.Confirmer.Now(), clockOrigin: rand.Int64N(maxClockOrigin), done: make(chan struct{}),
		peers: newPeers(), zone: newZone(delegatorHost(cfg.Self, true, true), now), lastHeard: now,
	}
}

// Done returns a channel that is closed once Receive has returned.
func (b *Broadcaster) Done() <-chan struct{} { return b.done }

// Traffic returns the counters of sent messages.
func (b *Broadcaster) Traffic() *Traffic { return &b.traffic }

// clock returns the time of this process's clock in nanoseconds. The clock counts
// suspensions.
func (b *Broadcaster) clock() int64 {
	return b.clockOrigin + int64(b.cfg.Confirmer.Now().Since(b.startedAt))
}

// hierarchical reports whether the fleet is so large that zones have leaders. The
// caller holds the lock.
func (b *Broadcaster) hierarchical() bool { return len(b.peers.byAddress) >= maxFlatHosts }

// silenceThreshold returns the time without a message after which a host counts as
// silent. The caller holds the lock.
func (b *Broadcaster) silenceThreshold() time.Duration {
	if b.hierarchical() {
		return silenceTimeout + crossRegionSummaryInterval
	}
	return silenceTimeout
}

// round is what this host sends in one round of messages.
type round struct {
	now      time.Time
	message  message
	provenAt confirmer.Timestamp
	inFlight []balancer.InFlight
	// usages is set only if a message with usages is due.
	usages []throttler.Usage
	// observations is the encoded section of targets' limits and suspected requests; nil
	// if there are none to tell.
	observations cbor.RawMessage
	// updates are the updates that this host gets from its own zone summary.
	updates []update
}

// Tick sends the messages that are due. It is to be called about every regionInterval.
func (b *Broadcaster) Tick() {
	// All state is read before the lock is taken, because its owners call the Broadcaster
	// while holding their own locks.
	r := &round{now: time.Now()}
	at, provenAt := b.cfg.State.Position()
	r.provenAt = provenAt
	r.message = message{
		From: b.cfg.Self.Instance, Version: b.cfg.State.Version(), Era: at.Era, Revision: at.Revision,
		Ready: b.cfg.Ready(), ReachesTargets: b.cfg.ReachesTargets(), ProofAge: -1,
	}
	r.inFlight = b.cfg.Balancer.InFlight()
	if limits, suspects := b.cfg.Balancer.Limits(), b.cfg.Isolator.Due(); len(limits)+len(suspects) > 0 {
		r.observations = b.encode(newObservationsSection(limits, suspects, r.now))
	}
	b.sendRound(r)
	for _, u := range r.updates {
		b.apply(u)
	}
}

// sendRound sends the messages that are due in a round.
func (b *Broadcaster) sendRound(r *round) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refreshPeers(r.now)
	// The clock is read before anything is sent, so that it is earlier than any answer
	// to this round.
	r.message.SentAt = b.clock()
	if b.hierarchical() {
		b.sendInZone(r)
		return
	}
	b.sendToAll(r)
}

// sendToAll sends to every other host that is due. The caller holds the lock.
func (b *Broadcaster) sendToAll(r *round) {
	r.usages = b.cfg.Throttler.Usages()
	for _, p := range b.peers.byAddress {
		if r.now.Before(p.nextSend) {
			continue
		}
		interval := crossRegionInterval
		if p.host.Region == b.cfg.Self.Region {
			interval = regionInterval
		}
		p.nextSend = r.now.Add(interval - regionInterval/4)
		b.send(p, r, b.encode(reportSection(b.report(r, p))))
	}
}

// report returns this host's report to p, with the dispatches since the previous one.
// The caller holds the lock.
func (b *Broadcaster) report(r *round, p *peer) *aggregator.Report {
	rep := &aggregator.Report{Ready: r.message.Ready, ReachesTargets: r.message.ReachesTargets, InFlight: r.inFlight, Usages: r.usages}
	rep.Dispatches, p.nextDispatch = b.cfg.Balancer.Dispatches(p.nextDispatch, maxDispatches)
	return rep
}

// encode encodes a section once for all recipients.
func (b *Broadcaster) encode(s any) cbor.RawMessage {
	data, err := cbor.Marshal(s)
	if err != nil {
		b.cfg.Log.WithError(err).Error("failed to encode a section; sending it empty")
	}
	return data
}

// send sends the given sections to one host, together with the echo of that host's last
// message and the age of the proof. The caller holds the lock.
func (b *Broadcaster) send(p *peer, r *round, sections ...cbor.RawMessage) {
	m := r.message
	m.Sections, m.EchoSentAt = sections, p.lastSentAt
	if r.observations != nil {
		m.Sections = append(slices.Clip(sections), r.observations)
	}
	if p.lastSentAt != 0 {
		m.EchoDelay = int64(b.cfg.Confirmer.Now().Since(p.receivedAt))
	}
	if !r.provenAt.IsZero() {
		// This is taken after EchoDelay, because a suspension in between must make the
		// proof older and not younger.
		m.ProofAge = int64(b.cfg.Confirmer.Now().Since(r.provenAt))
	}
	data, err := p.encode(&m)
	if err != nil {
		b.cfg.Log.WithError(err).Error("failed to encode a message; not sending it")
		return
	}
	b.countTraffic(p, len(data))
	// A datagram that cannot be sent is treated like a lost one.
	_, _ = b.cfg.Conn.WriteTo(data, p.addr)
}

// encode encodes a message in the form that the host understands.
func (p *peer) encode(m *message) ([]byte, error) {
	if p.older {
		return encodeOlder(m)
	}
	return cbor.Marshal(m)
}

// countTraffic adds a message to the traffic counters.
func (b *Broadcaster) countTraffic(p *peer, bytes int) {
	b.traffic.Messages.Add(1)
	switch {
	case p.host.Zone == b.cfg.Self.Zone:
		b.traffic.IntraZoneBytes.Add(int64(bytes))
	case p.host.Region == b.cfg.Self.Region:
		b.traffic.InterZoneBytes.Add(int64(bytes))
	default:
		b.traffic.InterRegionBytes.Add(int64(bytes))
	}
}

// Rank returns the position of this host in the order in which hosts ask the store for
// confirmations, 0 for the first.
func (b *Broadcaster) Rank() int {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hierarchical() {
		return b.zone.rank(b.cfg.Self.Zone, now)
	}
	rank := 0
	for _, p := range b.peers.byAddress {
		if b.alive(p, now) && p.host.Instance < b.cfg.Self.Instance {
			rank++
		}
	}
	return rank
}

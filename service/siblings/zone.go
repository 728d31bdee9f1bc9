package siblings

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"gypsumbeam.example/gypsumbeam/pkg/aggregator"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/delegator"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// maxFullRateZoneHosts is the number of hosts in an availability zone up to which
	// they send at regionInterval. In larger zones the interval grows in proportion.
	maxFullRateZoneHosts = 16
	// regionSummaryInterval is the time between two summaries to another zone of the
	// region, and crossRegionSummaryInterval to a zone of another region.
	regionSummaryInterval      = 200 * time.Millisecond
	crossRegionSummaryInterval = 400 * time.Millisecond
	// zonePropagationDelay is the maximum age of reports that arrive through leaders,
	// and zoneIsolationTimeout the maximum time until another leader takes over.
	zonePropagationDelay = 600 * time.Millisecond
	zoneIsolationTimeout = 1100 * time.Millisecond
	// hearingTimeout is the time without a message after which this host counts as
	// hearing no other.
	hearingTimeout = 600 * time.Millisecond
	// maxZoneDispatches bounds the dispatches in a summary.
	maxZoneDispatches = 200
	// maxBatchBytes bounds the sections in one message, unless a single section is
	// longer.
	maxBatchBytes = 6 << 10
	// aliveAge is the age up to which a host that is listed in a summary counts as
	// alive.
	aliveAge = time.Second
	// maxEchoDelay is the time since a leader last heard this host up to which its
	// summary is used.
	maxEchoDelay = time.Second
)

// zone is this host's state as leader or member of its zone.
type zone struct {
	delegator   *delegator.Delegator
	aggregator  aggregator.Aggregator
	sentReports sentReports
	// The numbers of the next dispatches to pass to the own aggregator, to the zone, to
	// the other zones of the region, and to other regions.
	nextOwnDispatch, nextZoneDispatch, nextRegionDispatch, nextCrossRegionDispatch uint64
	// nextSend, nextRegionSummary and nextCrossRegionSummary are the times at which the
	// next messages are due.
	nextSend, nextRegionSummary, nextCrossRegionSummary time.Time
	// relayQueue holds sections of other zones that are to be relayed to this zone.
	relayQueue []relayedSection
	// wasLeader tells whether this host led its zone in the last round.
	wasLeader bool
}

// relayedSection is a section that waits to be relayed.
type relayedSection struct {
	section    section
	receivedAt time.Time
}

func newZone(self delegator.Host, now time.Time) zone {
	return zone{delegator: delegator.New(self, now)}
}

// rank returns the position of this host in the order in which hosts ask the store for
// confirmations: first the leaders, in the order of their zones, then all others.
func (z *zone) rank(own ids.Zone, now time.Time) int {
	const (
		// step leaves time for a confirmation to arrive from another region.
		step = 2
		rest = 3
	)
	if !z.delegator.IsLeader() {
		return rest
	}
	before := 0
	for _, other := range z.delegator.ZonesHeard(now) {
		if other < own {
			before++
		}
	}
	return min(before*step, rest)
}

// sendInZone sends the messages that are due in a fleet whose zones have leaders. The
// caller holds the lock.
func (b *Broadcaster) sendInZone(r *round) {
	z := &b.zone
	if r.now.Before(z.nextSend) {
		return
	}
	z.delegator.Update(b.delegatorHosts(r.message.Ready, r.now), r.now.Sub(b.lastHeard) < hearingTimeout, r.now)
	zonePeers := z.delegator.ZonePeers()
	interval := time.Duration(float64(regionInterval) * max(float64(len(zonePeers)+1)/maxFullRateZoneHosts, 1))
	z.nextSend = r.now.Add(interval - regionInterval/4)
	r.usages = b.cfg.Throttler.Usages()
	z.sentReports.add(r.message.SentAt, r.inFlight, r.usages)
	for _, instance := range z.delegator.ReportRecipients() {
		if p := b.peers.byInstance[instance]; p != nil {
			b.send(p, r, b.encode(reportSection(b.report(r, p))))
		}
	}
	own := &aggregator.Report{Ready: r.message.Ready, ReachesTargets: r.message.ReachesTargets, InFlight: r.inFlight, Usages: r.usages}
	own.Dispatches, z.nextOwnDispatch = b.cfg.Balancer.Dispatches(z.nextOwnDispatch, maxDispatches)
	z.aggregator.AddReport(b.cfg.Self.Instance, own, r.now)
	if leading := z.delegator.IsLeader(); leading != z.wasLeader {
		z.wasLeader = leading
		b.cfg.Log.WithField("zone", string(b.cfg.Self.Zone)).WithField("speaks", leading).Info("leadership of this host in its zone changed")
	}
	if z.wasLeader {
		b.lead(r, zonePeers)
	} else {
		z.relayQueue = nil
	}
}

// lead sends all summaries to the own zone, and this zone's summary to the other zones.
// The caller holds the lock.
func (b *Broadcaster) lead(r *round, zonePeers []ids.Instance) {
	z := &b.zone
	summary := z.aggregator.Summary(r.now)
	var dispatches []balancer.Dispatch
	dispatches, z.nextZoneDispatch = z.aggregator.Dispatches(z.nextZoneDispatch, maxZoneDispatches)
	own := summarySection(b.cfg.Self.Zone, b.cfg.Self.Instance, &summary, dispatches)
	b.sendBatches(zonePeers, r, append([]cbor.RawMessage{b.encode(own)}, b.takeRelayed(r.now)...))
	b.applyOwnSummary(r, own)
	if !r.now.Before(z.nextRegionSummary) {
		z.nextRegionSummary = r.now.Add(regionSummaryInterval - regionInterval/4)
		b.sendSummary(r, &summary, true, &z.nextRegionDispatch)
	}
	if !r.now.Before(z.nextCrossRegionSummary) {
		z.nextCrossRegionSummary = r.now.Add(crossRegionSummaryInterval - regionInterval/4)
		b.sendSummary(r, &summary, false, &z.nextCrossRegionDispatch)
	}
}

// takeRelayed empties the relay queue and returns its sections, encoded. The caller
// holds the lock.
func (b *Broadcaster) takeRelayed(now time.Time) []cbor.RawMessage {
	var all []cbor.RawMessage
	for i := range b.zone.relayQueue {
		queued := &b.zone.relayQueue[i]
		queued.section.Age += int64(now.Sub(queued.receivedAt))
		all = append(all, b.encode(&queued.section))
	}
	b.zone.relayQueue = nil
	return all
}

// sendSummary sends the summary to the other zones of this region if inRegion is set,
// else to those of other regions. next is the number of the next dispatch to send
// there. The caller holds the lock.
func (b *Broadcaster) sendSummary(r *round, summary *aggregator.Summary, inRegion bool, next *uint64) {
	z := &b.zone
	var to []ids.Instance
	for _, other := range z.delegator.OtherZones() {
		for _, instance := range z.delegator.SummaryRecipients(other, r.now) {
			p := b.peers.byInstance[instance]
			if p != nil && (p.host.Region == b.cfg.Self.Region) == inRegion {
				to = append(to, instance)
			}
		}
	}
	if len(to) == 0 {
		return
	}
	var dispatches []balancer.Dispatch
	dispatches, *next = z.aggregator.Dispatches(*next, maxZoneDispatches)
	b.sendBatches(to, r, []cbor.RawMessage{b.encode(summarySection(b.cfg.Self.Zone, b.cfg.Self.Instance, summary, dispatches))})
}

// sendBatches sends the same sections to several hosts, in messages of bounded size.
// The caller holds the lock.
func (b *Broadcaster) sendBatches(to []ids.Instance, r *round, sections []cbor.RawMessage) {
	for len(sections) > 0 {
		n, size := 1, len(sections[0])
		for n < len(sections) && size+len(sections[n]) <= maxBatchBytes {
			size += len(sections[n])
			n++
		}
		for _, instance := range to {
			if p := b.peers.byInstance[instance]; p != nil {
				b.send(p, r, sections[:n]...)
			}
		}
		sections = sections[n:]
	}
}

// applyOwnSummary adds an update from this host's own summary of its zone to the round.
// The caller holds the lock.
func (b *Broadcaster) applyOwnSummary(r *round, own *section) {
	report, ok := b.zone.sentReports.find(r.message.SentAt)
	if !ok {
		return
	}
	r.updates = append(r.updates, b.ownZoneUpdate(own, report))
}

// ownZoneUpdate returns the update from a summary of this host's zone, without this
// host's own counts. The caller holds the lock.
func (b *Broadcaster) ownZoneUpdate(s *section, own *sentReport) update {
	r := s.report()
	r.InFlight = own.subtractInFlight(r.InFlight)
	r.Usages = own.subtractUsages(r.Usages)
	return update{ids.HostGroup(s.Zone), s.Source, max(s.aliveHosts(aliveAge)-1, 0), r}
}

// acceptSummary decides whether the summary of a zone is used. The caller holds the
// lock.
func (b *Broadcaster) acceptSummary(p *peer, m *message, s *section, now time.Time) (update, bool) {
	switch {
	case s.Zone == b.cfg.Self.Zone:
		return b.acceptOwnZone(p, m, s, now)
	case p.host.Zone == s.Zone:
		return b.acceptOtherZone(s, p.host.Instance, now, true)
	case p.host.Zone == b.cfg.Self.Zone:
		if leader, ok := b.zone.delegator.Leader(); !ok || leader != p.host.Instance {
			return update{}, false
		}
		return b.acceptOtherZone(s, s.Source, now.Add(-time.Duration(s.Age)), false)
	default:
		return update{}, false
	}
}

// acceptOwnZone accepts a summary of this host's zone from its leader if that has
// recently heard this host. The caller holds the lock.
func (b *Broadcaster) acceptOwnZone(p *peer, m *message, s *section, now time.Time) (update, bool) {
	own, ok := b.zone.sentReports.find(m.EchoSentAt)
	if !ok || time.Duration(m.EchoDelay) > maxEchoDelay || p.host.Zone != s.Zone {
		return update{}, false
	}
	b.zone.delegator.ObserveLeader(p.host.Instance, now)
	if leader, ok := b.zone.delegator.Leader(); !ok || leader != p.host.Instance {
		return update{}, false
	}
	b.recordHosts(s, now)
	return b.ownZoneUpdate(s, own), true
}

// acceptOtherZone accepts a summary of another zone from the leader of that zone.
// direct tells whether it came from that leader without a relay. The caller holds the
// lock.
func (b *Broadcaster) acceptOtherZone(s *section, source ids.Instance, at time.Time, direct bool) (update, bool) {
	if !b.zone.delegator.AcceptLeader(s.Zone, source, s.aliveHosts(aliveAge), at) {
		return update{}, false
	}
	b.recordHosts(s, at)
	if direct && b.zone.delegator.IsLeader() {
		b.zone.relayQueue = append(b.zone.relayQueue, relayedSection{*s, at})
	}
	return update{ids.HostGroup(s.Zone), source, s.aliveHosts(aliveAge), s.report()}, true
}

// recordHosts updates when the hosts of a zone were heard from, by a summary. The
// caller holds the lock.
func (b *Broadcaster) recordHosts(s *section, at time.Time) {
	for _, h := range s.Hosts {
		p := b.peers.byHash[h.InstanceHash]
		if p == nil || p.host.Zone != s.Zone {
			continue
		}
		if heard := at.Add(-time.Duration(h.Age) * time.Millisecond); heard.After(p.lastHeard) {
			p.lastHeard, p.ready, p.reachesTargets = heard, h.Ready, h.ReachesTargets
		}
	}
}

// Neighbour returns the address for peers of the host from which this one is to read
// the store's changes. It returns false if this host is to read them from the store
// itself.
func (b *Broadcaster) Neighbour() (string, bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hierarchical() {
		return "", false
	}
	d := b.zone.delegator
	leader, ok := d.Leader()
	if ok && d.IsLeader() {
		leader, ok = b.regionLeader(now)
	}
	p := b.peers.byInstance[leader]
	if !ok || p == nil || !b.alive(p, now) {
		return "", false
	}
	return p.host.PeersAddress, true
}

// regionLeader returns the leader of the first zone of the region that is heard from,
// or false if the own zone comes first. The caller holds the lock.
func (b *Broadcaster) regionLeader(now time.Time) (ids.Instance, bool) {
	for _, other := range b.zone.delegator.ZonesHeard(now) {
		if other >= b.cfg.Self.Zone {
			return "", false
		}
		leader, ok := b.zone.delegator.LeaderOf(other, now)
		if p := b.peers.byInstance[leader]; ok && p != nil && p.host.Region == b.cfg.Self.Region {
			return leader, true
		}
	}
	return "", false
}

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
	// zoneStretch is the size of an availability zone up to which its hosts tell
	// each other at nearInterval; in larger ones the interval grows with the size.
	zoneStretch = 16
	// neighbourInterval is the time between two sums to another zone of the region,
	// and abroadInterval to one of another region.
	neighbourInterval = 200 * time.Millisecond
	abroadInterval    = 400 * time.Millisecond
	// zoneLag is how old what hosts tell may be when it comes over other hosts, and
	// zonePatience how long the next speaker of a zone takes at most.
	zoneLag      = 600 * time.Millisecond
	zonePatience = 1100 * time.Millisecond
	// hearingTime is how long a host that hears nobody still speaks.
	hearingTime = 600 * time.Millisecond
	// maxZoneStarts bounds the starts in a sum.
	maxZoneStarts = 200
	// chunkBytes is how much news goes into one message, unless one piece is longer.
	chunkBytes = 6 << 10
	// livingTime is the age up to which a host that is named in a sum counts.
	livingTime = time.Second
	// hiddenTime is how long a speaker may not have heard this host.
	hiddenTime = time.Second
)

// zone is what a host needs to speak for its zone, or to listen to the one that does.
type zone struct {
	delegates *delegator.Delegator
	sums      aggregator.Aggregator
	own       ownReports
	// told are the numbers of the starts that were told: to the sums, the zone, the
	// other zones of the region, and other regions.
	toldOwn, toldZone, toldNeighbours, toldAbroad uint64
	// nextAt, nextNeighbours and nextAbroad are when the next messages are due.
	nextAt, nextNeighbours, nextAbroad time.Time
	// passOn is news of other zones that this zone has not been told.
	passOn []heldNews
	// spoke says that this host spoke in the last round.
	spoke bool
}

// heldNews is news that waits to be passed on.
type heldNews struct {
	news news
	at   time.Time
}

func newZone(self delegator.Host, now time.Time) zone {
	return zone{delegates: delegator.New(self, now)}
}

// rank returns the place of this host among those that are to ask the store: those
// that speak come first, in order of their zones.
func (z *zone) rank(own ids.Zone, now time.Time) int {
	const (
		// step leaves time for a proof to come from a far zone.
		step = 2
		rest = 5
	)
	if !z.delegates.IsLeader() {
		return rest
	}
	before := 0
	for _, other := range z.delegates.ZonesHeard(now) {
		if other < own {
			before++
		}
	}
	return before * step
}

// tellZone tells the hosts that are due in a large fleet. The caller holds the lock.
func (g *Broadcaster) tellZone(r *round) {
	z := &g.zone
	if r.now.Before(z.nextAt) {
		return
	}
	z.delegates.Update(g.members(r.message.Ready, r.now), r.now.Sub(g.lastHeard) < hearingTime, r.now)
	members := z.delegates.ZonePeers()
	interval := time.Duration(float64(nearInterval) * max(float64(len(members)+1)/zoneStretch, 1))
	z.nextAt = r.now.Add(interval - nearInterval/4)
	r.usages = g.cfg.Throttler.Usages()
	z.own.add(r.message.Sent, r.running, r.usages)
	for _, instance := range z.delegates.ReportRecipients() {
		if p := g.peers.byInstance[instance]; p != nil {
			g.send(p, r, g.encode(reportNews(g.report(r, p))))
		}
	}
	own := &aggregator.Report{Ready: r.message.Ready, InFlight: r.running, Usages: r.usages}
	own.Dispatches, z.toldOwn = g.cfg.Balancer.Dispatches(z.toldOwn, maxStarts)
	z.sums.AddReport(g.cfg.Self.Instance, own, r.now)
	if speaks := z.delegates.IsLeader(); speaks != z.spoke {
		z.spoke = speaks
		g.cfg.Log.WithField("zone", string(g.cfg.Self.Zone)).WithField("speaks", speaks).Info("speaker of the zone")
	}
	if z.spoke {
		g.speak(r, members)
	} else {
		z.passOn = nil
	}
}

// speak tells the own zone all sums, and the other zones the sum of this one. The
// caller holds the lock.
func (g *Broadcaster) speak(r *round, members []ids.Instance) {
	z := &g.zone
	sum := z.sums.Summary(r.now)
	var starts []balancer.Dispatch
	starts, z.toldZone = z.sums.Dispatches(z.toldZone, maxZoneStarts)
	own := sumNews(g.cfg.Self.Zone, g.cfg.Self.Instance, &sum, starts)
	g.sendAll(members, r, append([]cbor.RawMessage{g.encode(own)}, g.takePassOn(r.now)...))
	g.hearOwn(r, own)
	if !r.now.Before(z.nextNeighbours) {
		z.nextNeighbours = r.now.Add(neighbourInterval - nearInterval/4)
		g.tellOthers(r, &sum, true, &z.toldNeighbours)
	}
	if !r.now.Before(z.nextAbroad) {
		z.nextAbroad = r.now.Add(abroadInterval - nearInterval/4)
		g.tellOthers(r, &sum, false, &z.toldAbroad)
	}
}

// takePassOn returns the news of other zones that wait, encoded. The caller holds the
// lock.
func (g *Broadcaster) takePassOn(now time.Time) []cbor.RawMessage {
	var all []cbor.RawMessage
	for i := range g.zone.passOn {
		h := &g.zone.passOn[i]
		h.news.Age += int64(now.Sub(h.at))
		all = append(all, g.encode(&h.news))
	}
	g.zone.passOn = nil
	return all
}

// tellOthers tells the sum to the other zones of the region, or to those of other
// regions. The caller holds the lock.
func (g *Broadcaster) tellOthers(r *round, sum *aggregator.Summary, inRegion bool, told *uint64) {
	z := &g.zone
	var to []ids.Instance
	for _, other := range z.delegates.OtherZones() {
		for _, instance := range z.delegates.SummaryRecipients(other, r.now) {
			p := g.peers.byInstance[instance]
			if p != nil && (p.host.Region == g.cfg.Self.Region) == inRegion {
				to = append(to, instance)
			}
		}
	}
	if len(to) == 0 {
		return
	}
	var starts []balancer.Dispatch
	starts, *told = z.sums.Dispatches(*told, maxZoneStarts)
	g.sendAll(to, r, []cbor.RawMessage{g.encode(sumNews(g.cfg.Self.Zone, g.cfg.Self.Instance, sum, starts))})
}

// sendAll sends the same news to some hosts, in messages of bounded size. The caller
// holds the lock.
func (g *Broadcaster) sendAll(to []ids.Instance, r *round, all []cbor.RawMessage) {
	for len(all) > 0 {
		n, size := 1, len(all[0])
		for n < len(all) && size+len(all[n]) <= chunkBytes {
			size += len(all[n])
			n++
		}
		for _, instance := range to {
			if p := g.peers.byInstance[instance]; p != nil {
				g.send(p, r, all[:n]...)
			}
		}
		all = all[n:]
	}
}

// hearOwn takes over the sum that this host made itself. The caller holds the lock.
func (g *Broadcaster) hearOwn(r *round, own *news) {
	report, ok := g.zone.own.find(r.message.Sent)
	if !ok {
		return
	}
	r.words = append(r.words, g.ownZoneWord(own, report))
}

// ownZoneWord returns what the sum of the own zone says of the other hosts. The
// caller holds the lock.
func (g *Broadcaster) ownZoneWord(n *news, own *ownReport) word {
	r := n.report()
	r.InFlight = own.others(r.InFlight)
	r.Usages = own.othersUse(r.Usages)
	return word{ids.HostGroup(n.Zone), n.Source, max(n.living(livingTime)-1, 0), r}
}

// judgeSum decides whether the sum of a zone is believed. The caller holds the lock.
func (g *Broadcaster) judgeSum(p *peer, m *message, n *news, now time.Time) (word, bool) {
	switch {
	case n.Zone == g.cfg.Self.Zone:
		return g.judgeOwnZone(p, m, n, now)
	case p.host.Zone == n.Zone:
		return g.judgeOtherZone(n, p.host.Instance, now, true)
	case p.host.Zone == g.cfg.Self.Zone:
		if s, ok := g.zone.delegates.Leader(); !ok || s != p.host.Instance {
			return word{}, false
		}
		return g.judgeOtherZone(n, n.Source, now.Add(-time.Duration(n.Age)), false)
	default:
		return word{}, false
	}
}

// judgeOwnZone takes the word of the speaker of the own zone, if it hears this host.
// The caller holds the lock.
func (g *Broadcaster) judgeOwnZone(p *peer, m *message, n *news, now time.Time) (word, bool) {
	own, ok := g.zone.own.find(m.Echo)
	if !ok || time.Duration(m.Held) > hiddenTime || p.host.Zone != n.Zone {
		return word{}, false
	}
	g.zone.delegates.ObserveLeader(p.host.Instance, now)
	if s, ok := g.zone.delegates.Leader(); !ok || s != p.host.Instance {
		return word{}, false
	}
	g.note(n, now)
	return g.ownZoneWord(n, own), true
}

// judgeOtherZone takes the word of the speaker of another zone. The caller holds the
// lock.
func (g *Broadcaster) judgeOtherZone(n *news, source ids.Instance, at time.Time, direct bool) (word, bool) {
	if !g.zone.delegates.AcceptLeader(n.Zone, source, n.living(livingTime), at) {
		return word{}, false
	}
	g.note(n, at)
	if direct && g.zone.delegates.IsLeader() {
		g.zone.passOn = append(g.zone.passOn, heldNews{*n, at})
	}
	return word{ids.HostGroup(n.Zone), source, n.living(livingTime), n.report()}, true
}

// note takes over which hosts of a zone were heard. The caller holds the lock.
func (g *Broadcaster) note(n *news, at time.Time) {
	for _, h := range n.Hosts {
		p := g.peers.byShort[h.Host]
		if p == nil || p.host.Zone != n.Zone {
			continue
		}
		if heard := at.Add(-time.Duration(h.Age) * time.Millisecond); heard.After(p.heard) {
			p.heard, p.ready = heard, h.Ready
		}
	}
}

// Neighbour returns the host that this one is to read the store's changes from, by
// its address for siblings; false if it is to read the store itself.
func (g *Broadcaster) Neighbour() (string, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.large() {
		return "", false
	}
	d := g.zone.delegates
	speaker, ok := d.Leader()
	if ok && d.IsLeader() {
		speaker, ok = g.firstInRegion(now)
	}
	p := g.peers.byInstance[speaker]
	if !ok || p == nil || !g.alive(p, now) {
		return "", false
	}
	return p.host.PeersAddress, true
}

// firstInRegion returns the speaker of the first zone of the region that is heard,
// false if that is this host's own. The caller holds the lock.
func (g *Broadcaster) firstInRegion(now time.Time) (ids.Instance, bool) {
	for _, other := range g.zone.delegates.ZonesHeard(now) {
		if other >= g.cfg.Self.Zone {
			return "", false
		}
		s, ok := g.zone.delegates.LeaderOf(other, now)
		if p := g.peers.byInstance[s]; ok && p != nil && p.host.Region == g.cfg.Self.Region {
			return s, true
		}
	}
	return "", false
}

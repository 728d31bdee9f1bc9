package siblings

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"gypsumbeam.example/gypsumbeam/pkg/aggregator"
	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

// Receive processes messages until the connection is closed. It must be called only
// once.
func (b *Broadcaster) Receive() {
	defer close(b.done)
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := b.cfg.Conn.ReadFrom(buf)
		if err != nil {
			return
		}
		m, err := decodeMessage(buf[:n])
		if err != nil {
			b.cfg.Log.WithError(err).WithField("from", from.String()).Warn("invalid message; ignoring it")
			continue
		}
		b.handle(from.String(), m)
	}
}

// handle processes one message.
func (b *Broadcaster) handle(from string, m *message) {
	now := time.Now()
	b.mu.Lock()
	p := b.peers.byAddress[from]
	if p == nil || p.host.Instance != m.From {
		b.mu.Unlock()
		return // The sender is not registered, or no longer.
	}
	p.lastHeard, b.lastHeard = now, now
	p.ready, p.reachesTargets, p.older = m.Ready, m.ReachesTargets, m.older
	p.lastSentAt, p.receivedAt = m.SentAt, b.cfg.Confirmer.Now()
	updates := b.acceptAll(p, m, now)
	b.mu.Unlock()
	b.acceptObservations(p, m, now)
	b.observe(m)
	for _, u := range updates {
		b.apply(u)
	}
}

// observe takes over what the sender knows of the store.
func (b *Broadcaster) observe(m *message) {
	b.cfg.State.ObservePeer(m.Version, m.position(), b.provenAt(m))
}

// provenAt returns when the store was proved to be no further than the sender's position, or
// the zero Timestamp if that is not known. The message was sent later than the message of
// this host that it echoes, by at least the echo delay. So its age as computed by this
// host's own clock is never too low.
func (b *Broadcaster) provenAt(m *message) confirmer.Timestamp {
	if m.ProofAge < 0 || m.EchoDelay < 0 {
		return confirmer.Timestamp{}
	}
	echoTime := m.EchoSentAt + m.EchoDelay
	if m.EchoSentAt < b.clockOrigin || echoTime > b.clock() {
		return confirmer.Timestamp{} // It echoes a message of another process.
	}
	return b.startedAt.Add(time.Duration(echoTime - m.ProofAge - b.clockOrigin))
}

// update is the content of an accepted section.
type update struct {
	group  ids.HostGroup
	source ids.Instance
	hosts  int
	report aggregator.Report
}

// acceptAll returns the updates from the accepted sections of a message. The caller
// holds the lock.
func (b *Broadcaster) acceptAll(p *peer, m *message, now time.Time) []update {
	var all []update
	for _, data := range m.Sections {
		if isObservations(data) {
			continue
		}
		s, err := m.decodeSection(data)
		if err != nil {
			b.cfg.Log.WithError(err).WithField("from", p.host.PeersAddress).Warn("invalid section in message; ignoring the section")
			continue
		}
		if u, ok := b.accept(p, m, s, now); ok {
			all = append(all, u)
		}
	}
	return all
}

// acceptObservations takes in what a peer told about targets' limits and about requests
// that crash targets.
func (b *Broadcaster) acceptObservations(p *peer, m *message, now time.Time) {
	for _, data := range m.Sections {
		if !isObservations(data) {
			continue
		}
		var s observationsSection
		if err := cbor.Unmarshal(data, &s); err != nil {
			b.cfg.Log.WithError(err).WithField("from", p.host.PeersAddress).Warn("invalid observations in message; ignoring them")
			continue
		}
		b.cfg.Balancer.MergeLimits(s.limits(now))
		for i := range s.Suspects {
			b.cfg.Isolator.Observe(s.Suspects[i].observation(now))
		}
	}
}

// accept decides whether a section is used. A report to this host as leader of its zone
// goes to the aggregator. The caller holds the lock.
func (b *Broadcaster) accept(p *peer, m *message, s *section, now time.Time) (update, bool) {
	switch {
	case s.Zone != "":
		return b.acceptSummary(p, m, s, now)
	case b.hierarchical() && p.host.Zone == b.cfg.Self.Zone:
		r := s.report()
		r.Ready, r.ReachesTargets = m.Ready, m.ReachesTargets
		b.zone.aggregator.AddReport(p.host.Instance, &r, now)
		return update{}, false
	default:
		return update{ids.HostGroup(m.From), m.From, 1, s.report()}, true
	}
}

func (s *section) report() aggregator.Report {
	return aggregator.Report{InFlight: s.inFlight(), Dispatches: s.dispatches(), Usages: s.usages()}
}

// apply passes an update to the balancer and the throttler. It must be called without
// the lock.
func (b *Broadcaster) apply(u update) {
	b.cfg.Balancer.Merge(u.group, u.report.InFlight, u.report.Dispatches)
	b.cfg.Throttler.Merge(throttler.RemoteUsage{Group: u.group, Source: u.source, Hosts: u.hosts, Usages: u.report.Usages})
	b.mu.Lock()
	hierarchical := b.hierarchical()
	b.mu.Unlock()
	if hierarchical {
		b.cfg.Throttler.SetPropagationDelay(zonePropagationDelay, zoneIsolationTimeout)
		return
	}
	b.cfg.Throttler.SetPropagationDelay(crossRegionInterval, 0)
}

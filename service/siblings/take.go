package siblings

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"gypsumbeam.example/gypsumbeam/pkg/aggregator"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

// Receive takes messages until the connection is closed.
func (g *Broadcaster) Receive() {
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
func (g *Broadcaster) take(from string, m *message) {
	now := time.Now()
	g.mu.Lock()
	p := g.peers.byAddress[from]
	if p == nil || p.host.Instance != m.From {
		g.mu.Unlock()
		return // A host that is not registered, or no longer.
	}
	p.heard, g.lastHeard = now, now
	p.ready = m.Ready
	p.echo, p.held = m.Sent, g.cfg.Confirmer.Now()
	words := g.words(p, m, now)
	g.mu.Unlock()
	g.confirm(m)
	g.cfg.State.Behind(m.Version, m.position())
	for _, w := range words {
		g.absorb(w)
	}
}

// confirm takes over a proof that the configuration is the newest. The message
// was sent later than this host's own message that it answers, by at least the
// time for which the other host held that. So the proof is not older than this
// host can tell by its own clock.
func (g *Broadcaster) confirm(m *message) {
	if m.Age < 0 || m.Held < 0 || m.Version == 0 || !g.cfg.State.Proves(m.Version, m.position()) {
		return
	}
	answered := m.Echo + m.Held
	if m.Echo < g.origin || answered > g.clock() {
		return // It answers another process.
	}
	g.cfg.Confirmer.Confirm(g.begun.Add(time.Duration(answered - m.Age - g.origin)))
}

// word is news that this host believes.
type word struct {
	scope  ids.HostGroup
	source ids.Instance
	hosts  int
	report aggregator.Report
}

// words returns what of a message is to be believed. The caller holds the lock.
func (g *Broadcaster) words(p *peer, m *message, now time.Time) []word {
	var all []word
	for _, text := range m.News {
		var n news
		if err := cbor.Unmarshal(text, &n); err != nil {
			g.cfg.Log.WithError(err).WithField("from", p.host.PeersAddress).Warn("news ignored")
			continue
		}
		if w, ok := g.judge(p, m, &n, now); ok {
			all = append(all, w)
		}
	}
	return all
}

// judge decides whether news is believed. The caller holds the lock.
func (g *Broadcaster) judge(p *peer, m *message, n *news, now time.Time) (word, bool) {
	switch {
	case n.Zone != "":
		return g.judgeSum(p, m, n, now)
	case g.large() && p.host.Zone == g.cfg.Self.Zone:
		r := n.report()
		r.Ready = m.Ready
		g.zone.sums.AddReport(p.host.Instance, &r, now)
		return word{}, false
	default:
		return word{ids.HostGroup(m.From), m.From, 1, n.report()}, true
	}
}

func (n *news) report() aggregator.Report {
	return aggregator.Report{InFlight: n.running(), Dispatches: n.starts(), Usages: n.usages()}
}

// absorb takes over what is believed. It must be called without the lock.
func (g *Broadcaster) absorb(w word) {
	g.cfg.Balancer.Merge(w.scope, w.report.InFlight, w.report.Dispatches)
	g.cfg.Throttler.Merge(throttler.RemoteUsage{Group: w.scope, Source: w.source, Hosts: w.hosts, Usages: w.report.Usages})
	g.mu.Lock()
	large := g.large()
	g.mu.Unlock()
	if large {
		g.cfg.Throttler.SetPropagationDelay(zoneLag, zonePatience)
		return
	}
	g.cfg.Throttler.SetPropagationDelay(farInterval, 0)
}

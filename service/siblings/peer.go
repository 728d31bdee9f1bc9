package siblings

import (
	"net"
	"net/netip"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/delegator"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
)

// peer is another host.
type peer struct {
	host lister.Host
	addr net.Addr
	// lastHeard is when the host was last heard from, directly or through another host.
	lastHeard time.Time
	ready     bool
	// reachesTargets tells whether the host gets answers from targets.
	reachesTargets bool
	// older is set if the host speaks the older form of messages.
	older        bool
	loggedSilent bool
	// lastSentAt is the peer's clock when it sent its last message, and receivedAt when
	// that was received.
	lastSentAt   int64
	receivedAt   confirmer.Timestamp
	nextSend     time.Time
	nextDispatch uint64
}

// peers holds the other registered hosts, by different keys.
type peers struct {
	byAddress  map[string]*peer
	byInstance map[ids.Instance]*peer
	byHash     map[uint32]*peer
}

func newPeers() peers {
	return peers{make(map[string]*peer), make(map[ids.Instance]*peer), make(map[uint32]*peer)}
}

// put adds a host, in place of the one at its address.
func (ps *peers) put(h lister.Host, now time.Time) error {
	addr, err := netip.ParseAddrPort(h.PeersAddress)
	if err != nil {
		return err
	}
	ps.remove(h.PeersAddress)
	p := &peer{host: h, addr: net.UDPAddrFromAddrPort(addr), lastHeard: now, ready: true}
	ps.byAddress[h.PeersAddress] = p
	ps.byInstance[h.Instance] = p
	ps.byHash[instanceHash(h.Instance)] = p
	return nil
}

// remove drops the host at an address.
func (ps *peers) remove(address string) {
	p := ps.byAddress[address]
	if p == nil {
		return
	}
	delete(ps.byAddress, address)
	delete(ps.byInstance, p.host.Instance)
	delete(ps.byHash, instanceHash(p.host.Instance))
}

// refreshPeers updates the peers to the known hosts. The caller holds the lock.
func (b *Broadcaster) refreshPeers(now time.Time) {
	known := make(map[string]bool)
	for _, h := range b.cfg.Hosts() {
		known[h.PeersAddress] = true
		if h.PeersAddress == b.cfg.Self.PeersAddress {
			continue
		}
		if p := b.peers.byAddress[h.PeersAddress]; p != nil && p.host.Instance == h.Instance {
			continue
		}
		if err := b.peers.put(h, now); err != nil {
			b.cfg.Log.WithError(err).Warn("host has an invalid address for peers; ignoring the host")
		}
	}
	for address := range b.peers.byAddress {
		if !known[address] {
			b.peers.remove(address)
		}
	}
}

// alive reports whether a peer was heard from recently. The caller holds the lock.
func (b *Broadcaster) alive(p *peer, now time.Time) bool {
	return now.Sub(p.lastHeard) <= b.silenceThreshold()
}

// delegatorHosts returns all hosts, including this one, for the delegator. The caller
// holds the lock.
func (b *Broadcaster) delegatorHosts(ready bool, now time.Time) []delegator.Host {
	all := make([]delegator.Host, 0, len(b.peers.byAddress)+1)
	all = append(all, delegatorHost(b.cfg.Self, true, ready))
	for _, p := range b.peers.byAddress {
		all = append(all, delegatorHost(p.host, b.alive(p, now), p.ready))
	}
	return all
}

func delegatorHost(h lister.Host, alive, ready bool) delegator.Host {
	return delegator.Host{Instance: h.Instance, Zone: h.Zone, Capacity: h.Capacity, Alive: alive, Ready: ready}
}

// Unavailable returns the hosts that should get no callers because they are silent or
// not ready, by their addresses for callers. If no other host is heard from, all are
// returned: the caller has to consider that this host may be isolated instead.
func (b *Broadcaster) Unavailable() map[string]bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	unavailable := make(map[string]bool)
	for _, p := range b.peers.byAddress {
		silent := !b.alive(p, now)
		if silent != p.loggedSilent {
			p.loggedSilent = silent
			b.cfg.Log.WithField("host", p.host.CallersAddress).WithField("silent", silent).Warn("silence of host changed")
		}
		if silent || !p.ready {
			unavailable[p.host.CallersAddress] = true
		}
	}
	return unavailable
}

// Available returns the hosts that are heard from and accept callers, by their
// addresses for callers.
func (b *Broadcaster) Available() map[string]bool {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make(map[string]bool, len(b.peers.byAddress))
	for _, p := range b.peers.byAddress {
		if p.ready && b.alive(p, now) {
			all[p.host.CallersAddress] = true
		}
	}
	return all
}

// ReachingTargets returns the hosts that are heard from, accept callers and get answers from
// targets.
func (b *Broadcaster) ReachingTargets() []lister.Host {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var all []lister.Host
	for _, p := range b.peers.byAddress {
		if p.ready && p.reachesTargets && b.alive(p, now) {
			all = append(all, p.host)
		}
	}
	return all
}

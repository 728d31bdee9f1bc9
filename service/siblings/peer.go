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
	// heard is when it last told something, itself or through another host.
	heard  time.Time
	ready  bool
	silent bool
	// echo is its clock when it sent its last message, held when that came.
	echo   int64
	held   confirmer.Timestamp
	nextAt time.Time
	starts uint64
}

// peers holds the other hosts that are registered.
type peers struct {
	byAddress  map[string]*peer
	byInstance map[ids.Instance]*peer
	byShort    map[uint32]*peer
}

func newPeers() peers {
	return peers{make(map[string]*peer), make(map[ids.Instance]*peer), make(map[uint32]*peer)}
}

// put adds a host in place of the one at its address.
func (ps *peers) put(h lister.Host, now time.Time) error {
	addr, err := netip.ParseAddrPort(h.PeersAddress)
	if err != nil {
		return err
	}
	ps.remove(h.PeersAddress)
	p := &peer{host: h, addr: net.UDPAddrFromAddrPort(addr), heard: now, ready: true}
	ps.byAddress[h.PeersAddress] = p
	ps.byInstance[h.Instance] = p
	ps.byShort[shortName(h.Instance)] = p
	return nil
}

// remove forgets the host at an address.
func (ps *peers) remove(address string) {
	p := ps.byAddress[address]
	if p == nil {
		return
	}
	delete(ps.byAddress, address)
	delete(ps.byInstance, p.host.Instance)
	delete(ps.byShort, shortName(p.host.Instance))
}

// refresh takes the registered hosts over. The caller holds the lock.
func (g *Broadcaster) refresh(now time.Time) {
	known := make(map[string]bool)
	for _, h := range g.cfg.Hosts() {
		known[h.PeersAddress] = true
		if h.PeersAddress == g.cfg.Self.PeersAddress {
			continue
		}
		if p := g.peers.byAddress[h.PeersAddress]; p != nil && p.host.Instance == h.Instance {
			continue
		}
		if err := g.peers.put(h, now); err != nil {
			g.cfg.Log.WithError(err).Warn("host has no usable address")
		}
	}
	for address := range g.peers.byAddress {
		if !known[address] {
			g.peers.remove(address)
		}
	}
}

// alive reports whether a peer was heard lately. The caller holds the lock.
func (g *Broadcaster) alive(p *peer, now time.Time) bool { return now.Sub(p.heard) <= g.silence() }

// members returns all hosts for the delegator. The caller holds the lock.
func (g *Broadcaster) members(ready bool, now time.Time) []delegator.Host {
	all := make([]delegator.Host, 0, len(g.peers.byAddress)+1)
	all = append(all, delegatorHost(g.cfg.Self, true, ready))
	for _, p := range g.peers.byAddress {
		all = append(all, delegatorHost(p.host, g.alive(p, now), p.ready))
	}
	return all
}

func delegatorHost(h lister.Host, alive, ready bool) delegator.Host {
	return delegator.Host{Instance: h.Instance, Zone: h.Zone, Capacity: h.Capacity, Alive: alive, Ready: ready}
}

// Silent returns the hosts to which callers are not to be sent, by their
// addresses for callers. If no other host is heard of, this host is cut off and
// cannot tell.
func (g *Broadcaster) Unavailable() map[string]bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	silent := make(map[string]bool)
	for _, p := range g.peers.byAddress {
		quiet := !g.alive(p, now)
		if quiet != p.silent {
			p.silent = quiet
			g.cfg.Log.WithField("host", p.host.CallersAddress).WithField("silent", quiet).Warn("host heard of")
		}
		if quiet || !p.ready {
			silent[p.host.CallersAddress] = true
		}
	}
	return silent
}

// Answering returns the hosts that are heard of and take callers, by their addresses
// for callers.
func (g *Broadcaster) Available() map[string]bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make(map[string]bool, len(g.peers.byAddress))
	for _, p := range g.peers.byAddress {
		if p.ready && g.alive(p, now) {
			all[p.host.CallersAddress] = true
		}
	}
	return all
}

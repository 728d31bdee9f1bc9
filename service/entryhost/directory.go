package entryhost

import (
	"slices"
	"sync/atomic"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// directory looks up other hosts in the seat table and in the states received by
// gossip. It implements peers.Directory.
type directory struct {
	cfg   Config
	hosts func() []*peerpb.HostState
	table atomic.Pointer[seater.Table]
}

// peersAddress returns the address at which an instance listens for peers, and
// false if the instance is unknown.
func (d *directory) peersAddress(i ids.Instance) (string, bool) {
	if t := d.table.Load(); t != nil {
		for _, s := range t.Seats {
			if s.Holder == i {
				return s.PeersAddress, true
			}
		}
	}
	for _, h := range d.hosts() {
		if ids.Instance(h.GetInstance()) == i {
			return h.GetPeersAddress(), true
		}
	}
	return "", false
}

// peerAddresses returns the peer addresses of all other known hosts, each once, or
// the seeds if no other host is known.
func (d *directory) peerAddresses() []string {
	var all []string
	add := func(address string) {
		if address != "" && address != d.cfg.PeersAddress && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	if t := d.table.Load(); t != nil {
		for _, s := range t.Seats {
			add(s.PeersAddress)
		}
	}
	for _, h := range d.hosts() {
		add(h.GetPeersAddress())
	}
	if len(all) > 0 {
		return all
	}
	for _, s := range d.cfg.Seeds {
		add(s)
	}
	return all
}

// Region implements peers.Directory. The hosts are weighted by their free slots,
// and this host is left out.
func (d *directory) Region(r ids.Region) []peers.Host {
	var all []peers.Host
	for _, h := range d.hosts() {
		if ids.Region(h.GetRegion()) != r || !h.GetReady() || h.GetLeaving() {
			continue
		}
		if ids.Instance(h.GetInstance()) == d.cfg.Instance {
			continue
		}
		all = append(all, peerHost(h))
	}
	return all
}

// Instance implements peers.Directory.
func (d *directory) Instance(i ids.Instance) (peers.Host, bool) {
	for _, h := range d.hosts() {
		if ids.Instance(h.GetInstance()) == i {
			return peerHost(h), true
		}
	}
	return peers.Host{}, false
}

func peerHost(h *peerpb.HostState) peers.Host {
	var freeSlots float64
	for _, s := range h.GetServices() {
		freeSlots += max(0, float64(s.GetSlots())-float64(s.GetInFlight())-float64(s.GetWaiting()))
	}
	return peers.Host{
		Instance:     ids.Instance(h.GetInstance()),
		PeersAddress: h.GetPeersAddress(),
		Region:       ids.Region(h.GetRegion()),
		Weight:       freeSlots,
	}
}

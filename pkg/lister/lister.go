// Package lister keeps the list of entry hosts, and selects those that a caller should
// connect to.
package lister

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// maxAddresses is the maximum number of addresses in the result of a look-up.
const maxAddresses = 64

// Host describes an entry host.
type Host struct {
	// Instance identifies the run of the host's process.
	Instance ids.Instance `json:"instance"`
	// CallersAddress and PeersAddress are the addresses for callers and for other entry
	// hosts.
	CallersAddress string     `json:"callers"`
	PeersAddress   string     `json:"siblings"`
	Zone           ids.Zone   `json:"zone"`
	Region         ids.Region `json:"region"`
	// Capacity sorts hosts by the load they can take on for others; 0 means unknown.
	Capacity float64 `json:"capacity,omitempty"`
}

// Distance returns 0 for a host in the same availability zone, 1 in the same region and 2
// elsewhere.
func (h Host) Distance(other Host) int {
	switch {
	case h.Zone == other.Zone:
		return 0
	case h.Region == other.Region:
		return 1
	default:
		return 2
	}
}

// Others returns the other ones of the given hosts in random order, but the nearest ones
// first.
func (h Host) Others(all []Host) []Host {
	others := slices.DeleteFunc(slices.Clone(all), func(o Host) bool { return o.PeersAddress == h.PeersAddress })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	slices.SortStableFunc(others, func(a, b Host) int { return cmp.Compare(h.Distance(a), h.Distance(b)) })
	return others
}

// Lister holds the known hosts. The zero value is empty and ready for use, and its
// methods are safe for concurrent use.
type Lister struct {
	mu    sync.RWMutex
	hosts map[string]Host
	// unregistered holds the hosts that are known only because they are available.
	unregistered map[string]bool
	// self is this host, which is listed only while it is ready.
	self  Host
	ready bool
	// unavailable holds the hosts that are silent or not ready.
	unavailable map[string]bool
	// sorted holds the known hosts, sorted by address. It is replaced and never
	// modified.
	sorted []Host
}

// SetHosts replaces the known hosts by the registered ones and those that were known
// and are available, because registrations expire during an outage of the store. The
// keys of available are addresses for callers.
func (l *Lister) SetHosts(registered []Host, available map[string]bool) {
	hosts := make(map[string]Host, len(registered))
	unregistered := make(map[string]bool)
	for _, h := range registered {
		hosts[h.CallersAddress] = h
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, h := range l.hosts {
		if _, ok := hosts[address]; !ok && available[address] {
			hosts[address] = h
			unregistered[address] = true
		}
	}
	l.hosts, l.unregistered = hosts, unregistered
	l.sort()
}

// SetSelf sets the description of this host, and whether it accepts callers.
func (l *Lister) SetSelf(self Host, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == self && l.ready == ready {
		return
	}
	l.self, l.ready = self, ready
	l.sort()
}

// SetUnavailable replaces the hosts that are silent or not ready, by their addresses
// for callers. Those that are not registered either are dropped.
func (l *Lister) SetUnavailable(unavailable map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
	for address := range l.unregistered {
		if unavailable[address] {
			delete(l.unregistered, address)
			delete(l.hosts, address)
			l.sort()
		}
	}
}

// Hosts returns all known hosts, sorted by address, including this host while it is
// ready. The result must not be modified.
func (l *Lister) Hosts() []Host {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.sorted
}

// Count returns the number of known hosts.
func (l *Lister) Count() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.sorted)
}

// sort rebuilds the sorted list. The caller holds the lock.
func (l *Lister) sort() {
	all := make([]Host, 0, len(l.hosts)+1)
	for _, h := range l.hosts {
		all = append(all, h)
	}
	if _, ok := l.hosts[l.self.CallersAddress]; !ok && l.ready {
		all = append(all, l.self)
	}
	slices.SortFunc(all, func(a, b Host) int { return cmp.Compare(a.CallersAddress, b.CallersAddress) })
	l.sorted = all
}

// Addresses returns the addresses to which callers in a zone and region should connect:
// the available hosts of the zone, else of the region, else any.
func (l *Lister) Addresses(zone ids.Zone, region ids.Region) []string {
	var inZone, inRegion, elsewhere []string
	for _, h := range l.Hosts() {
		if !l.acceptsCallers(h) {
			continue
		}
		switch {
		case h.Zone == zone:
			inZone = append(inZone, h.CallersAddress)
		case h.Region == region:
			inRegion = append(inRegion, h.CallersAddress)
		default:
			elsewhere = append(elsewhere, h.CallersAddress)
		}
	}
	for _, list := range [][]string{inZone, inRegion, elsewhere} {
		if len(list) > 0 {
			return list[:min(len(list), maxAddresses)]
		}
	}
	return nil
}

func (l *Lister) acceptsCallers(h Host) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if h.CallersAddress == l.self.CallersAddress {
		return l.ready
	}
	return !l.unavailable[h.CallersAddress]
}

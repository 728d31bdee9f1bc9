// Package lister keeps the entry hosts that are known to live and names those
// that a caller is to connect to.
package lister

import (
	"cmp"
	"slices"
	"sync"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// maxAddresses is the most that one look-up names.
const maxAddresses = 64

// Host is one entry host.
type Host struct {
	// Instance names the run of its process.
	Instance ids.Instance `json:"instance"`
	// Callers and Siblings are the addresses at which callers and other entry
	// hosts reach it.
	CallersAddress string     `json:"callers"`
	PeersAddress   string     `json:"siblings"`
	Zone           ids.Zone   `json:"zone"`
	Region         ids.Region `json:"region"`
	// Capacity orders hosts by what they can do for others; 0 if it is not known.
	Capacity float64 `json:"capacity,omitempty"`
}

// Lister holds the hosts. The zero value is empty, and its methods may be
// called from several goroutines.
type Lister struct {
	mu    sync.RWMutex
	hosts map[string]Host
	// kept holds the hosts that are no longer registered, but answer.
	kept map[string]bool
	// self is this host, named only while it is ready.
	self  Host
	ready bool
	// silent holds the hosts that no longer answer their siblings, or are not
	// ready.
	silent map[string]bool
	// sorted holds the hosts that are known, in order of their addresses. It is
	// replaced, not changed.
	sorted []Host
}

// SetHosts replaces the hosts by those that are registered. Hosts that were known
// and answer stay: registrations expire while the store is away. Hosts are told by
// their addresses for callers.
func (l *Lister) SetHosts(registered []Host, answering map[string]bool) {
	hosts := make(map[string]Host, len(registered))
	kept := make(map[string]bool)
	for _, h := range registered {
		hosts[h.CallersAddress] = h
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, h := range l.hosts {
		if _, ok := hosts[address]; !ok && answering[address] {
			hosts[address] = h
			kept[address] = true
		}
	}
	l.hosts, l.kept = hosts, kept
	l.sort()
}

// SetSelf says who this host is, and whether it takes callers.
func (l *Lister) SetSelf(self Host, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.self == self && l.ready == ready {
		return
	}
	l.self, l.ready = self, ready
	l.sort()
}

// SetSilent replaces the hosts that no longer answer, or are not ready, by their
// addresses for callers. Those that are not registered either are forgotten.
func (l *Lister) SetUnavailable(silent map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
	for address := range l.kept {
		if silent[address] {
			delete(l.kept, address)
			delete(l.hosts, address)
			l.sort()
		}
	}
}

// Hosts returns all hosts that are known, in order of their addresses. This host
// is among them while it is ready. The result must not be changed.
func (l *Lister) Hosts() []Host {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.sorted
}

// Count returns how many hosts are known.
func (l *Lister) Count() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.sorted)
}

// sort brings the hosts in order. The caller holds the lock.
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

// Addresses returns where callers of a zone and region connect: to hosts of the
// zone, or of the region, or any, as far as there are some.
func (l *Lister) Addresses(zone ids.Zone, region ids.Region) []string {
	var inZone, inRegion, anywhere []string
	for _, h := range l.Hosts() {
		if !l.takes(h) {
			continue
		}
		switch {
		case h.Zone == zone:
			inZone = append(inZone, h.CallersAddress)
		case h.Region == region:
			inRegion = append(inRegion, h.CallersAddress)
		default:
			anywhere = append(anywhere, h.CallersAddress)
		}
	}
	for _, list := range [][]string{inZone, inRegion, anywhere} {
		if len(list) > 0 {
			return list[:min(len(list), maxAddresses)]
		}
	}
	return nil
}

func (l *Lister) takes(h Host) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if h.CallersAddress == l.self.CallersAddress {
		return l.ready
	}
	return !l.silent[h.CallersAddress]
}

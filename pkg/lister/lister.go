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
	Callers  string     `json:"callers"`
	Siblings string     `json:"siblings"`
	Zone     ids.Zone   `json:"zone"`
	Region   ids.Region `json:"region"`
}

// Lister holds the hosts. The zero value is empty, and its methods may be
// called from several goroutines.
type Lister struct {
	mu    sync.RWMutex
	hosts map[string]Host
	// self is this host's address for callers; it is named only while ready.
	self  string
	ready bool
	// silent holds the hosts that no longer answer their siblings.
	silent map[string]bool
}

// SetHosts replaces the hosts, by their addresses for callers.
func (l *Lister) SetHosts(all []Host) {
	hosts := make(map[string]Host, len(all))
	for _, h := range all {
		hosts[h.Callers] = h
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
}

// SetSelf says at which address this host takes callers, and whether it does.
func (l *Lister) SetSelf(address string, ready bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self, l.ready = address, ready
}

// SetSilent replaces the hosts that no longer answer, by their addresses for
// callers.
func (l *Lister) SetSilent(silent map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = silent
}

// Hosts returns all hosts that are known, in order of their addresses.
func (l *Lister) Hosts() []Host {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]Host, 0, len(l.hosts))
	for _, h := range l.hosts {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b Host) int { return cmp.Compare(a.Callers, b.Callers) })
	return all
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
			inZone = append(inZone, h.Callers)
		case h.Region == region:
			inRegion = append(inRegion, h.Callers)
		default:
			anywhere = append(anywhere, h.Callers)
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
	if h.Callers == l.self {
		return l.ready
	}
	return !l.silent[h.Callers]
}

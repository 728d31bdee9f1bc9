package gatewayhost

import (
	"slices"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/pacer"
)

// layout tells how this host stands among all hosts, which are grouped by availability
// zone. It is the same on all hosts that know the same hosts.
type layout struct {
	zones []ids.Zone
	// counts holds the number of hosts of each zone.
	counts []float64
	self   pacer.Place
}

// newLayout returns the layout of the hosts, of which self is the index of this one.
func newLayout(self int, hosts []lister.Host) layout {
	var l layout
	for _, h := range hosts {
		if i, found := slices.BinarySearch(l.zones, h.Zone); !found {
			l.zones = slices.Insert(l.zones, i, h.Zone)
		}
	}
	l.counts = make([]float64, len(l.zones))
	for i, h := range hosts {
		zone, _ := slices.BinarySearch(l.zones, h.Zone)
		if i == self {
			l.self.Group, l.self.Member = zone, int(l.counts[zone])
		}
		l.counts[zone]++
	}
	l.self.Members = int(l.counts[l.self.Group])
	return l
}

// equalShare returns this host's share where all hosts have equal ones.
func (l layout) equalShare() pacer.Share { return pacer.ShareOf(l.self, l.counts) }

package gatewayhost

import (
	"maps"
	"slices"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/pacer"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

const (
	// demandSmoothing is the weight of a new figure in the moving average of a demand.
	demandSmoothing = 0.02
	// minHostWeight is added to the demand of a zone for each of its hosts, in requests per
	// second, so that hosts without callers have a share too.
	minHostWeight = 0.5
	// ownDelay is the number of updates for which this host's own demand is held back.
	// Otherwise each host would see its own demand grow before that of the others, and
	// their shares would add up to more than the whole.
	ownDelay = 5
)

// apportioner divides the limits of a service's targets among the hosts, in proportion to
// the demand in their availability zones.
type apportioner struct {
	throttler *throttler.Throttler
	services  map[ids.Service]*serviceDemand
}

// serviceDemand is the demand for a service, in requests per second.
type serviceDemand struct {
	// mean is the moving average by host group.
	mean map[ids.HostGroup]float64
	// own holds this host's demand of the last updates, the oldest first.
	own [ownDelay]float64
}

// share returns the share that the host with an index has of the limits of a service.
// Hosts that are silent keep their shares, as they may be sending.
func (a *apportioner) share(service ids.Service, self int, hosts []lister.Host) pacer.Share {
	mean := a.update(service, hosts[self], hosts)
	demand := make(map[ids.Zone]float64)
	for _, h := range hosts {
		demand[h.Zone] += mean[ids.HostGroup(h.Instance)]
	}
	l := newLayout(self, hosts)
	weights := make([]float64, len(l.zones))
	for i, zone := range l.zones {
		weights[i] = demand[zone] + mean[ids.HostGroup(zone)] + minHostWeight*l.counts[i]
	}
	return pacer.ShareOf(l.self, weights)
}

// update takes in the demand that the host groups report, and returns its moving averages.
// That of a group that no longer reports stays as it was until its hosts are no longer
// registered.
func (a *apportioner) update(service ids.Service, self lister.Host, hosts []lister.Host) map[ids.HostGroup]float64 {
	if a.services == nil {
		a.services = make(map[ids.Service]*serviceDemand)
	}
	d := a.services[service]
	if d == nil {
		d = &serviceDemand{mean: make(map[ids.HostGroup]float64)}
		a.services[service] = d
	}
	own, reported := a.throttler.Demand(throttler.HashService(service))
	reported[ids.HostGroup(self.Instance)] = d.own[0]
	copy(d.own[:], d.own[1:])
	d.own[ownDelay-1] = own
	registered := groups(self, hosts, reported)
	maps.DeleteFunc(d.mean, func(group ids.HostGroup, _ float64) bool { return !registered[group] })
	for group, demand := range reported {
		if registered[group] {
			d.mean[group] += demandSmoothing * (demand - d.mean[group])
		}
	}
	return d.mean
}

// groups returns the groups in which the hosts report. Where zones report, hosts do not,
// except this one.
func groups(self lister.Host, hosts []lister.Host, reported map[ids.HostGroup]float64) map[ids.HostGroup]bool {
	all := make(map[ids.HostGroup]bool)
	byZone := false
	for _, h := range hosts {
		zone := ids.HostGroup(h.Zone)
		_, reports := reported[zone]
		byZone = byZone || reports
		all[zone] = true
	}
	for _, h := range hosts {
		if !byZone || h.Instance == self.Instance {
			all[ids.HostGroup(h.Instance)] = true
		}
	}
	return all
}

// forget drops the demand for services without limits.
func (a *apportioner) forget(limited []ids.Service) {
	maps.DeleteFunc(a.services, func(s ids.Service, _ *serviceDemand) bool { return !slices.Contains(limited, s) })
}

package slopes

import (
	"fmt"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// fleetSize is the size of a measured fleet.
type fleetSize struct {
	hosts      int
	workspaces int
	services   int
	upstreams  int
}

// baseSize returns the size that each series varies a part of.
func baseSize() fleetSize { return fleetSize{hosts: 6, workspaces: 20, services: 3, upstreams: 12} }

// The properties that all measured fleets share. requestRate is in requests per
// second.
const (
	regionCount    = 3
	slotsPerTarget = 4
	requestRate    = 50
	requestBurst   = 100
)

// document returns the configuration of a fleet with one seat for each host.
func (s fleetSize) document() *config.Document {
	doc := &config.Document{
		Fleet:   "slopes",
		Presets: []config.Preset{{Name: "ordinary"}},
		Preset:  "ordinary",
	}
	for r, n := range s.hostsPerRegion() {
		name := regionName(r)
		doc.Regions = append(doc.Regions, config.Region{
			Name:  name,
			Zones: []ids.Zone{ids.Zone(name + "-a"), ids.Zone(name + "-b")},
			Seats: n,
		})
	}
	for i := range s.services {
		doc.Services = append(doc.Services, config.Service{Name: serviceName(i), Slots: slotsPerTarget})
	}
	for i := range s.upstreams {
		r := regionName(i / s.services % regionCount)
		svc := &doc.Services[i%s.services]
		svc.Upstreams = append(svc.Upstreams, config.Upstream{
			Name:   ids.Target(fmt.Sprintf("target-%04d", i)),
			Region: r,
			Zone:   ids.Zone(r + "-a"),
		})
	}
	for i := range s.workspaces {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{
			Name: ids.Workspace(fmt.Sprintf("workspace-%04d", i)), Rate: requestRate, Burst: requestBurst,
		})
	}
	return doc
}

// hostsPerRegion returns the number of hosts in each region.
func (s fleetSize) hostsPerRegion() []int {
	all := make([]int, regionCount)
	for i := range s.hosts {
		all[i%regionCount]++
	}
	return all
}

func regionName(i int) ids.Region { return ids.Region(fmt.Sprintf("region-%02d", i)) }

func serviceName(i int) ids.Service { return ids.Service(fmt.Sprintf("service-%02d", i)) }

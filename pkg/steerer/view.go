package steerer

import (
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// serviceRegion identifies a service in a region.
type serviceRegion struct {
	svc    ids.Service
	region ids.Region
}

// regionLoad is the sum of what the hosts of a region report for a service, in
// slots.
type regionLoad struct {
	slots    float64
	inFlight float64
	waiting  float64
}

// utilisation returns the requests in flight and waiting per live slot.
func (l regionLoad) utilisation() float64 {
	if l.slots == 0 {
		return 0
	}
	return (l.inFlight + l.waiting) / l.slots
}

// headroom returns a factor for how fast the region may gain traffic: 1 up to
// spillBelow, falling to 0 at spillAbove.
func (l regionLoad) headroom() float64 {
	return min(max((spillAbove-l.utilisation())/(spillAbove-spillBelow), 0), 1)
}

// fleetView is the state of the fleet in one step.
type fleetView struct {
	// configuredSlots counts the slots of the configured upstreams.
	configuredSlots map[serviceRegion]float64
	loads           map[serviceRegion]regionLoad
	// startupOver means that a region without reports is dead.
	startupOver bool
}

func newFleetView(snap *config.Snapshot, hosts []*peerpb.HostState) *fleetView {
	v := &fleetView{configuredSlots: make(map[serviceRegion]float64), loads: make(map[serviceRegion]regionLoad)}
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		for _, u := range svc.Upstreams {
			v.configuredSlots[serviceRegion{svc.Name, u.Region}] += float64(svc.Slots)
		}
	}
	for _, h := range hosts {
		if !usable(h) {
			continue
		}
		for _, r := range h.GetServices() {
			p := serviceRegion{ids.Service(r.GetService()), ids.Region(h.GetRegion())}
			l := v.loads[p]
			l.slots += float64(r.GetSlots())
			l.inFlight += float64(r.GetInFlight())
			l.waiting += float64(r.GetWaiting())
			v.loads[p] = l
		}
	}
	return v
}

// liveSlots returns the slots of the region that hosts report, but no more than
// are configured.
func (v *fleetView) liveSlots(p serviceRegion) float64 {
	return min(v.configuredSlots[p], v.loads[p].slots)
}

// alive reports whether the region has live slots of the service. During startup
// all regions count as alive.
func (v *fleetView) alive(svc ids.Service, r ids.Region) bool {
	return !v.startupOver || v.loads[serviceRegion{svc, r}].slots > 0
}

// usable reports whether callers may be sent to the host.
func usable(h *peerpb.HostState) bool { return h.GetReady() && !h.GetLeaving() }

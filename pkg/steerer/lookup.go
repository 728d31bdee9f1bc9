package steerer

import (
	"maps"
	"math"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const (
	// loadIndependentShare is the share of a host's weight that does not depend
	// on its load, so that callers that act on stale reports do not all move at
	// once.
	loadIndependentShare = 0.5
	// minHostWeight is the weight of a host that reports no slots.
	minHostWeight = 0.1
	// freeShareWindow is the time over which the free share of a host's slots is
	// smoothed: longer than callers cache look-ups.
	freeShareWindow = 15 * time.Second
)

// hostLoads holds the load of each service at each host.
type hostLoads map[hostService]*hostLoad

// hostLoad is the number of a host's slots of a service and their smoothed free
// share.
type hostLoad struct {
	slots, freeShare float64
}

// hostService identifies a service at a host.
type hostService struct {
	host string
	svc  ids.Service
}

// update adds the hosts' present reports to the smoothed loads and deletes those
// of hosts that are gone.
func (hl hostLoads) update(hosts []*peerpb.HostState, elapsed time.Duration) {
	gain := min(1, elapsed.Seconds()/freeShareWindow.Seconds())
	seen := make(map[hostService]bool, len(hl))
	for _, h := range hosts {
		for _, r := range h.GetServices() {
			k := hostService{h.GetInstance(), ids.Service(r.GetService())}
			seen[k] = true
			l := hl[k]
			if l == nil {
				l = &hostLoad{freeShare: freeShare(r)}
				hl[k] = l
			}
			l.slots = float64(r.GetSlots())
			l.freeShare += gain * (freeShare(r) - l.freeShare)
		}
	}
	maps.DeleteFunc(hl, func(k hostService, _ *hostLoad) bool { return !seen[k] })
}

// freeShare returns the share of the host's slots that is free.
func freeShare(r *peerpb.ServiceReport) float64 {
	if r.GetSlots() == 0 {
		return 0
	}
	return max(0, 1-(float64(r.GetInFlight())+float64(r.GetWaiting()))/float64(r.GetSlots()))
}

// weight returns a host's weight within its region: its number of slots, scaled
// down by at most 1-loadIndependentShare as they fill.
func (hl hostLoads) weight(h *peerpb.HostState, svc ids.Service) float64 {
	l := hl[hostService{h.GetInstance(), svc}]
	if l == nil || l.slots == 0 {
		return minHostWeight
	}
	return l.slots * (loadIndependentShare + (1-loadIndependentShare)*l.freeShare)
}

// lookupTable is an immutable table of look-up responses.
type lookupTable struct {
	snap   *config.Snapshot
	byFlow map[flow]*callers.LookupResponse
	// liveSlots holds the reported slots, for regions that have any.
	liveSlots map[serviceRegion]uint32
	shares    map[flow]map[ids.Region]float64
}

func newLookupTable(snap *config.Snapshot, hosts []*peerpb.HostState, splits trafficSplits, loads hostLoads) *lookupTable {
	t := &lookupTable{
		snap:      snap,
		byFlow:    make(map[flow]*callers.LookupResponse),
		liveSlots: make(map[serviceRegion]uint32),
		shares:    make(map[flow]map[ids.Region]float64),
	}
	byRegion := make(map[ids.Region][]*peerpb.HostState)
	for _, h := range hosts {
		if usable(h) {
			r := ids.Region(h.GetRegion())
			byRegion[r] = append(byRegion[r], h)
		}
	}
	for _, h := range hosts {
		for _, s := range h.GetServices() {
			if usable(h) && s.GetSlots() > 0 {
				t.liveSlots[serviceRegion{ids.Service(s.GetService()), ids.Region(h.GetRegion())}] += s.GetSlots()
			}
		}
	}
	for f, split := range splits {
		t.shares[f] = maps.Clone(split.shares)
		t.byFlow[f] = newLookupResponse(snap, f, t.reachable(f.svc, t.shares[f], byRegion), byRegion, loads)
	}
	return t
}

// reachable returns the shares if any of their regions has hosts. If none has,
// it returns equal shares for all regions that serve, since a region counts as
// dead only some time after its hosts have gone.
func (t *lookupTable) reachable(svc ids.Service, shares map[ids.Region]float64, byRegion map[ids.Region][]*peerpb.HostState) map[ids.Region]float64 {
	for r := range shares {
		if len(byRegion[r]) > 0 {
			return shares
		}
	}
	others := make(map[ids.Region]float64)
	for r := range byRegion {
		if t.liveSlots[serviceRegion{svc, r}] > 0 && !t.snap.RegionDrained(r) {
			others[r] = 1
		}
	}
	normalise(others)
	return others
}

// newLookupResponse returns the look-up response for a flow. A host's weight is
// its region's share times the host's part of the weights in its region.
func newLookupResponse(snap *config.Snapshot, f flow, shares map[ids.Region]float64, byRegion map[ids.Region][]*peerpb.HostState, loads hostLoads) *callers.LookupResponse {
	resp := &callers.LookupResponse{
		Service:  f.svc,
		Region:   f.from,
		TTLMs:    snap.Document.Limits.LookupTTL().Milliseconds(),
		Revision: snap.Revision,
	}
	for _, r := range sortedRegions(shares) {
		var total float64
		for _, h := range byRegion[r] {
			total += loads.weight(h, f.svc)
		}
		for _, h := range byRegion[r] {
			resp.EntryHosts = append(resp.EntryHosts, callers.EntryHost{
				Address:           h.GetCallersAddress(),
				Region:            r,
				Zone:              ids.Zone(h.GetZone()),
				Weight:            shares[r] * loads.weight(h, f.svc) / total,
				IdempotencyPrefix: h.GetIdempotencyPrefix(),
			})
		}
	}
	return resp
}

// lookup returns the response for callers in region. Its error is a
// *refusal.Refusal.
func (t *lookupTable) lookup(svc ids.Service, region ids.Region) (*callers.LookupResponse, error) {
	if resp, ok := t.byFlow[flow{svc, region}]; ok {
		if len(resp.EntryHosts) == 0 {
			return nil, refusal.Unavailable(refusal.CodeNotServing, "no entry host is ready", DefaultInterval)
		}
		return resp, nil
	}
	if _, ok := t.snap.Service(svc); !ok {
		return nil, unknownService(svc)
	}
	return nil, unknownRegion(region)
}

// route returns the region for a request received in the region here: that
// region while it serves, unless it is drained and its share of the flow is zero.
func (t *lookupTable) route(svc ids.Service, origin, here ids.Region) ids.Region {
	if t.liveSlots[serviceRegion{svc, here}] > 0 && !t.drainedAway(svc, origin, here) {
		return here
	}
	if other, ok := t.failoverRegion(svc, origin, here); ok {
		return other
	}
	return here
}

// drainedAway reports whether the region is drained and has no share of the flow
// left.
func (t *lookupTable) drainedAway(svc ids.Service, origin, r ids.Region) bool {
	return t.snap.RegionDrained(r) && t.shares[flow{svc, origin}][r] < negligible
}

// failoverRegion returns the best region other than here: the caller's own, where
// the shift cap does not apply to it, else the one with the largest share, else
// the one with the most slots. It returns false if no other region serves.
func (t *lookupTable) failoverRegion(svc ids.Service, origin, here ids.Region) (ids.Region, bool) {
	if origin == "" {
		origin = here
	}
	shares := t.shares[flow{svc, origin}]
	var best ids.Region
	var bestScore float64
	for _, r := range t.snap.Document.Regions {
		slots := t.liveSlots[serviceRegion{svc, r.Name}]
		// Shares take precedence over slots, which are scaled to far below 1.
		score := shares[r.Name] + float64(slots)/math.MaxUint32
		if r.Name == origin {
			score += 2 // More than a share and the slots can add up to.
		}
		if r.Name == here || slots == 0 || t.drainedAway(svc, origin, r.Name) {
			continue
		}
		if score > bestScore {
			best = r.Name
			bestScore = score
		}
	}
	return best, best != ""
}

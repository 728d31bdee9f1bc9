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
	// evenPart is the part of a host's weight that does not depend on its load,
	// so that callers who follow late reports do not all move at once.
	evenPart = 0.5
	// minSlots stands for the slots of a host that reports none.
	minSlots = 0.1
	// spareTime is the time over which the free part of a host's slots is
	// smoothed: longer than callers keep look-ups.
	spareTime = 15 * time.Second
)

// spares holds what each host has of each service.
type spares map[hostService]*spare

// spare is a host's slots of a service, and the smoothed free part of them.
type spare struct {
	slots, free float64
}

// hostService names a service at a host.
type hostService struct {
	host string
	svc  ids.Service
}

// update smooths what the hosts report now, and forgets hosts that are gone.
func (s spares) update(hosts []*peerpb.HostState, elapsed time.Duration) {
	gain := min(1, elapsed.Seconds()/spareTime.Seconds())
	seen := make(map[hostService]bool, len(s))
	for _, h := range hosts {
		for _, r := range h.GetServices() {
			k := hostService{h.GetInstance(), ids.Service(r.GetService())}
			seen[k] = true
			one := s[k]
			if one == nil {
				one = &spare{free: free(r)}
				s[k] = one
			}
			one.slots = float64(r.GetSlots())
			one.free += gain * (free(r) - one.free)
		}
	}
	maps.DeleteFunc(s, func(k hostService, _ *spare) bool { return !seen[k] })
}

// free returns the part of the host's slots that is free.
func free(r *peerpb.ServiceReport) float64 {
	if r.GetSlots() == 0 {
		return 0
	}
	return max(0, 1-(float64(r.GetInFlight())+float64(r.GetWaiting()))/float64(r.GetSlots()))
}

// weight returns a host's weight in its region: its slots, with a part that
// follows how many of them are free.
func (s spares) weight(h *peerpb.HostState, svc ids.Service) float64 {
	one := s[hostService{h.GetInstance(), svc}]
	if one == nil || one.slots == 0 {
		return minSlots
	}
	return one.slots * (evenPart + (1-evenPart)*one.free)
}

// answers is one immutable table of look-up answers.
type answers struct {
	snap   *config.Snapshot
	byFlow map[flow]*callers.LookupResponse
	// serving holds the live slots of the regions that serve a service.
	serving map[pair]uint32
	shares  map[flow]map[ids.Region]float64
}

func newAnswers(snap *config.Snapshot, hosts []*peerpb.HostState, w weights, free spares) *answers {
	a := &answers{
		snap:    snap,
		byFlow:  make(map[flow]*callers.LookupResponse),
		serving: make(map[pair]uint32),
		shares:  make(map[flow]map[ids.Region]float64),
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
				a.serving[pair{ids.Service(s.GetService()), ids.Region(h.GetRegion())}] += s.GetSlots()
			}
		}
	}
	for f, d := range w {
		a.shares[f] = maps.Clone(d.shares)
		a.byFlow[f] = newAnswer(snap, f, a.reachable(f.svc, a.shares[f], byRegion), byRegion, free)
	}
	return a
}

// reachable returns the shares of the regions that have hosts, or if none has,
// equal shares of all other regions that serve: a region that went away is
// known to be dead only after a while.
func (a *answers) reachable(svc ids.Service, shares map[ids.Region]float64, byRegion map[ids.Region][]*peerpb.HostState) map[ids.Region]float64 {
	for r := range shares {
		if len(byRegion[r]) > 0 {
			return shares
		}
	}
	others := make(map[ids.Region]float64)
	for r := range byRegion {
		if a.serving[pair{svc, r}] > 0 && !a.snap.RegionDrained(r) {
			others[r] = 1
		}
	}
	normalise(others)
	return others
}

// newAnswer lists the hosts of the regions that serve a flow. A host's weight
// is its region's share times its part of the region's weights.
func newAnswer(snap *config.Snapshot, f flow, shares map[ids.Region]float64, byRegion map[ids.Region][]*peerpb.HostState, free spares) *callers.LookupResponse {
	answer := &callers.LookupResponse{
		Service:  f.svc,
		Region:   f.from,
		TTLMs:    snap.Document.Limits.LookupTTL().Milliseconds(),
		Revision: snap.Revision,
	}
	for _, r := range sorted(shares) {
		var total float64
		for _, h := range byRegion[r] {
			total += free.weight(h, f.svc)
		}
		for _, h := range byRegion[r] {
			answer.EntryHosts = append(answer.EntryHosts, callers.EntryHost{
				Address:           h.GetCallersAddress(),
				Region:            r,
				Zone:              ids.Zone(h.GetZone()),
				Weight:            shares[r] * free.weight(h, f.svc) / total,
				IdempotencyPrefix: h.GetIdempotencyPrefix(),
			})
		}
	}
	return answer
}

// lookup returns the answer of a flow.
func (a *answers) lookup(svc ids.Service, region ids.Region) (*callers.LookupResponse, error) {
	if answer, ok := a.byFlow[flow{svc, region}]; ok {
		if len(answer.EntryHosts) == 0 {
			return nil, refusal.Unavailable(refusal.CodeNotServing, "no entry host is ready", DefaultInterval)
		}
		return answer, nil
	}
	if _, ok := a.snap.Service(svc); !ok {
		return nil, unknownService(svc)
	}
	return nil, unknownRegion(region)
}

// route returns the region for a request that came in at region here: this one
// while it serves, unless it is drained and its part of the flow has moved away.
func (a *answers) route(svc ids.Service, origin, here ids.Region) ids.Region {
	if a.serving[pair{svc, here}] > 0 && !a.left(svc, origin, here) {
		return here
	}
	if other, ok := a.elsewhere(svc, origin, here); ok {
		return other
	}
	return here
}

// left reports whether the region is drained and serves nothing of the flow any
// more.
func (a *answers) left(svc ids.Service, origin, r ids.Region) bool {
	return a.snap.RegionDrained(r) && a.shares[flow{svc, origin}][r] < negligible
}

// elsewhere returns the best region but the one here: the caller's own, which
// has no cap for it, else that with the largest share, else with the most slots.
func (a *answers) elsewhere(svc ids.Service, origin, here ids.Region) (ids.Region, bool) {
	if origin == "" {
		origin = here
	}
	shares := a.shares[flow{svc, origin}]
	var best ids.Region
	var most float64
	for _, r := range a.snap.Document.Regions {
		slots := a.serving[pair{svc, r.Name}]
		// A share goes before any number of slots, which stays below one here.
		value := shares[r.Name] + float64(slots)/math.MaxUint32
		if r.Name == origin {
			value += 2 // More than a share and slots add up to.
		}
		if r.Name == here || slots == 0 || a.left(svc, origin, r.Name) {
			continue
		}
		if value > most {
			best = r.Name
			most = value
		}
	}
	return best, best != ""
}

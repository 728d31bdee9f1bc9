package steerer

import (
	"maps"
	"math"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// The bounds of the spillover from a crowded region.
const (
	// spillAbove is the utilisation above which traffic spills over.
	spillAbove = 0.85
	// spillBelow is the utilisation below which spilt traffic returns, and up to
	// which another region is filled with spilt traffic.
	spillBelow = 0.70
	// spillGain is the share that moves in a second, per unit of utilisation
	// beyond the bound.
	spillGain = 0.05
	// maxSpill bounds the share of a region's traffic that spills over.
	maxSpill = 0.5
)

// negligible is a share below which a weight counts as zero.
const negligible = 1e-6

// flow identifies the traffic from one region's callers to one service.
type flow struct {
	svc  ids.Service
	from ids.Region
}

// trafficSplit divides one flow over the serving regions.
type trafficSplit struct {
	// shares add up to one.
	shares map[ids.Region]float64
	// spillShare is the part of the flow's own region's share that is moved to
	// others while that region is crowded.
	spillShare float64
}

// trafficSplits holds the split of every flow.
type trafficSplits map[flow]*trafficSplit

// step moves all splits towards what the preset, drains and live slots ask for.
// A region's gain over all flows stays under the shift cap, counted as if each
// flow were as large as its region's whole capacity. A region without headroom
// gains no more than it loses.
func (ts trafficSplits) step(snap *config.Snapshot, v *fleetView, elapsed time.Duration) {
	for i := range snap.Document.Services {
		ts.stepService(snap, v, snap.Document.Services[i].Name, elapsed)
	}
	for f := range ts {
		_, service := snap.Service(f.svc)
		_, region := snap.Region(f.from)
		if !service || !region {
			delete(ts, f)
		}
	}
}

func (ts trafficSplits) stepService(snap *config.Snapshot, v *fleetView, svc ids.Service, elapsed time.Duration) {
	desiredByOrigin := make(map[ids.Region]map[ids.Region]float64)
	gains := make(map[ids.Region]float64)
	losses := make(map[ids.Region]float64)
	for _, r := range snap.Document.Regions {
		split := ts.split(svc, r.Name)
		split.updateSpillShare(v, svc, r.Name, elapsed)
		desired := split.desiredShares(snap, v, svc, r.Name)
		split.removeDeadRegions(v, svc, desired)
		desiredByOrigin[r.Name] = desired
		for to, share := range desired {
			gains[to] += max(0, share-split.shares[to]) * v.configuredSlots[serviceRegion{svc, r.Name}]
		}
		for to, share := range split.shares {
			losses[to] += max(0, share-desired[to]) * v.configuredSlots[serviceRegion{svc, r.Name}]
		}
	}
	shiftAllowance := snap.Document.Limits.ShiftShare() * elapsed.Minutes()
	gainFactor := make(map[ids.Region]float64)
	for to, gain := range gains {
		gainFactor[to] = 1
		if limit := shiftAllowance * v.liveSlots(serviceRegion{svc, to}); gain > limit {
			gainFactor[to] = limit / gain
		}
		if gain > losses[to] {
			gainFactor[to] *= v.loads[serviceRegion{svc, to}].headroom()
		}
	}
	for from, desired := range desiredByOrigin {
		ts[flow{svc, from}].moveTowards(desired, gainFactor)
	}
}

// split returns the split of a flow. A new flow is served by its own region.
func (ts trafficSplits) split(svc ids.Service, from ids.Region) *trafficSplit {
	f := flow{svc, from}
	if ts[f] == nil {
		ts[f] = &trafficSplit{shares: map[ids.Region]float64{from: 1}}
	}
	return ts[f]
}

// updateSpillShare raises the spill share while the region is above spillAbove,
// and lowers it while it is below spillBelow.
func (s *trafficSplit) updateSpillShare(v *fleetView, svc ids.Service, from ids.Region, elapsed time.Duration) {
	u := v.loads[serviceRegion{svc, from}].utilisation()
	switch {
	case u > spillAbove:
		s.spillShare += spillGain * (u - spillAbove) * elapsed.Seconds()
	case u < spillBelow:
		s.spillShare -= spillGain * (spillBelow - u) * elapsed.Seconds()
	}
	s.spillShare = min(max(s.spillShare, 0), maxSpill)
}

// desiredShares returns the shares that the flow should have: those of the preset
// without drained and dead regions, with the spill share moved to regions that
// have free slots. If no region of the preset is left, all live regions share the
// flow, drained ones only if no other is alive. If none is alive, the shares stay
// as they are.
func (s *trafficSplit) desiredShares(snap *config.Snapshot, v *fleetView, svc ids.Service, from ids.Region) map[ids.Region]float64 {
	desired := presetShares(snap, svc, from)
	for to := range desired {
		if snap.RegionDrained(to) || !v.alive(svc, to) {
			delete(desired, to)
		}
	}
	if len(desired) == 0 {
		desired = fallbackShares(snap, v, svc, false)
	}
	if len(desired) == 0 {
		desired = fallbackShares(snap, v, svc, true)
	}
	if len(desired) == 0 {
		return maps.Clone(s.shares)
	}
	normalise(desired)
	spillOver(snap, v, svc, from, s.spillShare, desired)
	return desired
}

// presetShares returns the relative weights that the preset in force gives a
// flow. Weights for the service override those for all services. Without any, the
// flow's own region serves it.
func presetShares(snap *config.Snapshot, svc ids.Service, from ids.Region) map[ids.Region]float64 {
	specific := make(map[ids.Region]float64)
	general := make(map[ids.Region]float64)
	for _, rw := range snap.Preset().Weights {
		if rw.From != from || rw.Weight <= 0 {
			continue
		}
		switch rw.Service {
		case svc:
			specific[rw.To] += rw.Weight
		case "":
			general[rw.To] += rw.Weight
		}
	}
	if len(specific) > 0 {
		return specific
	}
	if len(general) > 0 {
		return general
	}
	return map[ids.Region]float64{from: 1}
}

// fallbackShares divides a flow over all live regions by their configured slots.
// It uses either the drained regions or those that are not.
func fallbackShares(snap *config.Snapshot, v *fleetView, svc ids.Service, drained bool) map[ids.Region]float64 {
	live := make(map[ids.Region]float64)
	for _, r := range snap.Document.Regions {
		capacity := v.configuredSlots[serviceRegion{svc, r.Name}]
		if capacity > 0 && v.alive(svc, r.Name) && snap.RegionDrained(r.Name) == drained {
			live[r.Name] = capacity
		}
	}
	return live
}

// spillOver moves the part spill of the own region's share to regions with free
// slots, in proportion to these.
func spillOver(snap *config.Snapshot, v *fleetView, svc ids.Service, from ids.Region, spill float64, desired map[ids.Region]float64) {
	spilled := spill * desired[from]
	if spilled < negligible {
		return
	}
	free := make(map[ids.Region]float64)
	for _, r := range snap.Document.Regions {
		l := v.loads[serviceRegion{svc, r.Name}]
		freeSlots := spillBelow*l.slots - l.inFlight - l.waiting
		if r.Name != from && !snap.RegionDrained(r.Name) && freeSlots > 0 {
			free[r.Name] = freeSlots
		}
	}
	if len(free) == 0 {
		return
	}
	normalise(free)
	desired[from] -= spilled
	for to, share := range free {
		desired[to] += spilled * share
	}
}

// removeDeadRegions drops regions without live slots at once: their traffic
// cannot go there, and the receiving regions bound what they take over themselves.
func (s *trafficSplit) removeDeadRegions(v *fleetView, svc ids.Service, desired map[ids.Region]float64) {
	for to := range s.shares {
		if !v.alive(svc, to) && desired[to] == 0 {
			delete(s.shares, to)
		}
	}
	if len(s.shares) == 0 {
		s.shares = maps.Clone(desired)
	}
	normalise(s.shares)
}

// moveTowards moves the shares towards desired. Each region gains its difference
// times its gainFactor, and the others lose as much in total.
func (s *trafficSplit) moveTowards(desired map[ids.Region]float64, gainFactor map[ids.Region]float64) {
	var gained, lost float64
	for to, share := range desired {
		gained += max(0, share-s.shares[to]) * gainFactor[to]
	}
	for to, share := range s.shares {
		lost += max(0, share-desired[to])
	}
	if gained < negligible || lost < negligible {
		return
	}
	next := make(map[ids.Region]float64)
	for to, share := range s.shares {
		next[to] = share - max(0, share-desired[to])*gained/lost
	}
	for to, share := range desired {
		next[to] += max(0, share-s.shares[to]) * gainFactor[to]
	}
	s.shares = next
	normalise(s.shares)
}

// adopt replaces splits by those of another host.
func (ts trafficSplits) adopt(shares []*peerpb.RegionShare) {
	for _, s := range shares {
		delete(ts, flow{ids.Service(s.GetService()), ids.Region(s.GetFrom())})
	}
	for _, s := range shares {
		f := flow{ids.Service(s.GetService()), ids.Region(s.GetFrom())}
		if ts[f] == nil {
			ts[f] = &trafficSplit{shares: make(map[ids.Region]float64)}
		}
		ts[f].shares[ids.Region(s.GetTo())] = s.GetShare()
	}
}

// shares lists the splits in which the own region does not serve everything.
func (ts trafficSplits) shares() []*peerpb.RegionShare {
	var all []*peerpb.RegionShare
	for f, split := range ts {
		if math.Abs(split.shares[f.from]-1) < negligible {
			continue
		}
		for to, share := range split.shares {
			all = append(all, &peerpb.RegionShare{
				Service: string(f.svc),
				From:    string(f.from),
				To:      string(to),
				Share:   share,
			})
		}
	}
	return all
}

// normalise scales the values so that they add up to one, and deletes negligible
// ones.
func normalise(m map[ids.Region]float64) {
	var sum float64
	for _, x := range sortedRegions(m) {
		sum += m[x]
	}
	if sum <= 0 {
		return
	}
	for r, x := range m {
		m[r] = x / sum
		if m[r] < negligible {
			delete(m, r)
		}
	}
}

// sortedRegions returns the regions sorted by name, so that sums over them do not
// depend on the order of a map.
func sortedRegions(m map[ids.Region]float64) []ids.Region {
	all := make([]ids.Region, 0, len(m))
	for r := range m {
		all = append(all, r)
	}
	slices.Sort(all)
	return all
}

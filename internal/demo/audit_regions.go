package demo

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// auditOverload checks that no target, and so no region, got more requests at a time
// than it has slots.
func auditOverload(r *records) Promise {
	check := newPromiseCheck("no decision of the system overloads a region")
	busiest := 0.0
	for _, t := range r.targets {
		check.observations += t.arrived
		if t.overSlots > 0 || t.maxBusy > t.slots {
			check.fail("target %s got %d requests over its %d slots, up to %d at a time", t.name, t.overSlots, t.slots, t.maxBusy)
		}
	}
	for _, u := range regionUses(r) {
		if u.PeakBusy > u.Slots {
			check.fail("service %s in region %s had %d requests in %d slots", u.Service, u.Region, u.PeakBusy, u.Slots)
		}
		busiest = max(busiest, float64(u.PeakBusy)/float64(max(1, u.Slots)))
	}
	return check.result("%d requests at targets; the fullest region had %.0f %% of a service's slots busy", check.observations, 100*busiest)
}

// RegionUse is the utilisation of one service's targets in one region.
type RegionUse struct {
	Region  ids.Region  `json:"region"`
	Service ids.Service `json:"service"`
	// Slots is the number of slots of the targets, draining ones included. PeakBusy is
	// the maximum number of requests at a time.
	Slots    int `json:"slots"`
	PeakBusy int `json:"peakBusy"`
	// MeanBusy is the mean number of requests at a time while the load ran.
	MeanBusy float64 `json:"meanBusy"`
	// Headroom is the share of the slots that was free at the peak, and MeanHeadroom
	// that on average, from 0 to 1.
	Headroom     float64 `json:"headroom"`
	MeanHeadroom float64 `json:"meanHeadroom"`
}

type location struct {
	region  ids.Region
	service ids.Service
}

// targetLocations returns the region and service of each target.
func targetLocations(r *records) map[string]location {
	all := make(map[string]location, len(r.targets))
	for _, t := range r.targets {
		all[string(t.name)] = location{t.region, t.service}
	}
	return all
}

// busyChange is the start or the end of a request at a target.
type busyChange struct {
	at    time.Time
	delta int
}

// regionUses returns the utilisation by region and service, from the times at which
// requests started and ended at targets.
func regionUses(r *records) []RegionUse {
	locations := targetLocations(r)
	changes := make(map[location][]busyChange)
	for i := range r.targetRequests {
		req := &r.targetRequests[i]
		if req.Shed {
			continue
		}
		p := locations[req.Target]
		changes[p] = append(changes[p], busyChange{req.Arrived, 1}, busyChange{req.Ended, -1})
	}
	var all []RegionUse
	for _, region := range r.document.Regions {
		for i := range r.document.Services {
			svc := &r.document.Services[i]
			u := RegionUse{Region: region.Name, Service: svc.Name, Slots: slotsIn(svc, region.Name)}
			u.PeakBusy, u.MeanBusy = busyStats(changes[location{region.Name, svc.Name}], r.loadEnd.Sub(r.loadStart))
			slots := float64(max(1, u.Slots))
			u.Headroom = 1 - float64(u.PeakBusy)/slots
			u.MeanHeadroom = 1 - u.MeanBusy/slots
			all = append(all, u)
		}
	}
	return all
}

func slotsIn(svc *config.Service, region ids.Region) int {
	n := 0
	for _, u := range svc.Upstreams {
		if u.Region == region {
			n += svc.Slots
		}
	}
	return n
}

// busyStats returns the maximum and the mean number of requests at a time.
func busyStats(changes []busyChange, length time.Duration) (peak int, mean float64) {
	slices.SortFunc(changes, func(a, b busyChange) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.delta - b.delta // at equal times, ends before starts
	})
	busy := 0
	var total time.Duration
	var last time.Time
	for _, c := range changes {
		total += time.Duration(busy) * c.at.Sub(last)
		last = c.at
		busy += c.delta
		peak = max(peak, busy)
	}
	if length > 0 {
		mean = total.Seconds() / length.Seconds()
	}
	return peak, mean
}

const (
	// shiftWindow is the time within which the shift cap limits the growth of the rate.
	shiftWindow = time.Minute
	// rateWindow is the time over which a rate is measured.
	rateWindow = 5 * time.Second
	// rateStep is the time between two measured rates.
	rateStep = time.Second
)

// auditShift checks that the rate of requests that a region takes over from other
// regions grows within shiftWindow by at most the shift cap, a share of its capacity.
func auditShift(r *records) Promise {
	check := newPromiseCheck("a shift of traffic stays under its cap")
	share := r.document.Limits.ShiftShare()
	foreign := foreignArrivals(r)
	var largestShare, rateAtLargest float64
	for i := range r.document.Services {
		svc := &r.document.Services[i]
		mean := meanServiceTime(r, svc.Name)
		if mean == 0 {
			continue
		}
		for _, region := range r.document.Regions {
			arrivals := foreign[location{region.Name, svc.Name}]
			check.observations += len(arrivals)
			bound := share * float64(slotsIn(svc, region.Name)) / mean.Seconds()
			growth := largestGrowth(arrivals, r.loadStart, r.loadEnd)
			if growth > bound {
				check.fail("service %s in region %s took over %.1f requests a second more within a minute; the cap is %.1f",
					svc.Name, region.Name, growth, bound)
			}
			if bound > 0 && growth/bound > largestShare {
				largestShare, rateAtLargest = growth/bound, growth
			}
		}
	}
	return check.result("%d requests from other regions; the largest growth was %.1f a second, %.0f %% of its cap",
		check.observations, rateAtLargest, 100*largestShare)
}

// foreignArrivals returns the times at which requests of callers in other regions
// arrived at targets, by the targets' region and service.
func foreignArrivals(r *records) map[location][]time.Time {
	attempts := attemptsByID(r)
	locations := targetLocations(r)
	all := make(map[location][]time.Time)
	for i := range r.targetRequests {
		req := &r.targetRequests[i]
		p := locations[req.Target]
		if a := attempts[req.RequestID]; a != nil && a.region != p.region {
			all[p] = append(all[p], req.Arrived)
		}
	}
	return all
}

// meanServiceTime returns the mean time of a service's requests at targets.
func meanServiceTime(r *records, svc ids.Service) time.Duration {
	locations := targetLocations(r)
	var total time.Duration
	n := 0
	for i := range r.targetRequests {
		if req := &r.targetRequests[i]; req.Ran && locations[req.Target].service == svc {
			total += req.Ended.Sub(req.Arrived)
			n++
		}
	}
	return total / time.Duration(max(1, n))
}

// largestGrowth returns the largest growth of the rate of events within shiftWindow,
// in events per second.
func largestGrowth(events []time.Time, loadStart, loadEnd time.Time) float64 {
	var rates []float64
	for at := loadStart; !at.After(loadEnd); at = at.Add(rateStep) {
		rates = append(rates, rateBefore(events, at))
	}
	window := int(shiftWindow / rateStep)
	var growth float64
	for i := range rates {
		for j := max(0, i-window); j < i; j++ {
			growth = max(growth, rates[i]-rates[j])
		}
	}
	return growth
}

// rateBefore returns the events per second in the last rateWindow before at.
func rateBefore(events []time.Time, at time.Time) float64 {
	n := 0
	for _, e := range events {
		if !e.After(at) && at.Sub(e) < rateWindow {
			n++
		}
	}
	return float64(n) / rateWindow.Seconds()
}

package loadsim

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// intervalLength is the length of an Interval.
	intervalLength = time.Second
	// shiftWindow is the time over which requests are counted by the region that
	// serves them. MaxShift compares consecutive windows.
	shiftWindow = 2 * time.Second
)

// Group holds the outcomes of a class's or zone's requests in one interval.
type Group struct {
	Requests, Refused int
	latencies         []time.Duration
}

// Percentile returns percentile p of the answered requests' latencies, or 0 if there
// are none.
func (g *Group) Percentile(p int) time.Duration {
	if len(g.latencies) == 0 {
		return 0
	}
	slices.Sort(g.latencies)
	return g.latencies[(len(g.latencies)-1)*p/100]
}

// Interval is a part of a timeline.
type Interval struct {
	// Start is the time since the start of the simulation.
	Start time.Duration
	// Classes and Zones group the requests by class and by their callers' zone.
	Classes map[string]*Group
	Zones   map[ids.Zone]*Group
	// BusySlots is the mean number of slots in use, by the targets' zone.
	BusySlots map[ids.Zone]float64
	// Served counts the requests that targets answered, Warm those whose object was warm, and
	// BelievedRight those for which the host knew whether it was.
	Served, Warm, BelievedRight int
}

// Timeline holds the outcomes of a simulation over time.
type Timeline struct {
	Intervals []*Interval
	// placements counts requests by their callers' region, shift window and serving
	// region.
	placements map[ids.Region][]map[ids.Region]int
}

// at returns the interval at a time since the start, and adds it if it is missing.
func (tl *Timeline) at(elapsed time.Duration) *Interval {
	for n := len(tl.Intervals); n <= int(elapsed/intervalLength); n++ {
		tl.Intervals = append(tl.Intervals, &Interval{
			Start: time.Duration(n) * intervalLength, Classes: make(map[string]*Group), Zones: make(map[ids.Zone]*Group),
			BusySlots: make(map[ids.Zone]float64),
		})
	}
	return tl.Intervals[elapsed/intervalLength]
}

// recordRequest records a request that began at a time since the start.
func (tl *Timeline) recordRequest(elapsed time.Duration, class string, zone ids.Zone, latency time.Duration, answered bool) {
	interval := tl.at(elapsed)
	for _, g := range []*Group{groupOf(interval.Classes, class), groupOf(interval.Zones, zone)} {
		g.Requests++
		if answered {
			g.latencies = append(g.latencies, latency)
		} else {
			g.Refused++
		}
	}
}

func groupOf[K comparable](groups map[K]*Group, key K) *Group {
	g := groups[key]
	if g == nil {
		g = &Group{}
		groups[key] = g
	}
	return g
}

// recordPlacement records the region that serves a request.
func (tl *Timeline) recordPlacement(elapsed time.Duration, from, to ids.Region) {
	if tl.placements == nil {
		tl.placements = make(map[ids.Region][]map[ids.Region]int)
	}
	for n := len(tl.placements[from]); n <= int(elapsed/shiftWindow); n++ {
		tl.placements[from] = append(tl.placements[from], make(map[ids.Region]int))
	}
	tl.placements[from][elapsed/shiftWindow][to]++
}

// MaxShift returns the largest fraction of a region's requests that moved to other
// regions from one window to the next, for windows that start after a time since
// the start. The last window is left out because it may be incomplete.
func (tl *Timeline) MaxShift(after time.Duration) float64 {
	highest := 0.0
	for _, windows := range tl.placements {
		for n := int(after/shiftWindow) + 1; n < len(windows)-1; n++ {
			highest = max(highest, shiftedShare(windows[n-1], windows[n]))
		}
	}
	return highest
}

// shiftedShare returns the fraction of requests that moved to another region.
func shiftedShare(before, now map[ids.Region]int) float64 {
	moved := 0.0
	nowTotal, beforeTotal := total(now), total(before)
	for region, n := range before {
		moved += max(float64(n)/beforeTotal-float64(now[region])/nowTotal, 0)
	}
	return moved
}

func total(counts map[ids.Region]int) float64 {
	n := 0
	for _, c := range counts {
		n += c
	}
	return float64(max(n, 1))
}

package loadsim

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// step is the length of one part of a timeline.
	step = time.Second
	// shiftWindow is the time over which the regions in which requests run are
	// counted, to tell how fast they change.
	shiftWindow = 2 * time.Second
)

// Group is what the requests of one group became in one part of a timeline.
type Group struct {
	Asked, Refused int
	took           []time.Duration
}

// Percentile returns a percentile of the answers' latencies, 0 without any.
func (g *Group) Percentile(p int) time.Duration {
	if len(g.took) == 0 {
		return 0
	}
	slices.Sort(g.took)
	return g.took[(len(g.took)-1)*p/100]
}

// Part is one part of a timeline. It begins At after the start.
type Part struct {
	At time.Duration
	// Kinds and Zones hold the requests by their kind, and by their callers' zone.
	Kinds map[string]*Group
	Zones map[ids.Zone]*Group
	// Busy is the mean number of slots in use by the targets' zone.
	Busy map[ids.Zone]float64
}

// Timeline is what happened over the time of a play.
type Timeline struct {
	Parts []*Part
	// ran counts requests by their callers' region, window and region of run.
	ran map[ids.Region][]map[ids.Region]int
}

// part returns the part at a time since the start.
func (l *Timeline) part(at time.Duration) *Part {
	for n := len(l.Parts); n <= int(at/step); n++ {
		l.Parts = append(l.Parts, &Part{
			At: time.Duration(n) * step, Kinds: make(map[string]*Group), Zones: make(map[ids.Zone]*Group),
			Busy: make(map[ids.Zone]float64),
		})
	}
	return l.Parts[at/step]
}

// add takes one request that began at a time since the start.
func (l *Timeline) add(at time.Duration, kind string, zone ids.Zone, took time.Duration, ran bool) {
	p := l.part(at)
	for _, g := range []*Group{groupOf(p.Kinds, kind), groupOf(p.Zones, zone)} {
		g.Asked++
		if ran {
			g.took = append(g.took, took)
		} else {
			g.Refused++
		}
	}
}

func groupOf[K comparable](all map[K]*Group, key K) *Group {
	g := all[key]
	if g == nil {
		g = &Group{}
		all[key] = g
	}
	return g
}

// place notes in which region a request runs.
func (l *Timeline) place(at time.Duration, from, to ids.Region) {
	if l.ran == nil {
		l.ran = make(map[ids.Region][]map[ids.Region]int)
	}
	for n := len(l.ran[from]); n <= int(at/shiftWindow); n++ {
		l.ran[from] = append(l.ran[from], make(map[ids.Region]int))
	}
	l.ran[from][at/shiftWindow][to]++
}

// Shift returns the largest part of a region's requests that changed the region in
// which they run from one window to the next, behind a time since the start. The
// last window is left out: it may not be full.
func (l *Timeline) Shift(after time.Duration) float64 {
	most := 0.0
	for _, windows := range l.ran {
		for n := int(after/shiftWindow) + 1; n < len(windows)-1; n++ {
			most = max(most, changed(windows[n-1], windows[n]))
		}
	}
	return most
}

// changed returns the part that has another region.
func changed(before, now map[ids.Region]int) float64 {
	less := 0.0
	total, old := sum(now), sum(before)
	for region, n := range before {
		less += max(float64(n)/old-float64(now[region])/total, 0)
	}
	return less
}

func sum(counts map[ids.Region]int) float64 {
	n := 0
	for _, c := range counts {
		n += c
	}
	return float64(max(n, 1))
}

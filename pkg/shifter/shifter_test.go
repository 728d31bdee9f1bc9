package shifter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/shifter"
)

const (
	// interval is the time between two updates, and window that in which operators count
	// the requests that run in each region.
	interval = 100 * time.Millisecond
	window   = 2 * time.Second
	// shiftBound is the part of a region's requests that may change their region from one
	// window to the next.
	shiftBound = 0.15
	objects    = 3000
)

// model is a model of one region's callers and of the targets in all regions. Each region has
// slots, demand is the number of slots that the callers of the own one need, and others is the
// backlog of the other regions without these callers.
type model struct {
	shifter shifter.Shifter
	slots   map[ids.Region]float64
	others  map[ids.Region]float64
	demand  float64
	// windows counts the requests by region in each window.
	windows []map[ids.Region]float64
	// place is the region of each object at the end of each window.
	place, before [objects]ids.Region
	moved         float64
	updates       int
}

var names = []ids.Region{"east", "north", "west"}

// shares returns the part of the objects in each region.
func (m *model) shares() map[ids.Region]float64 {
	parts := make(map[ids.Region]float64)
	for o := range uint32(objects) {
		m.place[o] = m.shifter.Region("east", o)
		parts[m.place[o]] += 1.0 / objects
	}
	return parts
}

// loads returns the load of the regions that have targets.
func (m *model) loads(parts map[ids.Region]float64) []shifter.Load {
	var loads []shifter.Load
	for _, name := range names {
		if m.slots[name] > 0 {
			loads = append(loads, shifter.Load{Region: name, Slots: m.slots[name], Backlog: m.others[name] + m.demand*parts[name]})
		}
	}
	return loads
}

// run lets the shifter follow the loads for d, and returns the highest and last utilisation of
// the own region.
func (m *model) run(d time.Duration) (highest, last float64) {
	for range int(d / interval) {
		parts := m.shares()
		m.count(parts)
		m.shifter.Update("east", m.loads(parts), time.Now())
		last = m.demand * parts["east"] / max(m.slots["east"], 1)
		highest = max(highest, last)
		time.Sleep(interval)
	}
	return highest, last
}

// count adds the requests of one interval to the current window.
func (m *model) count(parts map[ids.Region]float64) {
	const perWindow = int(window / interval)
	if m.updates%perWindow == 0 {
		if m.updates > 0 {
			changed := 0.0
			for o := range m.place {
				if m.place[o] != m.before[o] {
					changed += 1.0 / objects
				}
			}
			m.moved = max(m.moved, changed)
		}
		m.before = m.place
		m.windows = append(m.windows, make(map[ids.Region]float64))
	}
	m.updates++
	for name, part := range parts {
		if m.slots[name] == 0 {
			name = "north" // they run wherever there are targets
		}
		m.windows[len(m.windows)-1][name] += part / float64(perWindow)
	}
}

// largestShift returns the largest part of the requests that ran in another region from one
// window to the next, from window from on.
func (m *model) largestShift(from int) float64 {
	largest := 0.0
	for n := from + 1; n < len(m.windows)-1; n++ { // the last window may be incomplete
		moved := 0.0
		for _, name := range names {
			moved += max(m.windows[n-1][name]-m.windows[n][name], 0)
		}
		largest = max(largest, moved)
	}
	return largest
}

// newModel returns a model with few slots in the own region, a third of which are in use.
func newModel() *model {
	m := &model{
		slots:  map[ids.Region]float64{"east": 96, "north": 400, "west": 300},
		others: map[ids.Region]float64{"north": 100, "west": 90},
		demand: 32,
	}
	m.shifter.Update("east", m.loads(nil), time.Now()) // as before the first request
	return m
}

// Load: one region is short. Its callers' demand rises by a factor of three within a second, to
// all of its slots and more, and falls again later. Guards against a shift that hits other
// regions at once, that comes when the own region has long been full, or that never ends.
func TestRegionShortOfTargets(t *testing.T) {
	for _, c := range []struct {
		factor, highest float64
	}{{3, 1.05}, {4, 1.35}, {6, 2.05}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m := newModel()
			m.run(20 * time.Second)
			is.Equal(m.shifter.Own(), 1.0) // a third of its slots is no reason to leave
			start := m.demand
			for n := range 10 {
				m.demand = start * (1 + (c.factor-1)*float64(n+1)/10)
				m.run(interval)
			}
			highest, _ := m.run(time.Second)
			_, last := m.run(15 * time.Second)
			t.Logf("demand x%g: highest utilisation %.2f, in the end %.2f, own share %.2f", c.factor, highest, last, m.shifter.Own())
			is.True(highest <= c.highest) // what a shift of 0.05 in a second allows
			is.True(last < 0.9)
			m.demand = start
			m.run(25 * time.Second)
			is.Equal(m.shifter.Own(), 1.0)
			t.Logf("largest shift of requests %.3f, of objects %.3f", m.largestShift(0), m.moved)
			is.True(m.largestShift(0) <= shiftBound)
			is.True(m.moved <= shiftBound)
		})
	}
}

// Load: demand and the other regions' load jump at random times. Guards against changes that
// add up to more than the bound, also where objects move between two other regions.
func TestRandomisedShiftsAreBounded(t *testing.T) {
	rnd := seeds.NewRand(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newModel()
		m.run(window)
		for range 100 {
			m.demand = 20 + 250*rnd.Float64()
			m.others["north"], m.others["west"] = 600*rnd.Float64(), 450*rnd.Float64()
			m.run(time.Duration(rnd.IntN(6000)) * time.Millisecond)
		}
		t.Logf("largest shift of requests %.3f, of objects %.3f", m.largestShift(0), m.moved)
		is.True(m.largestShift(0) <= shiftBound)
		is.True(m.moved <= shiftBound)
	})
}

// Guards against requests that leave a full region for one that is as full: they only get
// slower, and the regions' hosts pass them around.
func TestNothingLeavesForAFullRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newModel()
		m.demand, m.others["north"], m.others["west"] = 150, 800, 600
		m.run(10 * time.Second)
		is.Equal(m.shifter.Own(), 1.0)
	})
}

// Load: demand stays between the bounds. Guards against shares that go back and forth, which
// makes objects cold in both regions.
func TestSharesSettle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newModel()
		m.demand = 130
		m.run(20 * time.Second)
		lowest, highest := 1.0, 0.0
		for range 200 {
			m.run(interval)
			lowest, highest = min(lowest, m.shifter.Own()), max(highest, m.shifter.Own())
		}
		is.True(highest-lowest < 0.02)
	})
}

// Guards against a shift of most requests at once when another region gets its first targets.
func TestAppearingRegionIsUsedGradually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newModel()
		m.shifter, m.slots = shifter.Shifter{}, map[ids.Region]float64{"east": 30}
		m.run(10 * time.Second)
		is.Equal(m.shifter.Own(), 1.0)
		m.slots["west"] = 300
		_, last := m.run(30 * time.Second)
		is.True(last < 0.9)
		is.True(m.largestShift(0) <= shiftBound)
	})
}

// Load: another region, which runs a part of the requests, loses its targets and gets them
// back. Guards against requests that are still sent there, or that go back there all at once.
func TestVanishedRegionLosesItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newModel()
		m.demand = 200
		m.run(30 * time.Second)
		is.True(m.shares()["north"] > 0.2)
		west := m.slots["west"]
		delete(m.slots, "west")
		m.run(interval)
		is.Equal(m.shares()["west"], 0.0)
		m.run(20 * time.Second)
		m.slots["west"] = west
		from := len(m.windows)
		m.run(20 * time.Second)
		is.True(m.largestShift(from) <= shiftBound)
	})
}

// Load: the own region loses all targets, as in an evacuation, and gets them back after some
// time. Guards against all requests coming back at once, and against a moment without targets
// that sends most requests away for long.
func TestOwnRegionComesBackGradually(t *testing.T) {
	for _, c := range []struct {
		out        time.Duration
		own, limit float64
	}{
		{10 * time.Second, 0, shiftBound},
		{2 * time.Second, 0, shiftBound},
		{200 * time.Millisecond, 0.9, shiftBound + 0.1}, // a tenth of the window had nowhere else to run
	} {
		t.Run(c.out.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := newModel()
				m.run(20 * time.Second)
				m.slots["east"] = 0
				m.run(c.out)
				m.slots["east"] = 96
				is.True(m.shifter.Own() >= c.own-1e-9 && m.shifter.Own() < c.own+0.11)
				from := len(m.windows)
				m.run(40 * time.Second) // requests return at most at 0.03 of all in a second
				for n := from; n < len(m.windows)-1; n++ {
					is.True(m.windows[n]["east"]-m.windows[n-1]["east"] <= c.limit)
				}
				is.Equal(m.shifter.Own(), 1.0)
			})
		})
	}
}

// Guards against hosts of a region that disagree on an object's region, so that it becomes warm
// in both: two hosts that see the same loads, at other times, differ by little.
func TestHostsStayTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newModel()
		var other shifter.Shifter
		differing := 0.0
		for n := range 600 {
			m.demand = 32
			if n/150%2 == 1 {
				m.demand = 140
			}
			m.run(interval)
			if n%3 == 0 { // three times as rarely
				other.Update("east", m.loads(m.shares()), time.Now())
			}
			differ := 0.0
			for o := range uint32(objects) {
				if m.shifter.Region("east", o) != other.Region("east", o) {
					differ += 1.0 / objects
				}
			}
			differing = max(differing, differ)
		}
		t.Logf("largest part of the objects in different regions: %.3f", differing)
		is.True(differing < 0.05)
	})
}

// The zero value keeps everything at home, and needs no other region.
func TestZeroValue(t *testing.T) {
	is := is.New(t)
	var s shifter.Shifter
	for o := range uint32(100) {
		is.Equal(s.Region("east", o), ids.Region("east"))
	}
	for _, loads := range [][]shifter.Load{nil, {{Region: "east", Slots: 6, Backlog: 60}}} {
		s.Update("east", loads, time.Now())
		is.Equal(s.Own(), 1.0)
		is.Equal(s.Region("east", 7), ids.Region("east"))
	}
}

// Guards against a first update that keeps all requests in a region with a tenth of the targets
// until it is full: where demand is not known, all regions are taken to have the same.
func TestFirstUpdateFollowsTheSlots(t *testing.T) {
	is := is.New(t)
	var s, even shifter.Shifter
	s.Update("east", []shifter.Load{{Region: "east", Slots: 36}, {Region: "north", Slots: 180}, {Region: "west", Slots: 144}}, time.Now())
	is.True(s.Own() > 0.3 && s.Own() < 0.6)
	even.Update("east", []shifter.Load{{Region: "east", Slots: 100}, {Region: "west", Slots: 110}}, time.Now())
	is.Equal(even.Own(), 1.0)
}

// Guards against a clock that goes back and against a host that was suspended for long: neither
// may move more than one step.
func TestUnusualTimes(t *testing.T) {
	is := is.New(t)
	var s shifter.Shifter
	full := []shifter.Load{{Region: "east", Slots: 100, Backlog: 300}, {Region: "west", Slots: 300}}
	now := time.Now()
	s.Update("east", []shifter.Load{{Region: "east", Slots: 100}, {Region: "west", Slots: 100}}, now)
	s.Update("east", full, now.Add(-time.Hour))
	is.Equal(s.Own(), 1.0)
	s.Update("east", full, now.Add(time.Hour))
	is.True(s.Own() >= 0.95-1e-9)
}

package balancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/loadsim"
	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// contended returns a deployment whose targets have enough slots for warm work only: 6 slots, a
// queue of 18 and 31 warm objects each. They need 0.3 of the time for a warm object.
func contended() loadsim.Deployment {
	d := loadsim.Deployment{
		Name: "contended", Slots: 6, WarmObjects: 31, ObjectsPerRegion: 240,
		WarmTime: 120 * time.Millisecond, ColdTime: 400 * time.Millisecond,
		Objective: 500 * time.Millisecond, Deadline: time.Second,
		CrossZoneDelay: 900 * time.Microsecond, CrossRegionDelay: 12 * time.Millisecond,
		Period: time.Minute, Retries: 1,
		Speed: loadsim.Speed{Factor: 2.5, Share: 0.15, Period: 600 * time.Millisecond},
	}
	for _, zone := range []struct{ name, region string }{{"e1", "east"}, {"e2", "east"}, {"w1", "west"}, {"w2", "west"}} {
		d.Zones = append(d.Zones, loadsim.Zone{Name: ids.Zone(zone.name), Region: ids.Region(zone.region), Targets: 8, Hosts: 2, Rate: 200})
	}
	return d
}

// simulate runs a deployment for d and returns its intervals of a second.
func simulate(t *testing.T, deployment loadsim.Deployment, load float64, d time.Duration) []*loadsim.Interval {
	t.Helper()
	rnd := seeds.NewRand(t)
	var r loadsim.Result
	synctest.Test(t, func(*testing.T) { r = loadsim.Run(deployment, loadsim.SiblingSharing, load, d, rnd) })
	t.Logf("load x%g: %v", load, r)
	for _, i := range r.Timeline.Intervals {
		t.Logf("%4v  served %4d  warm %.2f  believed right %.2f", i.Start, i.Served, part(i.Warm, i.Served), part(i.BelievedRight, i.Served))
	}
	return r.Timeline.Intervals
}

func part(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// sum adds up the counts of intervals.
func sumOf(intervals []*loadsim.Interval) (total loadsim.Interval) {
	for _, i := range intervals {
		total.Served += i.Served
		total.Warm += i.Warm
		total.BelievedRight += i.BelievedRight
	}
	return total
}

// Load: 0.6 and 1.0 of what the targets can do with warm objects; for some seconds they refuse
// half of the requests, which hosts then send to another target. Guards against a service that
// stays saturated after the fault because its objects are spread over all targets, so that most
// work is cold and takes all slots.
func TestRandomisedFullServiceRecovers(t *testing.T) {
	for _, load := range []float64{1, 1.6} {
		is := is.New(t)
		d := contended()
		d.Fault = loadsim.Fault{From: 6 * time.Second, Until: 10 * time.Second, Share: 0.5}
		all := simulate(t, d, load, 18*time.Second)
		after := sumOf(all[13:17])
		is.True(part(after.Warm, after.Served) >= 0.9) // from 3 s after its end on
	}
}

// Load: each target takes 2.5 times as long for 15% of the time, changes every 600 ms, and tells.
// Guards against hosts that take slow answers of warm objects for cold ones, believe that
// targets keep only a few objects, and spread the objects over ever more targets.
func TestRandomisedObjectsStayWarmAtChangingSpeeds(t *testing.T) {
	is := is.New(t)
	all := simulate(t, contended(), 1, 15*time.Second)
	last := sumOf(all[8:14])
	is.True(part(last.Warm, last.Served) >= 0.9)
	is.True(part(last.BelievedRight, last.Served) >= 0.85)
}

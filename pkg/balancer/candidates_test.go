package balancer_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

// newSpeedBalancer returns a Balancer as newBalancer does, whose targets have reported their
// speed, and of which none is unused.
func newSpeedBalancer(t *testing.T, n int, zones ...ids.Zone) (*balancer.Balancer, []registrar.Target) {
	t.Helper()
	bal, all := newBalancer(n, zones...)
	for i := range all {
		var others []ids.Target
		for j := range all {
			if j != i {
				others = append(others, all[j].ID)
			}
		}
		serveAt(t, bal, avoid(request("first"), others...), warmWork, usual)
	}
	time.Sleep(time.Second) // reports have faded
	return bal, all
}

// probe returns where a request would go.
func probe(t *testing.T, bal *balancer.Balancer, w balancer.Request) *balancer.Choice {
	t.Helper()
	c := pick(t, bal, w)
	c.Done(balancer.Result{})
	return c
}

// Load: many more requests for one object than one target has slots. Guards against objects
// that spread over all targets, which they make warm only there and for a moment.
func TestObjectStaysOnFewTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, _ := newSpeedBalancer(t, 10, "e1", "e2", "w1")
		used := make(map[ids.Target]bool)
		for range 10 * slots {
			if c, err := bal.Pick(request("a")); err == nil {
				used[c.Target] = true
				is.Equal(c.Region, ids.Region("east"))
			}
		}
		is.True(len(used) <= 3) // two in the own zone and one in the other one
	})
}

// Load: as before, while half of the zone's targets are draining. Guards against an object with
// fewer targets than usual because some of its candidates take no requests.
func TestEachObjectKeepsItsNumberOfTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, all := newSpeedBalancer(t, 4, "e1", "e2")
		for n := range 2 {
			used := make(map[ids.Target]bool)
			inZone := 0
			for range 8 * slots {
				w := request("a")
				w.TimeLeft, w.Objective = time.Minute, time.Minute
				c := pick(t, bal, w)
				if !used[c.Target] && c.Zone == "e1" {
					inZone++
				}
				used[c.Target] = true
				defer c.Done(balancer.Result{})
			}
			is.Equal(len(used), 3)
			is.Equal(inZone, 2)
			if n == 0 {
				for i := range all {
					all[i].Draining = used[all[i].ID] && all[i].Zone == "e1"
				}
				bal.SetTargets(all)
			}
		}
	})
}

// Guards against requests for a target that takes none now, and against objects that all move
// when one target does not: the next candidate stands in, and the first one gets them back.
func TestNextCandidateStandsIn(t *testing.T) {
	for name, forbid := range map[string]func(*balancer.Balancer, []registrar.Target, *balancer.Choice) (allow func()){
		"draining": func(bal *balancer.Balancer, all []registrar.Target, c *balancer.Choice) func() {
			set := func(draining bool) {
				for i := range all {
					all[i].Draining = draining && all[i].ID == c.Target
				}
				bal.SetTargets(all)
			}
			set(true)
			return func() { set(false) }
		},
		"evacuated": func(bal *balancer.Balancer, _ []registrar.Target, c *balancer.Choice) func() {
			bal.SetEvacuatedZones(map[ids.Zone]bool{c.Zone: true})
			return func() { bal.SetEvacuatedZones(nil) }
		},
		"paused": func(_ *balancer.Balancer, _ []registrar.Target, c *balancer.Choice) func() {
			c.Done(balancer.Result{Shed: true, RetryAfter: 2 * time.Second, LoadReport: balancer.LoadReport{HasLoad: true, Slowdown: usual}})
			return func() { time.Sleep(3 * time.Second) }
		},
		"unreachable": func(_ *balancer.Balancer, _ []registrar.Target, c *balancer.Choice) func() {
			c.Done(balancer.Result{Unreachable: true})
			return func() { time.Sleep(time.Second) }
		},
		"unregistered": func(bal *balancer.Balancer, all []registrar.Target, c *balancer.Choice) func() {
			var rest []registrar.Target
			for _, x := range all {
				if x.ID != c.Target {
					rest = append(rest, x)
				}
			}
			bal.SetTargets(rest)
			return func() { bal.SetTargets(all) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bal, all := newSpeedBalancer(t, 4, "e1", "e2", "w1")
				first := make(map[string]*balancer.Choice)
				for o := range 20 {
					object := fmt.Sprint(o)
					serveAt(t, bal, request(object), coldWork, usual)
					first[object] = serveAt(t, bal, request(object), warmWork, usual)
				}
				time.Sleep(time.Second)
				c := pick(t, bal, request("0"))
				allow := forbid(bal, all, c)
				for object, before := range first {
					now := probe(t, bal, request(object))
					is.Equal(now.Region, ids.Region("east")) // other regions take nothing
					if name == "evacuated" {
						is.True(now.Zone != c.Zone)
					} else {
						is.True(now.Target != c.Target)
					}
					if before.Target != c.Target && name != "evacuated" {
						is.True(now.Warm)
					}
				}
				allow()
				is.Equal(probe(t, bal, avoid(request("0"), standIns(all, c)...)).Target, c.Target)
			})
		})
	}
}

// standIns returns all targets except the choice.
func standIns(all []registrar.Target, c *balancer.Choice) []ids.Target {
	var others []ids.Target
	for _, x := range all {
		if x.ID != c.Target {
			others = append(others, x.ID)
		}
	}
	return others
}

// Guards against candidates outside the home regions, also where the region that the shares
// assign is none of them and where no candidate is left.
func TestCandidatesKeepToHomeRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, all := newSpeedBalancer(t, 6, "e1", "e2", "w1")
		for o := range 100 {
			w := request(fmt.Sprint(o))
			if o%4 == 0 {
				w.Object = balancer.NoObject
			}
			w.HomeRegions = [][]ids.Region{{"east", "west"}, {"west"}}
			is.Equal(probe(t, bal, w).Region, ids.Region("west"))
			w.HomeRegions = [][]ids.Region{{"east"}, nil}
			is.Equal(probe(t, bal, w).Region, ids.Region("east"))
			w.HomeRegions = [][]ids.Region{{"east"}, {"west"}}
			_, err := bal.Pick(w)
			var none *balancer.ErrNoTarget
			is.True(errors.As(err, &none))
		}
		for i := range all {
			all[i].Draining = all[i].Zone == "w1"
		}
		bal.SetTargets(all)
		w := request("a")
		w.HomeRegions = [][]ids.Region{{"west"}}
		_, err := bal.Pick(w)
		var none *balancer.ErrNoTarget
		is.True(errors.As(err, &none))
	})
}

// Load: requests with and without an object in a region with a tenth of the slots. Guards
// against requests without an object that all go to one region, and change it all at once.
func TestRequestsWithoutObjectFollowTheShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, all := newBalancer(2, "e1", "w1")
		for i := range 18 {
			all = append(all, registrar.Target{ID: ids.Target(fmt.Sprint("far", i)), Service: "s", Zone: "w1", Slots: slots, Address: fmt.Sprint("10.9.0.", i, ":80")})
		}
		bal.SetTargets(all)
		serveAt(t, bal, request("a"), warmWork, usual)
		const requests = 2000
		away := make(map[bool]int)
		for n := range requests {
			w := request(fmt.Sprint(n))
			if n%2 == 0 {
				w.Object = balancer.NoObject
			}
			if probe(t, bal, w).Region == "west" {
				away[w.Object == balancer.NoObject]++
			}
		}
		t.Logf("in the other region: %d without and %d with an object, of %d", away[true], away[false], requests/2)
		is.True(away[true] > away[false]*9/10 && away[true] < away[false]*11/10)
		is.True(away[false] > 100 && away[false] < 900)
	})
}

// Guards against a large service whose hosts in one zone choose different targets, which makes
// objects cold at each of them.
func TestHostsOfAZoneAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		one, all := newBalancer(150, "e1", "e2") // more than are scanned
		other := balancer.New(balancer.Config{Zone: "e1", Regions: regions})
		reversed := make([]registrar.Target, 0, len(all))
		for i := range all {
			reversed = append(reversed, all[len(all)-1-i])
		}
		other.SetTargets(reversed)
		agreed := 0
		for o := range 200 {
			w := request(fmt.Sprint(o))
			w.BodyKiB = 0.001 // unused targets have no bonus
			if probe(t, one, w).Target == probe(t, other, w).Target {
				agreed++
			}
		}
		is.Equal(agreed, 200)
	})
}

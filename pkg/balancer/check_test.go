package balancer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

// health is the report of a health check of an idle target.
func health(s balancer.Slowdown) balancer.LoadReport {
	return balancer.LoadReport{HasLoad: true, Slowdown: s}
}

// A health check is asked for if the best target may be slow now, which the host does not know,
// and another target has the object. Guards against checks that delay requests for nothing.
func TestCheckFirstOnlyIfTheAnswerMatters(t *testing.T) {
	for name, c := range map[string]struct {
		change func(t *testing.T, bal *balancer.Balancer, w *balancer.Request, best ids.Target)
		want   bool
	}{
		"matters": {nil, true},
		"report is recent": {func(_ *testing.T, bal *balancer.Balancer, _ *balancer.Request, best ids.Target) {
			bal.ObserveHealth(best, health(usual))
			time.Sleep(90 * time.Millisecond)
		}, false},
		"report is old again": {func(_ *testing.T, bal *balancer.Balancer, _ *balancer.Request, best ids.Target) {
			bal.ObserveHealth(best, health(usual))
			time.Sleep(110 * time.Millisecond)
		}, true},
		"meets its objective even if slow": {func(_ *testing.T, _ *balancer.Balancer, w *balancer.Request, _ ids.Target) {
			w.Objective = 2 * time.Second
		}, false},
		"misses its objective anyway": {func(_ *testing.T, _ *balancer.Balancer, w *balancer.Request, _ ids.Target) {
			w.Objective = warmWork / 2
		}, false},
		"object is cold": {func(_ *testing.T, _ *balancer.Balancer, w *balancer.Request, _ ids.Target) {
			w.Object = balancer.HashObject("look-up", "new")
		}, false},
		"no object": {func(_ *testing.T, _ *balancer.Balancer, w *balancer.Request, _ ids.Target) {
			w.Object = balancer.NoObject
		}, false},
		"only one target has the object": {func(_ *testing.T, _ *balancer.Balancer, w *balancer.Request, _ ids.Target) {
			w.Avoid = []ids.Target{"e1-0"}
		}, false},
		"target is cold": {func(_ *testing.T, bal *balancer.Balancer, w *balancer.Request, _ ids.Target) {
			w.Objective = warmWork * 5 / 2 // it takes twice the time there
			for _, id := range []ids.Target{"e1-0", "e1-1"} {
				bal.ObserveHealth(id, balancer.LoadReport{ColdTimeLeft: time.Minute})
			}
		}, false},
		"target is limited": {func(t *testing.T, bal *balancer.Balancer, w *balancer.Request, _ ids.Target) {
			for range 2 {
				c := pick(t, bal, *w)
				c.ObserveLimit(balancer.Limit{Rate: 1000 * ids.RatePerSecond})
				c.Done(balancer.Result{})
				w.Avoid = append(w.Avoid, c.Target)
			}
			w.Avoid = nil
			time.Sleep(time.Second) // there are permits again
		}, false},
		"other service": {func(_ *testing.T, _ *balancer.Balancer, w *balancer.Request, _ ids.Target) {
			w.Service = "none"
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bal, _ := newBalancer(2, "e1")
				warmAtBoth(t, bal)
				w := request("a")
				w.Objective = warmWork * 3 / 2
				best := probe(t, bal, w).Target
				if c.change != nil {
					c.change(t, bal, &w, best)
				}
				got, ok := bal.CheckFirst(w)
				is.Equal(ok, c.want)
				if ok {
					is.True(got.Target == "e1-0" || got.Target == "e1-1")
					is.True(got.Address != "")
				}
			})
		})
	}
}

// Guards against health checks over long distances, which take longer than a target stays slow.
func TestCheckFirstNamesNoTargetOfAnotherRegion(t *testing.T) {
	for region, want := range map[ids.Region]bool{"east": true, "west": false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			bal := balancer.New(balancer.Config{Zone: "e1", Regions: map[ids.Zone]ids.Region{"e1": "east", "x1": region, "x2": region}})
			bal.SetTargets([]registrar.Target{
				{ID: "e1-0", Service: "s", Zone: "x1", Slots: slots, Address: "10.0.0.1:80"},
				{ID: "e1-1", Service: "s", Zone: "x2", Slots: slots, Address: "10.0.0.2:80"},
			})
			warmAtBoth(t, bal)
			w := request("a")
			w.Objective = warmWork * 3 / 2
			is.True(probe(t, bal, w).Warm)
			_, ok := bal.CheckFirst(w)
			is.Equal(ok, want)
		})
	}
}

// Load: a request each 5 ms. Guards against a health check with each of them.
func TestTargetIsCheckedAtMostOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, _ := newBalancer(2, "e1")
		warmAtBoth(t, bal)
		w := request("a")
		w.Objective = warmWork * 3 / 2
		checked := make(map[ids.Target][]time.Time)
		for range 400 {
			if c, ok := bal.CheckFirst(w); ok {
				checked[c.Target] = append(checked[c.Target], time.Now()) // and it gets no answer
			}
			time.Sleep(5 * time.Millisecond)
		}
		is.True(len(checked) > 0)
		for _, times := range checked {
			for i := range times[1:] {
				is.True(times[i+1].Sub(times[i]) >= 100*time.Millisecond)
			}
			is.True(len(times) <= 20)
		}
	})
}

// What a health check tells decides the choice: a request that would miss its objective goes to
// the other target that has the object. Guards against checks whose answer is not used.
func TestHealthDecidesTheChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, _ := newBalancer(2, "e1")
		warmAtBoth(t, bal)
		w := request("a")
		w.Objective = warmWork * 3 / 2
		first, ok := bal.CheckFirst(w)
		is.True(ok)
		bal.ObserveHealth(first.Target, health(slow))
		second, ok := bal.CheckFirst(w)
		is.True(ok)
		is.True(second.Target != first.Target)
		bal.ObserveHealth(second.Target, health(usual))
		_, ok = bal.CheckFirst(w)
		is.True(!ok)
		c := probe(t, bal, w)
		is.Equal(c.Target, second.Target)
		is.True(c.Warm)
		bal.ObserveHealth("unknown", health(slow)) // changes nothing
		is.Equal(probe(t, bal, w).Target, second.Target)
	})
}

// Guards against a check that counts as a use of the target: neither its requests in flight nor
// its objects may change.
func TestCheckFirstIsNoUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, _ := newBalancer(2, "e1")
		warmAtBoth(t, bal)
		dispatched, _ := bal.Dispatches(0, 1000)
		for n := range 100 {
			bal.CheckFirst(request(fmt.Sprint(n % 3)))
			time.Sleep(20 * time.Millisecond)
		}
		is.Equal(len(bal.InFlight()), 0)
		now, _ := bal.Dispatches(0, 1000)
		is.Equal(len(now), len(dispatched))
	})
}

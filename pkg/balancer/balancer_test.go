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

// The times of the work that the tests ask for: an object that is warm takes a
// third of one that is not.
const (
	objective = 400 * time.Millisecond
	warmWork  = 190 * time.Millisecond
	coldWork  = 640 * time.Millisecond
	slots     = 4
)

var regions = map[ids.Zone]ids.Region{"e1": "east", "e2": "east", "w1": "west"}

// newPlacer returns a placer at a host of zone e1 with n targets in each of zones.
func newPlacer(n int, zones ...ids.Zone) (*balancer.Balancer, []registrar.Target) {
	var all []registrar.Target
	for _, z := range zones {
		for i := range n {
			all = append(all, registrar.Target{
				ID: ids.Target(fmt.Sprintf("%s-%d", z, i)), Service: "s", Zone: z, Slots: slots,
				Address: fmt.Sprintf("10.0.%d.%d:80", len(all), i),
			})
		}
	}
	p := balancer.New(balancer.Config{Zone: "e1", Regions: regions})
	p.SetTargets(all)
	return p, all
}

func want(object string) balancer.Request {
	return balancer.Request{
		Service: "s", Class: "look-up", Object: balancer.HashObject("look-up", object),
		Objective: objective, TimeLeft: 3 * time.Second,
	}
}

func pick(t *testing.T, p *balancer.Balancer, w balancer.Request) *balancer.Choice {
	t.Helper()
	c, err := p.Pick(w)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// serve runs one request to its end.
func serve(t *testing.T, p *balancer.Balancer, w balancer.Request, d time.Duration) *balancer.Choice {
	t.Helper()
	c := pick(t, p, w)
	time.Sleep(d)
	c.Done(balancer.Result{Answered: true})
	return c
}

// Objects that are asked for again and again stay where they are warm.
func TestSkewedObjectsStayWhereTheyAreWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPlacer(4, "e1", "e2", "w1")
		first := make(map[string]ids.Target)
		for round := range 5 {
			for o := range 20 {
				object := fmt.Sprint(o)
				d := warmWork
				if round == 0 {
					d = coldWork
				}
				c := serve(t, p, want(object), d)
				if round == 0 {
					first[object] = c.Target
				}
				is.Equal(c.Target, first[object])
				is.Equal(c.Warm, round > 0)
			}
		}
	})
}

// A short queue at a warm target is better than cold work elsewhere; a long one
// is not.
func TestQueueAtTheWarmTargetIsWeighedAgainstColdWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPlacer(6, "e1")
		for o := range 6 {
			serve(t, p, want(fmt.Sprint(o)), coldWork) // All targets are in use.
		}
		home := serve(t, p, want("a"), coldWork).Target
		serve(t, p, want("a"), warmWork)
		elsewhere := 0
		for n := range 40 {
			c := pick(t, p, want("a"))
			if c.Target != home {
				elsewhere++
			}
			if n < slots+2 {
				is.Equal(c.Target, home) // a short queue
			}
		}
		is.True(elsewhere > 5) // a long queue
	})
}

// The one target of a zone does not get what it cannot end in time: the other
// zone and region take it.
func TestOneTargetInTheZoneIsNotOverrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := balancer.New(balancer.Config{Zone: "e1", Regions: regions})
		all := []registrar.Target{{ID: "only", Service: "s", Zone: "e1", Slots: slots, Address: "10.0.0.1:80"}}
		for i := range 4 {
			all = append(all, registrar.Target{
				ID: ids.Target(fmt.Sprint("far", i)), Service: "s", Zone: "w1", Slots: slots, Address: fmt.Sprintf("10.0.1.%d:80", i),
			})
		}
		p.SetTargets(all)
		at := make(map[ids.Target]int)
		for o := range 5 * slots {
			at[pick(t, p, want(fmt.Sprint(o))).Target]++
		}
		is.True(at["only"] >= slots/2)
		is.True(at["only"] <= 2*slots)
	})
}

// What cannot end in its time is refused at once, and each caller is told a time
// of its own.
func TestHopelessRequestIsRefusedOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPlacer(1, "e1")
		var busy *balancer.ErrBusy
		var err error
		n := 0
		for ; n < 200 && err == nil; n++ {
			_, err = p.Pick(want("a"))
		}
		is.True(errors.As(err, &busy))
		is.True(n > 2*slots)
		last := busy.RetryAfter
		for range 3 {
			_, err = p.Pick(want("a"))
			is.True(errors.As(err, &busy))
			is.True(busy.RetryAfter >= last)
			last = busy.RetryAfter
		}
	})
}

// While requests wait at all targets, one that would be late is refused, and one that
// would not is taken.
func TestLateRequestIsRefusedWhileMostTargetsHaveQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPlacer(2, "e1")
		serve(t, p, want("a"), coldWork)
		patient := want("a")
		patient.TimeLeft, patient.Objective = time.Minute, time.Minute
		for range 8 * slots {
			pick(t, p, patient)
		}
		hasty := want("b")
		hasty.TimeLeft = time.Minute
		_, err := p.Pick(hasty)
		var busy *balancer.ErrBusy
		is.True(errors.As(err, &busy))
		pick(t, p, patient)
	})
}

// A target that fails its requests, though it is reachable, gets few of them.
func TestGreyTargetGetsLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPlacer(3, "e1")
		grey := 0
		for i := range 300 {
			c := pick(t, p, want(fmt.Sprint(i%30)))
			time.Sleep(20 * time.Millisecond)
			if c.Target == "e1-0" {
				c.Done(balancer.Result{Failed: true})
				grey++
			} else {
				c.Done(balancer.Result{Answered: true})
			}
		}
		is.True(grey < 30)
	})
}

// A target that works several times slower than the others loses its objects.
func TestSlowTargetLosesItsObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPlacer(3, "e1")
		for o := range 12 {
			serve(t, p, want(fmt.Sprint(o)), coldWork)
		}
		late := 0
		for i := range 120 {
			c := pick(t, p, want(fmt.Sprint(i%12)))
			d := warmWork
			if !c.Warm {
				d = coldWork
			}
			if c.Target == "e1-0" {
				d *= 5
				if i > 60 {
					late++
				}
			}
			time.Sleep(d)
			c.Done(balancer.Result{Answered: true})
		}
		is.True(late < 6)
	})
}

// An unreachable target is left alone for a while, longer each time.
func TestUnreachableTargetIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPlacer(1, "e1")
		pauses := []time.Duration{}
		for range 3 {
			pick(t, p, want("a")).Done(balancer.Result{Unreachable: true})
			begun := time.Now()
			for {
				c, err := p.Pick(want("a"))
				if err == nil {
					c.Done(balancer.Result{})
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			pauses = append(pauses, time.Since(begun))
		}
		is.True(pauses[0] < pauses[1])
		is.True(pauses[1] < pauses[2])
	})
}

// After a return from a zone's loss, cold targets get no more than they bear from
// all hosts together.
func TestColdReturnKeepsToTheColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const hosts, coldRate = 5, 8.0
		var all []*balancer.Balancer
		for range hosts {
			p := balancer.New(balancer.Config{Zone: "e1", Regions: regions, ColdShare: func() float64 { return 1.0 / hosts }})
			p.SetColdRate("s", coldRate)
			p.SetTargets([]registrar.Target{{
				ID: "cold", Service: "s", Zone: "e1", Slots: 100, Address: "10.0.0.1:80", ColdUntil: time.Now().Add(3 * time.Second),
			}})
			all = append(all, p)
		}
		most := 0
		for range 3 {
			sent := 0
			for range 100 {
				for i, p := range all {
					if c, err := p.Pick(want(fmt.Sprint(i))); err == nil {
						sent++
						c.Done(balancer.Result{})
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
			most = max(most, sent)
		}
		const excess, slack = 1.5, 5
		is.True(most <= coldRate*excess+slack)
		is.True(most >= hosts)
	})
}

// A target that joined gets a request soon, though all objects are warm elsewhere.
func TestNewTargetGetsItsFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, all := newPlacer(2, "e1")
		for o := range 6 {
			serve(t, p, want(fmt.Sprint(o)), coldWork)
		}
		p.SetTargets(append(all, registrar.Target{ID: "new", Service: "s", Zone: "w1", Slots: slots, Address: "10.9.9.9:80"}))
		got := false
		for o := range 6 {
			got = got || serve(t, p, want(fmt.Sprint(o)), warmWork).Target == "new"
		}
		is.True(got)
	})
}

// Targets that drain, are in an evacuated zone, or lie outside the homes get
// nothing, also where nothing else is left.
func TestForbiddenTargetsGetNothing(t *testing.T) {
	for name, forbid := range map[string]func(*balancer.Balancer, []registrar.Target, *balancer.Request){
		"draining": func(p *balancer.Balancer, all []registrar.Target, _ *balancer.Request) {
			for i := range all {
				all[i].Draining = true
			}
			p.SetTargets(all)
		},
		"evacuated": func(p *balancer.Balancer, _ []registrar.Target, _ *balancer.Request) {
			p.SetEvacuatedZones(map[ids.Zone]bool{"e1": true})
		},
		"homes": func(_ *balancer.Balancer, _ []registrar.Target, w *balancer.Request) {
			w.HomeRegions = [][]ids.Region{{"east", "west"}, {"west"}}
		},
		"tried": func(_ *balancer.Balancer, all []registrar.Target, w *balancer.Request) {
			for _, t := range all {
				w.Avoid = append(w.Avoid, t.ID)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, all := newPlacer(2, "e1")
			w := want("a")
			pick(t, p, w)
			forbid(p, all, &w)
			_, err := p.Pick(w)
			var none *balancer.ErrNoTarget
			is.True(errors.As(err, &none))
		})
	}
}

// A restart under the same name is another target: nothing is known of it.
func TestRestartUnderTheSameNameIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, all := newPlacer(1, "e1")
		serve(t, p, want("a"), coldWork)
		is.True(pick(t, p, want("a")).Warm)
		all[0].StartMillis++
		p.SetTargets(all)
		is.True(!pick(t, p, want("a")).Warm)
	})
}

// Large bodies stay near: crossing a zone with them costs more than waiting.
func TestLargeBodyStaysInItsZone(t *testing.T) {
	is := is.New(t)
	p, _ := newPlacer(1, "e1", "e2", "w1")
	for o := range slots + slots/2 {
		w := want(fmt.Sprint(o))
		w.BodyKiB = 60
		is.Equal(pick(t, p, w).Zone, ids.Zone("e1"))
	}
}

// How many objects targets keep warm is learned from the times of answers.
func TestNumberOfWarmObjectsIsLearned(t *testing.T) {
	for _, kept := range []int{6, 30} {
		t.Run(fmt.Sprint(kept), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p, _ := newPlacer(1, "e1")
				const objects = 36
				var lately []int // the objects that the target really keeps
				wrong := 0
				for i := range 6000 {
					o := (i * i / 7) % objects
					at := -1
					for j, x := range lately {
						if x == o {
							at = j
						}
					}
					c := pick(t, p, want(fmt.Sprint(o)))
					warm := at >= 0
					d := coldWork
					if warm {
						d = warmWork
						lately = append(lately[:at], lately[at+1:]...)
					}
					lately = append(lately, o)
					if len(lately) > kept {
						lately = lately[1:]
					}
					if i > 4000 && c.Warm != warm {
						wrong++
					}
					time.Sleep(d)
					c.Done(balancer.Result{Answered: true})
				}
				is.True(wrong < 200) // of 2,000
			})
		})
	}
}

// A target that tells that it leaves gets nothing more, also after its registration
// changed or lapsed for a while; one that has started again does.
func TestLeavingTargetGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, all := newPlacer(1, "e1")
		c := pick(t, p, want("a"))
		c.Done(balancer.Result{Answered: true, Leaving: true})
		none := func() {
			t.Helper()
			_, err := p.Pick(want("a"))
			var gone *balancer.ErrNoTarget
			is.True(errors.As(err, &gone))
		}
		none()
		all[0].Slots++
		p.SetTargets(all)
		none()
		p.SetTargets(nil)
		time.Sleep(time.Minute)
		p.SetTargets(all)
		none()
		all[0].StartMillis++
		p.SetTargets(all)
		pick(t, p, want("a"))
	})
}

// A target that turned a request away for a time gets nothing for that time, though
// its registration lapses meanwhile.
func TestPausedTargetGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, all := newPlacer(1, "e1")
		c := pick(t, p, want("a"))
		c.Done(balancer.Result{Shed: true, RetryAfter: 3 * time.Second})
		for range 29 {
			time.Sleep(100 * time.Millisecond)
			_, err := p.Pick(want("a"))
			is.True(err != nil)
			p.SetTargets(nil)
			p.SetTargets(all)
		}
		time.Sleep(200 * time.Millisecond)
		pick(t, p, want("a"))
	})
}

// Objects that are new while a region is scarce get their places where there is room:
// a target that was full until now is not idle for long.
func TestNewObjectsLeaveScarceTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPlacer(2, "e1")
		bound := want("bound")
		for range 40 { // One target is always full, as its object is bound to it.
			var all []*balancer.Choice
			for range slots {
				w := bound
				w.Avoid = []ids.Target{"e1-1"}
				all = append(all, pick(t, p, w))
			}
			time.Sleep(warmWork)
			for _, c := range all {
				c.Done(balancer.Result{Answered: true})
			}
		}
		serve(t, p, want("other"), coldWork)
		scarce := 0
		for o := range 40 {
			c := pick(t, p, want(fmt.Sprint(o)))
			c.Done(balancer.Result{Answered: true})
			if c.Target == "e1-0" {
				scarce++
			}
		}
		is.True(scarce <= 4) // more than half of them where only the moment counted
	})
}

// Hosts of all zones of a region give an object the same place, so that it is cold there
// once and not in each zone.
func TestHostsOfARegionAgreeOnPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		one, all := newPlacer(4, "e1", "e2", "w1")
		other := balancer.New(balancer.Config{Zone: "e2", Regions: regions})
		other.SetTargets(all)
		for _, p := range []*balancer.Balancer{one, other} {
			for o := range len(all) {
				serve(t, p, want(fmt.Sprint("first", o)), coldWork) // No target is unused.
			}
		}
		time.Sleep(time.Minute)
		agreed, far := 0, 0
		for o := range 100 {
			a, b := pick(t, one, want(fmt.Sprint(o))), pick(t, other, want(fmt.Sprint(o)))
			if a.Target == b.Target {
				agreed++
			}
			if a.Region != "east" {
				far++
			}
			a.Done(balancer.Result{})
			b.Done(balancer.Result{})
		}
		is.True(agreed >= 25) // hardly any where only the nearest ones counted
		is.True(far <= 20)
	})
}

// On a service that is overrun, requests of a new class are refused for the wait before
// them, not for work that nobody has measured: it may be short.
func TestUnknownWorkIsNoReasonToRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, _ := newPlacer(2, "e1")
		serve(t, p, want("a"), coldWork) // One class is known.
		for n := range 4 * slots {
			w := want(fmt.Sprint("b", n))
			w.TimeLeft = time.Minute
			if _, err := p.Pick(w); err != nil {
				break
			}
		}
		fresh := balancer.Request{Service: "s", Class: "new", Objective: 3 * objective, TimeLeft: 3 * objective}
		c, err := p.Pick(fresh)
		is.NoErr(err)
		is.True(c.QueueDelay > 0 && c.QueueDelay+c.ServiceTime > fresh.TimeLeft) // It waits, and is not expected to end.
		fresh.TimeLeft = c.QueueDelay / 2
		_, err = p.Pick(fresh)
		var busy *balancer.ErrBusy
		is.True(errors.As(err, &busy)) // The wait alone is too long.
	})
}

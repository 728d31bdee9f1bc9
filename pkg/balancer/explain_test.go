package balancer_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/pacer"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

// twins are two balancers to which the same happens, except that only the first one is asked for
// explanations. pending holds the choices of both.
type twins struct {
	t       *testing.T
	rnd     *rand.Rand
	both    [2]*balancer.Balancer
	targets []registrar.Target
	pending [][2]*balancer.Choice
	// speeds is set if targets report their speed.
	speeds bool
	// outcomes counts what became of requests.
	outcomes map[string]int
}

func newTwins(t *testing.T, n int, speeds bool) *twins {
	t.Helper()
	w := &twins{t: t, rnd: seeds.NewRand(t), speeds: speeds, outcomes: make(map[string]int)}
	for i := range w.both {
		w.both[i], w.targets = newBalancer(n, "e1", "e2", "w1")
		w.both[i].SetShare(pacer.ShareOf(pacer.Place{Members: 1}, []float64{1}))
		w.both[i].SetColdRate("s", 20)
	}
	return w
}

// request returns a random request.
func (w *twins) request() balancer.Request {
	r := request([]string{"", "a", "b", fmt.Sprint(w.rnd.IntN(40))}[w.rnd.IntN(4)])
	r.Class, r.Priority = fmt.Sprint("class", w.rnd.IntN(3)), w.rnd.IntN(2)
	r.TimeLeft = time.Duration(w.rnd.IntN(4)) * 500 * time.Millisecond
	if w.rnd.IntN(6) == 0 {
		r.HomeRegions = [][]ids.Region{{"west"}}
	}
	if w.rnd.IntN(8) == 0 {
		r.Avoid = []ids.Target{w.targets[w.rnd.IntN(len(w.targets))].ID}
	}
	return r
}

// pick explains a request, and sends it by both balancers. All three must agree.
func (w *twins) pick() {
	is := is.New(w.t)
	r := w.request()
	e := w.both[0].Explain(r)
	var both [2]*balancer.Choice
	var errs [2]error
	for i, b := range w.both {
		both[i], errs[i] = b.Pick(r)
	}
	w.outcomes[e.Outcome]++
	var limited, otherLimited *balancer.ErrLimited
	var busy *balancer.ErrBusy
	switch {
	case both[0] != nil:
		is.Equal(e.Outcome, "send")
		is.Equal(e.Target, both[0].Target)
		best := e.Considered[0]
		for _, c := range e.Considered {
			if c.Best {
				best = c
			}
		}
		is.Equal(best.Target, both[0].Target)
		is.Equal(best.Backlog, both[0].Backlog)
		is.Equal(best.Warm, both[0].Warm)
		is.Equal(best.QueueDelayMs, balancer.ToMillis(both[0].QueueDelay))
		is.Equal(best.ServiceTimeMs, balancer.ToMillis(both[0].ServiceTime))
	case errors.As(errs[0], &limited):
		is.Equal(e.Outcome, "limited")
		is.Equal(e.RetryAfterMs, balancer.ToMillis(limited.RetryAfter))
		is.True(errors.As(errs[1], &otherLimited))
		is.Equal(limited.RetryAfter, otherLimited.RetryAfter)
	case errors.As(errs[0], &busy):
		is.Equal(e.Outcome, "busy") // retry delays may be random
		is.True(errors.As(errs[1], &busy))
	default:
		is.Equal(e.Outcome, "noTarget")
		is.Equal(errs[0], errs[1])
	}
	if both[0] == nil {
		is.True(both[1] == nil)
		return
	}
	is.True(both[1] != nil)
	is.Equal(both[0].Target, both[1].Target)
	is.Equal(both[0].QueueDelay, both[1].QueueDelay)
	is.Equal(both[0].ServiceTime, both[1].ServiceTime)
	w.pending = append(w.pending, both)
}

// end ends a random request.
func (w *twins) end() {
	if len(w.pending) == 0 {
		return
	}
	n := w.rnd.IntN(len(w.pending))
	result := balancer.Result{Answered: true, LoadReport: balancer.LoadReport{HasLoad: w.rnd.IntN(2) == 0, Load: w.rnd.IntN(8)}}
	if w.speeds {
		result.Slowdown = balancer.Slowdown(0.9 + 2*w.rnd.Float64())
	}
	limit := balancer.Limit{}
	switch w.rnd.IntN(40) {
	case 0:
		result = balancer.Result{Unreachable: true}
	case 1:
		result = balancer.Result{Shed: true, RetryAfter: time.Second}
	case 2:
		result = balancer.Result{Failed: true}
	case 3, 4, 5:
		limit = balancer.Limit{Rate: 3 * ids.RatePerSecond}
	case 6:
		limit.Ended = true
	}
	for _, c := range w.pending[n] {
		c.ObserveLimit(limit)
		c.Done(result)
	}
	w.pending = append(w.pending[:n], w.pending[n+1:]...)
}

// change changes the targets, or what other hosts report.
func (w *twins) change() {
	change := func(f func(b *balancer.Balancer)) {
		for _, b := range w.both {
			f(b)
		}
	}
	i := w.rnd.IntN(len(w.targets))
	switch w.rnd.IntN(5) {
	case 0:
		w.targets[i].Draining = !w.targets[i].Draining
		w.targets[len(w.targets)-1-i].ColdUntil = time.Now().Add(time.Second)
		change(func(b *balancer.Balancer) { b.SetTargets(w.targets) })
	case 1:
		zones := map[ids.Zone]bool{[]ids.Zone{"e1", "e2", "none"}[w.rnd.IntN(3)]: true}
		change(func(b *balancer.Balancer) { b.SetEvacuatedZones(zones) })
	case 2:
		report := balancer.LoadReport{HasLoad: true, Load: w.rnd.IntN(12)}
		change(func(b *balancer.Balancer) { b.ObserveHealth(w.targets[i].ID, report) })
	case 3:
		change(func(b *balancer.Balancer) { b.HasRoom("s") })
	default:
		hash := balancer.HashTarget(w.targets[i].ID)
		counts := []balancer.InFlight{{Target: hash, Count: w.rnd.IntN(8)}}
		sent := []balancer.Dispatch{{Target: hash, Object: balancer.HashObject("look-up", "a")}}
		group := ids.HostGroup(fmt.Sprint(w.rnd.IntN(20)))
		change(func(b *balancer.Balancer) { b.Merge(group, counts, sent) })
	}
}

// Guards against explanations that name another target than the next request gets, and against
// ones that change which targets later requests get.
func TestExplanationIsTrueAndChangesNothing(t *testing.T) {
	const steps = 1200
	for _, c := range []struct {
		targets int // in each of three zones
		speeds  bool
	}{{2, false}, {5, true}, {20, false}, {20, true}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTwins(t, c.targets, c.speeds)
				for range steps {
					for range w.rnd.IntN(3) {
						w.both[0].Explain(w.request())
					}
					switch n := w.rnd.IntN(20); {
					case n < 9:
						w.pick()
					case n < 14:
						w.end()
					case n < 15:
						w.change()
					case n < 16:
						r := w.request()
						want, wantOK := w.both[1].CheckFirst(r)
						e := w.both[0].Explain(r)
						got, ok := w.both[0].CheckFirst(r)
						is.New(t).Equal(got, want)
						is.New(t).Equal(ok, wantOK)
						is.New(t).Equal(e.CheckFirst, want.Target)
					default:
						time.Sleep(time.Duration(w.rnd.IntN(120)) * time.Millisecond)
					}
				}
				t.Log(w.outcomes)
				is.New(t).True(w.outcomes["send"] > steps/20)
				is.New(t).True(w.outcomes["send"] < steps/2)
			})
		})
	}
}

// Guards against retry delays that an explanation uses up, as no caller gets them then.
func TestExplanationHandsOutNoRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, _ := newBalancer(2, "e1")
		for _, err := bal.Pick(request("a")); err == nil; _, err = bal.Pick(request("a")) {
		}
		e := bal.Explain(request("a"))
		is.Equal(e.Outcome, "busy")
		is.Equal(bal.Explain(request("a")), e)
		var busy *balancer.ErrBusy
		_, err := bal.Pick(request("a"))
		is.True(errors.As(err, &busy))
		is.Equal(balancer.ToMillis(busy.RetryAfter), e.RetryAfterMs)
		is.True(bal.Explain(request("a")).RetryAfterMs > e.RetryAfterMs)
	})
}

// Guards against targets that an explanation leaves out, and against wrong reasons.
func TestExplanationTellsWhyTargetsAreNotEligible(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, all := newBalancer(3, "e1", "e2", "w1")
		pick(t, bal, avoid(request("a"), "e1-1", "e1-2")).Done(balancer.Result{Unreachable: true})
		pick(t, bal, avoid(request("a"), "e1-2")).Done(balancer.Result{Shed: true, RetryAfter: time.Second})
		pick(t, bal, request("a")).Done(balancer.Result{Answered: true, Leaving: true})
		all[3].Draining = true
		bal.SetTargets(all)
		bal.SetEvacuatedZones(map[ids.Zone]bool{"none": true})
		r := request("a")
		r.HomeRegions = [][]ids.Region{{"east"}}
		e := bal.Explain(r)
		reasons := make(map[string]int)
		for _, x := range e.Excluded {
			reasons[x.Reason]++
		}
		is.Equal(reasons, map[string]int{"ejected": 1, "paused": 1, "leaving": 1, "draining": 1, "otherHomeRegion": 3})
		is.Equal(len(e.Considered), 2)
		is.True(e.AllConsidered)
		is.True(e.Considered[0].LoadAgeMs == nil && e.Considered[0].Slowdown == nil) // unknown
		is.Equal(e.NotConsidered, 0)
		bal.SetEvacuatedZones(map[ids.Zone]bool{"e2": true})
		is.Equal(bal.Explain(r).Outcome, "noTarget")
	})
}

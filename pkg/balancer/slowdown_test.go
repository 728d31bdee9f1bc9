package balancer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// usual and slow are the slowdowns that targets report.
const (
	usual = balancer.Slowdown(1)
	slow  = balancer.Slowdown(2.5)
)

// answer returns the result of a request at a target without load that reports a slowdown.
func answer(s balancer.Slowdown) balancer.Result {
	return balancer.Result{Answered: true, LoadReport: balancer.LoadReport{HasLoad: true, Slowdown: s}}
}

// serveAt runs one request at a target that reports a slowdown.
func serveAt(t *testing.T, bal *balancer.Balancer, w balancer.Request, work time.Duration, s balancer.Slowdown) *balancer.Choice {
	t.Helper()
	c := pick(t, bal, w)
	time.Sleep(work)
	c.Done(answer(s))
	return c
}

// avoid returns the request without some targets.
func avoid(w balancer.Request, all ...ids.Target) balancer.Request {
	w.Avoid = all
	return w
}

// warmAtBoth makes the object a warm at the targets e1-0 and e1-1, which report their speed.
func warmAtBoth(t *testing.T, bal *balancer.Balancer) {
	t.Helper()
	for n := range 40 { // service times are known, and no target is unused
		serveAt(t, bal, request(fmt.Sprint("other", n%4)), warmWork, usual)
	}
	serveAt(t, bal, avoid(request("a"), "e1-0"), warmWork, usual)
	serveAt(t, bal, avoid(request("a"), "e1-1"), warmWork, usual)
	time.Sleep(time.Second) // reports have faded
}

// Load: one request after another for 24 objects at one target, whose speed flips every 600 ms.
// Guards against a belief in warm objects that collapses because work that takes 2.5 times as
// long looks cold: both while the target is slow, and where it was slow when the work began and
// reports its usual speed when it ends.
func TestWarmObjectsAreBelievedAtChangingSpeeds(t *testing.T) {
	const objects = 24
	for name, slowPart := range map[string]int{"half": 5, "mostly": 8, "rarely": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				bal, _ := newBalancer(1, "e1")
				speed := func() balancer.Slowdown {
					const period = 600 * time.Millisecond
					if int(time.Now().UnixNano()/int64(period))*7%10 < slowPart {
						return slow
					}
					return usual
				}
				const rounds = 40
				believed := 0
				for round := range rounds {
					for o := range objects {
						c := pick(t, bal, request(fmt.Sprint(o)))
						work := warmWork
						if round == 0 {
							work = coldWork
						}
						time.Sleep(time.Duration(float64(work) * float64(speed())))
						c.Done(answer(speed()))
						if c.Warm && round >= rounds/2 {
							believed++
						}
					}
				}
				t.Logf("%d of %d believed", believed, objects*rounds/2)
				is.True(believed >= objects*rounds/2*8/10)
			})
		})
	}
}

// Guards against requests that wait for a target known to be slow now while another one has the
// object too.
func TestSlowTargetIsAvoidedForAnotherWarmOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, all := newBalancer(2, "e1")
		warmAtBoth(t, bal)
		for n := range 10 {
			slowOne, other := all[n%2].ID, all[1-n%2].ID
			serveAt(t, bal, avoid(request("b"), other), warmWork, slow)
			c := pick(t, bal, request("a"))
			is.Equal(c.Target, other)
			is.True(c.Warm)
			c.Done(balancer.Result{})
			time.Sleep(time.Second) // longer than a report is used
			is.True(pick(t, bal, avoid(request("a"), other)).Target == slowOne)
		}
	})
}

// The expected times of a slow target, its queue included, follow its report and fade.
func TestExpectedTimesFollowTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, _ := newBalancer(1, "e1")
		for range 20 {
			serveAt(t, bal, request("a"), warmWork, usual)
		}
		expected := func() (work, queue time.Duration) {
			var all []*balancer.Choice
			for range slots + 1 {
				all = append(all, pick(t, bal, request("a")))
			}
			for _, c := range all {
				c.Done(balancer.Result{})
			}
			return all[slots].ServiceTime, all[slots].QueueDelay
		}
		work, queue := expected()
		serveAt(t, bal, request("a"), warmWork, slow)
		slowWork, slowQueue := expected()
		is.True(slowWork > 2*work && slowQueue > 2*queue)
		time.Sleep(300 * time.Millisecond)
		fadedWork, _ := expected()
		is.True(fadedWork > work*3/2 && fadedWork < 2*work)
		time.Sleep(300 * time.Millisecond)
		finalWork, _ := expected()
		is.Equal(finalWork, work)
	})
}

// Guards against new behaviour at services with up to 32 targets that report three figures: all
// targets are considered, and no health check is asked for.
func TestServiceWithoutSpeedIsServedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const targets = 32
		bal, _ := newBalancer(targets, "e1")
		used := make(map[ids.Target]bool)
		for n := range 30 * targets {
			w := request("a")
			w.TimeLeft = time.Minute
			_, ok := bal.CheckFirst(w)
			is.True(!ok)
			c := pick(t, bal, w)
			used[c.Target] = true
			if n%2 == 0 {
				time.Sleep(time.Millisecond)
				c.Done(balancer.Result{Answered: true, LoadReport: balancer.LoadReport{HasLoad: true, Load: 3}})
			}
			if len(used) == targets {
				return
			}
		}
		is.Fail() // some targets were never considered
	})
}

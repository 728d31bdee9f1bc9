package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// countTimeout is how long the in-flight counts of a host are used without an update.
const countTimeout = 1500 * time.Millisecond

// groupReport is the last report of a host group.
type groupReport struct {
	at     time.Time
	counts map[ids.Target]int
}

// The backlog of a target is the sum of the last reports of all host groups, whatever
// their order, and also while reports expire and targets come and go.
func TestRandomisedBacklogIsSumOfReportedInFlight(t *testing.T) {
	rnd := seeds.NewRand(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, all := newBalancer(3, "e1")
		for i := range all {
			all[i].Slots = 1000 // No request is queued.
		}
		reports := make(map[string]groupReport)
		for range 2000 {
			time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
			group := fmt.Sprint(rnd.IntN(40))
			report := groupReport{time.Now(), make(map[ids.Target]int)}
			var inFlight []balancer.InFlight
			for _, x := range all {
				if n := rnd.IntN(4); n > 0 {
					report.counts[x.ID] = n
					inFlight = append(inFlight, balancer.InFlight{Target: balancer.HashTarget(x.ID), Count: n})
				}
			}
			reports[group] = report
			bal.Merge(ids.HostGroup(group), inFlight, nil)
			if rnd.IntN(10) == 0 {
				bal.SetTargets(all[rnd.IntN(len(all)):])
			}
			bal.SetTargets(all)
			c := pick(t, bal, balancer.Request{Service: "s", Objective: time.Hour})
			c.Done(balancer.Result{})
			is.Equal(int(c.Backlog), sum(reports, c.Target))
		}
	})
}

// sum returns the in-flight requests at a target by the reports that have not expired.
func sum(reports map[string]groupReport, id ids.Target) int {
	total := 0
	for _, r := range reports {
		if time.Since(r.at) < countTimeout {
			total += r.counts[id]
		}
	}
	return total
}

// The holders of an object are still found after targets restarted, which makes them
// other targets.
func TestObjectIndexSurvivesTargetRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, all := newBalancer(3, "e1", "w1")
		rnd := rand.New(rand.NewPCG(1, 1))
		for range 1000 {
			object := fmt.Sprint(rnd.IntN(300))
			w := request(object)
			w.BodyKiB = 1 // New targets get no bonus.
			first := pick(t, bal, w)
			first.Done(balancer.Result{Answered: true})
			again := pick(t, bal, w)
			again.Done(balancer.Result{Answered: true})
			is.True(again.Warm)
			is.Equal(again.Target, first.Target)
			if rnd.IntN(20) == 0 {
				all[rnd.IntN(len(all))].StartMillis++
				bal.SetTargets(all)
			}
		}
	})
}

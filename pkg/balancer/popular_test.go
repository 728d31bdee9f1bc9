package balancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Load: many requests at once for one object. Guards against requests that are rejected, or wait
// beyond their objective, at the few candidates of the object while other targets are idle.
func TestPopularObjectSpreadsWhileThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const targets = 48
		bal, _ := newBalancer(targets, "e1")
		serve(t, bal, request("a"), coldWork)
		used := make(map[ids.Target]int)
		for range targets * slots / 2 {
			w := request("a")
			w.TimeLeft, w.Objective = 10*time.Second, 2*coldWork
			c := pick(t, bal, w)
			is.True(c.QueueDelay+c.ServiceTime <= w.Objective)
			used[c.Target]++
		}
		is.True(len(used) > 3)
	})
}

// Guards against objects that stay in another zone although a copy in the own one costs no caller
// anything: the first request there is in time without the object.
func TestObjectGetsCopyInOwnZoneIfInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		bal, all := newBalancer(20, "e1", "e2")
		var elsewhere []balancer.Dispatch
		o := balancer.HashObject("look-up", "a")
		for _, target := range all {
			if target.Zone == "e2" {
				elsewhere = append(elsewhere, balancer.Dispatch{Target: balancer.HashTarget(target.ID), Object: o})
			}
		}
		serve(t, bal, request("other"), coldWork)
		bal.Merge("e2", nil, elsewhere)
		hasty, patient := request("a"), request("a")
		patient.Objective = 3 * coldWork
		hasty.BodyKiB, patient.BodyKiB = 1, 1 // requests without a body go to unused targets first
		c := pick(t, bal, hasty)
		is.Equal(c.Zone, ids.Zone("e2")) // late without the object
		c.Done(balancer.Result{})
		is.Equal(pick(t, bal, patient).Zone, ids.Zone("e1"))
	})
}

package balancer_test

import (
	"fmt"
	"testing"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// BenchmarkPickAtSize measures Pick by the number of targets and of reporting host
// groups.
func BenchmarkPickAtSize(b *testing.B) {
	for _, targets := range []int{50, 300, 600, 2000} {
		for _, groups := range []int{10, 200, 2000} {
			b.Run(fmt.Sprintf("targets=%d/groups=%d", targets, groups), func(b *testing.B) {
				bal, all := newBalancer(targets/2, "e1", "w1")
				var inFlight []balancer.InFlight
				for _, t := range all {
					inFlight = append(inFlight, balancer.InFlight{Target: balancer.HashTarget(t.ID), Count: 1})
				}
				for i := range groups {
					bal.Merge(ids.HostGroup(fmt.Sprint(i)), inFlight, nil)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					w := request(fmt.Sprint(i % 1000))
					w.TimeLeft = 0
					if c, err := bal.Pick(w); err == nil {
						c.Done(balancer.Result{Answered: true})
					}
				}
			})
		}
	}
}

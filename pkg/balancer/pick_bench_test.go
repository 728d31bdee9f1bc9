package balancer_test

import (
	"fmt"
	"testing"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// BenchmarkPickAtSize measures one choice by the number of targets and of those who
// tell of their requests.
func BenchmarkPickAtSize(b *testing.B) {
	for _, targets := range []int{50, 300, 600, 2000} {
		for _, scopes := range []int{10, 200, 2000} {
			b.Run(fmt.Sprintf("targets=%d/scopes=%d", targets, scopes), func(b *testing.B) {
				p, all := newPlacer(targets/2, "e1", "w1")
				var running []balancer.InFlight
				for _, t := range all {
					running = append(running, balancer.InFlight{Target: balancer.HashTarget(t.ID), Count: 1})
				}
				for i := range scopes {
					p.Merge(ids.HostGroup(fmt.Sprint(i)), running, nil)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					w := want(fmt.Sprint(i % 1000))
					w.TimeLeft = 0
					if c, err := p.Pick(w); err == nil {
						c.Done(balancer.Result{Answered: true})
					}
				}
			})
		}
	}
}

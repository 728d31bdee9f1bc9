package placer_test

import (
	"fmt"
	"testing"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/placer"
)

// BenchmarkPickAtSize measures one choice by the number of targets and of those who
// tell of their requests.
func BenchmarkPickAtSize(b *testing.B) {
	for _, targets := range []int{50, 300, 600, 2000} {
		for _, scopes := range []int{10, 200, 2000} {
			b.Run(fmt.Sprintf("targets=%d/scopes=%d", targets, scopes), func(b *testing.B) {
				p, all := newPlacer(targets/2, "e1", "w1")
				var running []placer.Running
				for _, t := range all {
					running = append(running, placer.Running{Target: placer.NameTarget(t.ID), Count: 1})
				}
				for i := range scopes {
					p.Absorb(ids.Scope(fmt.Sprint(i)), running, nil)
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					w := want(fmt.Sprint(i % 1000))
					w.Left = 0
					if c, err := p.Pick(w); err == nil {
						c.Done(placer.Outcome{Answered: true})
					}
				}
			})
		}
	}
}

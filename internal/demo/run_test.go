package demo_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/demo"
	"gypsumbeam.example/gypsumbeam/internal/seeds"
)

// A run of each deployment must keep all promises. It runs on the virtual clock, so
// that a slow machine breaks no time limit.
func TestRandomisedRunsHoldTheirPromises(t *testing.T) {
	seed := seeds.NewRand(t).Uint64()
	for _, deployment := range demo.Deployments() {
		t.Run(deployment, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var progress strings.Builder
				d, err := demo.New(demo.Config{
					Deployment: deployment, Duration: 10 * time.Second, Seed: seed, LoadFactor: 0.5, InMemory: true, Progress: &progress,
				})
				is.NoErr(err)
				report, err := d.Run(t.Context())
				is.NoErr(err)
				is.True(report.Answered > 0)
				is.Equal(len(report.Stops), 2) // one host died and one stopped
				seen := 0
				for _, p := range report.Promises {
					switch p.State {
					case demo.Held:
						seen++
					case demo.NotSeen:
						t.Logf("not seen: %s (%s)", p.Name, p.Seen)
					default:
						t.Errorf("%s: %s (%s)", p.State, p.Name, p.Seen)
					}
				}
				is.True(seen > len(report.Promises)/2)
				if t.Failed() {
					t.Log(progress.String())
				}
			})
		})
	}
}

package limitsim

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
)

var table = flag.Bool("table", false, "measure the whole table of docs/design/limits.md")

var (
	halvorsen = Delays{SameZone: 200 * time.Microsecond, CrossZone: 500 * time.Microsecond, CrossRegion: 20 * time.Millisecond}
	crested   = Delays{SameZone: 200 * time.Microsecond, CrossZone: 1500 * time.Microsecond, CrossRegion: 12 * time.Millisecond}
)

// maxShortfall is the largest shortfall that issue 4 allows.
func maxShortfall(cfg Config) float64 {
	switch {
	case cfg.Load > 1:
		return 0.005
	case cfg.Skewed:
		return 0.001
	default:
		return 0.0005
	}
}

func measure(t *testing.T, name string, cfg Config) {
	cfg.Seed = seeds.NewRand(t).Uint64()
	synctest.Test(t, func(t *testing.T) {
		r := Run(t.Context(), cfg)
		t.Logf("%s hosts=%d load=%.1f skewed=%v R=%.0f B=%d | %.3f%% (R/N %.2f%%, owner %.3f%%) breaches=%d | wait p50 %s p99 %s (owner %s %s) | calls/s/host %.1f (owner %.1f) | %d of %d",
			name, cfg.Hosts, cfg.Load, cfg.Skewed, cfg.Rate, cfg.Burst,
			100*r.Shortfall(r.Admitted), 100*r.Shortfall(r.EqualSplit), 100*r.Shortfall(r.Owner), r.Breaches,
			r.WaitP50.Round(100*time.Microsecond), r.WaitP99.Round(100*time.Microsecond), r.OwnerWaitP50, r.OwnerWaitP99,
			r.CallRate, r.OwnerCallRate, r.Admitted, r.Arrivals)
		if r.Breaches > 0 {
			t.Errorf("the checker reported %d breaches", r.Breaches)
		}
		if got := r.Shortfall(r.Admitted); got > maxShortfall(cfg) {
			t.Errorf("shortfall %.4f%%, above the allowed %.4f%%", 100*got, 100*maxShortfall(cfg))
		}
	})
}

// TestLimitTable checks the shortfall and the limits for every load with 11 hosts
// of one deployment, or with -table for every fleet size of both deployments.
func TestLimitTable(t *testing.T) {
	sizes := []int{11}
	deployments := map[string]Delays{"halvorsen": halvorsen}
	if *table {
		sizes = []int{3, 6, 11, 24}
		deployments["crested"] = crested
	}
	for name, d := range deployments {
		for _, n := range sizes {
			for _, skewed := range []bool{false, true} {
				for _, load := range []float64{0.7, 0.9, 1.2, 5} {
					t.Run(fmt.Sprintf("%s/%d/skewed=%v/%.1f", name, n, skewed, load), func(t *testing.T) {
						t.Parallel()
						measure(t, name, Config{
							Hosts: n, Delay: d, Rate: 100, Burst: 50, Load: load, Skewed: skewed,
							Duration: seeds.VirtualDuration(time.Minute),
						})
					})
				}
			}
		}
	}
}

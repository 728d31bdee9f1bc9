package slotsim_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/internal/slotsim"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// TestLatencyAgainstBaselines checks the objective that p99 stays within 1.3 times
// the ideal at 80% of the slots. With -virtual it prints the table of
// docs/design/choice-of-target.md.
func TestLatencyAgainstBaselines(t *testing.T) {
	cfg := newFleetConfig()
	utilisations := []float64{0.8}
	if seeds.VirtualDuration(0) > 0 {
		utilisations = []float64{0.5, 0.8, 0.95, 1.5}
	}
	for _, firstHostShare := range []float64{0, 0.8} {
		for _, utilisation := range utilisations {
			l := slotsim.Load{
				Utilisation: utilisation, MeanWork: meanWork, Duration: seeds.VirtualDuration(2 * time.Second), FirstHostShare: firstHostShare, Seed: 1,
				WorkspaceShares: map[ids.Workspace]float64{"a": 1, "b": 1},
			}
			ideal := slotsim.RunIdeal(cfg, l)
			logRow := func(name string, o *slotsim.Outcome) float64 {
				ratio := float64(o.Percentile(0.99)) / float64(ideal.Percentile(0.99))
				t.Logf("| %.0f%% | %.0f%% | %s | %.1f ms | %.1f ms | %.2f | %.2f%% |", 100*utilisation, 100*firstHostShare, name,
					milliseconds(o.Percentile(0.5)), milliseconds(o.Percentile(0.99)), ratio, 100*o.RefusedShare())
				return ratio
			}
			logRow("ideal", ideal)
			logRow("round robin", slotsim.RunRoundRobin(cfg, l))
			logRow("least reported load", slotsim.RunLeastReported(cfg, l))
			synctest.Test(t, func(t *testing.T) {
				o, f := slotsim.Run(cfg, l, nil)
				checkLimits(t, f)
				t.Logf("%.2f messages a request", float64(f.Messages())/float64(o.Requests()))
				if ratio := logRow("gypsumbeam", o); utilisation <= 0.8 && ratio > 1.3 {
					t.Errorf("p99 at %.0f%% of slots is %.2f times the ideal", 100*utilisation, ratio)
				}
			})
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func TestTimeToLeaveATarget(t *testing.T) {
	cfg := newFleetConfig()
	l := slotsim.Load{
		Utilisation: 0.6, MeanWork: meanWork, Duration: 3 * time.Second, Seed: 2,
		WorkspaceShares: map[ids.Workspace]float64{"a": 1, "b": 1},
	}
	for _, tc := range []struct {
		name  string
		limit time.Duration
		fail  func(b *target.Target)
	}{
		{"dead", time.Second, (*target.Target).Crash},
		{"shedding", time.Second, func(b *target.Target) { b.SetBehaviour(func(b *target.Behaviour) { b.ShedShare = 1 }) }},
		{"slow", 2 * time.Second, func(b *target.Target) { b.SetBehaviour(func(b *target.Behaviour) { b.SlowFactor = 20 }) }},
		{"failing", time.Second, func(b *target.Target) { b.SetBehaviour(func(b *target.Behaviour) { b.ErrorShare = 1 }) }},
		{"leaving", 3 * time.Second, (*target.Target).Drain},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var at time.Time
			o, f := slotsim.Run(cfg, l, func(f *slotsim.Fleet) {
				at = time.Now()
				tc.fail(f.Target(0))
			})
			checkLimits(t, f)
			timeToLeave := o.TimeToLeave("shop-0", at, targetCount)
			lastRequest := time.Duration(0)
			for _, w := range f.Target(0).Stats().Late {
				lastRequest = max(lastRequest, w.After)
			}
			t.Logf("| %s | %v | last late work %v | %.1f ms |", tc.name, timeToLeave, lastRequest, milliseconds(o.Percentile(0.99)))
			is.True(timeToLeave < tc.limit)
			is.True(lastRequest < 3*time.Second) // a leaving target gets no new requests after that
		})
	}
}

func TestMisleadingEndpointsAreTolerated(t *testing.T) {
	cfg := newFleetConfig()
	l := slotsim.Load{
		Utilisation: 0.8, MeanWork: meanWork, Duration: seeds.VirtualDuration(2 * time.Second), Seed: 4,
		WorkspaceShares: map[ids.Workspace]float64{"a": 1, "b": 1},
	}
	ideal := slotsim.RunIdeal(cfg, l).Percentile(0.99)
	for name, mislead := range map[string]func(b *target.Behaviour){
		"load says idle":        func(b *target.Behaviour) { b.Load.Override = "idle" },
		"load says busy":        func(b *target.Behaviour) { b.Load.Override = "busy" },
		"load lags 2 s":         func(b *target.Behaviour) { b.Load.Lag = 2 * time.Second },
		"load and health stuck": func(b *target.Behaviour) { b.Load.Stuck, b.Health.Stuck = true, true },
		"health says unhealthy": func(b *target.Behaviour) { b.Health.Override = "unhealthy" },
	} {
		synctest.Test(t, func(t *testing.T) {
			o, f := slotsim.Run(cfg, l, func(f *slotsim.Fleet) { f.Target(0).SetBehaviour(mislead) })
			checkLimits(t, f)
			ratio := float64(o.Percentile(0.99)) / float64(ideal)
			t.Logf("| %s | %.1f ms | %.1f ms | %.2f | %.2f%% |",
				name, milliseconds(o.Percentile(0.5)), milliseconds(o.Percentile(0.99)), ratio, 100*o.RefusedShare())
			if ratio > 1.3 || o.RefusedShare() > 0 {
				t.Errorf("%s: p99 is %.2f times the ideal", name, ratio)
			}
		})
	}
}

func TestFloodDelaysOnlyItself(t *testing.T) {
	cfg := newFleetConfig()
	cfg.WorkspaceWeights = map[ids.Workspace]float64{"a": 1, "b": 1, "c": 1, "flood": 1}
	normal := slotsim.Load{
		Utilisation: 0.8, MeanWork: meanWork, Duration: seeds.VirtualDuration(2 * time.Second), Seed: 3,
		WorkspaceShares: map[ids.Workspace]float64{"a": 1, "b": 1, "c": 1, "flood": 1},
	}
	flooded := normal
	flooded.Utilisation = 1.6
	flooded.WorkspaceShares = map[ids.Workspace]float64{"a": 1, "b": 1, "c": 1, "flood": 5}
	others := []ids.Workspace{"a", "b", "c"}
	logRow := func(name string, o *slotsim.Outcome) {
		t.Logf("| %s | %.1f ms | %.1f ms | %.2f%% | %.2f%% |", name, milliseconds(o.Percentile(0.5, others...)),
			milliseconds(o.Percentile(0.99, others...)), 100*o.RefusedShare(others...), 100*o.RefusedShare("flood"))
	}
	logRow("one queue without fairness, flooded", slotsim.RunIdeal(cfg, flooded))
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before, f := slotsim.Run(cfg, normal, nil)
		checkLimits(t, f)
		logRow("gypsumbeam, no flood", before)
		after, f := slotsim.Run(cfg, flooded, nil)
		checkLimits(t, f)
		logRow("gypsumbeam, flooded", after)
		is.True(after.RefusedShare(others...) < 0.001)
	})
}

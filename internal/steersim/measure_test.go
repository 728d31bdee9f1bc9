package steersim_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/steersim"
	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const shiftPerMinute = 0.25

// deployment is a fleet, sized for its service with the most slots.
type deployment struct {
	name    string
	regions []steersim.Region
}

var deployments = []deployment{
	{"crested", []steersim.Region{{Name: "connacht", Upstreams: 6, Hosts: 4}, {Name: "leinster", Upstreams: 5, Hosts: 4}, {Name: "munster", Upstreams: 5, Hosts: 3}}},
	{"halvorsen", []steersim.Region{{Name: "sask", Upstreams: 9, Hosts: 4}, {Name: "alta", Upstreams: 9, Hosts: 4}, {Name: "mani", Upstreams: 9, Hosts: 3}}},
}

// scenario is a sequence of events in a fleet, mostly in its first region.
type scenario struct {
	name string
	load float64
	// fits means that the remaining slots suffice for all traffic, so that no
	// region may be overloaded at any time.
	fits bool
	run  func(s *steersim.Sim, first, second ids.Region)
}

var scenarios = []scenario{
	{"steady", 0.8, true, func(s *steersim.Sim, _, _ ids.Region) { s.Run(2 * time.Minute) }},
	{"dies", 0.55, true, func(s *steersim.Sim, first, _ ids.Region) {
		s.SetDead(first, true)
		s.Run(3 * time.Minute)
	}},
	{"dies at high load", 0.75, false, func(s *steersim.Sim, first, _ ids.Region) {
		s.SetDead(first, true)
		s.Run(6 * time.Minute)
	}},
	{"drained", 0.5, true, func(s *steersim.Sim, first, _ ids.Region) {
		s.Change(func(doc *config.Document) { doc.Drains.Regions = []ids.Region{first} })
		s.Run(5 * time.Minute)
	}},
	{"preset there and back", 0.4, true, func(s *steersim.Sim, _, _ ids.Region) {
		for _, p := range []ids.Preset{"away", "ordinary", "away", "ordinary"} {
			s.Change(func(doc *config.Document) { doc.Preset = p })
			s.Run(30 * time.Second)
		}
	}},
	{"preset overloads", 0.6, true, func(s *steersim.Sim, _, _ ids.Region) {
		s.Change(func(doc *config.Document) { doc.Preset = "away" })
		s.Run(6 * time.Minute)
	}},
	{"crowded", 0.4, false, func(s *steersim.Sim, first, _ ids.Region) {
		s.SetLoad(first, 1.2)
		s.Run(5 * time.Minute)
	}},
	{"flaps", 0.5, true, func(s *steersim.Sim, first, _ ids.Region) {
		for range 12 {
			s.SetDead(first, true)
			s.Run(5 * time.Second)
			s.SetDead(first, false)
			s.Run(5 * time.Second)
		}
	}},
}

// runScenario runs one scenario. It returns the simulation, with measurements from
// the start of the scenario, and the time until the last request was sent to a dead
// host.
func runScenario(t *testing.T, d deployment, sc scenario, p steersim.Policy, lag time.Duration) (*steersim.Sim, time.Duration) {
	var s *steersim.Sim
	var failureTime time.Duration
	synctest.Test(t, func(t *testing.T) {
		cfg := steersim.Config{
			ServiceTime: 50 * time.Millisecond, Lag: lag, ShiftPerMinute: shiftPerMinute, Policy: p, Seed: 1,
			Presets: []config.Preset{{Name: "away", Weights: []config.RegionWeight{{From: d.regions[0].Name, To: d.regions[1].Name, Weight: 1}}}},
		}
		for _, r := range d.regions {
			r.Load = sc.load
			cfg.Regions = append(cfg.Regions, r)
		}
		s = steersim.New(cfg)
		s.Run(80 * time.Second)
		s.Reset()
		begun := time.Now()
		sc.run(s, d.regions[0].Name, d.regions[1].Name)
		if !s.Result.LastFailed.IsZero() {
			failureTime = s.Result.LastFailed.Sub(begun)
		}
	})
	return s, failureTime
}

var measureAll = flag.Bool("all", false, "measure both deployments with all scenarios, lags and baseline policies")

// TestMeasure checks that steered runs keep the shift cap and overload no region if
// the traffic fits. With -v -args -all it prints the table of
// docs/design/steering.md.
func TestMeasure(t *testing.T) {
	if !*measureAll {
		for _, sc := range scenarios {
			t.Run(sc.name, func(t *testing.T) {
				t.Parallel()
				measure(t, deployments[0], sc, steersim.Steered, time.Second)
			})
		}
		return
	}
	for _, d := range deployments {
		for _, sc := range scenarios {
			for _, p := range []steersim.Policy{steersim.Steered, steersim.Uncapped, steersim.Static, steersim.ByReports} {
				t.Run(fmt.Sprintf("%s/%s/%s", d.name, sc.name, p), func(t *testing.T) {
					measure(t, d, sc, p, time.Second)
				})
			}
		}
	}
}

// TestMeasureLag repeats the steered runs with other lags.
func TestMeasureLag(t *testing.T) {
	if !*measureAll {
		t.Skip("runs only with -args -all")
	}
	for _, lag := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
		for _, sc := range scenarios {
			t.Run(fmt.Sprintf("%v/%s", lag, sc.name), func(t *testing.T) {
				measure(t, deployments[0], sc, steersim.Steered, lag)
			})
		}
	}
}

func measure(t *testing.T, d deployment, sc scenario, p steersim.Policy, lag time.Duration) {
	s, failureTime := runScenario(t, d, sc, p, lag)
	r := &s.Result
	t.Logf("worst utilisation %.2f, over %.2fs, growth in a minute %.2f, failed %.2f%%, refused %.2f%%, last failed after %.1fs, host imbalance %.2f, swing %.1f",
		r.MaxUtilisation(), r.Overload.Seconds(), r.MaxGrowth, percent(r.Failed, r.Offered), percent(r.Refused, r.Offered),
		failureTime.Seconds(), r.HostImbalance, r.Swing)
	if p != steersim.Steered {
		return
	}
	for _, b := range s.Breaches() {
		t.Errorf("shift cap exceeded: %s", b.Message)
	}
	if r.MaxGrowth > shiftPerMinute*(1+checker.ShiftBurst.Seconds()/checker.ShiftPeriod.Seconds()) {
		t.Errorf("requests taken over by a region grew by %.3f of its capacity within a minute, over the shift cap", r.MaxGrowth)
	}
	if sc.fits && r.Overload > 0 {
		t.Errorf("regions were overloaded by %v (integral over time) although the slots suffice for all traffic", r.Overload)
	}
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

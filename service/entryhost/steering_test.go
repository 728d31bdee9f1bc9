package entryhost_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// shiftShare is a shift cap that the load of startLoad exceeds.
const shiftShare = 0.01

// steeredFleet returns a large fleet that derives its callers' regions from their
// addresses.
func steeredFleet(shiftPerMinute float64) fleet.Config {
	cfg := largeFleet()
	for i, r := range cfg.Document.Regions {
		cfg.Document.ClientBlocks = append(cfg.Document.ClientBlocks,
			config.ClientBlock{Prefix: fmt.Sprintf("127.%d.0.0/16", fleet.DefaultNetworkNumber+i), Region: r.Name})
	}
	cfg.Document.Limits.ShiftPerMinute = shiftPerMinute
	cfg.Document.Presets = append(cfg.Document.Presets, config.Preset{Name: "west", Weights: []config.RegionWeight{
		{From: "east", To: "west", Weight: 1}, {From: "north", To: "west", Weight: 1},
	}})
	return cfg
}

// nodesOf returns the nodes of a region's entry hosts.
func nodesOf(fl *fleet.Fleet, r ids.Region) []*fleet.Node {
	var all []*fleet.Node
	for _, n := range fl.Nodes() {
		if n.Config.Region == r {
			all = append(all, n)
		}
	}
	return all
}

// ranFrom returns the number of requests without a key of a region's callers that
// ran.
func (l *load) ranFrom(r ids.Region) int {
	l.audit.mu.Lock()
	defer l.audit.mu.Unlock()
	n := 0
	for _, at := range l.audit.attempts {
		if at.status == http.StatusOK && at.key == "" && strings.Contains(at.id, "-"+string(r)+"-") {
			n++
		}
	}
	return n
}

func TestDeadRegionsCallersComeUnderTheCap(t *testing.T) {
	cfg := steeredFleet(shiftShare)
	withFleet(t, cfg, func(t *testing.T, fl *fleet.Fleet) {
		time.Sleep(5 * time.Second)
		l := startLoad(t, fl, cfg.Document, 1)
		time.Sleep(20 * time.Second)
		for _, n := range nodesOf(fl, "east") {
			fl.KillNode(n)
		}
		time.Sleep(time.Second)
		before := l.ranFrom("east")
		time.Sleep(time.Minute)
		ran := l.ranFrom("east") - before
		l.stop()
		// Each other region has 12 slots and a mean service time of 50 ms, so it
		// serves 240 requests a second. It takes over shiftShare of these for the
		// minute, and a burst of 1 s.
		limit := 2 * shiftShare * 240 * 61.0
		t.Logf("%d requests were taken over, the cap lets in %.0f", ran, limit)
		if float64(ran) > limit {
			t.Errorf("%d requests of a dead region's callers ran in a minute, over %.0f", ran, limit)
		}
		if float64(ran) < limit/4 {
			t.Errorf("only %d requests of a dead region's callers ran in a minute, of %.0f", ran, limit)
		}
	})
}

func TestShiftCapRefusesNoCallerOfServingRegion(t *testing.T) {
	cfg := steeredFleet(shiftShare)
	withFleet(t, cfg, func(t *testing.T, fl *fleet.Fleet) {
		time.Sleep(5 * time.Second)
		l := startLoad(t, fl, cfg.Document, 0.5)
		time.Sleep(20 * time.Second)
		applyChange(t, fl, func(doc *config.Document) { doc.Preset = "west" })
		time.Sleep(15 * time.Second)
		applyChange(t, fl, func(doc *config.Document) { doc.Preset = "ordinary" })
		time.Sleep(5 * time.Second)
		applyChange(t, fl, func(doc *config.Document) { doc.Preset = "west" })
		time.Sleep(15 * time.Second)
		l.stop()
		l.audit.check(t, fl)
		for _, at := range l.audit.attempts {
			if at.status == http.StatusServiceUnavailable {
				t.Errorf("request %s was refused though its own region serves", at.id)
			}
		}
	})
}

func TestShiftsRandomised(t *testing.T) {
	rng := seeds.NewRand(t)
	cfg := steeredFleet(shiftShare)
	withFleet(t, cfg, func(t *testing.T, fl *fleet.Fleet) {
		time.Sleep(5 * time.Second)
		l := startLoad(t, fl, cfg.Document, 1)
		presets := []ids.Preset{"ordinary", "maintenance", "west"}
		for end := time.Now().Add(seeds.VirtualDuration(30 * time.Second)); time.Now().Before(end); {
			region := cfg.Document.Regions[rng.IntN(3)].Name
			switch rng.IntN(4) {
			case 0:
				applyChange(t, fl, func(doc *config.Document) { doc.Preset = presets[rng.IntN(3)] })
			case 1:
				applyChange(t, fl, func(doc *config.Document) { doc.Drains.Regions = []ids.Region{region} })
			case 2:
				applyChange(t, fl, func(doc *config.Document) { doc.Drains.Regions = nil })
			default:
				restart(t, fl, nodesOf(fl, region)[:1+rng.IntN(3)], time.Duration(1+rng.IntN(10))*time.Second)
			}
			time.Sleep(time.Duration(1+rng.IntN(15)) * time.Second)
		}
		l.stop()
		l.audit.check(t, fl)
	})
}

// restart kills hosts and starts them again after down. With no downtime, net/http
// itself would retry an aborted request at the new process, and the audit would
// miss it.
func restart(t *testing.T, fl *fleet.Fleet, nodes []*fleet.Node, down time.Duration) {
	t.Helper()
	for _, n := range nodes {
		fl.KillNode(n)
	}
	time.Sleep(down)
	for _, n := range nodes {
		if err := fl.StartNode(n); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := fl.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
}

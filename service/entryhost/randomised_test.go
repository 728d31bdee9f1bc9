package entryhost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// largeDocument returns the configuration of a fleet with three regions and twelve
// seats.
func largeDocument() *config.Document {
	doc := &config.Document{
		Fleet:      "large",
		Workspaces: []config.Workspace{{Name: "school", Rate: 60, Burst: 30}, {Name: "club", Rate: 15, Burst: 6}, {Name: "coach", Rate: 4, Burst: 2}},
		Presets: []config.Preset{
			{Name: "ordinary"},
			{Name: "peak", Rates: []config.PresetRate{{Workspace: "school", Rate: 90, Burst: 40}}},
			{Name: "maintenance", Weights: []config.RegionWeight{{From: "east", To: "west", Weight: 1}}},
		},
		Preset: "ordinary",
		Services: []config.Service{
			{Name: "shop", Slots: 3, TimeoutMs: 2000},
			{Name: "till", Slots: 2, TimeoutMs: 2000, Routes: []config.Route{{Prefix: "/pay", Once: true}}},
		},
	}
	for _, r := range []ids.Region{"east", "west", "north"} {
		zones := []ids.Zone{ids.Zone(r + "-a"), ids.Zone(r + "-b")}
		doc.Regions = append(doc.Regions, config.Region{Name: r, Zones: zones, Seats: 4})
		for i := range doc.Services {
			for j := range 4 {
				doc.Services[i].Upstreams = append(doc.Services[i].Upstreams, config.Upstream{
					Name: ids.Target(fmt.Sprintf("%s-%s-%d", doc.Services[i].Name, r, j)), Region: r, Zone: zones[j%2],
				})
			}
		}
	}
	return doc
}

// faultInjector causes random faults in a fleet while callers send requests.
type faultInjector struct {
	t     *testing.T
	fl    *fleet.Fleet
	rng   *rand.Rand
	audit audit
	wg    sync.WaitGroup
	doc   *config.Document
}

// injectFault causes one random fault of a random duration.
func (c *faultInjector) injectFault(ctx context.Context) {
	node := c.fl.Nodes()[c.rng.IntN(len(c.fl.Nodes()))]
	duration := time.Duration(1+c.rng.IntN(20)) * time.Second
	faults := []struct {
		name string
		do   func()
	}{
		{"store down", func() { c.fl.Store.SetDown(true); c.undoAfter(ctx, duration, func() { c.fl.Store.SetDown(false) }) }},
		{"store slow", func() {
			c.fl.Store.SetLatency(3 * time.Second)
			c.undoAfter(ctx, duration, func() { c.fl.Store.SetLatency(0) })
		}},
		{"store responses lost", func() { c.fl.Store.LoseResponses(3) }},
		{"host dies " + node.IP(), func() { c.fl.KillNode(node); c.undoAfter(ctx, duration, func() { c.startNode(node) }) }},
		{"host freezes " + node.IP(), func() {
			c.fl.Network.SetFrozen(node.IP(), true)
			c.undoAfter(ctx, duration, func() { c.fl.Network.SetFrozen(node.IP(), false) })
		}},
		{"host stops " + node.IP(), func() { c.stopNode(ctx, node, duration) }},
		{"region cut off " + string(node.Config.Region), func() { c.partition(ctx, node.Config.Region, duration) }},
		{"target crashes", func() { c.crashTarget(ctx, duration) }},
		{"configuration changes", func() { c.changeConfiguration(ctx) }},
	}
	f := faults[c.rng.IntN(len(faults))]
	c.fl.Checker.Tracef("fault: %s for %v", f.name, duration)
	f.do()
}

// undoAfter runs undo after d, or when ctx ends.
func (c *faultInjector) undoAfter(ctx context.Context, d time.Duration, undo func()) {
	c.wg.Go(func() {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
		undo()
	})
}

func (c *faultInjector) startNode(n *fleet.Node) {
	if c.fl.Running(n) {
		return
	}
	if err := c.fl.StartNode(n); err != nil {
		c.t.Errorf("start %s: %v", n.IP(), err)
	}
}

func (c *faultInjector) stopNode(ctx context.Context, n *fleet.Node, duration time.Duration) {
	if !c.fl.Running(n) {
		return
	}
	c.wg.Go(func() {
		if err := c.fl.StopNode(context.Background(), n); err != nil {
			c.fl.Checker.Tracef("stop of %s was not clean: %v", n.IP(), err)
		}
		c.undoAfter(ctx, duration, func() { c.startNode(n) })
	})
}

// partition cuts a region's hosts off from the hosts of other regions and the
// store, in one or both directions.
func (c *faultInjector) partition(ctx context.Context, r ids.Region, duration time.Duration) {
	both := c.rng.IntN(2) == 0
	set := func(cut bool) {
		for _, a := range c.fl.Nodes() {
			for _, b := range c.fl.Nodes() {
				if a.Config.Region == r && b.Config.Region != r {
					c.fl.Network.SetCut(a.IP(), b.IP(), cut)
					c.fl.Network.SetCut(b.IP(), a.IP(), cut && both)
				}
			}
			if a.Config.Region == r {
				c.fl.Network.SetCut(a.IP(), c.fl.StoreIP(), cut)
			}
		}
	}
	set(true)
	c.undoAfter(ctx, duration, func() { set(false) })
}

func (c *faultInjector) crashTarget(ctx context.Context, duration time.Duration) {
	svc := c.doc.Services[c.rng.IntN(len(c.doc.Services))]
	u := svc.Upstreams[c.rng.IntN(len(svc.Upstreams))]
	t := c.fl.Targets[u.Name]
	t.Crash()
	c.undoAfter(ctx, duration, func() {
		// A second fault may have restarted it.
		if l, err := c.fl.Listen(u.Address); err == nil {
			t.Start(l)
		}
	})
}

// changeConfiguration applies a random preset, rate and burst through the
// operators' interface.
func (c *faultInjector) changeConfiguration(ctx context.Context) {
	doc := *c.doc
	doc.Preset = c.doc.Presets[c.rng.IntN(len(c.doc.Presets))].Name
	doc.Workspaces = append([]config.Workspace(nil), c.doc.Workspaces...)
	doc.Workspaces[1].Rate = float64(10 + c.rng.IntN(20))
	doc.Workspaces[1].Burst = 2 + c.rng.IntN(10)
	text, err := json.Marshal(&doc)
	if err != nil {
		c.t.Fatal(err)
	}
	c.wg.Go(func() {
		operator := c.fl.OperatorsClient()
		current, err := operator.Document(ctx)
		if err != nil {
			return
		}
		applied, err := operator.Apply(ctx, text, current.Revision)
		c.fl.Checker.Tracef("apply on %d: %v %v", current.Revision, applied, err)
	})
}

func TestFleetRandomised(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &faultInjector{t: t, rng: seeds.NewRand(t), doc: largeDocument()}
		fl, err := fleet.New(fleet.Config{
			Document: c.doc, HostsPerRegion: []int{4, 4, 3},
			ZoneDelay: time.Millisecond, RegionDelay: 12 * time.Millisecond, ClientDelay: time.Millisecond,
			ConfigureTarget: func(_ *config.Service, cfg *target.Config) {
				cfg.ServiceTime = func(rng *rand.Rand) time.Duration {
					return time.Duration(20+rng.IntN(60)) * time.Millisecond
				}
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		c.fl = fl
		started, cancelStart := context.WithTimeout(t.Context(), time.Minute)
		defer cancelStart()
		if err := fl.Start(started); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		c.run(seeds.VirtualDuration(30 * time.Second))
		c.checkRecovery()
		fl.Stop()
		synctest.Wait()
		c.audit.check(t, fl)
		for i, b := range fl.Checker.Breaches() {
			t.Errorf("breach: %s", b.Message)
			if i == 0 {
				for _, line := range b.Trace {
					t.Log(line)
				}
			}
		}
	})
}

// run sends requests and injects faults for the given duration, then ends all
// faults and lets the load run for 30 s more.
func (c *faultInjector) run(duration time.Duration) {
	faults, endFaults := context.WithTimeout(c.t.Context(), duration)
	load, endLoad := context.WithCancel(c.t.Context())
	var callers sync.WaitGroup
	for i, w := range c.doc.Workspaces {
		for j, r := range c.doc.Regions {
			caller := &randomCaller{fl: c.fl, audit: &c.audit, workspace: w.Name, region: r.Name, rate: w.Rate * 1.2 / 3,
				rng: rand.New(rand.NewPCG(c.rng.Uint64(), uint64(i*10+j)))}
			callers.Go(func() { caller.run(load) })
		}
	}
	for faults.Err() == nil {
		c.injectFault(faults)
		select {
		case <-time.After(time.Duration(1+c.rng.IntN(10)) * time.Second):
		case <-faults.Done():
		}
	}
	endFaults()
	c.wg.Wait()
	c.fl.Store.LoseResponses(0)
	time.Sleep(30 * time.Second)
	endLoad()
	callers.Wait()
}

// checkRecovery asserts that all hosts are ready and have the same revision.
func (c *faultInjector) checkRecovery() {
	ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
	defer cancel()
	if err := c.fl.WaitReady(ctx); err != nil {
		c.t.Errorf("after the faults: %v", err)
	}
	operator := c.fl.OperatorsClient()
	status, err := operator.Status(ctx)
	if err != nil {
		c.t.Errorf("status after the faults: %v", err)
	}
	for _, h := range status.Hosts {
		if h.Revision != status.Hosts[0].Revision {
			c.t.Errorf("host %s is at revision %d, %s at %d", h.Instance, h.Revision, status.Hosts[0].Instance, status.Hosts[0].Revision)
		}
	}
	operator.HTTP.Transport.(*http.Transport).CloseIdleConnections()
}

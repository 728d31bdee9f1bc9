package entryhost_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// load is a set of callers that send requests until stop is called.
type load struct {
	audit  audit
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// startLoad sends requests of each workspace from each region. Per workspace they
// come at multiple times its rate.
func startLoad(t *testing.T, fl *fleet.Fleet, doc *config.Document, multiple float64) *load {
	l := &load{}
	ctx, cancel := context.WithCancel(t.Context())
	l.cancel = cancel
	for i, w := range doc.Workspaces {
		for j, r := range doc.Regions {
			c := &randomCaller{fl: fl, audit: &l.audit, workspace: w.Name, region: r.Name,
				rate: w.Rate * multiple / float64(len(doc.Regions)), rng: rand.New(rand.NewPCG(uint64(i), uint64(j)))}
			l.wg.Go(func() { c.run(ctx) })
		}
	}
	return l
}

func (l *load) stop() {
	l.cancel()
	l.wg.Wait()
}

// applyChange applies an edited configuration document through the operators'
// interface.
func applyChange(t *testing.T, fl *fleet.Fleet, edit func(doc *config.Document)) {
	t.Helper()
	operator := fl.OperatorsClient()
	defer operator.HTTP.Transport.(*http.Transport).CloseIdleConnections()
	current, err := operator.Document(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	var doc config.Document
	if err := json.Unmarshal(current.Text, &doc); err != nil {
		t.Fatal(err)
	}
	edit(&doc)
	text, err := json.Marshal(&doc)
	if err != nil {
		t.Fatal(err)
	}
	applied, err := operator.Apply(t.Context(), text, current.Revision)
	if err != nil || !applied.Accepted {
		t.Fatalf("apply: %v %v", applied, err)
	}
}

func largeFleet() fleet.Config {
	return fleet.Config{
		Document: largeDocument(), HostsPerRegion: []int{4, 4, 3},
		ZoneDelay: time.Millisecond, RegionDelay: 12 * time.Millisecond, ClientDelay: time.Millisecond,
		ConfigureTarget: func(_ *config.Service, cfg *target.Config) {
			cfg.ServiceTime = func(rng *rand.Rand) time.Duration {
				return time.Duration(20+rng.IntN(60)) * time.Millisecond
			}
		},
	}
}

func TestRollingRestartCutsNoRequest(t *testing.T) {
	cfg := largeFleet()
	withFleet(t, cfg, func(t *testing.T, fl *fleet.Fleet) {
		time.Sleep(5 * time.Second)
		l := startLoad(t, fl, cfg.Document, 0.5)
		for _, n := range fl.Nodes() {
			if err := fl.StopNode(t.Context(), n); err != nil {
				t.Errorf("stop of %s: %v", n.IP(), err)
			}
			if err := fl.StartNode(n); err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
		}
		l.stop()
		l.audit.check(t, fl)
		for _, at := range l.audit.attempts {
			if at.status == 0 || at.outcome == "unknown" {
				t.Errorf("request %s was aborted: status %d, outcome %q", at.id, at.status, at.outcome)
			}
		}
	})
}

func TestWithdrawnKeyStopsOnOpenConnections(t *testing.T) {
	cfg := largeFleet()
	withFleet(t, cfg, func(t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		tr := fl.Transport(fl.ClientIP("east"))
		defer tr.CloseIdleConnections()
		ask := func(n *fleet.Node) int {
			resp, _ := get(t, tr, fl.Keys["school"], "http://"+n.Config.CallersAddress+"/s/shop/stock")
			return resp.StatusCode
		}
		for _, n := range fl.Nodes() {
			is.Equal(ask(n), http.StatusOK)
		}
		// The last region reaches neither the store nor the other regions.
		cutOff := fl.Nodes()[8:]
		for _, n := range cutOff {
			fl.Network.SetCut(n.IP(), fl.StoreIP(), true)
			for _, o := range fl.Nodes()[:8] {
				fl.Network.SetCut(n.IP(), o.IP(), true)
				fl.Network.SetCut(o.IP(), n.IP(), true)
			}
		}
		applyChange(t, fl, func(doc *config.Document) { doc.Workspaces[0].Keys = nil })
		time.Sleep(6 * time.Second)
		for _, n := range fl.Nodes()[:8] {
			is.Equal(ask(n), http.StatusUnauthorized)
		}
		for _, n := range cutOff {
			is.Equal(ask(n), http.StatusServiceUnavailable) // the serving lease has expired
		}
	})
}

func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	cfg := largeFleet()
	withFleet(t, cfg, func(t *testing.T, fl *fleet.Fleet) {
		time.Sleep(5 * time.Second)
		l := startLoad(t, fl, cfg.Document, 0.7)
		time.Sleep(5 * time.Second)
		applyChange(t, fl, func(doc *config.Document) { doc.Drains.Targets = []ids.Target{"shop-east-0"} })
		time.Sleep(3 * time.Second)
		before := fl.Targets["shop-east-0"].Stats().Arrived
		fl.Targets["shop-west-0"].Drain()
		time.Sleep(20 * time.Second)
		l.stop()
		if after := fl.Targets["shop-east-0"].Stats().Arrived; after != before {
			t.Errorf("%d requests reached a target that an operator drained", after-before)
		}
		for _, late := range fl.Targets["shop-west-0"].Stats().Late {
			if late.After > 3*time.Second {
				t.Errorf("a target got a request %v after it reported that it is leaving", late.After)
			}
		}
		l.audit.check(t, fl)
	})
}

func TestRegionWithoutTargetsIsServedByOtherRegions(t *testing.T) {
	cfg := largeFleet()
	withFleet(t, cfg, func(t *testing.T, fl *fleet.Fleet) {
		time.Sleep(5 * time.Second)
		l := startLoad(t, fl, cfg.Document, 0.5)
		time.Sleep(5 * time.Second)
		for i := range 4 {
			fl.Targets[ids.Target(fmt.Sprintf("shop-east-%d", i))].Crash()
		}
		time.Sleep(55 * time.Second)
		l.stop()
		l.audit.check(t, fl)
		failed := 0
		for _, at := range l.audit.attempts {
			if at.status == http.StatusBadGateway || at.status == http.StatusGatewayTimeout {
				failed++
			}
		}
		if failed > 0 {
			t.Errorf("%d requests failed although other regions serve the service", failed)
		}
	})
}

func TestStoreOutageAloneRefusesNoRequest(t *testing.T) {
	cfg := largeFleet()
	withFleet(t, cfg, func(t *testing.T, fl *fleet.Fleet) {
		time.Sleep(15 * time.Second) // by then the spare seat is claimed
		fl.Store.SetDown(true)
		time.Sleep(seeds.VirtualDuration(30 * time.Second))
		l := startLoad(t, fl, cfg.Document, 0.5)
		time.Sleep(30 * time.Second)
		l.stop()
		fl.Store.SetDown(false)
		l.audit.check(t, fl)
		for _, at := range l.audit.attempts {
			if at.status == http.StatusServiceUnavailable || at.status == 0 {
				t.Errorf("request %s got %d, outcome %q", at.id, at.status, at.outcome)
			}
		}
	})
}

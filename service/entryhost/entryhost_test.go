package entryhost_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// smallDocument returns the configuration of a fleet with two regions and one
// service.
func smallDocument() *config.Document {
	return &config.Document{
		Fleet: "small",
		Regions: []config.Region{
			{Name: "east", Zones: []ids.Zone{"east-a", "east-b"}, Seats: 2},
			{Name: "west", Zones: []ids.Zone{"west-a", "west-b"}, Seats: 2},
		},
		Services: []config.Service{{
			Name:   "shop",
			Slots:  4,
			Routes: []config.Route{{Prefix: "/pay", Once: true}, {Prefix: "/browse", Open: true}},
			Upstreams: []config.Upstream{
				{Name: "shop-1", Region: "east", Zone: "east-a"},
				{Name: "shop-2", Region: "east", Zone: "east-b"},
				{Name: "shop-3", Region: "west", Zone: "west-a"},
				{Name: "shop-4", Region: "west", Zone: "west-b"},
			},
		}},
		Workspaces: []config.Workspace{{Name: "school", Rate: 100, Burst: 50}, {Name: "club", Rate: 10, Burst: 5}},
		Presets:    []config.Preset{{Name: "ordinary"}},
		Preset:     "ordinary",
	}
}

// withFleet runs f with a ready fleet on the virtual clock, and fails the test if
// the checker found a violated invariant.
func withFleet(t *testing.T, cfg fleet.Config, f func(t *testing.T, fl *fleet.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl, err := fleet.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if err := fl.Start(ctx); err != nil {
			t.Fatal(err)
		}
		f(t, fl)
		fl.Stop()
		for _, b := range fl.Checker.Breaches() {
			t.Errorf("%s\n%v", b.Message, b.Trace)
		}
	})
}

// get sends one request to an entry host and returns the response and its body.
func get(t *testing.T, tr *http.Transport, key, url string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestRequestIsServedEndToEnd(t *testing.T) {
	cfg := fleet.Config{Document: smallDocument(), ZoneDelay: time.Millisecond, RegionDelay: 10 * time.Millisecond}
	withFleet(t, cfg, func(t *testing.T, fl *fleet.Fleet) {
		is := is.New(t)
		time.Sleep(2 * time.Second)
		tr := fl.Transport(fl.ClientIP("east"))
		defer tr.CloseIdleConnections()
		for _, n := range fl.Nodes() {
			resp, body := get(t, tr, "", "http://"+n.Config.CallersAddress+"/v1/lookup?service=shop&region=east")
			t.Log(body)
			is.Equal(resp.StatusCode, http.StatusOK)
			resp, body = get(t, tr, fl.Keys["school"], "http://"+n.Config.CallersAddress+"/s/shop/stock")
			t.Log(body)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(resp.Header.Get("Gypsum-Outcome"), "ran")
			resp, _ = get(t, tr, "wrong", "http://"+n.Config.CallersAddress+"/s/shop/stock")
			is.Equal(resp.StatusCode, http.StatusUnauthorized)
			is.Equal(resp.Header.Get("Gypsum-Outcome"), "notRun")
		}
		for _, target := range fl.Targets {
			is.Equal(target.Stats().SecretsSeen, 0)
		}
	})
}

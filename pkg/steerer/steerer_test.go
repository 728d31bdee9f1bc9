package steerer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// fixture is a fleet of two hosts in each of two regions, with a Steerer in the
// west.
type fixture struct {
	doc     *config.Document
	hosts   []*peerpb.HostState
	steerer *Steerer

	checker checker.Checker
}

const (
	east ids.Region  = "east"
	west ids.Region  = "west"
	shop ids.Service = "shop"
)

func newFixture() *fixture {
	f := &fixture{doc: &config.Document{
		Regions: []config.Region{{Name: east, Seats: 2}, {Name: west, Seats: 2}},
		Services: []config.Service{{Name: shop, Slots: 10, Upstreams: []config.Upstream{
			{Name: "e1", Region: east}, {Name: "w1", Region: west},
		}}},
		Presets: []config.Preset{
			{Name: "ordinary"},
			{Name: "allWest", Weights: []config.RegionWeight{{From: east, To: west, Weight: 1}}},
		},
		Preset: "ordinary",
		Limits: config.Limits{ShiftPerMinute: 0.25},
	}}
	for _, h := range []struct {
		name   string
		region ids.Region
	}{{"e1", east}, {"e2", east}, {"w1", west}, {"w2", west}} {
		f.hosts = append(f.hosts, &peerpb.HostState{
			Instance: h.name, CallersAddress: h.name, Region: string(h.region), Ready: true,
			Services: []*peerpb.ServiceReport{{Service: string(shop), Slots: 5}},
		})
	}
	f.start("ordinary")
	return f
}

// start creates a Steerer that holds one of the two seats in the west.
func (f *fixture) start(preset ids.Preset) {
	f.steerer = New(Config{Region: west, Hosts: func() []*peerpb.HostState { return f.hosts }, Checker: &f.checker})
	f.steerer.SetTable("w1", &seater.Table{Seats: []seater.Seat{
		{Region: east, Holder: "e1"}, {Region: east, Holder: "e2"}, {Region: west, Holder: "w1"}, {Region: west, Holder: "w2"},
	}})
	f.configure(preset)
}

func (f *fixture) configure(preset ids.Preset) {
	doc := *f.doc
	doc.Preset = preset
	f.steerer.Configure(config.NewSnapshot(1, &doc))
}

// run steps the Steerer through d of virtual time.
func (f *fixture) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(DefaultInterval)
		f.steerer.Step()
	}
}

// westShare returns the share of the east's traffic that the west serves.
func (f *fixture) westShare(t *testing.T) float64 {
	t.Helper()
	resp, err := f.steerer.Lookup(shop, east, "")
	if err != nil {
		t.Fatal(err)
	}
	var sum float64
	for _, h := range resp.EntryHosts {
		if h.Region == west {
			sum += h.Weight
		}
	}
	return sum
}

func TestPresetMovesUnderTheShiftCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(2 * time.Second)
		is.Equal(f.westShare(t), 0.0)
		f.configure("allWest")
		last := f.westShare(t)
		for minute := range 4 {
			f.run(time.Minute)
			now := f.westShare(t)
			is.True(now-last < 0.25+0.01) // no minute moves more than the cap
			is.True(now > last)           // and each moves some
			last = now
			_ = minute
		}
		f.run(10 * time.Second)
		is.True(f.westShare(t) > 0.99) // the shift completes
	})
}

func TestDrainedRegionLosesItsCallersUnderTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.doc.Drains.Regions = []ids.Region{east}
		f.configure("ordinary")
		f.run(time.Minute)
		is.True(f.westShare(t) < 0.26)
		f.run(4 * time.Minute)
		is.True(f.westShare(t) > 0.99)
	})
}

func TestDeadRegionLeavesLookupsAtOnceAndTakeoverStaysUnderTheShiftCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.hosts = f.hosts[2:] // no host of the east is known
		f.run(startupGrace - time.Second)
		is.Equal(f.steerer.splits[flow{shop, east}].shares[east], 1.0)
		f.run(2 * time.Second) // the startup grace is over
		is.Equal(f.westShare(t), 1.0)
		for range 200 {
			f.steerer.RecordServiceTime(shop, 100*time.Millisecond)
		}
		// The west serves 100 requests a second: 10 slots at 100 ms. This host has
		// half of its seats and a cap of 25%, so its rate grows by at most 12.5 a
		// second in a minute, plus a burst.
		for minute := range 4 {
			taken := 0
			for range 60 * 200 {
				time.Sleep(5 * time.Millisecond)
				if f.steerer.AdmitRemote(shop, east) == nil {
					taken++
				}
				if taken%100 == 0 {
					f.steerer.Step()
				}
			}
			limit := float64(minute+1) * 0.25 * 50 * 60
			is.True(float64(taken) <= limit+50) // the shift cap holds in each minute
			is.True(float64(taken) > 0.5*limit) // and is made use of
		}
		is.True(f.steerer.AdmitRemote(shop, west) == nil) // callers of the own region always pass
		is.Equal(len(f.checker.Breaches()), 0)
	})
}

func TestLookupLeavesOutHostsThatAreNotReady(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.hosts[2].Ready = false
	f.steerer.Step()
	resp, err := f.steerer.Lookup(shop, west, "")
	is.NoErr(err)
	is.Equal(len(resp.EntryHosts), 1)
	is.Equal(resp.EntryHosts[0].Address, "w2")
	_, err = f.steerer.Lookup("none", west, "")
	is.True(err != nil)
	_, err = f.steerer.Lookup(shop, "nowhere", "")
	is.True(err != nil)
}

func TestRouteLeavesARegionWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(4 * time.Second)
		is.Equal(f.steerer.Route(shop, west), west)
		for _, h := range f.hosts[2:] {
			h.Services[0].Slots = 0
		}
		f.steerer.Step()
		is.Equal(f.steerer.Route(shop, west), east)
	})
}

func TestConfiguredBlockOverridesClaimedOrigin(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.doc.ClientBlocks = []config.ClientBlock{{Prefix: "10.1.0.0/16", Region: east}}
	f.configure("ordinary")
	is.Equal(f.steerer.Origin("10.1.2.3:4000", west), east)
	is.Equal(f.steerer.Origin("10.2.2.3:4000", east), east)
	is.Equal(f.steerer.Origin("10.2.2.3:4000", "nowhere"), west)
	is.Equal(f.steerer.Origin("10.2.2.3:4000", ""), west)
}

func TestRestartedHostAdoptsAShiftInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(time.Second)
		f.configure("allWest")
		f.run(time.Minute)
		half := f.westShare(t)
		f.hosts[0].Shares = f.steerer.Shares()
		f.start("allWest")
		is.True(f.westShare(t) < half+0.01)
		is.True(f.westShare(t) > half-0.01)
	})
}

var lookupSink *callers.LookupResponse

func BenchmarkLookup(b *testing.B) {
	f := newFixture()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := f.steerer.Lookup(shop, east, "")
		if err != nil {
			b.Fatal(err)
		}
		lookupSink = resp
	}
}

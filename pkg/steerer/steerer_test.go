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

// fixture is a fleet of two hosts in each of two regions, seen by a Steerer in
// the west.
type fixture struct {
	doc   *config.Document
	hosts []*peerpb.HostState
	s     *Steerer

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

// start makes a Steerer that holds one of the west's two seats.
func (f *fixture) start(preset ids.Preset) {
	f.s = New(Config{Region: west, Hosts: func() []*peerpb.HostState { return f.hosts }, Checker: &f.checker})
	f.s.SetTable("w1", &seater.Table{Seats: []seater.Seat{
		{Region: east, Holder: "e1"}, {Region: east, Holder: "e2"}, {Region: west, Holder: "w1"}, {Region: west, Holder: "w2"},
	}})
	f.configure(preset)
}

func (f *fixture) configure(preset ids.Preset) {
	doc := *f.doc
	doc.Preset = preset
	f.s.Configure(config.NewSnapshot(1, &doc))
}

// run steps the Steerer through d of virtual time.
func (f *fixture) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(DefaultInterval)
		f.s.Step()
	}
}

// share returns the part of the east's callers that the west serves.
func (f *fixture) share(t *testing.T) float64 {
	t.Helper()
	answer, err := f.s.Lookup(shop, east, "")
	if err != nil {
		t.Fatal(err)
	}
	var sum float64
	for _, h := range answer.EntryHosts {
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
		is.Equal(f.share(t), 0.0)
		f.configure("allWest")
		last := f.share(t)
		for minute := range 4 {
			f.run(time.Minute)
			now := f.share(t)
			is.True(now-last < 0.25+0.01) // no minute moves more than the cap
			is.True(now > last)           // and each moves some
			last = now
			_ = minute
		}
		f.run(10 * time.Second)
		is.True(f.share(t) > 0.99) // the shift ends
	})
}

func TestDrainedRegionLosesItsCallersUnderTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.doc.Drains.Regions = []ids.Region{east}
		f.configure("ordinary")
		f.run(time.Minute)
		is.True(f.share(t) < 0.26)
		f.run(4 * time.Minute)
		is.True(f.share(t) > 0.99)
	})
}

func TestDeadRegionLeavesAnswersAtOnceAndGateBoundsWhatComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.hosts = f.hosts[2:] // the east's hosts are not heard of yet
		f.run(settleTime - time.Second)
		is.Equal(f.s.weights[flow{shop, east}].shares[east], 1.0)
		f.run(2 * time.Second) // and are taken for gone
		is.Equal(f.share(t), 1.0)
		for range 200 {
			f.s.RecordServiceTime(shop, 100*time.Millisecond)
		}
		// The west has 10 slots and takes 100 ms for a request: 100 a second. Half
		// of the gate is here, so a minute lets in at most 12.5 a second and a burst.
		for minute := range 4 {
			taken := 0
			for range 60 * 200 {
				time.Sleep(5 * time.Millisecond)
				if f.s.AdmitRemote(shop, east) == nil {
					taken++
				}
				if taken%100 == 0 {
					f.s.Step()
				}
			}
			limit := float64(minute+1) * 0.25 * 50 * 60
			is.True(float64(taken) <= limit+50) // the shift cap holds in each minute
			is.True(float64(taken) > 0.5*limit) // and is used
		}
		is.True(f.s.AdmitRemote(shop, west) == nil) // own callers always pass
		is.Equal(len(f.checker.Breaches()), 0)
	})
}

func TestLookupLeavesOutHostsThatAreNotReady(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.hosts[2].Ready = false
	f.s.Step()
	answer, err := f.s.Lookup(shop, west, "")
	is.NoErr(err)
	is.Equal(len(answer.EntryHosts), 1)
	is.Equal(answer.EntryHosts[0].Address, "w2")
	_, err = f.s.Lookup("none", west, "")
	is.True(err != nil)
	_, err = f.s.Lookup(shop, "nowhere", "")
	is.True(err != nil)
}

func TestRouteLeavesARegionWithoutTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(4 * time.Second)
		is.Equal(f.s.Route(shop, west), west)
		for _, h := range f.hosts[2:] {
			h.Services[0].Slots = 0
		}
		f.s.Step()
		is.Equal(f.s.Route(shop, west), east)
	})
}

func TestOriginIsTheBlockThenTheClaim(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.doc.ClientBlocks = []config.ClientBlock{{Prefix: "10.1.0.0/16", Region: east}}
	f.configure("ordinary")
	is.Equal(f.s.Origin("10.1.2.3:4000", west), east)
	is.Equal(f.s.Origin("10.2.2.3:4000", east), east)
	is.Equal(f.s.Origin("10.2.2.3:4000", "nowhere"), west)
	is.Equal(f.s.Origin("10.2.2.3:4000", ""), west)
}

func TestRestartedHostAdoptsAShiftHalfDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(time.Second)
		f.configure("allWest")
		f.run(time.Minute)
		half := f.share(t)
		f.hosts[0].Shares = f.s.Shares()
		f.start("allWest")
		is.True(f.share(t) < half+0.01)
		is.True(f.share(t) > half-0.01)
	})
}

var lookupSink *callers.LookupResponse

func BenchmarkLookup(b *testing.B) {
	f := newFixture()
	b.ReportAllocs()
	for b.Loop() {
		answer, err := f.s.Lookup(shop, east, "")
		if err != nil {
			b.Fatal(err)
		}
		lookupSink = answer
	}
}

package steerer

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

func TestLookupOffersOtherRegionsBeforeAMissingOneCountsAsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(time.Second)
		f.hosts = f.hosts[2:] // within the startup grace
		f.steerer.Step()
		is.Equal(f.westShare(t), 1.0)
	})
}

func TestDrainedRegionServesWhenNoOtherIsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.doc.Drains.Regions = []ids.Region{east}
		f.configure("ordinary")
		f.run(6 * time.Minute)
		is.Equal(f.westShare(t), 1.0)
		is.Equal(f.steerer.Route(shop, west), west)
		_, ok := f.steerer.FailoverRegion(shop, west)
		is.True(!ok) // nothing goes to the drained region
		for _, h := range f.hosts[2:] {
			h.Services[0].Slots = 0
		}
		f.run(time.Second)
		is.Equal(f.westShare(t), 0.0)
		is.Equal(f.steerer.Route(shop, west), east)
	})
}

func TestHostAdoptsSharesOnlyFromHostsPastStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(10 * time.Second)
		f.configure("allWest")
		f.run(time.Minute)
		half, old := f.westShare(t), f.steerer.Shares()
		f.start("allWest") // restarted, and at first given only its own shares
		for range 4 {
			time.Sleep(DefaultInterval)
			f.hosts[2].Shares = f.steerer.Shares()
			f.steerer.Step()
		}
		is.True(f.westShare(t) < half/2)
		f.hosts[0].Shares = old
		f.steerer.Step()
		is.True(f.westShare(t) > half-0.01)
	})
}

func TestFullRegionGainsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(10 * time.Second)
		for _, h := range f.hosts[2:] {
			h.Services[0].InFlight = 5
		}
		f.configure("allWest")
		f.run(2 * time.Minute)
		is.Equal(f.westShare(t), 0.0)
		accepted := 0
		for range 60 {
			time.Sleep(time.Second)
			f.steerer.Step()
			if f.steerer.AdmitRemote(shop, east) == nil {
				accepted++
			}
		}
		is.True(accepted < 10) // minCeiling admits a few
	})
}

func TestHostWithoutASeatTakesNothingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		time.Sleep(2 * time.Second)
		is.True(f.steerer.AdmitRemote(shop, east) == nil)
		f.steerer.SetTable("w1", &seater.Table{Seats: []seater.Seat{{Region: west, Holder: "w2"}, {Region: west, Holder: "w3"}}})
		time.Sleep(2 * time.Second)
		rf := f.steerer.AdmitRemote(shop, east)
		is.True(rf != nil)
		is.True(rf.RetryAfter > 0)
	})
}

func TestOneFastAnswerDoesNotOverstateCapacity(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.steerer.RecordServiceTime(shop, time.Millisecond)
	// Half of 10 slots at 1 s is 5 requests a second. One fast sample may at most
	// double that.
	is.True(f.steerer.shiftLimiters.byService[shop].capacity() <= 2*5)
}

func TestRoutingDoesNotRaceWithStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.doc.Drains.Regions = []ids.Region{east}
		f.configure("allWest")
		var wg sync.WaitGroup
		wg.Go(func() { f.run(time.Minute) })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			f.steerer.FailoverRegion(shop, east)
			f.steerer.Route(shop, east)
		}
		wg.Wait()
	})
}

func TestShiftCapShrinksWithTheLiveSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	before := f.steerer.shiftLimiters.byService[shop].maxGrowth()
	for _, h := range f.hosts[2:] {
		h.Services[0].Slots = 1 // most of the west's targets have died
	}
	f.steerer.Step()
	is.True(f.steerer.shiftLimiters.byService[shop].maxGrowth() < before/4)
}

// largeFixture returns a Steerer in a fleet of 24 hosts in 15 regions, with 20
// services and 350 blocks of caller addresses.
func largeFixture() *Steerer {
	doc := &config.Document{Presets: []config.Preset{{Name: "ordinary"}}, Preset: "ordinary"}
	for r := range 15 {
		doc.Regions = append(doc.Regions, config.Region{Name: ids.Region(fmt.Sprint("r", r)), Seats: 2})
	}
	for i := range 350 {
		doc.ClientBlocks = append(doc.ClientBlocks, config.ClientBlock{Prefix: fmt.Sprintf("10.%d.%d.0/24", i/256, i%256), Region: doc.Regions[i%15].Name})
	}
	var hosts []*peerpb.HostState
	for i := range 24 {
		name := fmt.Sprint("h", i)
		hosts = append(hosts, &peerpb.HostState{Instance: name, CallersAddress: name, Region: string(doc.Regions[i%15].Name), Ready: true})
	}
	for i := range 20 {
		svc := config.Service{Name: ids.Service(fmt.Sprint("s", i)), Slots: 6}
		for j, r := range doc.Regions {
			svc.Upstreams = append(svc.Upstreams, config.Upstream{Name: ids.Target(fmt.Sprint(i, "-", j)), Region: r.Name})
		}
		doc.Services = append(doc.Services, svc)
		for _, h := range hosts {
			h.Services = append(h.Services, &peerpb.ServiceReport{Service: string(svc.Name), Slots: 3, InFlight: 1})
		}
	}
	s := New(Config{Region: "r0", Hosts: func() []*peerpb.HostState { return hosts }})
	s.Configure(config.NewSnapshot(1, doc))
	return s
}

func BenchmarkStep(b *testing.B) {
	s := largeFixture()
	b.ReportAllocs()
	for b.Loop() {
		s.Step()
	}
}

func BenchmarkLookupByBlock(b *testing.B) {
	s := largeFixture()
	b.ReportAllocs()
	for b.Loop() {
		resp, err := s.Lookup("s3", "", "10.1.40.7:4000")
		if err != nil {
			b.Fatal(err)
		}
		lookupSink = resp
	}
}

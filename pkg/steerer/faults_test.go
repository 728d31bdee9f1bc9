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

func TestHostsOfARegionJustGoneAreNotTheOnlyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(time.Second)
		f.hosts = f.hosts[2:] // too early to take the east for dead
		f.s.Step()
		is.Equal(f.share(t), 1.0)
	})
}

func TestDrainedRegionServesWhereNoOtherIsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.doc.Drains.Regions = []ids.Region{east}
		f.configure("ordinary")
		f.run(6 * time.Minute)
		is.Equal(f.share(t), 1.0)
		is.Equal(f.s.Route(shop, west), west)
		_, ok := f.s.FailoverRegion(shop, west)
		is.True(!ok) // nothing goes to the drained region
		for _, h := range f.hosts[2:] {
			h.Services[0].Slots = 0
		}
		f.run(time.Second)
		is.Equal(f.share(t), 0.0)
		is.Equal(f.s.Route(shop, west), east)
	})
}

func TestHostAdoptsFromOneThatHasSettledOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		f.run(10 * time.Second)
		f.configure("allWest")
		f.run(time.Minute)
		half, old := f.share(t), f.s.Shares()
		f.start("allWest") // alone at first, and told of its own weights
		for range 4 {
			time.Sleep(DefaultInterval)
			f.hosts[2].Shares = f.s.Shares()
			f.s.Step()
		}
		is.True(f.share(t) < half/2)
		f.hosts[0].Shares = old
		f.s.Step()
		is.True(f.share(t) > half-0.01)
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
		is.Equal(f.share(t), 0.0)
		accepted := 0
		for range 60 {
			time.Sleep(time.Second)
			f.s.Step()
			if f.s.AdmitRemote(shop, east) == nil {
				accepted++
			}
		}
		is.True(accepted < 10) // a few on trial
	})
}

func TestHostWithoutASeatTakesNothingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture()
		time.Sleep(2 * time.Second)
		is.True(f.s.AdmitRemote(shop, east) == nil)
		f.s.SetTable("w1", &seater.Table{Seats: []seater.Seat{{Region: west, Holder: "w2"}, {Region: west, Holder: "w3"}}})
		time.Sleep(2 * time.Second)
		rf := f.s.AdmitRemote(shop, east)
		is.True(rf != nil)
		is.True(rf.RetryAfter > 0)
	})
}

func TestCapacityIsNotOverstatedByOneFastAnswer(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.s.RecordServiceTime(shop, time.Millisecond)
	// Half of ten slots and one second: a fast answer alone at most doubles it.
	is.True(f.s.gates.byName[shop].capacity() <= 2*5)
}

func TestRequestsReadNoWeightsThatAreStepped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.doc.Drains.Regions = []ids.Region{east}
		f.configure("allWest")
		var wg sync.WaitGroup
		wg.Go(func() { f.run(time.Minute) })
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			f.s.FailoverRegion(shop, east)
			f.s.Route(shop, east)
		}
		wg.Wait()
	})
}

func TestCapShrinksWithTheLiveSlots(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	before := f.s.gates.byName[shop].growth()
	for _, h := range f.hosts[2:] {
		h.Services[0].Slots = 1 // most of the west's targets have died
	}
	f.s.Step()
	is.True(f.s.gates.byName[shop].growth() < before/4)
}

// largeFixture is a fleet of 24 hosts in 15 regions with 20 services and 350
// sites as blocks of callers.
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
		answer, err := s.Lookup("s3", "", "10.1.40.7:4000")
		if err != nil {
			b.Fatal(err)
		}
		lookupSink = answer
	}
}

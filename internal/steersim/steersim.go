// Package steersim measures decisions about where traffic goes: the real
// Steerers of a whole fleet see each other's states late, callers keep
// look-ups for their lifetime, and regions have a fixed number of slots. It runs
// on the virtual clock of testing/synctest.
package steersim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/pkg/steerer"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const (
	// tick is the time between two looks at the traffic.
	tick = 100 * time.Millisecond
	// expiry is the age, beyond the lag, at which a host's state counts no more.
	expiry = 3 * time.Second
	// groupsPerRegion is the number of callers that keep look-ups of their own.
	groupsPerRegion = 20
	// slotsPerUpstream is the number of slots of one upstream.
	slotsPerUpstream = 6
)

// Service is the one service of the fleet.
const Service ids.Service = "shop"

// Policy is the way in which look-ups are answered.
type Policy string

// The policies that can be compared.
const (
	// Steered uses the Steerers' weights and gates.
	Steered Policy = "steered"
	// Uncapped is the same with a shift cap that never binds.
	Uncapped Policy = "no cap"
	// Static sends each caller to its own region as long as that has hosts.
	Static Policy = "static"
	// ByReports divides all callers by the free slots that hosts reported last.
	ByReports Policy = "by reports"
)

// Region is one region at the start.
type Region struct {
	Name      ids.Region
	Upstreams int
	Hosts     int
	// Load is what its callers ask for, as a share of the region's slots.
	Load float64
}

// Config describes a fleet and its traffic.
type Config struct {
	Regions     []Region
	ServiceTime time.Duration
	// Lag is the age of the states that hosts see of each other.
	Lag time.Duration
	// ShiftPerMinute is the shift cap.
	ShiftPerMinute float64
	Policy         Policy
	Presets        []config.Preset
	Seed           uint64
}

// Sim is a running fleet.
type Sim struct {
	cfg     Config
	rng     *rand.Rand
	doc     *config.Document
	rev     ids.Revision
	checker *checker.Checker
	begun   time.Time
	regions []*region
	hosts   []*host
	// Result holds what was measured since the last Reset.
	Result Result
}

// region is the state of a region.
type region struct {
	Region
	slots  float64
	dead   bool
	groups []*group
	// arriving is the number of requests of the present tick.
	arriving float64
	// taken is the number of them that came from callers of other regions.
	taken   int
	history []int
}

// host is one entry host.
type host struct {
	name    ids.Instance
	region  *region
	steerer *steerer.Steerer
	states  []published
	// arriving is the number of requests of the present tick, and flow its mean.
	arriving float64
	flow     float64
}

// published is a host's state at a time.
type published struct {
	at    time.Time
	state *peerpb.HostState
}

// group is a number of callers that share one look-up.
type group struct {
	answer *callers.LookupResponse
	until  time.Time
	// owed is the part of a request that is still to be sent to each host.
	owed map[ids.Instance]float64
}

// New returns a fleet whose hosts have just started.
func New(cfg Config) *Sim {
	s := &Sim{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		checker: &checker.Checker{}, begun: time.Now(),
		doc: &config.Document{Presets: append([]config.Preset{{Name: "ordinary"}}, cfg.Presets...), Preset: "ordinary"},
	}
	s.doc.Limits.ShiftPerMinute = cfg.ShiftPerMinute
	if cfg.Policy == Uncapped {
		s.doc.Limits.ShiftPerMinute = 1e6
	}
	svc := config.Service{Name: Service, Slots: slotsPerUpstream}
	for _, r := range cfg.Regions {
		s.doc.Regions = append(s.doc.Regions, config.Region{Name: r.Name, Seats: r.Hosts})
		for i := range r.Upstreams {
			name := ids.Target(fmt.Sprintf("%s-%d", r.Name, i))
			svc.Upstreams = append(svc.Upstreams, config.Upstream{Name: name, Region: r.Name})
		}
		s.addRegion(r)
	}
	s.doc.Services = []config.Service{svc}
	table := s.table()
	for _, h := range s.hosts {
		h.steerer = steerer.New(steerer.Config{
			Region: h.region.Name, Self: h.name, Checker: s.checker,
			Hosts: func() []*peerpb.HostState { return s.seenBy(h) },
		})
		h.steerer.SetTable(h.name, table)
	}
	s.Change(func(*config.Document) {})
	return s
}

func (s *Sim) addRegion(r Region) {
	reg := &region{Region: r, slots: float64(r.Upstreams * slotsPerUpstream)}
	for range groupsPerRegion {
		reg.groups = append(reg.groups, &group{owed: make(map[ids.Instance]float64)})
	}
	s.regions = append(s.regions, reg)
	for i := range r.Hosts {
		s.hosts = append(s.hosts, &host{name: ids.Instance(fmt.Sprintf("%s%d", r.Name, i)), region: reg})
	}
}

func (s *Sim) table() *seater.Table {
	t := &seater.Table{Revision: 1}
	for i, h := range s.hosts {
		t.Seats = append(t.Seats, seater.Seat{Number: ids.Seat(i), Region: h.region.Name, Holder: h.name})
	}
	return t
}

// Change puts a changed document in force at all hosts.
func (s *Sim) Change(edit func(doc *config.Document)) {
	doc := *s.doc
	edit(&doc)
	s.doc = &doc
	s.rev++
	for _, h := range s.hosts {
		h.steerer.Configure(config.NewSnapshot(s.rev, s.doc))
	}
}

// SetDead ends or restarts all hosts and targets of a region.
func (s *Sim) SetDead(r ids.Region, dead bool) { s.region(r).dead = dead }

// SetLoad changes what a region's callers ask for.
func (s *Sim) SetLoad(r ids.Region, load float64) { s.region(r).Load = load }

func (s *Sim) region(name ids.Region) *region {
	for _, r := range s.regions {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// Run lets the traffic flow for a time.
func (s *Sim) Run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(tick)
		for i, h := range s.hosts {
			// The hosts' steps are spread over the interval.
			if !h.region.dead && (int(time.Since(s.begun)/tick)+i)%int(steerer.DefaultInterval/tick) == 0 {
				s.publish(h)
				h.steerer.Step()
			}
		}
		s.send()
		s.measure()
	}
}

// publish keeps what the host says of itself from now on.
func (s *Sim) publish(h *host) {
	slots := h.region.slots / float64(h.region.Hosts)
	busy := h.flow * s.cfg.ServiceTime.Seconds()
	h.states = append(h.states, published{at: time.Now(), state: &peerpb.HostState{
		Instance: string(h.name), CallersAddress: string(h.name), Region: string(h.region.Name), Ready: true,
		Shares: h.steerer.Shares(),
		Services: []*peerpb.ServiceReport{{
			Service: string(Service), Slots: uint32(math.Round(slots)),
			InFlight: uint32(math.Round(min(busy, slots))), Waiting: uint32(math.Round(max(0, busy-slots))),
		}},
	}})
}

// seenBy returns the states that a host knows.
func (s *Sim) seenBy(viewer *host) []*peerpb.HostState {
	var all []*peerpb.HostState
	for _, h := range s.hosts {
		lag := s.cfg.Lag
		if h == viewer {
			lag = 0
		}
		if p, ok := h.at(time.Now().Add(-lag)); ok && time.Since(p.at) <= lag+expiry {
			all = append(all, p.state)
		}
	}
	return all
}

// at returns the newest state that was published before a time.
func (h *host) at(t time.Time) (published, bool) {
	for i := len(h.states) - 1; i >= 0; i-- {
		if !h.states[i].at.After(t) {
			return h.states[i], true
		}
	}
	return published{}, false
}

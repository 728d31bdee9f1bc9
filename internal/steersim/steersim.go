// Package steersim simulates a fleet to measure how traffic is steered between
// regions. The hosts run real Steerers that see each other's states with a lag,
// callers cache look-ups for their TTL, and regions have a fixed number of slots.
//
// New must be called in a testing/synctest bubble, whose virtual clock the
// simulation uses. A test calls Run to let traffic flow, changes the fleet in
// between, and reads Sim.Result.
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
	// tick is the simulation step.
	tick = 100 * time.Millisecond
	// stateMaxAge is the age, in addition to the lag, beyond which a host's state
	// is ignored.
	stateMaxAge = 3 * time.Second
	// groupsPerRegion is the number of caller groups in a region, each of which
	// caches its own look-up.
	groupsPerRegion = 20
	// slotsPerUpstream is the number of slots of one upstream.
	slotsPerUpstream = 6
)

// Service is the only service of the fleet.
const Service ids.Service = "shop"

// Policy determines how look-ups are answered.
type Policy string

// The policies that can be compared.
const (
	// Steered uses the Steerers' weights and shift limits.
	Steered Policy = "steered"
	// Uncapped is Steered with a shift cap that is never reached.
	Uncapped Policy = "no cap"
	// Static sends callers to their own region as long as it has hosts.
	Static Policy = "static"
	// ByReports weights all hosts by the free slots that they reported last.
	ByReports Policy = "by reports"
)

// Region is the initial state of a region.
type Region struct {
	Name      ids.Region
	Upstreams int
	Hosts     int
	// Load is the demand of its callers, as a share of the region's slots.
	Load float64
}

// Config describes a fleet and its traffic. All fields but Presets, Lag and Seed
// are required.
type Config struct {
	Regions     []Region
	ServiceTime time.Duration
	// Lag is the age of the states that hosts see of each other.
	Lag time.Duration
	// ShiftPerMinute is the shift cap, as a share of capacity.
	ShiftPerMinute float64
	Policy         Policy
	Presets        []config.Preset
	Seed           uint64
}

// Sim is a simulated fleet. It is not safe for concurrent use.
type Sim struct {
	cfg     Config
	rng     *rand.Rand
	doc     *config.Document
	rev     ids.Revision
	checker *checker.Checker
	started time.Time
	regions []*region
	hosts   []*host
	// Result holds the measurements since the last Reset.
	Result Result
}

// region is the state of a region.
type region struct {
	Region
	slots  float64
	dead   bool
	groups []*callerGroup
	// arriving is the number of requests in the current tick.
	arriving float64
	// remoteArrivals is the number of them from callers of other regions.
	remoteArrivals int
	remoteHistory  []int
}

// host is one entry host.
type host struct {
	name    ids.Instance
	region  *region
	steerer *steerer.Steerer
	states  []publishedState
	// arriving is the number of requests in the current tick, and rate the smoothed
	// number in a second.
	arriving float64
	rate     float64
}

// publishedState is a host's state as published at a time.
type publishedState struct {
	at    time.Time
	state *peerpb.HostState
}

// callerGroup is a number of callers that share one cached look-up.
type callerGroup struct {
	lookup  *callers.LookupResponse
	expires time.Time
	// carry is the fraction of a request to each host that is carried over to the
	// next tick.
	carry map[ids.Instance]float64
}

// New returns a fleet whose hosts have just started, with the preset "ordinary" in
// force.
func New(cfg Config) *Sim {
	s := &Sim{
		cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		checker: &checker.Checker{}, started: time.Now(),
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
	table := s.seatTable()
	for _, h := range s.hosts {
		h.steerer = steerer.New(steerer.Config{
			Region: h.region.Name, Self: h.name, Checker: s.checker,
			Hosts: func() []*peerpb.HostState { return s.statesSeenBy(h) },
		})
		h.steerer.SetTable(h.name, table)
	}
	s.Change(func(*config.Document) {})
	return s
}

func (s *Sim) addRegion(r Region) {
	reg := &region{Region: r, slots: float64(r.Upstreams * slotsPerUpstream)}
	for range groupsPerRegion {
		reg.groups = append(reg.groups, &callerGroup{carry: make(map[ids.Instance]float64)})
	}
	s.regions = append(s.regions, reg)
	for i := range r.Hosts {
		s.hosts = append(s.hosts, &host{name: ids.Instance(fmt.Sprintf("%s%d", r.Name, i)), region: reg})
	}
}

func (s *Sim) seatTable() *seater.Table {
	t := &seater.Table{Revision: 1}
	for i, h := range s.hosts {
		t.Seats = append(t.Seats, seater.Seat{Number: ids.Seat(i), Region: h.region.Name, Holder: h.name})
	}
	return t
}

// Change edits a copy of the configuration and applies it at all hosts.
func (s *Sim) Change(edit func(doc *config.Document)) {
	doc := *s.doc
	edit(&doc)
	s.doc = &doc
	s.rev++
	for _, h := range s.hosts {
		h.steerer.Configure(config.NewSnapshot(s.rev, s.doc))
	}
}

// SetDead stops or restarts all hosts and targets of a region.
func (s *Sim) SetDead(r ids.Region, dead bool) { s.region(r).dead = dead }

// SetLoad sets the demand of a region's callers, as a share of the region's slots.
func (s *Sim) SetLoad(r ids.Region, load float64) { s.region(r).Load = load }

func (s *Sim) region(name ids.Region) *region {
	for _, r := range s.regions {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// Run simulates traffic for the time d.
func (s *Sim) Run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(tick)
		for i, h := range s.hosts {
			// The hosts' steps are spread over the interval.
			if !h.region.dead && (int(time.Since(s.started)/tick)+i)%int(steerer.DefaultInterval/tick) == 0 {
				s.publish(h)
				h.steerer.Step()
			}
		}
		s.send()
		s.measure()
	}
}

// publish publishes the host's present state.
func (s *Sim) publish(h *host) {
	slots := h.region.slots / float64(h.region.Hosts)
	busy := h.rate * s.cfg.ServiceTime.Seconds()
	h.states = append(h.states, publishedState{at: time.Now(), state: &peerpb.HostState{
		Instance: string(h.name), CallersAddress: string(h.name), Region: string(h.region.Name), Ready: true,
		Shares: h.steerer.Shares(),
		Services: []*peerpb.ServiceReport{{
			Service: string(Service), Slots: uint32(math.Round(slots)),
			InFlight: uint32(math.Round(min(busy, slots))), Waiting: uint32(math.Round(max(0, busy-slots))),
		}},
	}})
}

// statesSeenBy returns the states that viewer knows: its own without lag, those of
// other hosts with it.
func (s *Sim) statesSeenBy(viewer *host) []*peerpb.HostState {
	var all []*peerpb.HostState
	for _, h := range s.hosts {
		lag := s.cfg.Lag
		if h == viewer {
			lag = 0
		}
		if p, ok := h.stateAt(time.Now().Add(-lag)); ok && time.Since(p.at) <= lag+stateMaxAge {
			all = append(all, p.state)
		}
	}
	return all
}

// stateAt returns the newest state published by the time t.
func (h *host) stateAt(t time.Time) (publishedState, bool) {
	for i := len(h.states) - 1; i >= 0; i-- {
		if !h.states[i].at.After(t) {
			return h.states[i], true
		}
	}
	return publishedState{}, false
}

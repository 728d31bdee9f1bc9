// Package picker chooses the target of a request among the targets of a service
// in this host's region. What this host observes with its own requests takes
// precedence over what targets and probes report, since reports lag or mislead.
//
// A caller gets a target from Pick, reports the request with Begin and its result
// with End, and passes on what it learns of targets with RecordProbe, MarkLive and
// MarkLeaving.
package picker

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Config configures a Picker.
type Config struct {
	// Region is this host's region.
	Region ids.Region
	// Random returns a number in [0,1); nil means rand.Float64.
	Random func() float64
}

// Picker tracks the state of the targets of one region. Its methods may be called
// concurrently. The targets of each service have their own lock.
type Picker struct {
	cfg Config

	// mu serialises Configure.
	mu    sync.Mutex
	index atomic.Pointer[index]
}

// index is an immutable index of the region's targets.
type index struct {
	services  map[ids.Service]*serviceTargets
	targets   map[ids.Target]*serviceTargets
	addresses map[string]ids.Target
}

// serviceTargets holds the targets of one service.
type serviceTargets struct {
	mu      sync.Mutex
	targets []*targetState
	byName  map[ids.Target]*targetState
}

// New returns a Picker that has no targets until Configure is called.
func New(cfg Config) *Picker {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	p := &Picker{cfg: cfg}
	p.index.Store(&index{})
	return p
}

// Configure applies a configuration revision. The state of targets that keep
// their name and address is kept. Targets added after the first revision start
// cold.
func (p *Picker) Configure(snap *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.index.Load()
	first := old.services == nil
	next := &index{
		services:  make(map[ids.Service]*serviceTargets),
		targets:   make(map[ids.Target]*serviceTargets),
		addresses: make(map[string]ids.Target),
	}
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		g := old.services[svc.Name]
		if g == nil {
			g = &serviceTargets{}
		}
		g.configure(snap, svc, p.cfg.Region, first)
		next.services[svc.Name] = g
		for _, t := range g.targets {
			next.targets[t.name] = g
			next.addresses[t.address] = t.name
		}
	}
	p.index.Store(next)
}

// configure replaces the targets by those of svc in region r.
func (g *serviceTargets) configure(snap *config.Snapshot, svc *config.Service, r ids.Region, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	byName := make(map[ids.Target]*targetState)
	var all []*targetState
	for i := range svc.Upstreams {
		u := &svc.Upstreams[i]
		if u.Region != r {
			continue
		}
		t := g.byName[u.Name]
		if t == nil || t.address != u.Address {
			t = newTargetState(u, first)
		}
		t.drained = snap.TargetDrained(u.Name)
		byName[u.Name] = t
		all = append(all, t)
	}
	g.byName = byName
	g.targets = all
}

// Choice is a chosen target.
type Choice struct {
	Target  ids.Target
	Address string
}

// Pick returns the best usable target of the service for which free returns true.
// Targets in avoid are not chosen while any other is usable, even if that one is
// not free. It returns false when no target can take the request now. Pick holds
// a lock while it calls free.
func (p *Picker) Pick(svc ids.Service, avoid []ids.Target, free func(t ids.Target) bool) (Choice, bool) {
	g := p.index.Load().services[svc]
	if g == nil {
		return Choice{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	usable := g.usable(now)
	if others := excluding(usable, avoid); len(others) > 0 {
		usable = others
	}
	usable = slices.DeleteFunc(usable, func(t *targetState) bool { return !free(t.name) })
	if len(usable) == 0 {
		return Choice{}, false
	}
	t := p.lessLoadedOfTwo(p.thinByShare(usable, g.typicalLatency(), now), now)
	return Choice{Target: t.name, Address: t.address}, true
}

// usable returns the targets that may be sent a request. If any of them is not
// reported unhealthy by probes, it returns only those. The caller holds mu.
func (g *serviceTargets) usable(now time.Time) []*targetState {
	var all, healthy []*targetState
	for _, t := range g.targets {
		if !t.usable(now) {
			continue
		}
		all = append(all, t)
		if !t.probedUnhealthy(now) {
			healthy = append(healthy, t)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return all
}

func excluding(all []*targetState, avoid []ids.Target) []*targetState {
	if len(avoid) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(t *targetState) bool { return slices.Contains(avoid, t.name) })
}

// thinByShare drops cold and slow targets at random, so that they get only a part
// of their share of traffic. If it would drop all, it drops none.
func (p *Picker) thinByShare(all []*targetState, typical time.Duration, now time.Time) []*targetState {
	kept := make([]*targetState, 0, len(all))
	for _, t := range all {
		if share := t.trafficShare(typical, now); share >= 1 || p.cfg.Random() < share {
			kept = append(kept, t)
		}
	}
	if len(kept) == 0 {
		return all
	}
	return kept
}

// lessLoadedOfTwo returns the less loaded of two random targets.
func (p *Picker) lessLoadedOfTwo(all []*targetState, now time.Time) *targetState {
	i := p.randomIndex(len(all))
	if len(all) == 1 {
		return all[i]
	}
	j := p.randomIndex(len(all) - 1)
	if j >= i {
		j++
	}
	if all[j].lessLoaded(all[i], now) {
		return all[j]
	}
	return all[i]
}

func (p *Picker) randomIndex(n int) int {
	return min(int(p.cfg.Random()*float64(n)), n-1)
}

// Availability counts the targets of a service by what keeps them from use.
type Availability struct {
	// Live counts the targets that are neither drained nor leaving.
	Live int
	// Ejected counts the live targets that get no requests because they failed.
	Ejected int
	// TrialDue counts the live targets that failed and may get a trial request now.
	TrialDue int
	// NextTrial is the earliest time at which an ejected target may get a trial.
	NextTrial time.Time
}

// Availability returns the availability of the service's targets here. It is zero
// for an unknown service.
func (p *Picker) Availability(svc ids.Service) Availability {
	var a Availability
	g := p.index.Load().services[svc]
	if g == nil {
		return a
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, t := range g.targets {
		if t.leaving(now) {
			continue
		}
		a.Live++
		if !t.breaker.ejected(now) {
			if !t.breaker.ejectedUntil.IsZero() {
				a.TrialDue++
			}
			continue
		}
		a.Ejected++
		if a.NextTrial.IsZero() || t.breaker.ejectedUntil.Before(a.NextTrial) {
			a.NextTrial = t.breaker.ejectedUntil
		}
	}
	return a
}

// Usable reports whether the target is known here and may be sent requests.
func (p *Picker) Usable(t ids.Target) bool {
	usable := false
	p.withState(t, func(s *targetState) { usable = s.usable(time.Now()) })
	return usable
}

// UsableCount returns the number of targets that UsableTargets returns.
func (p *Picker) UsableCount(svc ids.Service) int {
	return len(p.UsableTargets(svc))
}

// UsableTargets returns the service's targets here that may be sent requests.
func (p *Picker) UsableTargets(svc ids.Service) []ids.Target {
	g := p.index.Load().services[svc]
	if g == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var all []ids.Target
	for _, t := range g.targets {
		if t.usable(now) {
			all = append(all, t.name)
		}
	}
	return all
}

// withState calls f with the target's state under its lock, if the target is
// known.
func (p *Picker) withState(t ids.Target, f func(s *targetState)) {
	g := p.index.Load().targets[t]
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.byName[t]; s != nil {
		f(s)
	}
}

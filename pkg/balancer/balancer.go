// Package placer chooses the target of each request by the time at which the
// target is expected to have finished it: the requests before it, whether the
// target served the request's object lately, its speed, and the way there.
package balancer

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

// Config holds what a Placer needs.
type Config struct {
	// Zone is the availability zone of this host.
	Zone ids.Zone
	// Regions holds the region of each availability zone.
	Regions map[ids.Zone]ids.Region
	// ColdShare is this host's part of what a cold target bears. Nil means all.
	ColdShare func() float64
}

// Placer holds what this host knows of the targets. Its methods may be called
// from several goroutines.
type Balancer struct {
	cfg    Config
	starts DispatchLog
	told   toldLog
	ways   ways

	mu        sync.RWMutex
	services  map[ids.Service]*pool
	byShort   map[uint32]*pool
	evacuated map[ids.Zone]bool
	// zones holds the zone of each target's address.
	zones map[string]ids.Zone
}

// pool holds the targets of one service.
type pool struct {
	mu      sync.Mutex
	targets []*target
	byShort map[uint32]*target
	// former holds the targets whose registrations ended lately.
	former map[ids.Target]*target
	// holders holds the targets that served each object lately.
	holders map[ObjectHash][]*target
	// choices counts the choices made.
	choices uint64
	told    *toldLog
	times   map[string]*times
	// work is the mean time that a request takes at a target.
	work time.Duration
	// kept is how many objects a target is believed to keep warm.
	kept float64
	// coldRate is what a cold target bears, in requests a second.
	coldRate float64
	// pressure is the part of the slots that was taken at the last choice; more
	// than 1 where requests wait.
	pressure float64
	// returnAt is when the last refused caller was told to come back.
	returnAt time.Time
}

// New returns a Placer that knows no target.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, services: make(map[ids.Service]*pool), byShort: make(map[uint32]*pool)}
}

// SetTargets replaces the targets. What is known of those that stay is kept.
func (p *Balancer) SetTargets(all []registrar.Target) {
	byService := make(map[ids.Service][]registrar.Target)
	zones := make(map[string]ids.Zone, len(all))
	for _, t := range all {
		zones[t.Address] = t.Zone
		byService[t.Service] = append(byService[t.Service], t)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones = zones
	for name, pl := range p.services {
		if _, ok := byService[name]; !ok {
			pl.set(nil, p.cfg.Regions)
		}
	}
	clear(p.byShort)
	for name, targets := range byService {
		pl := p.pool(name)
		pl.set(targets, p.cfg.Regions)
		for short := range pl.byShort {
			p.byShort[short] = pl
		}
	}
}

// pool returns the pool of a service. The caller holds p.mu.
func (p *Balancer) pool(name ids.Service) *pool {
	pl := p.services[name]
	if pl == nil {
		pl = &pool{times: make(map[string]*times), holders: make(map[ObjectHash][]*target), kept: firstKept, told: &p.told}
		p.services[name] = pl
	}
	return pl
}

// SetColdRate sets what a cold target of a service bears, in requests a second
// over all hosts.
func (p *Balancer) SetColdRate(name ids.Service, rate float64) {
	p.mu.Lock()
	pl := p.pool(name)
	p.mu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.coldRate = rate
}

// SetEvacuated replaces the availability zones whose targets get nothing.
func (p *Balancer) SetEvacuatedZones(zones map[ids.Zone]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = zones
}

// set replaces the pool's targets.
func (pl *pool) set(all []registrar.Target, regions map[ids.Zone]ids.Region) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	now := time.Now()
	known := pl.remember(now)
	pl.targets = make([]*target, 0, len(all))
	pl.byShort = make(map[uint32]*target, len(all))
	for _, info := range all {
		t := known[info.ID]
		if t != nil && !t.same(info) {
			pl.forget(t)
			t = nil
		}
		if t == nil {
			t = newTarget()
		}
		delete(known, info.ID)
		t.Target = info
		t.short = HashTarget(info.ID)
		t.told = pl.told.total(t.short)
		t.region = regions[info.Zone]
		pl.targets = append(pl.targets, t)
		pl.byShort[t.short] = t
	}
	pl.former = known
	for _, t := range known {
		if t.goneAt.IsZero() {
			t.goneAt = now
		}
	}
}

// remember returns the targets that are registered, or were lately. The caller holds
// the lock.
func (pl *pool) remember(now time.Time) map[ids.Target]*target {
	known := make(map[ids.Target]*target, len(pl.targets)+len(pl.former))
	for id, t := range pl.former {
		if now.Sub(t.goneAt) < formerLife {
			known[id] = t
		} else {
			pl.forget(t)
		}
	}
	for _, t := range pl.targets {
		t.goneAt = time.Time{}
		known[t.ID] = t
	}
	return known
}

// seconds converts seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

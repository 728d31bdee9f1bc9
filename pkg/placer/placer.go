// Package placer chooses the target of each request by the time at which the
// target is expected to have finished it: the requests before it, whether the
// target served the request's object lately, its speed, and the way there.
package placer

import (
	"hash/fnv"
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
type Placer struct {
	cfg Config

	mu        sync.RWMutex
	services  map[ids.Service]*pool
	evacuated map[ids.Zone]bool
}

// pool holds the targets of one service.
type pool struct {
	mu      sync.Mutex
	targets []*target
	times   map[string]*times
	// coldRate is what a cold target bears, in requests a second.
	coldRate float64
}

// New returns a Placer that knows no target.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, services: make(map[ids.Service]*pool)}
}

// SetTargets replaces the targets. What is known of those that stay is kept.
func (p *Placer) SetTargets(all []registrar.Target) {
	byService := make(map[ids.Service][]registrar.Target)
	for _, t := range all {
		byService[t.Service] = append(byService[t.Service], t)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, pl := range p.services {
		if _, ok := byService[name]; !ok {
			pl.set(nil, p.cfg.Regions)
		}
	}
	for name, targets := range byService {
		p.pool(name).set(targets, p.cfg.Regions)
	}
}

// pool returns the pool of a service. The caller holds p.mu.
func (p *Placer) pool(name ids.Service) *pool {
	pl := p.services[name]
	if pl == nil {
		pl = &pool{times: make(map[string]*times)}
		p.services[name] = pl
	}
	return pl
}

// SetColdRate sets what a cold target of a service bears, in requests a second
// over all hosts.
func (p *Placer) SetColdRate(name ids.Service, rate float64) {
	p.mu.Lock()
	pl := p.pool(name)
	p.mu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.coldRate = rate
}

// SetEvacuated replaces the availability zones whose targets get nothing.
func (p *Placer) SetEvacuated(zones map[ids.Zone]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = zones
}

func (p *Placer) isEvacuated(z ids.Zone) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.evacuated[z]
}

// set replaces the pool's targets.
func (pl *pool) set(all []registrar.Target, regions map[ids.Zone]ids.Region) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	known := make(map[ids.Target]*target, len(pl.targets))
	for _, t := range pl.targets {
		known[t.ID] = t
	}
	next := make([]*target, 0, len(all))
	for _, info := range all {
		t := known[info.ID]
		if t == nil || t.Born != info.Born || t.Address != info.Address {
			t = newTarget()
		}
		t.Target = info
		t.region = regions[info.Zone]
		next = append(next, t)
	}
	for _, t := range pl.targets {
		t.gone = true
	}
	for _, t := range next {
		t.gone = false
	}
	pl.targets = next
}

// hash spreads objects over targets, alike on every host.
func hash(object string, id ids.Target) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(object)) // It never fails.
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// seconds converts seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

package balancer

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The ways to targets, there and back, by where they are, until they are measured.
const (
	sameZone    = 200 * time.Microsecond
	otherZone   = 3 * time.Millisecond
	otherRegion = 26 * time.Millisecond
)

// wayGain is the weight of a measurement that is longer than the way so far: most
// longer ones tell of a busy host.
const wayGain = 0.02

// ways holds the measured way to each zone.
type ways struct {
	mu     sync.RWMutex
	byZone map[ids.Zone]time.Duration
}

// learn takes a measurement.
func (w *ways) learn(zone ids.Zone, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byZone == nil {
		w.byZone = make(map[ids.Zone]time.Duration)
	}
	way, ok := w.byZone[zone]
	if ok && took > way {
		took = way + time.Duration(wayGain*float64(min(took, 2*way)-way))
	}
	w.byZone[zone] = took
}

// to returns the way to a zone, if it was measured.
func (w *ways) to(zone ids.Zone) (time.Duration, bool) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	way, ok := w.byZone[zone]
	return way, ok
}

// Connected takes how long it took to open a connection to an address, which is the
// way there and back.
func (p *Balancer) RecordConnectTime(address string, took time.Duration) {
	p.mu.RLock()
	zone, ok := p.zones[address]
	p.mu.RUnlock()
	if ok {
		p.ways.learn(zone, took)
	}
}

// way returns the way to a target and back.
func (p *Balancer) way(t *target) time.Duration {
	if way, ok := p.ways.to(t.Zone); ok {
		return way
	}
	switch {
	case t.Zone == p.cfg.Zone:
		return sameZone
	case t.region == p.cfg.Regions[p.cfg.Zone]:
		return otherZone
	default:
		return otherRegion
	}
}

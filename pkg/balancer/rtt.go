package balancer

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Default round-trip times to targets by location, used until they are measured.
const (
	defaultSameZoneRTT    = 200 * time.Microsecond
	defaultOtherZoneRTT   = 3 * time.Millisecond
	defaultOtherRegionRTT = 26 * time.Millisecond
)

// rttIncreaseWeight is the weight of a sample above the current estimate. It is low
// because most such samples are caused by a busy host.
const rttIncreaseWeight = 0.02

// rttTable holds the measured round-trip time to each zone.
type rttTable struct {
	mu     sync.RWMutex
	byZone map[ids.Zone]time.Duration
}

// record adds a sample.
func (t *rttTable) record(zone ids.Zone, elapsed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byZone == nil {
		t.byZone = make(map[ids.Zone]time.Duration)
	}
	rtt, ok := t.byZone[zone]
	if ok && elapsed > rtt {
		elapsed = rtt + time.Duration(rttIncreaseWeight*float64(min(elapsed, 2*rtt)-rtt))
	}
	t.byZone[zone] = elapsed
}

// get returns the round-trip time to a zone, and false if it was not measured.
func (t *rttTable) get(zone ids.Zone) (time.Duration, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	rtt, ok := t.byZone[zone]
	return rtt, ok
}

// RecordConnectTime takes the time it took to open a connection to an address, which is
// one round-trip time. Addresses of no known target are ignored.
func (b *Balancer) RecordConnectTime(address string, elapsed time.Duration) {
	b.mu.RLock()
	zone, ok := b.zoneByAddress[address]
	b.mu.RUnlock()
	if ok {
		b.rtts.record(zone, elapsed)
	}
}

// rtt returns the round-trip time to a target.
func (b *Balancer) rtt(t *target) time.Duration {
	if rtt, ok := b.rtts.get(t.Zone); ok {
		return rtt
	}
	switch {
	case t.Zone == b.cfg.Zone:
		return defaultSameZoneRTT
	case t.region == b.cfg.Regions[b.cfg.Zone]:
		return defaultOtherZoneRTT
	default:
		return defaultOtherRegionRTT
	}
}

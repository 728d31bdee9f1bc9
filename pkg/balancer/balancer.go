// Package balancer chooses a target for each request: the one that is expected to
// finish it first, with penalties for crossing zones, for failures and for load. The
// estimate takes into account the target's queue, whether the request's object is warm
// there, the target's speed, and the round-trip time.
//
// An object is warm at a target that served it recently, which makes requests for it
// faster. A target itself is cold for some time after its start and accepts only a
// limited rate of requests during it.
//
// A Balancer is fed with the registered targets by SetTargets, and with the in-flight
// requests of other hosts by Merge. The caller calls Pick for each request, sends the
// request to the choice's address, and passes its result to Choice.Done.
package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/admitter"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/pacer"
	"gypsumbeam.example/gypsumbeam/pkg/placer"
	"gypsumbeam.example/gypsumbeam/pkg/reconciler"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/shifter"
)

// Config is the configuration of a Balancer.
type Config struct {
	// Zone is the availability zone of this host.
	Zone ids.Zone
	// Regions maps each availability zone to its region.
	Regions map[ids.Zone]ids.Region
	// OnLimitHeard, if set, is called when another host told that a target's limit has
	// changed; rate 0 means that it has ended. It must not call the Balancer.
	OnLimitHeard func(id ids.Target, rate ids.Rate)
	// OnLimitedPick, if set, is called with each request for a service some of whose
	// targets name limits. It must not call the Balancer.
	OnLimitedPick func(service ids.Service)
}

// Balancer holds this host's view of the targets. Its methods are safe for concurrent
// use.
type Balancer struct {
	cfg        Config
	dispatches DispatchLog
	remote     remoteCounts
	rtts       rttTable
	limits     reconciler.Reconciler
	// share is this host's share of a target's limit in a service that has no share of its
	// own; nil means the whole.
	share atomic.Pointer[pacer.Share]
	// suspended is the total time, in nanoseconds, for which this process was suspended.
	suspended atomic.Int64

	mu           sync.RWMutex
	services     map[ids.Service]*pool
	poolByTarget map[uint32]*pool
	poolByRun    map[reconciler.RunHash]*pool
	evacuated    map[ids.Zone]bool
	// zoneByAddress maps the address of each target to its zone.
	zoneByAddress map[string]ids.Zone
}

// pool holds the targets of one service.
type pool struct {
	mu sync.Mutex
	poolState
}

// poolState is the state of a pool, guarded by its lock.
type poolState struct {
	targets []*target
	byHash  map[uint32]*target
	// unregistered holds the targets whose registrations ended recently.
	unregistered map[ids.Target]*target
	// holders maps each object to the targets that were sent requests for it recently.
	holders map[ObjectHash][]*target
	// choiceCount is the number of choices made.
	choiceCount uint64
	// picks is the number of calls of Pick. It varies the targets that are considered beyond
	// candidates, and the candidates of requests without an object.
	picks  uint64
	remote *remoteCounts
	// share is this host's share of the limits that the targets name, hasShare whether it
	// was set, and limited whether any of them names one.
	share             pacer.Share
	hasShare, limited bool
	serviceTimes      map[string]*serviceTimes
	// meanServiceTime is the moving average of the service time over all classes.
	meanServiceTime time.Duration
	// warmCapacity is the estimated number of objects that a target keeps warm.
	warmCapacity float64
	// coldRate is the rate that a cold target accepts from all hosts, in requests per
	// second; 0 means unlimited.
	coldRate ids.Rate
	// pressure is the ratio of requests to slots at the last choice without region
	// restrictions, more than 1 when requests are queued.
	pressure float64
	// reportsSlowdown is set once a target has reported its slowdown, and slowFactor is the
	// moving average of the slowdown of those that are slow.
	reportsSlowdown bool
	slowFactor      float64
	// admitter serves all pools; objects, placer, survey and shifter serve those with candidates.
	objects  objectCounter
	placer   *placer.Placer
	survey   survey
	shifter  shifter.Shifter
	admitter admitter.Admitter
}

// New returns a Balancer without targets.
func New(cfg Config) *Balancer {
	return &Balancer{
		cfg: cfg, services: make(map[ids.Service]*pool), poolByTarget: make(map[uint32]*pool),
		poolByRun: make(map[reconciler.RunHash]*pool),
	}
}

// SetTargets replaces the registered targets. The state of targets that stay
// registered, or register again within unregisteredRetention, is kept.
func (b *Balancer) SetTargets(all []registrar.Target) {
	byService := make(map[ids.Service][]registrar.Target)
	zones := make(map[string]ids.Zone, len(all))
	for _, t := range all {
		zones[t.Address] = t.Zone
		byService[t.Service] = append(byService[t.Service], t)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.zoneByAddress = zones
	for name, pl := range b.services {
		if _, ok := byService[name]; !ok {
			b.setTargetsOf(pl, nil)
		}
	}
	clear(b.poolByTarget)
	clear(b.poolByRun)
	for name, targets := range byService {
		pl := b.pool(name)
		b.setTargetsOf(pl, targets)
		for hash, t := range pl.byHash {
			b.poolByTarget[hash] = pl
			b.poolByRun[t.run] = pl
		}
	}
}

// pool returns the pool of a service, which it creates if needed. The caller holds
// b.mu.
func (b *Balancer) pool(name ids.Service) *pool {
	pl := b.services[name]
	if pl == nil {
		pl = &pool{poolState: poolState{
			serviceTimes: make(map[string]*serviceTimes), holders: make(map[ObjectHash][]*target), warmCapacity: initialWarmCapacity,
			remote: &b.remote, slowFactor: initialSlowFactor,
		}}
		b.services[name] = pl
	}
	return pl
}

// SetColdRate sets the rate that a cold target of a service accepts from all hosts, in
// requests per second; 0 means unlimited.
func (b *Balancer) SetColdRate(name ids.Service, rate float64) {
	b.mu.Lock()
	pl := b.pool(name)
	b.mu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.coldRate = ids.Rate(rate * float64(ids.RatePerSecond))
}

// SetEvacuatedZones replaces the availability zones whose targets get no requests.
func (b *Balancer) SetEvacuatedZones(zones map[ids.Zone]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuated = zones
}

// setTargetsOf replaces the targets of a pool.
func (b *Balancer) setTargetsOf(pl *pool, all []registrar.Target) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	now := time.Now()
	known := pl.knownTargets(now)
	pl.targets = make([]*target, 0, len(all))
	pl.byHash = make(map[uint32]*target, len(all))
	for _, info := range all {
		t := known[info.ID]
		if t != nil && !t.sameRun(info) {
			pl.forgetTarget(t)
			t = nil
		}
		if t == nil {
			t = newTarget(hashRun(info))
			b.updateLimit(pl, t)
		}
		delete(known, info.ID)
		t.Target, t.unregisteredAt = info, time.Time{}
		t.hash = HashTarget(info.ID)
		t.remoteInFlight = pl.remote.total(t.hash)
		t.region = b.cfg.Regions[info.Zone]
		pl.targets = append(pl.targets, t)
		pl.byHash[t.hash] = t
	}
	pl.placer = nil
	pl.unregistered = known
	for _, t := range known {
		if t.unregisteredAt.IsZero() {
			t.unregisteredAt = now
		}
	}
}

// knownTargets returns the targets that are registered or were until recently, and
// forgets older ones. The caller holds the lock.
func (pl *pool) knownTargets(now time.Time) map[ids.Target]*target {
	known := make(map[ids.Target]*target, len(pl.targets)+len(pl.unregistered))
	for id, t := range pl.unregistered {
		if now.Sub(t.unregisteredAt) < unregisteredRetention {
			known[id] = t
		} else {
			pl.forgetTarget(t)
		}
	}
	for _, t := range pl.targets {
		t.unregisteredAt = time.Time{}
		known[t.ID] = t
	}
	return known
}

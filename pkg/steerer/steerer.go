// Package steerer decides which region serves which request. It splits the
// traffic of each region's callers over the regions that serve, answers look-ups,
// and bounds how fast traffic shifts between regions (the shift cap).
//
// Every host runs a Steerer on the same configuration and host states, so that all
// compute about the same split without a leader. The hosts that receive shifted
// traffic enforce the cap. A caller configures the Steerer, sets the seat table and
// starts Run.
package steerer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// DefaultInterval is the default of Config.Interval.
const DefaultInterval = 500 * time.Millisecond

// startupGrace is how long after its first step a Steerer considers no region
// dead, since it may not have heard of the region's hosts yet.
const startupGrace = 6 * time.Second

// Config configures a Steerer. Region and Hosts are required.
type Config struct {
	// Region is this host's region.
	Region ids.Region
	// Self identifies this host to the Checker.
	Self ids.Instance
	// Checker asserts the shift cap over all hosts of the process; nil disables it.
	Checker *checker.Checker
	// Hosts returns the newest known states of all hosts, this one included.
	Hosts func() []*peerpb.HostState
	// Interval is the time between two steps; zero means DefaultInterval.
	Interval time.Duration
}

// Steerer holds the traffic splits and the look-up responses. Its methods may be
// called concurrently. Before the first Configure, Lookup and AdmitRemote refuse,
// and Route returns this host's region.
type Steerer struct {
	cfg  Config
	done chan struct{}

	snap          atomic.Pointer[config.Snapshot]
	table         atomic.Pointer[lookupTable]
	shiftLimiters shiftLimiters

	mu        sync.Mutex
	splits    trafficSplits
	hostLoads hostLoads
	adopted   bool
	// startupOver is set once startupGrace has passed.
	startupOver bool
	firstStep   time.Time
	lastStep    time.Time
}

// New returns a Steerer. It must be configured, and Run be started, before it
// steers.
func New(cfg Config) *Steerer {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	return &Steerer{
		cfg:           cfg,
		done:          make(chan struct{}),
		shiftLimiters: shiftLimiters{region: cfg.Region, self: cfg.Self, checker: cfg.Checker},
		splits:        make(trafficSplits),
		hostLoads:     make(hostLoads),
	}
}

// Configure applies a new configuration. The traffic splits move towards it under
// the shift cap.
func (s *Steerer) Configure(snap *config.Snapshot) {
	s.snap.Store(snap)
	s.Step()
}

// SetTable applies a new seat table. This host may take over the part of its
// region's allowance that is its share of the region's seats: nothing without a
// seat.
func (s *Steerer) SetTable(self ids.Instance, t *seater.Table) {
	held, seats := 0, 0
	for i := range t.Seats {
		if t.Seats[i].Region != s.cfg.Region {
			continue
		}
		seats++
		if t.Seats[i].Holder == self {
			held++
		}
	}
	s.shiftLimiters.setSeatShare(float64(held) / float64(max(seats, 1)))
}

// Run calls Step at every interval until ctx ends. It may be called once.
func (s *Steerer) Run(ctx context.Context) {
	defer close(s.done)
	t := time.NewTicker(s.cfg.Interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.Step()
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed once Run has returned.
func (s *Steerer) Done() <-chan struct{} { return s.done }

// Step moves the traffic splits by what the time since the last step allows and
// rebuilds the look-up responses. It does nothing before Configure.
func (s *Steerer) Step() {
	snap := s.snap.Load()
	if snap == nil {
		return
	}
	hosts := s.cfg.Hosts()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var elapsed time.Duration
	if s.lastStep.IsZero() {
		s.firstStep = now
	} else {
		elapsed = now.Sub(s.lastStep)
	}
	s.lastStep = now
	view := newFleetView(snap, hosts)
	view.startupOver = now.Sub(s.firstStep) >= startupGrace
	s.adopt(hosts, view.startupOver)
	s.splits.step(snap, view, elapsed)
	s.shiftLimiters.configure(snap, view, now, elapsed)
	s.hostLoads.update(hosts, elapsed)
	s.table.Store(newLookupTable(snap, hosts, s.splits, s.hostLoads))
}

// adopt copies the traffic splits of another host, once during startup, so that a
// restarted host continues a shift in progress instead of starting it over. Hosts
// publish no shares before their own startup is over, so that no host adopts from
// one that has just started too. The caller holds mu.
func (s *Steerer) adopt(hosts []*peerpb.HostState, startupOver bool) {
	if s.startupOver {
		return
	}
	s.startupOver = startupOver
	if s.adopted {
		return
	}
	for _, h := range hosts {
		if usable(h) && len(h.GetShares()) > 0 {
			s.splits.adopt(h.GetShares())
			s.adopted = true
			return
		}
	}
}

// Shares returns the traffic splits that differ from a region serving all of its
// own callers, to be published in the host state. It returns none before startup
// is over.
func (s *Steerer) Shares() []*peerpb.RegionShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.startupOver {
		return nil
	}
	return s.splits.shares()
}

// Route returns the region that should serve a request received by this host:
// this host's region while it has live slots and is not drained, else the region
// that FailoverRegion chooses.
func (s *Steerer) Route(svc ids.Service, origin ids.Region) ids.Region {
	t := s.table.Load()
	if t == nil {
		return s.cfg.Region
	}
	return t.route(svc, origin, s.cfg.Region)
}

// FailoverRegion returns the best of the other regions that serve the service:
// the caller's own, else the one with the largest share, else the one with the
// most live slots. It returns false if there is none.
func (s *Steerer) FailoverRegion(svc ids.Service, origin ids.Region) (ids.Region, bool) {
	t := s.table.Load()
	if t == nil {
		return "", false
	}
	return t.failoverRegion(svc, origin, s.cfg.Region)
}

// AdmitRemote admits one request from a caller in region origin under the shift
// cap and counts it. Requests from this host's own region always pass. A refusal
// names the time until the next request may be admitted.
func (s *Steerer) AdmitRemote(svc ids.Service, origin ids.Region) *refusal.Refusal {
	if origin == "" || origin == s.cfg.Region {
		return nil
	}
	wait, ok := s.shiftLimiters.admit(svc, time.Now())
	if ok {
		return nil
	}
	return refusal.Unavailable(refusal.CodeShiftCap, "the region takes over no more traffic of "+string(origin)+" for now", wait)
}

// RecordServiceTime records how long a target of this region took for one
// request. The region's capacity is computed from it.
func (s *Steerer) RecordServiceTime(svc ids.Service, serviceTime time.Duration) {
	s.shiftLimiters.recordServiceTime(svc, serviceTime)
}

// Lookup returns the entry hosts for a caller in region. If region is empty, it is
// that of the configured block that contains address, or else this host's. The
// response is shared and must not be modified. The error is a *refusal.Refusal.
func (s *Steerer) Lookup(svc ids.Service, region ids.Region, address string) (*callers.LookupResponse, error) {
	t := s.table.Load()
	if t == nil {
		return nil, refusal.Unavailable(refusal.CodeNotServing, "no configuration is in force here yet", time.Second)
	}
	if region == "" {
		region = s.Origin(address, "")
	}
	return t.lookup(svc, region)
}

// Origin returns the region of a caller at an address: that of the configured
// block that contains it, else the claimed region if it exists, else this host's.
func (s *Steerer) Origin(address string, claimed ids.Region) ids.Region {
	snap := s.snap.Load()
	if snap == nil {
		return s.cfg.Region
	}
	if block, ok := snap.ClientBlock(address); ok {
		return block.Region
	}
	if _, ok := snap.Region(claimed); ok {
		return claimed
	}
	return s.cfg.Region
}

func unknownService(svc ids.Service) *refusal.Refusal {
	return &refusal.Refusal{
		Status:  http.StatusNotFound,
		Code:    refusal.CodeUnknownService,
		Outcome: refusal.NotRun,
		Detail:  "there is no service " + string(svc),
	}
}

func unknownRegion(r ids.Region) *refusal.Refusal {
	return &refusal.Refusal{
		Status:  http.StatusBadRequest,
		Code:    refusal.CodeBadRequest,
		Outcome: refusal.NotRun,
		Detail:  "there is no region " + string(r),
	}
}

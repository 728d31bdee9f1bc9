// Package steerer says where requests go: it divides each region's callers over
// the serving regions, answers look-ups, and keeps shifts of traffic under
// their cap.
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

// DefaultInterval is the time between two steps of the weights.
const DefaultInterval = 500 * time.Millisecond

// settleTime is how long after its start a Steerer takes no region for dead,
// since it may not have heard of the region's hosts yet.
const settleTime = 6 * time.Second

// Config holds what a Steerer needs. Region and Hosts are required.
type Config struct {
	// Region is this host's region.
	Region ids.Region
	// Self names this host to the Checker.
	Self ids.Instance
	// Checker asserts the shift cap over all hosts of the process; nil means off.
	Checker *checker.Checker
	// Hosts returns the newest states of all hosts, this one included.
	Hosts func() []*peerpb.HostState
	// Interval is the time between two steps; zero takes DefaultInterval.
	Interval time.Duration
}

// Steerer keeps the weights and the look-up answers. Lookup, Route and Accept
// may be called from any goroutine at any time; before the first configuration
// they refuse.
type Steerer struct {
	cfg  Config
	done chan struct{}

	snap  atomic.Pointer[config.Snapshot]
	table atomic.Pointer[answers]
	gates gates

	mu      sync.Mutex
	weights weights
	spares  spares
	adopted bool
	// settled says that settleTime has passed.
	settled bool
	first   time.Time
	last    time.Time
}

// New returns a Steerer that has not started.
func New(cfg Config) *Steerer {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	return &Steerer{
		cfg:     cfg,
		done:    make(chan struct{}),
		gates:   gates{region: cfg.Region, self: cfg.Self, checker: cfg.Checker},
		weights: make(weights),
		spares:  make(spares),
	}
}

// Configure takes a new configuration in force. The weights move towards it
// under the shift cap.
func (s *Steerer) Configure(snap *config.Snapshot) {
	s.snap.Store(snap)
	s.Step()
}

// SetTable takes a new seat table. What the region may take over is divided by
// the seats of the region, so that a host without a seat takes nothing over.
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
	s.gates.setShare(float64(held) / float64(max(seats, 1)))
}

// Run steps the weights until ctx ends. It may be called once.
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

// Step moves the weights by the time since the last step, and makes the
// look-up answers anew.
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
	if s.last.IsZero() {
		s.first = now
	} else {
		elapsed = now.Sub(s.last)
	}
	s.last = now
	view := newView(snap, hosts)
	view.settled = now.Sub(s.first) >= settleTime
	s.adopt(hosts, view.settled)
	s.weights.step(snap, view, elapsed)
	s.gates.configure(snap, view, now, elapsed)
	s.spares.update(hosts, elapsed)
	s.table.Store(newAnswers(snap, hosts, s.weights, s.spares))
}

// adopt takes the weights of a host that has run before, once, so that a
// restarted host does not answer with a shift half done as if it had not begun.
// Hosts tell no shares before they have settled, so that no host adopts from
// one that has just started too. The caller holds mu.
func (s *Steerer) adopt(hosts []*peerpb.HostState, settled bool) {
	if s.settled {
		return
	}
	s.settled = settled
	if s.adopted {
		return
	}
	for _, h := range hosts {
		if usable(h) && len(h.GetShares()) > 0 {
			s.weights.adopt(h.GetShares())
			s.adopted = true
			return
		}
	}
}

// Shares returns the weights that differ from each region serving itself, for
// the exchange of host states. There are none before this host has settled.
func (s *Steerer) Shares() []*peerpb.RegionShare {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.settled {
		return nil
	}
	return s.weights.shares()
}

// Route returns the region that is to serve a request that came in here: this
// one while it has capacity, else the one with the largest weight.
func (s *Steerer) Route(svc ids.Service, origin ids.Region) ids.Region {
	t := s.table.Load()
	if t == nil {
		return s.cfg.Region
	}
	return t.route(svc, origin, s.cfg.Region)
}

// Elsewhere returns the region with the largest weight, or else the most live
// slots, among the other regions that serve the service.
func (s *Steerer) FailoverRegion(svc ids.Service, origin ids.Region) (ids.Region, bool) {
	t := s.table.Load()
	if t == nil {
		return "", false
	}
	return t.elsewhere(svc, origin, s.cfg.Region)
}

// Accept counts one request that this region takes over from origin. Requests
// of the own region always pass.
func (s *Steerer) AdmitRemote(svc ids.Service, origin ids.Region) *refusal.Refusal {
	if origin == "" || origin == s.cfg.Region {
		return nil
	}
	wait, ok := s.gates.take(svc, time.Now())
	if ok {
		return nil
	}
	return refusal.Unavailable(refusal.CodeShiftCap, "the region takes over no more traffic of "+string(origin)+" for now", wait)
}

// Answered tells how long a target of this region took for one request.
func (s *Steerer) RecordServiceTime(svc ids.Service, atTarget time.Duration) {
	s.gates.answered(svc, atTarget)
}

// Lookup answers a caller in region; an empty region is found by the caller's
// address, and is this host's if no block holds it. The caller must not write
// to the answer.
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

// Origin returns the region of a caller at an address. A configured block goes
// before what the caller claims, and without either it is this host's region.
func (s *Steerer) Origin(address string, claimed ids.Region) ids.Region {
	snap := s.snap.Load()
	if snap == nil {
		return s.cfg.Region
	}
	if block, ok := snap.Block(address); ok {
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

// Package limitsim simulates pkg/limiter on a virtual clock: a fleet of limiters
// with a deployment's network delays, and three baselines that get the same
// arrivals. Tests call Run inside a testing/synctest bubble and compare the
// counts of the Result.
package limitsim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/gossiper"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/limiter"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const (
	regionCount    = 3
	zonesPerRegion = 2
	// workspace is the only workspace of a run.
	workspace ids.Workspace = "ws"
	// hotHostFraction is the fraction of arrivals sent to host 0 in a skewed run,
	// besides its even share of the others.
	hotHostFraction = 0.8
	// warmUp is the time before measuring starts.
	warmUp = 5 * time.Second
	// messageDrainTime is the time for messages in flight at the end.
	messageDrainTime = 3 * time.Second
)

// Delays holds the one-way delays between hosts.
type Delays struct {
	// SameZone is the delay within a zone, CrossZone between zones of a region, and
	// CrossRegion between regions.
	SameZone, CrossZone, CrossRegion time.Duration
}

// Config configures one run.
type Config struct {
	Hosts int
	Delay Delays
	// Rate is the workspace's limit in requests per second, and Burst its burst.
	Rate  float64
	Burst int
	// Load is the arrival rate as a multiple of Rate.
	Load float64
	// Skewed sends most arrivals to one host.
	Skewed   bool
	Duration time.Duration
	Seed     uint64
}

// Result holds the measurements of a run, without its warm-up.
type Result struct {
	Arrivals int
	// Ideal, Admitted, EqualSplit and Owner count admissions: by one bucket without
	// delay, by the limiters, by a bucket of Rate/Hosts at each host, and by one
	// host that is asked for every request.
	Ideal, Admitted, EqualSplit, Owner int
	// Breaches counts violated invariants; it must be zero.
	Breaches int
	// WaitP50 and WaitP99 are quantiles of the wait of requests that the limiters
	// admitted. OwnerWaitP50 and OwnerWaitP99 are those of the owner baseline.
	WaitP50, WaitP99           time.Duration
	OwnerWaitP50, OwnerWaitP99 time.Duration
	// CallRate and OwnerCallRate are the calls between hosts per second and host.
	CallRate, OwnerCallRate float64
}

// Shortfall returns by how much admitted falls below the ideal bucket's
// admissions, as a fraction of the latter.
func (r *Result) Shortfall(admitted int) float64 {
	return float64(max(0, r.Ideal-admitted)) / float64(max(1, r.Ideal))
}

// host is one entry host of a run.
type host struct {
	sim        *simulation
	index      int
	id         ids.Instance
	limiter    *limiter.Limiter
	gossiper   *gossiper.Gossiper
	equalSplit tokenBucket
}

// simulation is the state of one run.
type simulation struct {
	cfg     Config
	hosts   []*host
	checker *checker.Checker

	mu         sync.Mutex
	random     *rand.Rand
	measuring  bool
	result     Result
	calls      int
	ideal      tokenBucket
	owner      tokenBucket
	waits      []time.Duration
	ownerWaits []time.Duration
}

// Run simulates one fleet for cfg.Duration after the warm-up and returns the
// measurements. It must be called inside a testing/synctest bubble.
func Run(ctx context.Context, cfg Config) Result {
	s := &simulation{
		cfg:     cfg,
		checker: &checker.Checker{},
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		ideal:   newTokenBucket(cfg.Rate, float64(cfg.Burst)),
		owner:   newTokenBucket(cfg.Rate, float64(cfg.Burst)),
	}
	ctx, cancel := context.WithCancel(ctx)
	s.start(ctx)
	s.generateArrivals(warmUp)
	s.mu.Lock()
	s.measuring = true
	s.mu.Unlock()
	s.generateArrivals(cfg.Duration)
	time.Sleep(time.Second) // The last requests finish.
	cancel()
	s.stop()
	time.Sleep(messageDrainTime)
	return s.collectResult()
}

func (s *simulation) start(ctx context.Context) {
	seats := s.cfg.Hosts
	if seats%regionCount != 0 {
		seats += regionCount - seats%regionCount
	}
	snap := config.NewSnapshot(1, &config.Document{
		Regions:    []config.Region{{Name: "sask", Seats: seats}},
		Workspaces: []config.Workspace{{Name: workspace, Rate: s.cfg.Rate, Burst: s.cfg.Burst}},
	})
	table := &seater.Table{Revision: 1}
	for n := range s.cfg.Hosts {
		s.addHost(n)
	}
	for n := range seats {
		holder := s.hosts[n%s.cfg.Hosts].id
		table.Seats = append(table.Seats, seater.Seat{Number: ids.Seat(n), Holder: holder, Epoch: 1})
	}
	for _, h := range s.hosts {
		h.limiter.SetTable(h.id, table)
		h.limiter.Configure(snap)
		go h.limiter.Run(ctx)
		go h.gossiper.Run(ctx)
	}
}

func (s *simulation) addHost(index int) {
	h := &host{
		sim: s, index: index, id: ids.Instance(fmt.Sprintf("host%02d", index)),
		equalSplit: newTokenBucket(s.cfg.Rate/float64(s.cfg.Hosts), float64(s.cfg.Burst)/float64(s.cfg.Hosts)),
	}
	h.gossiper = gossiper.New(gossiper.Config{Self: h.hostState, Peers: h.peers, Call: h.exchange})
	h.limiter = limiter.New(limiter.Config{
		Self: h.id, Lease: validLease{}, Lenders: h, Hosts: h.gossiper.Hosts, Checker: s.checker,
	})
	s.hosts = append(s.hosts, h)
}

func (s *simulation) stop() {
	for _, h := range s.hosts {
		<-h.limiter.Done()
		<-h.gossiper.Done()
	}
}

// generateArrivals generates requests for a duration.
func (s *simulation) generateArrivals(duration time.Duration) {
	end := time.Now().Add(duration)
	for {
		s.mu.Lock()
		pause := s.random.ExpFloat64() / (s.cfg.Rate * s.cfg.Load)
		index := s.random.IntN(s.cfg.Hosts)
		if s.cfg.Skewed && s.random.Float64() < hotHostFraction {
			index = 0
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		if time.Now().After(end) {
			return
		}
		s.handleArrival(s.hosts[index])
	}
}

// handleArrival passes one arrival to the limiter and to each baseline.
func (s *simulation) handleArrival(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	measured := s.measuring
	arrivedAt := time.Now()
	countIf := func(counter *int, admitted bool) {
		if admitted && measured {
			*counter++
		}
	}
	countIf(&s.result.Arrivals, true)
	countIf(&s.result.Ideal, s.ideal.take(arrivedAt))
	countIf(&s.result.EqualSplit, h.equalSplit.take(arrivedAt))
	go func() {
		err := h.limiter.Admit(context.Background(), workspace)
		s.mu.Lock()
		defer s.mu.Unlock()
		countIf(&s.result.Admitted, err == nil)
		if err == nil && measured {
			s.waits = append(s.waits, time.Since(arrivedAt))
		}
	}()
	go s.requestFromOwner(h, arrivedAt, measured)
}

// requestFromOwner is the baseline that asks the owner, host 1, for every
// request.
func (s *simulation) requestFromOwner(h *host, arrivedAt time.Time, measured bool) {
	delay := s.delay(h.index, 1)
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !measured {
		s.owner.take(time.Now())
		return
	}
	if s.owner.take(time.Now()) {
		s.result.Owner++
		s.ownerWaits = append(s.ownerWaits, time.Since(arrivedAt)+delay)
	}
	if h.index != 1 {
		s.result.OwnerCallRate++
	}
}

func (s *simulation) collectResult() Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.result
	hostSeconds := s.cfg.Duration.Seconds() * float64(s.cfg.Hosts)
	r.CallRate = float64(s.calls) / hostSeconds
	r.OwnerCallRate /= hostSeconds
	r.Breaches = len(s.checker.Breaches())
	r.WaitP50, r.WaitP99 = quantile(s.waits, 0.5), quantile(s.waits, 0.99)
	r.OwnerWaitP50, r.OwnerWaitP99 = quantile(s.ownerWaits, 0.5), quantile(s.ownerWaits, 0.99)
	return r
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(q*float64(len(all)-1))]
}

// delay returns the one-way delay between two hosts. Hosts are assigned to
// regions in turn, then to the zones of their region in turn.
func (s *simulation) delay(a, b int) time.Duration {
	zone := func(n int) int { return n / regionCount % zonesPerRegion }
	switch {
	case a == b:
		return 0
	case a%regionCount != b%regionCount:
		return s.cfg.Delay.CrossRegion
	case zone(a) != zone(b):
		return s.cfg.Delay.CrossZone
	default:
		return s.cfg.Delay.SameZone
	}
}

func (h *host) hostState() *peerpb.HostState {
	return &peerpb.HostState{Instance: string(h.id), Ready: true, Workspaces: h.limiter.WorkspaceReports()}
}

func (h *host) peers() []string {
	var all []string
	for _, p := range h.sim.hosts {
		if p != h {
			all = append(all, string(p.id))
		}
	}
	return all
}

func (h *host) find(id string) (*host, error) {
	i := slices.IndexFunc(h.sim.hosts, func(p *host) bool { return string(p.id) == id })
	if i < 0 {
		return nil, errors.New("unknown host")
	}
	return h.sim.hosts[i], nil
}

func (h *host) exchange(ctx context.Context, address string, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	p, err := h.find(address)
	if err != nil {
		return nil, err
	}
	time.Sleep(h.sim.delay(h.index, p.index))
	reply, err := p.gossiper.Exchange(ctx, r)
	time.Sleep(h.sim.delay(p.index, h.index))
	return reply, err
}

// Borrow implements limiter.LenderClient.
func (h *host) Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	p, err := h.find(string(lender))
	if err != nil {
		return nil, err
	}
	h.sim.countCall()
	time.Sleep(h.sim.delay(h.index, p.index))
	reply, err := p.limiter.Borrow(ctx, r)
	time.Sleep(h.sim.delay(p.index, h.index))
	return reply, err
}

// Return implements limiter.LenderClient.
func (h *host) Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error {
	p, err := h.find(string(lender))
	if err != nil {
		return err
	}
	h.sim.countCall()
	time.Sleep(h.sim.delay(h.index, p.index))
	_, err = p.limiter.Return(ctx, r)
	return err
}

func (s *simulation) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.measuring {
		s.calls++
	}
}

// validLease is a lease that is always valid.
type validLease struct{}

// Check implements limiter.Lease.
func (validLease) Check() *refusal.Refusal { return nil }

// ValidUntil implements limiter.Lease.
func (validLease) ValidUntil() time.Time { return time.Now().Add(6 * time.Second) }

// tokenBucket is a token bucket without distribution.
type tokenBucket struct {
	rate, burst, level float64
	updatedAt          time.Time
}

func newTokenBucket(rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, level: burst, updatedAt: time.Now()}
}

func (b *tokenBucket) take(now time.Time) bool {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Package limitsim measures pkg/limiter on a virtual clock: a fleet of limiters
// with the delays of a deployment between them, next to three baselines that
// see the same arrivals. It must run inside a testing/synctest bubble.
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
	// hotShare is the part of the arrivals on one host in a skewed run.
	hotShare = 0.8
	// warmUp is not measured.
	warmUp = 5 * time.Second
	// lastMessages is the time for messages that are on their way at the end.
	lastMessages = 3 * time.Second
)

// Delays holds the one-way delays between hosts.
type Delays struct {
	// Near is inside a zone, Zone between zones of a region, and Region between regions.
	Near, Zone, Region time.Duration
}

// Config describes one run.
type Config struct {
	Hosts int
	Delay Delays
	// Rate is the workspace's limit a second, and Burst its burst.
	Rate  float64
	Burst int
	// Load is the rate of arrivals as a multiple of Rate.
	Load float64
	// Skewed puts most arrivals on one host.
	Skewed bool
	Length time.Duration
	Seed   uint64
}

// Result is what a run measured, after its warm-up.
type Result struct {
	Arrivals int
	// Ideal, Admitted, Divided and Owner count admissions by one ideal bucket,
	// the limiters, rate/N at each host, and one owner asked for each request.
	Ideal, Admitted, Divided, Owner int
	// Breaches counts broken invariants; it must be zero.
	Breaches int
	// WaitP50 and WaitP99 are added waits of admitted requests, and those of
	// the owner likewise.
	WaitP50, WaitP99           time.Duration
	OwnerWaitP50, OwnerWaitP99 time.Duration
	// Calls and OwnerCalls are calls between hosts a second and host.
	Calls, OwnerCalls float64
}

// Shortfall returns how many fewer requests were admitted than by the ideal
// bucket, as a part of the ideal's.
func (r *Result) Shortfall(admitted int) float64 {
	return float64(max(0, r.Ideal-admitted)) / float64(max(1, r.Ideal))
}

// host is one entry host of a run.
type host struct {
	s       *simulation
	n       int
	id      ids.Instance
	limiter *limiter.Limiter
	states  *gossiper.Gossiper
	divided bucket
}

// simulation is one run.
type simulation struct {
	cfg     Config
	hosts   []*host
	checker *checker.Checker

	mu         sync.Mutex
	random     *rand.Rand
	measuring  bool
	result     Result
	calls      int
	ideal      bucket
	owner      bucket
	waits      []time.Duration
	ownerWaits []time.Duration
}

// Run runs one fleet and returns what was measured.
func Run(ctx context.Context, cfg Config) Result {
	s := &simulation{
		cfg:     cfg,
		checker: &checker.Checker{},
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		ideal:   newBucket(cfg.Rate, float64(cfg.Burst)),
		owner:   newBucket(cfg.Rate, float64(cfg.Burst)),
	}
	ctx, cancel := context.WithCancel(ctx)
	s.start(ctx)
	s.arrive(warmUp)
	s.mu.Lock()
	s.measuring = true
	s.mu.Unlock()
	s.arrive(cfg.Length)
	time.Sleep(time.Second) // The last requests get their answers.
	cancel()
	s.stop()
	time.Sleep(lastMessages)
	return s.finish()
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
		s.add(n)
	}
	for n := range seats {
		holder := s.hosts[n%s.cfg.Hosts].id
		table.Seats = append(table.Seats, seater.Seat{Number: ids.Seat(n), Holder: holder, Epoch: 1})
	}
	for _, h := range s.hosts {
		h.limiter.SetTable(h.id, table)
		h.limiter.Configure(snap)
		go h.limiter.Run(ctx)
		go h.states.Run(ctx)
	}
}

func (s *simulation) add(n int) {
	h := &host{
		s: s, n: n, id: ids.Instance(fmt.Sprintf("host%02d", n)),
		divided: newBucket(s.cfg.Rate/float64(s.cfg.Hosts), float64(s.cfg.Burst)/float64(s.cfg.Hosts)),
	}
	h.states = gossiper.New(gossiper.Config{Self: h.state, Peers: h.peers, Call: h.exchange})
	h.limiter = limiter.New(limiter.Config{
		Self: h.id, Lease: lease{}, Lenders: h, Hosts: h.states.Hosts, Checker: s.checker,
	})
	s.hosts = append(s.hosts, h)
}

func (s *simulation) stop() {
	for _, h := range s.hosts {
		<-h.limiter.Done()
		<-h.states.Done()
	}
}

// arrive makes requests for a time.
func (s *simulation) arrive(length time.Duration) {
	end := time.Now().Add(length)
	for {
		s.mu.Lock()
		pause := s.random.ExpFloat64() / (s.cfg.Rate * s.cfg.Load)
		n := s.random.IntN(s.cfg.Hosts)
		if s.cfg.Skewed && s.random.Float64() < hotShare {
			n = 0
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		if time.Now().After(end) {
			return
		}
		s.request(s.hosts[n])
	}
}

// request gives one arrival to the limiter and to each baseline.
func (s *simulation) request(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	measured := s.measuring
	now := time.Now()
	count := func(n *int, admitted bool) {
		if admitted && measured {
			*n++
		}
	}
	count(&s.result.Arrivals, true)
	count(&s.result.Ideal, s.ideal.take(now))
	count(&s.result.Divided, h.divided.take(now))
	go func() {
		err := h.limiter.Admit(context.Background(), workspace)
		s.mu.Lock()
		defer s.mu.Unlock()
		count(&s.result.Admitted, err == nil)
		if err == nil && measured {
			s.waits = append(s.waits, time.Since(now))
		}
	}()
	go s.askOwner(h, now, measured)
}

// askOwner is the baseline that asks the owner, host 1, for each request.
func (s *simulation) askOwner(h *host, now time.Time, measured bool) {
	way := s.delay(h.n, 1)
	time.Sleep(way)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !measured {
		s.owner.take(time.Now())
		return
	}
	if s.owner.take(time.Now()) {
		s.result.Owner++
		s.ownerWaits = append(s.ownerWaits, time.Since(now)+way)
	}
	if h.n != 1 {
		s.result.OwnerCalls++
	}
}

func (s *simulation) finish() Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.result
	perHost := s.cfg.Length.Seconds() * float64(s.cfg.Hosts)
	r.Calls = float64(s.calls) / perHost
	r.OwnerCalls /= perHost
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

// delay returns the one-way delay between two hosts, which are dealt out over
// the regions and then over their zones.
func (s *simulation) delay(a, b int) time.Duration {
	zone := func(n int) int { return n / regionCount % zonesPerRegion }
	switch {
	case a == b:
		return 0
	case a%regionCount != b%regionCount:
		return s.cfg.Delay.Region
	case zone(a) != zone(b):
		return s.cfg.Delay.Zone
	default:
		return s.cfg.Delay.Near
	}
}

func (h *host) state() *peerpb.HostState {
	return &peerpb.HostState{Instance: string(h.id), Ready: true, Workspaces: h.limiter.WorkspaceReports()}
}

func (h *host) peers() []string {
	var all []string
	for _, p := range h.s.hosts {
		if p != h {
			all = append(all, string(p.id))
		}
	}
	return all
}

func (h *host) find(id string) (*host, error) {
	i := slices.IndexFunc(h.s.hosts, func(p *host) bool { return string(p.id) == id })
	if i < 0 {
		return nil, errors.New("no such host")
	}
	return h.s.hosts[i], nil
}

func (h *host) exchange(ctx context.Context, address string, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	p, err := h.find(address)
	if err != nil {
		return nil, err
	}
	time.Sleep(h.s.delay(h.n, p.n))
	reply, err := p.states.Exchange(ctx, r)
	time.Sleep(h.s.delay(p.n, h.n))
	return reply, err
}

// Borrow implements limiter.Lenders.
func (h *host) Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	p, err := h.find(string(lender))
	if err != nil {
		return nil, err
	}
	h.s.countCall()
	time.Sleep(h.s.delay(h.n, p.n))
	reply, err := p.limiter.Borrow(ctx, r)
	time.Sleep(h.s.delay(p.n, h.n))
	return reply, err
}

// Return implements limiter.Lenders.
func (h *host) Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error {
	p, err := h.find(string(lender))
	if err != nil {
		return err
	}
	h.s.countCall()
	time.Sleep(h.s.delay(h.n, p.n))
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

// lease is always valid.
type lease struct{}

// Check implements limiter.Lease.
func (lease) Check() *refusal.Refusal { return nil }

// ValidUntil implements limiter.Lease.
func (lease) ValidUntil() time.Time { return time.Now().Add(6 * time.Second) }

// bucket is a plain token bucket.
type bucket struct {
	rate, burst, level float64
	at                 time.Time
}

func newBucket(rate, burst float64) bucket {
	return bucket{rate: rate, burst: burst, level: burst, at: time.Now()}
}

func (b *bucket) take(now time.Time) bool {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

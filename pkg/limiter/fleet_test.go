package limiter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

var errLost = errors.New("the message was lost")

// fleet is a set of limiters on an unreliable network, with a store that holds
// the configuration and the seat table.
type fleet struct {
	t       testing.TB
	checker *checker.Checker

	mu       sync.Mutex
	random   *rand.Rand
	hosts    []*fakeHost
	snapshot *config.Snapshot
	table    *seater.Table
	states   map[ids.Instance]*peerpb.HostState
	seq      uint64
	loss     float64
	maxDelay time.Duration
	admitted map[ids.Workspace]int
}

// fakeHost is one limiter and its serving lease.
type fakeHost struct {
	fleet   *fleet
	id      ids.Instance
	address string
	limiter *Limiter

	mu         sync.Mutex
	validUntil time.Time
	// leaseEnd is when the lease of a crashed host ends.
	leaseEnd    time.Time
	paused      bool
	dead        bool
	partitioned bool
	leaving     bool
}

func (h *fakeHost) ValidUntil() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil
}

func (h *fakeHost) Check() *refusal.Refusal {
	if time.Now().Before(h.ValidUntil()) {
		return nil
	}
	return refusal.Unavailable(refusal.CodeNotServing, "no lease", time.Second)
}

func (h *fakeHost) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

// lastLeaseEnd returns the end of the lease, also for a crashed host.
func (h *fakeHost) lastLeaseEnd() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return h.leaseEnd
	}
	return h.validUntil
}

func (h *fakeHost) down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paused || h.dead
}

func newFleet(t testing.TB, random *rand.Rand, seats int, workspaces ...config.Workspace) *fleet {
	f := &fleet{
		t:        t,
		checker:  &checker.Checker{},
		random:   random,
		snapshot: snapshot(1, seats, workspaces...),
		table:    &seater.Table{Revision: 1},
		states:   make(map[ids.Instance]*peerpb.HostState),
		maxDelay: 20 * time.Millisecond,
		admitted: make(map[ids.Workspace]int),
	}
	for i := range seats {
		f.table.Seats = append(f.table.Seats, seater.Seat{Number: ids.Seat(i)})
	}
	return f
}

func snapshot(rev ids.Revision, seats int, workspaces ...config.Workspace) *config.Snapshot {
	return config.NewSnapshot(rev, &config.Document{
		Regions:    []config.Region{{Name: "sask", Seats: seats}},
		Workspaces: workspaces,
	})
}

// addHost starts a host at an address and gives it the seats listed.
func (f *fleet) addHost(address string, seats ...int) {
	f.mu.Lock()
	id := ids.Instance(fmt.Sprintf("%s-%d", address, len(f.hosts)))
	h := &fakeHost{fleet: f, id: id, address: address}
	h.limiter = New(Config{Self: id, Lease: h, Lenders: h, Hosts: f.hostStates, Checker: f.checker})
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	for _, n := range seats {
		f.claimSeat(h, n)
	}
	h.renew()
}

// claimSeat gives a seat to a host, whoever holds it.
func (f *fleet) claimSeat(h *fakeHost, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = f.table.Clone()
	f.table.Revision++
	s := &f.table.Seats[n]
	s.Unclean = s.Holder != ""
	s.Holder = h.id
	s.PeersAddress = h.address
	s.Epoch++
	f.checker.Tracef("seat %d claimed by %s, epoch %d", n, h.id, s.Epoch)
}

// renew applies the newest configuration and seat table, then renews the lease.
func (h *fakeHost) renew() {
	sent := time.Now()
	h.apply()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.dead && !h.paused && !h.partitioned {
		h.validUntil = sent.Add(fencer.TTL)
	}
}

func (h *fakeHost) apply() {
	h.fleet.mu.Lock()
	snap, table := h.fleet.snapshot, h.fleet.table
	h.fleet.mu.Unlock()
	h.limiter.SetTable(h.id, table)
	h.limiter.Configure(snap)
}

// step does one tick of 100 ms: renewal every 2 s, a state report every 500 ms.
func (h *fakeHost) step(n int) {
	if h.down() {
		return
	}
	h.mu.Lock()
	partitioned := h.partitioned
	h.mu.Unlock()
	if !partitioned && n%20 == 0 {
		h.renew()
	}
	if !partitioned && h.fleet.chance(0.1) {
		h.apply()
	}
	if n%5 == 0 {
		h.publish()
	}
	h.limiter.tick()
}

func (h *fakeHost) publish() {
	reports := h.limiter.WorkspaceReports()
	h.mu.Lock()
	leaving := h.leaving
	h.mu.Unlock()
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.seq++
	h.fleet.states[h.id] = &peerpb.HostState{Instance: string(h.id), Seq: h.fleet.seq, Leaving: leaving, Workspaces: reports}
}

func (f *fleet) hostStates() []*peerpb.HostState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*peerpb.HostState
	for _, h := range f.hosts {
		if s, ok := f.states[h.id]; ok && !h.isDead() {
			all = append(all, s)
		}
	}
	return all
}

func (f *fleet) chance(p float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < p
}

func (f *fleet) randomDuration(most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(most) + 1))
}

// deliver waits for the network delay and for paused hosts to resume. It returns
// errLost if the message is lost.
func (f *fleet) deliver(ends ...*fakeHost) error {
	time.Sleep(f.randomDuration(f.maxDelay))
	if f.chance(f.loss) {
		return errLost
	}
	if f.chance(f.loss) {
		time.Sleep(f.randomDuration(5 * time.Second)) // The message is delayed.
	}
	for _, h := range ends {
		for h.down() {
			if h.isDead() {
				return errLost
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) host(id ids.Instance) *fakeHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.hosts, func(h *fakeHost) bool { return h.id == id })
	return f.hosts[i]
}

// Borrow implements LenderClient.
func (h *fakeHost) Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	type answer struct {
		reply *peerpb.BorrowReply
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		to := h.fleet.host(lender)
		if err := h.fleet.deliver(to); err != nil {
			done <- answer{err: err}
			return
		}
		reply, err := to.limiter.Borrow(context.Background(), r)
		if err == nil {
			err = h.fleet.deliver(h)
		}
		done <- answer{reply, err}
	}()
	select {
	case a := <-done:
		return a.reply, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Return implements LenderClient. A message may be delivered twice.
func (h *fakeHost) Return(_ context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error {
	to := h.fleet.host(lender)
	times := 1
	if h.fleet.chance(h.fleet.loss) {
		times = 2
	}
	for range times {
		if err := h.fleet.deliver(to); err != nil {
			return err
		}
		if _, err := to.limiter.Return(context.Background(), r); err != nil {
			return err
		}
	}
	return nil
}

// admit sends one request to a host and counts it if it is admitted.
func (f *fleet) admit(h *fakeHost, ws ids.Workspace) {
	if h.down() {
		return
	}
	if err := h.limiter.Admit(context.Background(), ws); err == nil {
		f.mu.Lock()
		f.admitted[ws]++
		f.mu.Unlock()
	}
}

// liveHosts returns the hosts that have not crashed.
func (f *fleet) liveHosts() []*fakeHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*fakeHost
	for _, h := range f.hosts {
		if !h.isDead() {
			all = append(all, h)
		}
	}
	return all
}

// requireNoBreach fails the test with the first breach and the end of its trace.
func (f *fleet) requireNoBreach() {
	f.t.Helper()
	for _, b := range f.checker.Breaches() {
		for _, line := range b.Trace[max(0, len(b.Trace)-40):] {
			f.t.Log(line)
		}
		f.t.Fatalf("%s: %s", b.At, b.Message)
	}
}

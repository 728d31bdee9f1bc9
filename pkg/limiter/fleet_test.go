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

// fleet is a set of limiters over a faulty network, with a store that holds the
// configuration and the seat table.
type fleet struct {
	t       testing.TB
	checker *checker.Checker

	mu      sync.Mutex
	random  *rand.Rand
	hosts   []*fakeHost
	snap    *config.Snapshot
	table   *seater.Table
	states  map[ids.Instance]*peerpb.HostState
	seq     uint64
	loss    float64
	maxWait time.Duration
	reached map[ids.Workspace]int
}

// fakeHost is one limiter with its lease.
type fakeHost struct {
	f       *fleet
	id      ids.Instance
	address string
	l       *Limiter

	mu         sync.Mutex
	validUntil time.Time
	// leaseEnd is the end of a dead host's lease.
	leaseEnd time.Time
	paused   bool
	dead     bool
	cut      bool
	leaving  bool
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

// lastLease returns the end of the lease, also of a host that died.
func (h *fakeHost) lastLease() time.Time {
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
		t:       t,
		checker: &checker.Checker{},
		random:  random,
		snap:    snapshot(1, seats, workspaces...),
		table:   &seater.Table{Revision: 1},
		states:  make(map[ids.Instance]*peerpb.HostState),
		maxWait: 20 * time.Millisecond,
		reached: make(map[ids.Workspace]int),
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

// add starts a host at an address that holds the given seats.
func (f *fleet) add(address string, seats ...int) {
	f.mu.Lock()
	id := ids.Instance(fmt.Sprintf("%s-%d", address, len(f.hosts)))
	h := &fakeHost{f: f, id: id, address: address}
	h.l = New(Config{Self: id, Lease: h, Lenders: h, Hosts: f.known, Checker: f.checker})
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	for _, n := range seats {
		f.claim(h, n)
	}
	h.renew()
}

// claim gives a seat to a host, whoever held it.
func (f *fleet) claim(h *fakeHost, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = f.table.Clone()
	f.table.Revision++
	s := &f.table.Seats[n]
	s.Unclean = s.Holder != ""
	s.Holder = h.id
	s.PeersAddress = h.address
	s.Epoch++
	f.checker.Note("seat %d to %s, epoch %d", n, h.id, s.Epoch)
}

// renew renews the lease, which needs the newest configuration and table.
func (h *fakeHost) renew() {
	sent := time.Now()
	h.apply()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.dead && !h.paused && !h.cut {
		h.validUntil = sent.Add(fencer.TTL)
	}
}

func (h *fakeHost) apply() {
	h.f.mu.Lock()
	snap, table := h.f.snap, h.f.table
	h.f.mu.Unlock()
	h.l.SetTable(h.id, table)
	h.l.Configure(snap)
}

// step does what a host does every 100 ms.
func (h *fakeHost) step(n int) {
	if h.down() {
		return
	}
	h.mu.Lock()
	cut := h.cut
	h.mu.Unlock()
	if !cut && n%20 == 0 {
		h.renew()
	}
	if !cut && h.f.chance(0.1) {
		h.apply()
	}
	if n%5 == 0 {
		h.publish()
	}
	h.l.tick()
}

func (h *fakeHost) publish() {
	reports := h.l.WorkspaceReports()
	h.mu.Lock()
	leaving := h.leaving
	h.mu.Unlock()
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	h.f.seq++
	h.f.states[h.id] = &peerpb.HostState{Instance: string(h.id), Seq: h.f.seq, Leaving: leaving, Workspaces: reports}
}

func (f *fleet) known() []*peerpb.HostState {
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

func (f *fleet) duration(most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(most) + 1))
}

// travel takes a message to or from a host, or loses it.
func (f *fleet) travel(ends ...*fakeHost) error {
	time.Sleep(f.duration(f.maxWait))
	if f.chance(f.loss) {
		return errLost
	}
	if f.chance(f.loss) {
		time.Sleep(f.duration(5 * time.Second)) // It is held up on its way.
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

func (f *fleet) find(id ids.Instance) *fakeHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.hosts, func(h *fakeHost) bool { return h.id == id })
	return f.hosts[i]
}

// Borrow implements Lenders.
func (h *fakeHost) Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	type answer struct {
		reply *peerpb.BorrowReply
		err   error
	}
	done := make(chan answer, 1)
	go func() {
		to := h.f.find(lender)
		if err := h.f.travel(to); err != nil {
			done <- answer{err: err}
			return
		}
		reply, err := to.l.Borrow(context.Background(), r)
		if err == nil {
			err = h.f.travel(h)
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

// Return implements Lenders. A message may arrive twice.
func (h *fakeHost) Return(_ context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error {
	to := h.f.find(lender)
	times := 1
	if h.f.chance(h.f.loss) {
		times = 2
	}
	for range times {
		if err := h.f.travel(to); err != nil {
			return err
		}
		if _, err := to.l.Return(context.Background(), r); err != nil {
			return err
		}
	}
	return nil
}

// admit sends one request to a host and counts it where it is admitted.
func (f *fleet) admit(h *fakeHost, ws ids.Workspace) {
	if h.down() {
		return
	}
	if err := h.l.Admit(context.Background(), ws); err == nil {
		f.mu.Lock()
		f.reached[ws]++
		f.mu.Unlock()
	}
}

// live returns the hosts that are not dead.
func (f *fleet) live() []*fakeHost {
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

// requireNoBreach fails the test with the first breach and its trace.
func (f *fleet) requireNoBreach() {
	f.t.Helper()
	for _, b := range f.checker.Breaches() {
		for _, line := range b.Trace[max(0, len(b.Trace)-40):] {
			f.t.Log(line)
		}
		f.t.Fatalf("%s: %s", b.At, b.What)
	}
}

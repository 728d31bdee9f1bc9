// Package store is a stand-in for the platform's key-value store and host list:
// it keeps everything in memory, and tests and the demo switch its faults on
// and off while it runs.
package store

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/service/platform"
)

// MaxValueBytes bounds a value.
const MaxValueBytes = 1 << 20

// ErrDown says that the store does not answer.
type ErrDown struct{}

// Error says that the store is down.
func (*ErrDown) Error() string { return "the store is down" }

// ErrAnswerLost says that the answer was lost after the call took effect.
type ErrResponseLost struct{}

// Error says that the answer was lost.
func (*ErrResponseLost) Error() string { return "the store's answer was lost" }

// Counts is the number of calls by kind since the start.
type CallCounts struct {
	Gets, Watches, ExpiryChecks, HostLists int64
	Swaps, Grants, KeepAlives, Revocations int64
}

// Reads returns the number of calls that read.
func (c CallCounts) TotalReads() int64 { return c.Gets + c.Watches + c.ExpiryChecks + c.HostLists }

// Changes returns the number of calls that write.
func (c CallCounts) TotalWrites() int64 { return c.Swaps + c.Grants + c.KeepAlives + c.Revocations }

// lease is one lease of the store.
type lease struct {
	ttl    time.Duration
	lapses time.Time
}

// Store implements platform.Store and platform.HostLister in memory. The zero
// value is an empty store without faults. Its methods may be called from
// several goroutines.
type Store struct {
	mu      sync.Mutex
	entries map[string]platform.Entry
	leases  map[platform.LeaseID]*lease
	granted uint64
	hosts   []platform.Host
	changed chan struct{}
	counts  CallCounts

	down    bool
	latency time.Duration
	lose    int
}

// SetDown switches an outage on or off. Calls in flight fail, watches too.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetLatency delays each call by d before it takes effect and by d after.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// LoseAnswers makes the answers of the next n changes get lost after they took
// effect.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Lapse ends a lease as if its time had run out.
func (s *Store) ExpireLease(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
}

// SetHosts replaces the list of hosts.
func (s *Store) SetHosts(hosts []platform.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = slices.Clone(hosts)
}

// Counts returns the number of calls so far.
func (s *Store) Counts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Keys returns the names of the keys, sorted.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.entries))
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.enter(ctx, func(c *CallCounts) { c.Gets++ }); err != nil {
		return platform.Entry{}, err
	}
	s.mu.Lock()
	e := s.entries[key]
	s.mu.Unlock()
	return clone(e), s.leave(ctx, false)
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect platform.Version, value []byte) (platform.Version, error) {
	if err := s.enter(ctx, func(c *CallCounts) { c.Swaps++ }); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, errs.New("the value of %s has %d bytes; at most %d are allowed", key, len(value), MaxValueBytes)
	}
	s.mu.Lock()
	current := s.entries[key].Version
	if current != expect {
		s.mu.Unlock()
		return 0, &platform.ErrConflict{Key: key, Expect: expect, Current: current}
	}
	if s.entries == nil {
		s.entries = make(map[string]platform.Entry)
	}
	s.entries[key] = platform.Entry{Value: slices.Clone(value), Version: current + 1}
	s.wake()
	s.mu.Unlock()
	return current + 1, s.leave(ctx, true)
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, key string, after platform.Version) (platform.Entry, error) {
	if err := s.enter(ctx, func(c *CallCounts) { c.Watches++ }); err != nil {
		return platform.Entry{}, err
	}
	for {
		s.mu.Lock()
		e, changed, down := s.entries[key], s.changes(), s.down
		s.mu.Unlock()
		if down {
			return platform.Entry{}, &ErrDown{}
		}
		if e.Version > after {
			return clone(e), s.leave(ctx, false)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Entry{}, ctx.Err()
		}
	}
}

// Grant implements platform.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.enter(ctx, func(c *CallCounts) { c.Grants++ }); err != nil {
		return "", err
	}
	s.mu.Lock()
	s.granted++
	id := platform.LeaseID("lease-" + strconv.FormatUint(s.granted, 10))
	if s.leases == nil {
		s.leases = make(map[platform.LeaseID]*lease)
	}
	s.leases[id] = &lease{ttl: ttl, lapses: time.Now().Add(ttl)}
	s.mu.Unlock()
	return id, s.leave(ctx, true)
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.enter(ctx, func(c *CallCounts) { c.KeepAlives++ }); err != nil {
		return err
	}
	s.mu.Lock()
	l, ok := s.live(id)
	if ok {
		l.lapses = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		return &platform.ErrLeaseExpired{ID: id}
	}
	return s.leave(ctx, true)
}

// Lapsed implements platform.Store.
func (s *Store) Expired(ctx context.Context, id platform.LeaseID) (bool, error) {
	if err := s.enter(ctx, func(c *CallCounts) { c.ExpiryChecks++ }); err != nil {
		return false, err
	}
	s.mu.Lock()
	_, ok := s.live(id)
	s.mu.Unlock()
	return !ok, s.leave(ctx, false)
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.enter(ctx, func(c *CallCounts) { c.Revocations++ }); err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.leases, id)
	s.mu.Unlock()
	return s.leave(ctx, true)
}

// Hosts implements platform.HostLister.
func (s *Store) Hosts(ctx context.Context) ([]platform.Host, error) {
	if err := s.enter(ctx, func(c *CallCounts) { c.HostLists++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	hosts := slices.Clone(s.hosts)
	s.mu.Unlock()
	return hosts, s.leave(ctx, false)
}

// live returns a lease that has not lapsed. The caller holds mu.
func (s *Store) live(id platform.LeaseID) (*lease, bool) {
	l, ok := s.leases[id]
	if ok && !time.Now().Before(l.lapses) {
		delete(s.leases, id)
		ok = false
	}
	return l, ok
}

// enter counts a call and applies the faults that stop it from taking effect.
func (s *Store) enter(ctx context.Context, count func(*CallCounts)) error {
	s.mu.Lock()
	count(&s.counts)
	s.mu.Unlock()
	return s.pass(ctx)
}

// leave applies the faults that strike after a call took effect.
func (s *Store) leave(ctx context.Context, change bool) error {
	s.mu.Lock()
	lost := change && s.lose > 0
	if lost {
		s.lose--
	}
	s.mu.Unlock()
	if lost {
		return &ErrResponseLost{}
	}
	return s.pass(ctx)
}

// pass waits for the latency, and fails while the store is down.
func (s *Store) pass(ctx context.Context) error {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	if latency > 0 {
		t := time.NewTimer(latency)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return &ErrDown{}
	}
	return ctx.Err()
}

// changes returns a channel that closes at the next change. The caller holds mu.
func (s *Store) changes() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// wake tells all watches that something changed. The caller holds mu.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func clone(e platform.Entry) platform.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}

// Package store is a stand-in for the platform's key-value store and host list, for
// tests and the demo. It keeps everything in memory, and its faults can be switched
// on and off while it runs. Handler serves it over HTTP.
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

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// ErrDown is returned by all calls during an outage that SetDown switched on.
type ErrDown struct{}

// Error implements error.
func (*ErrDown) Error() string { return "the store is down" }

// ErrResponseLost is returned by a call that took effect but whose response was lost.
type ErrResponseLost struct{}

// Error implements error.
func (*ErrResponseLost) Error() string { return "the store's answer was lost" }

// CallCounts is the number of calls by kind, failed ones included. Swaps counts
// CompareAndSwap, ExpiryChecks Expired and HostLists Hosts.
type CallCounts struct {
	Gets, Watches, ExpiryChecks, HostLists int64
	Swaps, Grants, KeepAlives, Revocations int64
}

// TotalReads returns the number of calls that only read.
func (c CallCounts) TotalReads() int64 { return c.Gets + c.Watches + c.ExpiryChecks + c.HostLists }

// TotalWrites returns the number of calls that write.
func (c CallCounts) TotalWrites() int64 { return c.Swaps + c.Grants + c.KeepAlives + c.Revocations }

// lease is one lease of the store.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store implements platform.Store and platform.HostLister in memory. The zero
// value is an empty store without faults. Its methods may be called from
// several goroutines.
type Store struct {
	mu        sync.Mutex
	entries   map[string]platform.Entry
	leases    map[platform.LeaseID]*lease
	lastLease uint64
	hosts     []platform.Host
	changed   chan struct{}
	counts    CallCounts

	down            bool
	latency         time.Duration
	responsesToLose int
}

// SetDown switches an outage on or off. Calls in flight fail with *ErrDown, watches
// too.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// SetLatency delays each call by d before it takes effect and by d after it.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d
}

// LoseResponses makes the next n calls that write fail with *ErrResponseLost after
// they took effect.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// ExpireLease ends a lease as if its time to live had passed.
func (s *Store) ExpireLease(id platform.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
}

// SetHosts replaces the list that Hosts returns.
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

// Keys returns the keys in sorted order.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.entries))
}

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Gets++ }); err != nil {
		return platform.Entry{}, err
	}
	s.mu.Lock()
	e := s.entries[key]
	s.mu.Unlock()
	return cloneEntry(e), s.endCall(ctx, false)
}

// CompareAndSwap implements platform.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expect platform.Version, value []byte) (platform.Version, error) {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Swaps++ }); err != nil {
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
	s.notify()
	s.mu.Unlock()
	return current + 1, s.endCall(ctx, true)
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, key string, after platform.Version) (platform.Entry, error) {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Watches++ }); err != nil {
		return platform.Entry{}, err
	}
	for {
		s.mu.Lock()
		e, changed, down := s.entries[key], s.changeNotify(), s.down
		s.mu.Unlock()
		if down {
			return platform.Entry{}, &ErrDown{}
		}
		if e.Version > after {
			return cloneEntry(e), s.endCall(ctx, false)
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
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Grants++ }); err != nil {
		return "", err
	}
	s.mu.Lock()
	s.lastLease++
	id := platform.LeaseID("lease-" + strconv.FormatUint(s.lastLease, 10))
	if s.leases == nil {
		s.leases = make(map[platform.LeaseID]*lease)
	}
	s.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	s.mu.Unlock()
	return id, s.endCall(ctx, true)
}

// KeepAlive implements platform.Store.
func (s *Store) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.KeepAlives++ }); err != nil {
		return err
	}
	s.mu.Lock()
	l, ok := s.validLease(id)
	if ok {
		l.expiresAt = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		return &platform.ErrLeaseExpired{ID: id}
	}
	return s.endCall(ctx, true)
}

// Expired implements platform.Store.
func (s *Store) Expired(ctx context.Context, id platform.LeaseID) (bool, error) {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.ExpiryChecks++ }); err != nil {
		return false, err
	}
	s.mu.Lock()
	_, ok := s.validLease(id)
	s.mu.Unlock()
	return !ok, s.endCall(ctx, false)
}

// Revoke implements platform.Store.
func (s *Store) Revoke(ctx context.Context, id platform.LeaseID) error {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.Revocations++ }); err != nil {
		return err
	}
	s.mu.Lock()
	delete(s.leases, id)
	s.mu.Unlock()
	return s.endCall(ctx, true)
}

// Hosts implements platform.HostLister.
func (s *Store) Hosts(ctx context.Context) ([]platform.Host, error) {
	if err := s.beginCall(ctx, func(c *CallCounts) { c.HostLists++ }); err != nil {
		return nil, err
	}
	s.mu.Lock()
	hosts := slices.Clone(s.hosts)
	s.mu.Unlock()
	return hosts, s.endCall(ctx, false)
}

// validLease returns a lease unless it has expired. The caller holds mu.
func (s *Store) validLease(id platform.LeaseID) (*lease, bool) {
	l, ok := s.leases[id]
	if ok && !time.Now().Before(l.expiresAt) {
		delete(s.leases, id)
		ok = false
	}
	return l, ok
}

// beginCall counts a call and applies the faults that keep it from taking effect.
func (s *Store) beginCall(ctx context.Context, count func(*CallCounts)) error {
	s.mu.Lock()
	count(&s.counts)
	s.mu.Unlock()
	return s.applyFaults(ctx)
}

// endCall applies the faults that occur after a call took effect.
func (s *Store) endCall(ctx context.Context, isWrite bool) error {
	s.mu.Lock()
	lost := isWrite && s.responsesToLose > 0
	if lost {
		s.responsesToLose--
	}
	s.mu.Unlock()
	if lost {
		return &ErrResponseLost{}
	}
	return s.applyFaults(ctx)
}

// applyFaults waits for the latency, and fails during an outage.
func (s *Store) applyFaults(ctx context.Context) error {
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

// changeNotify returns a channel that is closed at the next write or the next call of
// SetDown. The caller holds mu.
func (s *Store) changeNotify() chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// notify closes the channel that changeNotify returned. The caller holds mu.
func (s *Store) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func cloneEntry(e platform.Entry) platform.Entry {
	e.Value = slices.Clone(e.Value)
	return e
}

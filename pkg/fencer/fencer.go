// Package fencer holds the serving lease of this instance, and the promises with
// which other instances renew their leases while the store is down. It holds
// state only and sends nothing.
//
// Every part of the program asks Check before each decision. The leaseholder
// reports renewals and seats, and passes on the requests of other instances to
// Promise and Fence.
package fencer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// Durations of the serving lease.
const (
	// TTL is the length of the serving lease, counted from when a successful
	// renewal was sent.
	TTL = 6 * time.Second
	// RenewInterval is the time between renewals.
	RenewInterval = 2 * time.Second
	// ClockMargin covers the difference between the clock rates of two hosts.
	ClockMargin = 500 * time.Millisecond
)

// Fencer holds the serving lease of this instance and the promises that it gave.
// The zero value has no lease and has given no promise. Its methods may be called
// from several goroutines.
type Fencer struct {
	// renewedAt is when the last successful renewal was sent; nil means none.
	renewedAt atomic.Pointer[time.Time]
	stopped   atomic.Bool

	mu    sync.Mutex
	seats []ids.Seat
	// seatedAt is when this instance last took a seat.
	seatedAt time.Time
	// promisedAt holds the time of the last promise to each instance.
	promisedAt map[ids.Instance]time.Time
	// fencedLease holds the store lease under which an instance is fenced.
	fencedLease map[ids.Instance]string
}

// Check returns nil while the serving lease is valid, else the refusal of the
// request. It is cheap and must be called for each decision.
func (f *Fencer) Check() *refusal.Refusal {
	if f.Valid() {
		return nil
	}
	if f.stopped.Load() {
		return refusal.Unavailable(refusal.CodeLeaving, "this entry host is leaving", 0)
	}
	return refusal.Unavailable(refusal.CodeNotServing,
		"this entry host holds no valid serving lease; ask another one", RenewInterval)
}

// Valid reports whether the serving lease is valid.
func (f *Fencer) Valid() bool {
	renewedAt := f.renewedAt.Load()
	return renewedAt != nil && !f.stopped.Load() && time.Since(*renewedAt) < TTL
}

// ValidUntil returns the time at which the serving lease expires; it is zero
// before the first renewal and after Stop.
func (f *Fencer) ValidUntil() time.Time {
	renewedAt := f.renewedAt.Load()
	if renewedAt == nil || f.stopped.Load() {
		return time.Time{}
	}
	return renewedAt.Add(TTL)
}

// RecordRenewal extends the lease to TTL after sentAt, the time at which the first
// message of a successful renewal was sent. An older renewal changes nothing.
func (f *Fencer) RecordRenewal(sentAt time.Time) {
	for {
		old := f.renewedAt.Load()
		if old != nil && !sentAt.After(*old) || f.renewedAt.CompareAndSwap(old, &sentAt) {
			return
		}
	}
}

// Stop ends the serving lease; later renewals change nothing.
func (f *Fencer) Stop() { f.stopped.Store(true) }

// Stopped reports whether Stop was called.
func (f *Fencer) Stopped() bool { return f.stopped.Load() }

// SetSeats sets the seats that this instance holds according to the newest known
// table. Promises of a seat's previous holder expire TTL + ClockMargin after this
// instance took the seat; until then Fence refuses.
func (f *Fencer) SetSeats(seats []ids.Seat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range seats {
		if !slices.Contains(f.seats, s) {
			f.seatedAt = time.Now()
		}
	}
	f.seats = slices.Clone(seats)
}

// Promise promises the candidate not to fence it for TTL + ClockMargin. lease must
// be the store lease with which the seat table lists the candidate's seats. If it
// gives no promise, Promise returns the reason: this instance holds no seat or no
// valid lease, or it has fenced the candidate under this store lease.
func (f *Fencer) Promise(candidate ids.Instance, lease string) (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fenced, ok := f.fencedLease[candidate]; ok && fenced == lease {
		return false, "fenced"
	}
	if len(f.seats) == 0 {
		return false, "the voter holds no seat"
	}
	if !f.Valid() {
		return false, "the voter holds no valid lease"
	}
	if f.promisedAt == nil {
		f.promisedAt = make(map[ids.Instance]time.Time)
	}
	f.promisedAt[candidate] = time.Now()
	return true, ""
}

// Fence fences an instance: it gets no further promise while the seat table lists
// its seats with this store lease. Fence does so only if every promise that the
// holders of this instance's seats have given to it, earlier holders included, has
// expired. Otherwise it changes nothing and returns the reason.
func (f *Fencer) Fence(instance ids.Instance, lease string) (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	const promiseLifetime = TTL + ClockMargin
	switch {
	case len(f.seats) == 0:
		return false, "the voter holds no seat"
	case time.Since(f.seatedAt) <= promiseLifetime:
		return false, "the voter took its seat too short a time ago"
	case time.Since(f.promisedAt[instance]) <= promiseLifetime:
		return false, "a promise has not run out"
	}
	if f.fencedLease == nil {
		f.fencedLease = make(map[ids.Instance]string)
	}
	f.fencedLease[instance] = lease
	return true, ""
}

// Prune removes the state of instances for which seated returns false. They get no
// promise anyway, because the seat table does not list them. Promises that have
// not expired are kept.
func (f *Fencer) Prune(seated func(ids.Instance) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, at := range f.promisedAt {
		if !seated(i) && time.Since(at) > TTL+ClockMargin {
			delete(f.promisedAt, i)
		}
	}
	for i := range f.fencedLease {
		if !seated(i) {
			delete(f.fencedLease, i)
		}
	}
}

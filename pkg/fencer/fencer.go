// Package fencer holds the serving lease of this instance, and the promises by
// which it keeps the leases of other instances alive while the store is down.
// It is plain state without network.
package fencer

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// The times of the serving lease.
const (
	// TTL is how long an instance may act after it sent a successful renewal.
	TTL = 6 * time.Second
	// RenewEvery is the time between renewals.
	RenewInterval = 2 * time.Second
	// Margin covers the difference between the rates of two hosts' clocks.
	ClockMargin = 500 * time.Millisecond
)

// Fencer says whether this instance may act, and answers for the promises that
// it gave. The zero value has no lease and gave no promise. Its methods may be
// called from several goroutines.
type Fencer struct {
	// sent is when the last successful renewal was sent; nil means none.
	sent    atomic.Pointer[time.Time]
	stopped atomic.Bool

	mu       sync.Mutex
	seats    []ids.Seat
	seated   time.Time
	promised map[ids.Instance]time.Time
	fenced   map[ids.Instance]string
}

// Check returns nil while the serving lease is valid, else the refusal of
// whatever was to be decided. It is cheap and must be asked at each decision.
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
	sent := f.sent.Load()
	return sent != nil && !f.stopped.Load() && time.Since(*sent) < TTL
}

// ValidUntil returns the end of the serving lease; it is zero before the first
// renewal and after Stop.
func (f *Fencer) ValidUntil() time.Time {
	sent := f.sent.Load()
	if sent == nil || f.stopped.Load() {
		return time.Time{}
	}
	return sent.Add(TTL)
}

// Renewed records that a renewal succeeded whose first message was sent at
// sentAt. The end of the lease only moves forward.
func (f *Fencer) RecordRenewal(sentAt time.Time) {
	for {
		old := f.sent.Load()
		if old != nil && !sentAt.After(*old) || f.sent.CompareAndSwap(old, &sentAt) {
			return
		}
	}
}

// Stop ends the serving lease for good.
func (f *Fencer) Stop() { f.stopped.Store(true) }

// Stopped reports whether Stop was called.
func (f *Fencer) Stopped() bool { return f.stopped.Load() }

// SetSeats tells which seats this instance holds by the newest table that it
// knows. From the time at which it took a seat it answers for the promises
// given on it; those of the holder before have run out TTL and Margin later.
func (f *Fencer) SetSeats(seats []ids.Seat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range seats {
		if !slices.Contains(f.seats, s) {
			f.seated = time.Now()
		}
	}
	f.seats = slices.Clone(seats)
}

// Promise gives the candidate a promise for its lease, which the caller's seat
// table must list as the store lease of the candidate's seats. It gives none
// without a valid lease of its own, and none to a fenced candidate.
func (f *Fencer) Promise(candidate ids.Instance, lease string) (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fenced, ok := f.fenced[candidate]; ok && fenced == lease {
		return false, "fenced"
	}
	if len(f.seats) == 0 {
		return false, "the voter holds no seat"
	}
	if !f.Valid() {
		return false, "the voter holds no valid lease"
	}
	if f.promised == nil {
		f.promised = make(map[ids.Instance]time.Time)
	}
	f.promised[candidate] = time.Now()
	return true, ""
}

// Fence fences a silent instance if every promise given to it on this
// instance's seats has run out, also those of the seats' holders before: then
// it never gets a promise again while it holds its seats under this store
// lease. Otherwise Fence changes nothing and says why.
func (f *Fencer) Fence(silent ids.Instance, lease string) (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	const wait = TTL + ClockMargin
	switch {
	case len(f.seats) == 0:
		return false, "the voter holds no seat"
	case time.Since(f.seated) <= wait:
		return false, "the voter took its seat too short a time ago"
	case time.Since(f.promised[silent]) <= wait:
		return false, "a promise has not run out"
	}
	if f.fenced == nil {
		f.fenced = make(map[ids.Instance]string)
	}
	f.fenced[silent] = lease
	return true, ""
}

// Forget drops what is known of instances that hold no seat any more. They get
// no promise, because the seat table does not list them.
func (f *Fencer) Prune(seated func(ids.Instance) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, at := range f.promised {
		if !seated(i) && time.Since(at) > TTL+ClockMargin {
			delete(f.promised, i)
		}
	}
	for i := range f.fenced {
		if !seated(i) {
			delete(f.fenced, i)
		}
	}
}

// Package platform declares the interfaces of the platform's service: Store is a
// small key-value store with compare-and-swap, leases and watches, and HostLister
// lists the live hosts. Client implements both over HTTP; create one with New.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Version counts the writes of one key. Zero means that the key is absent.
type Version uint64

// LeaseID identifies a lease of the store.
type LeaseID string

// Entry is the value of a key, of up to one megabyte, and its version.
type Entry struct {
	Value   []byte
	Version Version
}

// Store is the platform's key-value store. If a call fails with an error that is
// not of a type of this package, it is unknown whether the call took effect.
type Store interface {
	// Get returns the key's entry; an absent key has Version zero and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's version is expect, and returns the
	// new version. Otherwise it returns an *ErrConflict.
	CompareAndSwap(ctx context.Context, key string, expect Version, value []byte) (Version, error)
	// Watch returns the key's entry once its version is greater than after, or
	// ctx's error.
	Watch(ctx context.Context, key string, after Version) (Entry, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. If the lease has expired, it returns an
	// *ErrLeaseExpired.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Expired reports whether the lease has expired or was revoked; it is final.
	Expired(ctx context.Context, id LeaseID) (bool, error)
	// Revoke makes a lease expire at once.
	Revoke(ctx context.Context, id LeaseID) error
}

// HostStatus is a host's state in the platform's list.
type HostStatus string

// States of a listed host.
const (
	HostLive    HostStatus = "live"
	HostLeaving HostStatus = "leaving"
)

// Host is one entry of the platform's list. It may be out of date.
type Host struct {
	// Address is the IP address and port of a target or entry host.
	Address string `json:"address"`
	// Status is live or leaving.
	Status HostStatus `json:"status"`
	// StartID differs for each start of the host's process; it may be empty.
	StartID string `json:"startId,omitempty"`
}

// HostLister returns the platform's list of live and leaving hosts, which lags
// behind their actual states.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// ErrConflict means that a key's version was not the expected one and that nothing
// was written.
type ErrConflict struct {
	Key     string
	Expect  Version
	Current Version
}

// Error names the key and both versions.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("key %s is at version %d, not %d", e.Key, e.Current, e.Expect)
}

// ErrLeaseExpired means that a lease has expired or was revoked.
type ErrLeaseExpired struct {
	ID LeaseID
}

// Error names the lease.
func (e *ErrLeaseExpired) Error() string {
	return fmt.Sprintf("lease %s has expired", e.ID)
}

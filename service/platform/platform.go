// Package platform declares what the system needs of the platform's service:
// a small key-value store with compare-and-swap, leases and watches, and a
// lagging list of hosts. Client speaks to it over HTTP.
package platform

import (
	"context"
	"fmt"
	"time"
)

// Version counts the writes of one key. Zero means that the key is not there.
type Version uint64

// LeaseID names a lease of the store.
type LeaseID string

// Entry is the value of a key. Values hold up to a megabyte.
type Entry struct {
	Value   []byte
	Version Version
}

// Store is the platform's key-value store. Every call may fail with an error
// that is not one of this package's: then nothing is known about its effect.
type Store interface {
	// Get returns the key's entry; an absent key has Version zero and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key's version is still expect, and
	// returns the new version. It fails with *ErrConflict otherwise.
	CompareAndSwap(ctx context.Context, key string, expect Version, value []byte) (Version, error)
	// Watch returns once the key's version is above after, or when ctx ends.
	Watch(ctx context.Context, key string, after Version) (Entry, error)
	// Grant makes a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It fails with *ErrLeaseLapsed for a lapsed one.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Lapsed reports whether the lease is gone for good.
	Expired(ctx context.Context, id LeaseID) (bool, error)
	// Revoke ends a lease at once.
	Revoke(ctx context.Context, id LeaseID) error
}

// HostStatus is a host's state in the platform's list.
type HostStatus string

// The states of a listed host.
const (
	HostLive    HostStatus = "live"
	HostLeaving HostStatus = "leaving"
)

// Host is one line of the platform's list. It may be out of date.
type Host struct {
	// Address is the IP number and port of a target or entry host.
	Address string `json:"address"`
	// Status is live or leaving.
	Status HostStatus `json:"status"`
	// StartID changes with each start of the host's process; it may be empty.
	StartID string `json:"startId,omitempty"`
}

// HostLister returns the platform's list of live and leaving hosts.
type HostLister interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// ErrConflict says that a key's version was not the expected one; nothing was written.
type ErrConflict struct {
	Key     string
	Expect  Version
	Current Version
}

// Error names the key and both versions.
func (e *ErrConflict) Error() string {
	return fmt.Sprintf("key %s is at version %d, not %d", e.Key, e.Current, e.Expect)
}

// ErrLeaseLapsed says that a lease is gone for good.
type ErrLeaseExpired struct {
	ID LeaseID
}

// Error names the lease.
func (e *ErrLeaseExpired) Error() string {
	return fmt.Sprintf("lease %s has lapsed", e.ID)
}

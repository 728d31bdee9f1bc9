// Package ids defines types for identifiers that are used by several packages, and
// creates random ones. All types are comparable and can be map keys.
package ids

import (
	"crypto/rand"
	"encoding/hex"
)

type (
	// Workspace names a tenant. It is empty for requests on routes that need no
	// workspace key.
	Workspace string
	// Service names a service that runs on targets.
	Service string
	// Region names a region of the fleet.
	Region string
	// Zone names an availability zone; it is unique in the fleet.
	Zone string
	// Target names one upstream of a service; it is unique in the fleet.
	Target string
	// KeyID identifies a workspace key. Unlike the key itself it is not secret.
	KeyID string
	// Preset names a preset, a set of changes to the ordinary configuration.
	Preset string
	// Instance identifies one process of an entry host. A restart creates a new one.
	Instance string
	// HostGroup names one or several entry hosts that are reported together: a
	// single host by its instance, or all hosts of an availability zone.
	HostGroup string
	// Seat is the number of a seat, from 0 to the number of seats minus one.
	Seat int
	// Revision counts the accepted versions of the configuration. Zero means none.
	Revision uint64
	// Era counts how often the store was restored from a copy of its data.
	Era uint64
	// StoreRevision counts the changes of the store within an era.
	StoreRevision uint64
	// SeatRevision counts the versions of the seat table. Zero means none.
	SeatRevision uint64
)

// Rate is a number of requests per 1,000 seconds.
type Rate uint32

// RatePerSecond is the Rate of one request per second.
const RatePerSecond Rate = 1000

// PerSecond returns the rate in requests per second.
func (r Rate) PerSecond() float64 { return float64(r) / float64(RatePerSecond) }

// instanceBytes is the number of random bytes of an Instance.
const instanceBytes = 8

// NewInstance returns a random Instance of 16 hexadecimal digits.
func NewInstance() Instance {
	return Instance(NewToken(instanceBytes))
}

// NewToken returns n cryptographically secure random bytes as 2n hexadecimal
// digits.
func NewToken(n int) string {
	b := make([]byte, n)
	// rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

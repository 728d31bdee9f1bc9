// Package ids holds the named types for identifiers that cross package
// boundaries. Each type is a plain value, comparable and usable as a map key.
package ids

import (
	"crypto/rand"
	"encoding/hex"
)

type (
	// Workspace names a tenant. The empty value stands for requests on routes
	// that are open to all.
	Workspace string
	// Service names a service that targets run.
	Service string
	// Region names a region.
	Region string
	// Zone names an availability zone; it is unique over the fleet.
	Zone string
	// Target names one upstream of a service; it is unique over the fleet.
	Target string
	// Key names a workspace key. It is not the key itself and is no secret.
	KeyID string
	// Preset names a preset.
	Preset string
	// Instance names one run of an entry host process. A restart makes a new one.
	Instance string
	// Scope names one or several entry hosts that are told of together: a host by
	// its instance, or all hosts of an availability zone.
	HostGroup string
	// Seat is the number of a seat, from 0 to the number of seats minus one.
	Seat int
	// Revision counts accepted versions of the configuration. Zero means none.
	Revision uint64
	// Era counts how often the store came back from a copy of itself.
	Era uint64
	// StoreRevision counts the changes of the store within an era.
	StoreRevision uint64
	// SeatRevision counts versions of the seat table. Zero means none.
	SeatRevision uint64
)

// instanceBytes is the number of random bytes in an instance's name.
const instanceBytes = 8

// NewInstance returns a random instance name of 16 hexadecimal digits.
func NewInstance() Instance {
	return Instance(NewToken(instanceBytes))
}

// NewToken returns n random bytes from the system's secure source as
// hexadecimal digits.
func NewToken(n int) string {
	b := make([]byte, n)
	// rand.Read never returns an error: it ends the program instead.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

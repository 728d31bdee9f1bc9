// Package operators implements the HTTP interface for operators. An entry host runs
// a Server, created with New, over its components. gypsumctl uses a Client, which
// finds the other hosts of the fleet through the hosts that it is given.
package operators

import (
	"context"
	"io"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/meter"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Host is the entry host. *entryhost.Host implements it.
type Host interface {
	// Ready returns nil while the host serves callers, else the reason why not.
	Ready() *refusal.Refusal
	// LeaseUntil returns the end of the serving lease; zero if there is none.
	LeaseUntil() time.Time
	// Self returns the state that the host sends to its peers.
	Self() *peerpb.HostState
	// Hosts returns the states of all known hosts, including this one.
	Hosts() []*peerpb.HostState
}

// Configuration holds the newest configuration and seat table that the host
// knows. *roller.Roller implements it.
type Configuration interface {
	// Snapshot returns the configuration in force, or nil before the first.
	Snapshot() *config.Snapshot
	// StoredTable returns the newest seat table, or nil before the first.
	StoredTable() *seater.Table
	// Fetch returns the newest stored document.
	Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error)
}

// Seats releases the seats of an instance of which an operator states that it has
// ended for good. Its error is a *seater.ErrTransition if the instance holds no
// seat, a *leaseholder.ErrStillLeased, or that of the store.
// *leaseholder.Leaseholder implements it.
type Seats interface {
	Abandon(ctx context.Context, instance ids.Instance) error
}

// Applier stores document as the configuration that follows the revision base. Its
// error is that of the parser, or a *roller.ErrConflict, *roller.ErrNotStored or
// *roller.ErrUnresolved. *roller.Roller implements it.
type Applier interface {
	Apply(ctx context.Context, document []byte, base ids.Revision) (roller.ApplyResult, error)
}

// Reporter reports the counts and latencies of requests. *meter.Meter implements
// it.
type Reporter interface {
	Report() meter.Report
	// WriteJSON writes the metrics as JSON.
	WriteJSON(w io.Writer) error
}

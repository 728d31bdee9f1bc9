// Package operators speaks HTTP with operators: Server is an entry host's side,
// Client is that of gypsumctl.
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

// Host tells about the entry host.
type Host interface {
	// Ready returns nil while the host serves callers, else why it does not.
	Ready() *refusal.Refusal
	// LeaseUntil returns the end of the serving lease, zero when there is none.
	LeaseUntil() time.Time
	// Self returns what the host says of itself to its peers.
	Self() *peerpb.HostState
	// Hosts returns what the peers say of themselves, this host included.
	Hosts() []*peerpb.HostState
}

// Configuration holds the newest configuration and seat table that the host
// knows. A roller.Roller is one.
type Configuration interface {
	// Snapshot returns the configuration in force, or nil before the first.
	Snapshot() *config.Snapshot
	// Stored returns the newest seat table, or nil before the first.
	StoredTable() *seater.Table
	// Fetch returns the newest stored document.
	Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error)
}

// Seats frees the seats of a holder that an operator states to have ended. Its
// error is a *seater.ErrStep, *keeper.ErrStillLeased, or that of the store.
type Seats interface {
	Abandon(ctx context.Context, silent ids.Instance) error
}

// Applier stores a new configuration. Its error is what the parser returned, or
// a *roller.ErrConflict, *roller.ErrNotStored or *roller.ErrUnresolved.
type Applier interface {
	Apply(ctx context.Context, document []byte, base ids.Revision) (roller.ApplyResult, error)
}

// Reporter tells what became of requests.
type Reporter interface {
	Report() meter.Report
	// JSON writes the metrics.
	WriteJSON(w io.Writer) error
}

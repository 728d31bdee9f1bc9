package entryhost

import (
	"context"

	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/steerer"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers"
)

// forwarder runs relayed requests and tells the steerer how long their targets
// took: the host that took them in does not see this region's targets.
type forwarder struct {
	next    peers.Forwarder
	steerer *steerer.Steerer
}

// Forward implements peers.Forwarder.
func (o *forwarder) Forward(ctx context.Context, f *callers.Request) (*callers.Response, error) {
	a, err := o.next.Forward(ctx, f)
	if err == nil && a.Outcome == refusal.Ran && a.TargetLatency > 0 {
		o.steerer.RecordServiceTime(f.Service, a.TargetLatency)
	}
	return a, err
}

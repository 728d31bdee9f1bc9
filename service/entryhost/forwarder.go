package entryhost

import (
	"context"

	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/steerer"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers"
)

// recordingForwarder runs relayed requests and reports their targets' latency to
// the steerer. The host that received a request from its caller cannot do so,
// because it knows nothing of this region's targets.
type recordingForwarder struct {
	next    peers.Forwarder
	steerer *steerer.Steerer
}

// Forward implements peers.Forwarder.
func (f *recordingForwarder) Forward(ctx context.Context, req *callers.Request) (*callers.Response, error) {
	resp, err := f.next.Forward(ctx, req)
	if err == nil && resp.Outcome == refusal.Ran && resp.TargetLatency > 0 {
		f.steerer.RecordServiceTime(req.Service, resp.TargetLatency)
	}
	return resp, err
}

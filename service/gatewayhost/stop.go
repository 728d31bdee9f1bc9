package gatewayhost

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
)

const (
	// acceptDuration is how long a draining host accepts new requests, so that callers
	// can look up other hosts in the meantime. At most half of the grace period is used.
	acceptDuration = 2500 * time.Millisecond
	// pipelineDuration is how long it accepts requests on connections on which others are in
	// progress. Callers that never pause are then sent to other hosts. At most half of the time
	// that it accepts requests is used.
	pipelineDuration = time.Second
	// exitMargin is the part of the grace period that is left for the process to exit.
	exitMargin = 500 * time.Millisecond
	// finalDuration is the part of exitMargin in which callers get the responses of requests that
	// were cancelled at the end of the grace period, and those behind them.
	finalDuration = 200 * time.Millisecond
)

// Stop shuts the host down gracefully and returns when it is done: callers are sent to
// other hosts, requests in progress are finished, and those still running at the end of
// the grace period are cancelled. It may be called once, after Start.
func (h *Host) Stop() {
	h.log.Info("leaving")
	grace := h.bounds.Load().GracePeriod - exitMargin
	deadline := time.Now().Add(grace)
	h.draining.Store(true)
	h.lister.SetSelf(h.cfg.Self, false)
	h.server.DisableKeepAlives()
	accept := min(acceptDuration, grace/2)
	pipeline := min(pipelineDuration, accept/2)
	time.Sleep(pipeline)
	h.server.DisablePipelining()
	time.Sleep(accept - pipeline)
	h.handler.RejectRequests()
	close(h.rejecting)
	err := h.drain(deadline)
	h.server.Close()
	h.cancel()
	_ = h.cfg.Conn.Close() // the process exits next
	h.background.Wait()
	h.sender.Close()
	h.relayer.sender.Close()
	h.log.WithFields(log.Fields{"clean": err == nil, "cut": h.server.Cut()}).Info("stopped")
}

// Rejecting is closed once Stop admits no more requests. Until then this host uses its share of the
// workspaces' rates, so the other hosts must know of it.
func (h *Host) Rejecting() <-chan struct{} { return h.rejecting }

// drain waits until no request is in progress. It cancels those that still are at deadline, and
// returns an error then.
func (h *Host) drain(deadline time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := errors.Join(h.server.Drain(ctx), h.handler.DrainRelayed(ctx))
	if err == nil {
		return nil
	}
	h.server.CancelRequests()
	ctx, cancelFinal := context.WithTimeout(context.Background(), finalDuration)
	defer cancelFinal()
	_ = h.server.Drain(ctx) // what is left is counted as cut
	return err
}

package entryhost

import (
	"context"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// leaseCheckInterval is the time between checks of the serving lease.
const leaseCheckInterval = 100 * time.Millisecond

// reportLease tells the checker when the serving lease expires and when it is
// valid again, because a host without one may not use slots.
func (h *Host) reportLease(ctx context.Context) {
	t := time.NewTicker(leaseCheckInterval)
	defer t.Stop()
	valid := true
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		now := h.fencer.Valid()
		switch {
		case valid && !now:
			h.cfg.Checker.SlotHostStopped(h.cfg.Instance, h.targetTimeout)
		case !valid && now:
			h.cfg.Checker.SlotHostResumed(h.cfg.Instance)
		}
		valid = now
	}
}

// targetTimeout returns how long a request of this host can run at a target; zero
// before the first configuration.
func (h *Host) targetTimeout(t ids.Target) time.Duration {
	snap := h.roller.Snapshot()
	if snap == nil {
		return 0
	}
	if ref, ok := snap.Target(t); ok {
		return ref.Service.Timeout()
	}
	return config.MaxTimeout
}

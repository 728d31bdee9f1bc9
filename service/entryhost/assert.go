package entryhost

import (
	"context"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// assertEvery is the time between two looks at the lease for the checker.
const assertEvery = 100 * time.Millisecond

// assertLease tells the checker when the serving lease lapses and when it is
// valid again: a host without one may fill no slot.
func (h *Host) assertLease(ctx context.Context) {
	t := time.NewTicker(assertEvery)
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
			h.cfg.Checker.SlotHostStopped(h.cfg.Instance, h.timeoutAt)
		case !valid && now:
			h.cfg.Checker.SlotHostResumed(h.cfg.Instance)
		}
		valid = now
	}
}

// timeoutAt returns how long a request of this host can run at a target.
func (h *Host) timeoutAt(t ids.Target) time.Duration {
	snap := h.roller.Snapshot()
	if snap == nil {
		return 0
	}
	if ref, ok := snap.Target(t); ok {
		return ref.Service.Timeout()
	}
	return config.MaxTimeout
}

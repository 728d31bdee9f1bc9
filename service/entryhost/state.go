package entryhost

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Ready returns nil while the host serves callers, else the reason why not.
func (h *Host) Ready() *refusal.Refusal {
	if h.leaving.Load() {
		return refusal.Unavailable(refusal.CodeLeaving, "the host is leaving", 0)
	}
	if h.roller.Snapshot() == nil {
		return refusal.Unavailable(refusal.CodeNotServing, "no configuration is in force here yet", time.Second)
	}
	return h.fencer.Check()
}

// Check implements callers.Lease: it returns nil while the host may run requests,
// else the refusal for the caller.
func (h *Host) Check() *refusal.Refusal {
	if h.closed.Load() {
		return refusal.Unavailable(refusal.CodeLeaving, "the host takes nothing new", 0)
	}
	return h.fencer.Check()
}

// LeaseUntil returns the end of the serving lease; zero if there is none.
func (h *Host) LeaseUntil() time.Time { return h.fencer.ValidUntil() }

// Hosts returns the states of all known hosts, including this one.
func (h *Host) Hosts() []*peerpb.HostState { return h.gossiper.Hosts() }

// Instance returns the name of this instance, which is new in each process.
func (h *Host) Instance() ids.Instance { return h.cfg.Instance }

// Record implements callers.Meter: it counts a request and reports the target's
// latency to the steerer.
func (h *Host) Record(r callers.Record) {
	h.meter.Record(r)
	if r.Outcome == refusal.Ran && r.Code == "" && r.TargetLatency > 0 {
		h.steerer.RecordServiceTime(r.Service, r.TargetLatency)
	}
}

// Self returns the state that this host sends to its peers.
func (h *Host) Self() *peerpb.HostState {
	s := &peerpb.HostState{
		Instance:          string(h.cfg.Instance),
		CallersAddress:    h.cfg.CallersAddress,
		PeersAddress:      h.cfg.PeersAddress,
		OperatorsAddress:  h.cfg.OperatorsAddress,
		Region:            string(h.cfg.Region),
		Zone:              string(h.cfg.Zone),
		Ready:             h.Ready() == nil,
		Leaving:           h.leaving.Load(),
		IdempotencyPrefix: h.deduplicator.KeyPrefix(),
		Targets:           h.prober.Reports(),
		Workspaces:        h.limiter.WorkspaceReports(),
		Services:          h.dispatcher.Reports(),
		Shares:            h.steerer.Shares(),
		Backs:             h.replicaServer.Owners(),
		SettledRevision:   uint64(h.limiter.SettledRevision()),
	}
	if snap := h.roller.Snapshot(); snap != nil {
		s.ConfigRevision = uint64(snap.Revision)
	}
	if t := h.directory.table.Load(); t != nil {
		s.SeatRevision = uint64(t.Revision)
		for _, n := range t.SeatNumbersOf(h.cfg.Instance) {
			s.Seats = append(s.Seats, uint32(n))
		}
	}
	return s
}

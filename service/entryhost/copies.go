package entryhost

import (
	"github.com/rcrowley/go-metrics"

	"gypsumbeam.example/gypsumbeam/pkg/replicaserver"
	"gypsumbeam.example/gypsumbeam/pkg/replicator"
)

// The gauges of copied outcomes.
const (
	copiesSentGauge = "copies.sent"
	copiesLostGauge = "copies.lost"
	copiesHeldGauge = "copies.heldBytes"
)

// buildCopies makes the parts that copy outcomes to another zone.
func (h *Host) buildCopies() {
	h.backer = replicaserver.New(replicaserver.Config{})
	h.copier = replicator.New(replicator.Config{
		Self:        h.cfg.Instance,
		Region:      h.cfg.Region,
		Zone:        h.cfg.Zone,
		Hosts:       h.Hosts,
		OldestEpoch: h.recorder.OldestEpoch,
		Peers:       &peerCaller{pool: h.pool},
		FindLocal:   h.backer.Find,
		AckTimeout:  h.cfg.ReplicaAckTimeout,
	})
	for name, value := range map[string]func() int64{
		copiesSentGauge: func() int64 { return h.copier.Stats().Sent },
		copiesLostGauge: func() int64 { return h.copier.Stats().Lost },
		copiesHeldGauge: h.backer.Bytes,
	} {
		// The only error is a name that is taken, and the registry is new.
		_ = h.meter.Registry().Register(name, metrics.NewFunctionalGauge(value))
	}
}

// Copies returns what became of the copies of this host's outcomes.
func (h *Host) ReplicationStats() replicator.Stats { return h.copier.Stats() }

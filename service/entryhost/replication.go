package entryhost

import (
	"github.com/rcrowley/go-metrics"

	"gypsumbeam.example/gypsumbeam/pkg/replicaserver"
	"gypsumbeam.example/gypsumbeam/pkg/replicator"
)

// Names of the gauges of replicated outcomes.
const (
	replicasSentGauge = "copies.sent"
	replicasLostGauge = "copies.lost"
	replicaBytesGauge = "copies.heldBytes"
)

// buildReplication creates the components that replicate outcomes to another zone.
func (h *Host) buildReplication() {
	h.replicaServer = replicaserver.New(replicaserver.Config{})
	h.replicator = replicator.New(replicator.Config{
		Self:        h.cfg.Instance,
		Region:      h.cfg.Region,
		Zone:        h.cfg.Zone,
		Hosts:       h.Hosts,
		OldestEpoch: h.deduplicator.OldestEpoch,
		Peers:       &peerClient{pool: h.pool},
		FindLocal:   h.replicaServer.Find,
		AckTimeout:  h.cfg.ReplicaAckTimeout,
	})
	for name, value := range map[string]func() int64{
		replicasSentGauge: func() int64 { return h.replicator.Stats().Sent },
		replicasLostGauge: func() int64 { return h.replicator.Stats().Lost },
		replicaBytesGauge: h.replicaServer.Bytes,
	} {
		// Register fails only on a duplicate name, and the registry is new.
		_ = h.meter.Registry().Register(name, metrics.NewFunctionalGauge(value))
	}
}

// ReplicationStats returns the counts of replicas sent and lost.
func (h *Host) ReplicationStats() replicator.Stats { return h.replicator.Stats() }

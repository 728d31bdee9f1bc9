// Package replicator replicates the outcomes of idempotency keys to one other host
// of the region, in another availability zone if there is one. If the owner of a
// key is unreachable, the replica answers a repeated request. A replica is only
// replayed: a request is executed only by the owner of its key.
//
// The owner calls Copy after a request has ended; any host calls Recall for a
// repeated request whose owner it cannot reach.
package replicator

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// DefaultMaxInFlight is the default of Config.MaxInFlight, in bytes.
const DefaultMaxInFlight = 8 << 20

// Limits of the calls to other hosts.
const (
	// maxCopyAttempts is the number of hosts to which an outcome is sent at most
	// until one has stored it.
	maxCopyAttempts = 2
	// copyTimeout and recallTimeout bound one call.
	copyTimeout   = time.Second
	recallTimeout = 500 * time.Millisecond
	// maxRecallAttempts is the number of hosts that are asked for an outcome at
	// most.
	maxRecallAttempts = 3
)

// PeerClient sends requests to the peer at an address.
type PeerClient interface {
	Copy(ctx context.Context, address string, r *peerpb.CopyRequest) (*peerpb.CopyReply, error)
	Recall(ctx context.Context, address string, r *peerpb.RecallRequest) (*peerpb.RecallReply, error)
}

// Config holds the settings and dependencies of a Replicator. All fields but
// AckTimeout and MaxInFlight are required.
type Config struct {
	Self   ids.Instance
	Region ids.Region
	Zone   ids.Zone
	// Hosts returns the states of all known hosts.
	Hosts func() []*peerpb.HostState
	// OldestEpoch returns the oldest epoch of this host's keys that is not
	// retired.
	OldestEpoch func() uint64
	Peers       PeerClient
	// AckTimeout is how long Copy waits until a replica is stored; with zero it
	// does not wait.
	AckTimeout time.Duration
	// FindLocal looks up the replica that this host itself stores for another
	// host.
	FindLocal func(r *peerpb.RecallRequest) *peerpb.RecallReply
	// MaxInFlight limits the bytes of outcomes that are being sent. An outcome
	// beyond the limit is not replicated.
	MaxInFlight int64
}

// Stats holds the counters of a Replicator.
type Stats struct {
	// Sent counts the outcomes that another host has stored, Lost those that none
	// has, and SentBytes the bytes of all outcomes that were sent.
	Sent, Lost, SentBytes int64
}

// Replicator replicates this host's outcomes and looks up those of other hosts.
// Its methods may be called from several goroutines.
type Replicator struct {
	cfg       Config
	inFlight  atomic.Int64
	sent      atomic.Int64
	lost      atomic.Int64
	sentBytes atomic.Int64
}

// New returns a Replicator.
func New(cfg Config) *Replicator {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	return &Replicator{cfg: cfg}
}

// Stats returns the counters since New.
func (r *Replicator) Stats() Stats {
	return Stats{Sent: r.sent.Load(), Lost: r.lost.Load(), SentBytes: r.sentBytes.Load()}
}

// replicaAddresses returns the addresses of the hosts of the region to replicate
// to, the preferred one first. Hosts of other zones come before those of this
// host's zone. Within these groups rendezvous hashing orders them, so that the
// choice changes only if a host leaves or a preferred one joins.
func (r *Replicator) replicaAddresses() []string {
	var otherZone, sameZone []*peerpb.HostState
	for _, h := range r.cfg.Hosts() {
		candidate := ids.Region(h.GetRegion()) == r.cfg.Region && ids.Instance(h.GetInstance()) != r.cfg.Self
		switch {
		case !candidate || !h.GetReady() || h.GetLeaving():
		case ids.Zone(h.GetZone()) != r.cfg.Zone:
			otherZone = append(otherZone, h)
		default:
			sameZone = append(sameZone, h)
		}
	}
	var addresses []string
	for _, group := range [][]*peerpb.HostState{otherZone, sameZone} {
		slices.SortFunc(group, func(x, y *peerpb.HostState) int {
			return cmp.Compare(rank(r.cfg.Self, y.GetInstance()), rank(r.cfg.Self, x.GetInstance()))
		})
		for _, h := range group {
			addresses = append(addresses, h.GetPeersAddress())
		}
	}
	return addresses[:min(len(addresses), maxCopyAttempts)]
}

// rank returns the rendezvous hash of an owner and a host.
func rank(owner ids.Instance, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(owner) + "/" + host)) // Writing to a hash never fails.
	return h.Sum64()
}

// replicaHolders returns the addresses of other hosts that report replicas of the
// owner's outcomes, at most maxRecallAttempts.
func (r *Replicator) replicaHolders(owner ids.Instance) []string {
	var all []string
	for _, h := range r.cfg.Hosts() {
		if ids.Instance(h.GetInstance()) != r.cfg.Self && slices.Contains(h.GetBacks(), string(owner)) {
			all = append(all, h.GetPeersAddress())
		}
	}
	return all[:min(len(all), maxRecallAttempts)]
}

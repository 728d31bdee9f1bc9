// Package copier copies the outcomes of idempotency keys to one host of another
// availability zone, where there is one, and asks for them there when their owner is out of reach,
// so that a request that is repeated after its owner's death gets its answer. A
// copy is only ever replayed: a key runs nowhere but at its owner.
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

// DefaultMaxInFlight bounds the bytes of copies on their way.
const DefaultMaxInFlight = 8 << 20

// The bounds of calls to other hosts.
const (
	// copyTries bounds the hosts to which one outcome is sent until one keeps it.
	copyTries = 2
	// copyTime and recallTime bound one call.
	copyTime   = time.Second
	recallTime = 500 * time.Millisecond
	// recallTries bounds the hosts that are asked for one outcome.
	recallTries = 3
)

// Caller asks the peer at an address.
type PeerClient interface {
	Copy(ctx context.Context, address string, r *peerpb.CopyRequest) (*peerpb.CopyReply, error)
	Recall(ctx context.Context, address string, r *peerpb.RecallRequest) (*peerpb.RecallReply, error)
}

// Config holds what a Copier needs. Self, Region, Zone, Hosts, Oldest,
// Caller and Local are required.
type Config struct {
	Self   ids.Instance
	Region ids.Region
	Zone   ids.Zone
	// Hosts returns the states of all hosts that are known.
	Hosts func() []*peerpb.HostState
	// Oldest returns the first epoch of this host's keys that is not retired.
	OldestEpoch func() uint64
	Peers       PeerClient
	// Wait is how long a request waits for the copy of its outcome; zero answers
	// it while the copy is on its way.
	AckTimeout time.Duration
	// Local returns the copy that this host keeps itself for another one.
	FindLocal func(r *peerpb.RecallRequest) *peerpb.RecallReply
	// MaxInFlight bounds the bytes of copies on their way to the backup; what
	// is over it is not copied.
	MaxInFlight int64
}

// Stats counts what a Copier did.
type Stats struct {
	// Sent counts outcomes that a backup keeps, Lost those that none does, and
	// SentBytes the messages of both.
	Sent, Lost, SentBytes int64
}

// Copier sends copies of this host's outcomes and asks for those of others. Its methods may be called from several goroutines.
type Replicator struct {
	cfg      Config
	inFlight atomic.Int64
	sent     atomic.Int64
	lost     atomic.Int64
	bytes    atomic.Int64
}

// New returns a Copier.
func New(cfg Config) *Replicator {
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	return &Replicator{cfg: cfg}
}

// Stats returns the counts so far.
func (c *Replicator) Stats() Stats {
	return Stats{Sent: c.sent.Load(), Lost: c.lost.Load(), SentBytes: c.bytes.Load()}
}

// backups returns the addresses of the hosts of the region that may keep copies
// for this one, the first choice first. One of another zone is better than one
// of the same, and else the choice changes only if a host goes or a better comes.
func (c *Replicator) backups() []string {
	var apart, near []*peerpb.HostState
	for _, h := range c.cfg.Hosts() {
		other := ids.Region(h.GetRegion()) == c.cfg.Region && ids.Instance(h.GetInstance()) != c.cfg.Self
		switch {
		case !other || !h.GetReady() || h.GetLeaving():
		case ids.Zone(h.GetZone()) != c.cfg.Zone:
			apart = append(apart, h)
		default:
			near = append(near, h)
		}
	}
	var addresses []string
	for _, group := range [][]*peerpb.HostState{apart, near} {
		slices.SortFunc(group, func(x, y *peerpb.HostState) int {
			return cmp.Compare(rank(c.cfg.Self, y.GetInstance()), rank(c.cfg.Self, x.GetInstance()))
		})
		for _, h := range group {
			addresses = append(addresses, h.GetPeersAddress())
		}
	}
	return addresses[:min(len(addresses), copyTries)]
}

// rank orders the hosts for one owner, differently for each owner.
func rank(owner ids.Instance, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(owner) + "/" + host)) // It never fails.
	return h.Sum64()
}

// holders returns the addresses of the other hosts that have copies of the
// owner's outcomes.
func (c *Replicator) holders(owner ids.Instance) []string {
	var all []string
	for _, h := range c.cfg.Hosts() {
		if ids.Instance(h.GetInstance()) != c.cfg.Self && slices.Contains(h.GetBacks(), string(owner)) {
			all = append(all, h.GetPeersAddress())
		}
	}
	return all[:min(len(all), recallTries)]
}

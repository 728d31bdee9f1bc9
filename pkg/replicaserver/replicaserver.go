// Package replicaserver stores replicas of the outcomes of other hosts'
// idempotency keys, and returns them to hosts that cannot reach the owner of a key.
// Peers call Copy and Recall; this host itself calls Find.
package replicaserver

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Defaults of Config.
const (
	DefaultMaxBytes  = 64 << 20
	DefaultRetention = deduplicator.DefaultRetention
)

const (
	// replicaBytes is the memory use of one replica without its message.
	replicaBytes = 256
	// maxOwners limits the instances that Owners returns.
	maxOwners = 64
)

// Config holds the settings of a Server. Zero fields take their defaults.
type Config struct {
	// MaxBytes limits the memory use of all replicas.
	MaxBytes int64
	// Retention is how long the replicas of an epoch are kept after the first of
	// them was stored.
	Retention time.Duration
}

// Server stores replicas and implements peers.Backup. If the memory is full, it
// drops the epoch whose first replica is oldest; without a replica the outcome of a
// repeated request is reported as unknown. Its methods may be called from several
// goroutines.
type Server struct {
	cfg Config

	mu    sync.Mutex
	bytes int64
	// epochs is ordered by the time of the first replica.
	epochs []*epoch
}

// epoch holds the replicas of one epoch of an owner.
type epoch struct {
	owner     string
	number    uint64
	createdAt time.Time
	bytes     int64
	replicas  map[string]*peerpb.CopyRequest
}

// New returns a Server without replicas.
func New(cfg Config) *Server {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	return &Server{cfg: cfg}
}

// Copy implements peers.Backup. It stores the first replica of each key and drops
// the epochs that the owner has retired. A replica that is too large, of a retired
// epoch or without an outcome is not stored; Kept is false in the reply then.
func (s *Server) Copy(_ context.Context, r *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	size := int64(replicaBytes + proto.Size(r))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(func(e *epoch) bool {
		return time.Since(e.createdAt) > s.cfg.Retention || (e.owner == r.GetOwner() && e.number < r.GetOldest())
	})
	if size > s.cfg.MaxBytes || r.GetEpoch() < r.GetOldest() || r.GetOutcome() == nil {
		return &peerpb.CopyReply{}, nil
	}
	for s.bytes+size > s.cfg.MaxBytes {
		first := s.epochs[0]
		s.drop(func(e *epoch) bool { return e == first })
	}
	e := s.epoch(r.GetOwner(), r.GetEpoch())
	if e == nil {
		e = &epoch{owner: r.GetOwner(), number: r.GetEpoch(), createdAt: time.Now(), replicas: make(map[string]*peerpb.CopyRequest)}
		s.epochs = append(s.epochs, e)
	}
	if _, ok := e.replicas[r.GetId()]; !ok {
		e.replicas[r.GetId()] = r
		e.bytes += size
		s.bytes += size
	}
	return &peerpb.CopyReply{Kept: true}, nil
}

// Recall implements peers.Backup.
func (s *Server) Recall(_ context.Context, r *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	return s.Find(r), nil
}

// Find returns the replica of a request's outcome, if there is one. For a different
// request with the same key the reply has Reused set and no outcome.
func (s *Server) Find(r *peerpb.RecallRequest) *peerpb.RecallReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.epoch(r.GetOwner(), r.GetEpoch())
	if e == nil {
		return &peerpb.RecallReply{}
	}
	c, ok := e.replicas[r.GetId()]
	switch {
	case !ok:
		return &peerpb.RecallReply{}
	case !bytes.Equal(c.GetRequest(), r.GetRequest()):
		return &peerpb.RecallReply{Reused: true}
	default:
		return &peerpb.RecallReply{Outcome: c.GetOutcome()}
	}
}

// Owners returns the sorted instances of whose keys replicas are stored. If there
// are more than maxOwners, it returns those with the newest epochs.
func (s *Server) Owners() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(func(e *epoch) bool { return time.Since(e.createdAt) > s.cfg.Retention })
	var all []string
	for _, e := range slices.Backward(s.epochs) {
		if len(all) < maxOwners && !slices.Contains(all, e.owner) {
			all = append(all, e.owner)
		}
	}
	slices.Sort(all)
	return all
}

// Bytes returns the memory use of the replicas.
func (s *Server) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

// epoch returns the replicas of an epoch, or nil. The caller holds mu.
func (s *Server) epoch(owner string, number uint64) *epoch {
	for _, e := range s.epochs {
		if e.owner == owner && e.number == number {
			return e
		}
	}
	return nil
}

// drop removes the epochs for which match returns true. The caller holds mu.
func (s *Server) drop(match func(e *epoch) bool) {
	s.epochs = slices.DeleteFunc(s.epochs, func(e *epoch) bool {
		if !match(e) {
			return false
		}
		s.bytes -= e.bytes
		return true
	})
}

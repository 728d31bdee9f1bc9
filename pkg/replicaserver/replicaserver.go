// Package backer keeps copies of the outcomes of other hosts' idempotency keys,
// and gives them to whoever cannot reach the keys' owner.
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

// The defaults of a Config's zero fields.
const (
	DefaultMaxBytes  = 64 << 20
	DefaultRetention = deduplicator.DefaultRetention
)

const (
	// copyBytes is the memory of one copy beside its message.
	copyBytes = 256
	// maxOwners bounds the instances that a host names as those it backs.
	maxOwners = 64
)

// Config holds the settings of a Backer. Zero fields take their defaults.
type Config struct {
	// MaxBytes bounds the memory of all copies.
	MaxBytes int64
	// Keep is how long the copies of an epoch are kept after the first of them.
	Retention time.Duration
}

// Backer keeps copies. The epochs whose first copy is oldest give way when the
// memory is full: without a copy, an outcome is only unknown. All its methods
// may be called from any goroutine.
type Server struct {
	cfg Config

	mu    sync.Mutex
	bytes int64
	// epochs is ordered by the time of the first copy.
	epochs []*epoch
}

// epoch holds the copies of one owner's epoch.
type epoch struct {
	owner  string
	number uint64
	since  time.Time
	bytes  int64
	copies map[string]*peerpb.CopyRequest
}

// New returns a Backer without copies.
func New(cfg Config) *Server {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	return &Server{cfg: cfg}
}

// Copy implements peers.Backup. It keeps the first copy of a key, and forgets
// the epochs that the owner has retired.
func (b *Server) Copy(_ context.Context, r *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	size := int64(copyBytes + proto.Size(r))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(func(e *epoch) bool {
		return time.Since(e.since) > b.cfg.Retention || (e.owner == r.GetOwner() && e.number < r.GetOldest())
	})
	if size > b.cfg.MaxBytes || r.GetEpoch() < r.GetOldest() || r.GetOutcome() == nil {
		return &peerpb.CopyReply{}, nil
	}
	for b.bytes+size > b.cfg.MaxBytes {
		first := b.epochs[0]
		b.drop(func(e *epoch) bool { return e == first })
	}
	e := b.epoch(r.GetOwner(), r.GetEpoch())
	if e == nil {
		e = &epoch{owner: r.GetOwner(), number: r.GetEpoch(), since: time.Now(), copies: make(map[string]*peerpb.CopyRequest)}
		b.epochs = append(b.epochs, e)
	}
	if _, ok := e.copies[r.GetId()]; !ok {
		e.copies[r.GetId()] = r
		e.bytes += size
		b.bytes += size
	}
	return &peerpb.CopyReply{Kept: true}, nil
}

// Recall implements peers.Backup.
func (b *Server) Recall(_ context.Context, r *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	return b.Find(r), nil
}

// Find returns the copy of a request's outcome, if there is one. Another
// request with the same key learns nothing of it.
func (b *Server) Find(r *peerpb.RecallRequest) *peerpb.RecallReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.epoch(r.GetOwner(), r.GetEpoch())
	if e == nil {
		return &peerpb.RecallReply{}
	}
	c, ok := e.copies[r.GetId()]
	switch {
	case !ok:
		return &peerpb.RecallReply{}
	case !bytes.Equal(c.GetRequest(), r.GetRequest()):
		return &peerpb.RecallReply{Reused: true}
	default:
		return &peerpb.RecallReply{Outcome: c.GetOutcome()}
	}
}

// Backs returns the instances of whose keys copies are kept, sorted; if they
// are many, those with the newest epochs.
func (b *Server) Owners() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(func(e *epoch) bool { return time.Since(e.since) > b.cfg.Retention })
	var all []string
	for _, e := range slices.Backward(b.epochs) {
		if len(all) < maxOwners && !slices.Contains(all, e.owner) {
			all = append(all, e.owner)
		}
	}
	slices.Sort(all)
	return all
}

// Bytes returns the memory that the copies take.
func (b *Server) Bytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// epoch returns the copies of an epoch, or nil. The caller holds mu.
func (b *Server) epoch(owner string, number uint64) *epoch {
	for _, e := range b.epochs {
		if e.owner == owner && e.number == number {
			return e
		}
	}
	return nil
}

// drop forgets the epochs that match. The caller holds mu.
func (b *Server) drop(match func(e *epoch) bool) {
	b.epochs = slices.DeleteFunc(b.epochs, func(e *epoch) bool {
		if !match(e) {
			return false
		}
		b.bytes -= e.bytes
		return true
	})
}

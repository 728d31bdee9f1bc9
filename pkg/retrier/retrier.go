// Package retrier bounds the retries of each service and workspace to a share
// of their recent requests.
package retrier

import (
	"hash/maphash"
	"sync"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// shards is the number of locks.
	shards = 16
	// maxCredit is the number of retries that can be saved up, so that only
	// recent requests count.
	maxCredit = 10
	// firstCredit lets the first request of a workspace be retried.
	firstCredit = 1
)

// Budget counts requests and the retries that they allow. The zero value is
// ready, and its methods may be called from any goroutine. Over any time a
// workspace retries at most firstCredit plus ratio times its requests.
type Budget struct {
	// Saved returns how many retries can be saved up, at least 1; nil means
	// maxCredit. Hosts that share a budget save up their parts of it.
	MaxCredit func() float64

	shards [shards]shard
}

type shard struct {
	mu      sync.Mutex
	credits map[class]float64
}

// class is one service and workspace.
type class struct {
	service   ids.Service
	workspace ids.Workspace
}

// seed spreads classes over shards.
var seed = maphash.MakeSeed()

// Request counts one request, which allows ratio of a retry.
func (b *Budget) RecordRequest(svc ids.Service, ws ids.Workspace, ratio float64) {
	c := class{svc, ws}
	s := b.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.credits[c] = min(b.saved(), s.credit(c)+ratio)
}

// Take reports whether one more retry is within the budget, and counts it.
func (b *Budget) AllowRetry(svc ids.Service, ws ids.Workspace) bool {
	c := class{svc, ws}
	s := b.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credit(c)
	if credit < 1 {
		return false
	}
	s.credits[c] = credit - 1
	return true
}

func (b *Budget) saved() float64 {
	if b.MaxCredit == nil {
		return maxCredit
	}
	return max(b.MaxCredit(), 1)
}

func (b *Budget) shard(c class) *shard {
	return &b.shards[maphash.Comparable(seed, c)%shards]
}

// credit returns what is left of a class. The caller holds mu.
func (s *shard) credit(c class) float64 {
	if s.credits == nil {
		s.credits = make(map[class]float64)
	}
	if credit, ok := s.credits[c]; ok {
		return credit
	}
	return firstCredit
}

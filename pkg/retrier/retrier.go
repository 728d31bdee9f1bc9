// Package retrier implements retry budgets: it limits the retries of each service
// and workspace to a share of their recent requests. A caller reports each request
// with RecordRequest and asks AllowRetry before each retry.
package retrier

import (
	"hash/maphash"
	"sync"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// shards is the number of independently locked parts of a Budget.
	shards = 16
	// defaultMaxCredit is the number of retries that can accumulate by default. It is
	// limited so that only recent requests count.
	defaultMaxCredit = 10
	// initialCredit allows the first request of a workspace to be retried.
	initialCredit = 1
)

// Budget counts requests and the retries that they allow. The zero value is ready
// for use. Its methods may be called concurrently. The retries of a workspace to a
// service never exceed initialCredit plus ratio times its requests.
type Budget struct {
	// MaxCredit returns how many retries can accumulate; values below 1 count as
	// 1. Nil means defaultMaxCredit. For a budget that several hosts share, it
	// returns this host's part.
	MaxCredit func() float64

	shards [shards]shard
}

type shard struct {
	mu      sync.Mutex
	credits map[budgetKey]float64
}

// budgetKey identifies the budget of a workspace for a service.
type budgetKey struct {
	service   ids.Service
	workspace ids.Workspace
}

// seed is the hash seed that distributes keys over shards.
var seed = maphash.MakeSeed()

// RecordRequest counts one request, which adds ratio to the allowed retries.
func (b *Budget) RecordRequest(svc ids.Service, ws ids.Workspace, ratio float64) {
	k := budgetKey{svc, ws}
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.credits[k] = min(b.maxCredit(), s.credit(k)+ratio)
}

// AllowRetry reports whether one more retry is within the budget, and counts it
// if so.
func (b *Budget) AllowRetry(svc ids.Service, ws ids.Workspace) bool {
	k := budgetKey{svc, ws}
	s := b.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	credit := s.credit(k)
	if credit < 1 {
		return false
	}
	s.credits[k] = credit - 1
	return true
}

func (b *Budget) maxCredit() float64 {
	if b.MaxCredit == nil {
		return defaultMaxCredit
	}
	return max(b.MaxCredit(), 1)
}

func (b *Budget) shard(k budgetKey) *shard {
	return &b.shards[maphash.Comparable(seed, k)%shards]
}

// credit returns the remaining credit of a key. The caller holds mu.
func (s *shard) credit(k budgetKey) float64 {
	if s.credits == nil {
		s.credits = make(map[budgetKey]float64)
	}
	if credit, ok := s.credits[k]; ok {
		return credit
	}
	return initialCredit
}

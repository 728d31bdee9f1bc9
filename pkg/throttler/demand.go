package throttler

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// HashService returns the hash under which the demand for a service is reported among the
// usages of workspaces.
func HashService(s ids.Service) WorkspaceHash {
	return WorkspaceHash(hasher.Sum32("service/" + string(s)))
}

// CountDemand counts a request towards a demand that has no limit of its own.
func (t *Throttler) CountDemand(hash WorkspaceHash) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.demandBucket(hash, now).demand.add(now)
}

// Demand returns the demand, in requests per second, at this host and as the host groups
// last reported it. What they reported before the first call is not known.
func (t *Throttler) Demand(hash WorkspaceHash) (own float64, groups map[ids.HostGroup]float64) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.demandBucket(hash, now)
	b.demand.decay(now)
	groups = make(map[ids.HostGroup]float64, len(b.remoteUsage))
	for group, u := range b.remoteUsage {
		groups[group] = u.Demand
	}
	return b.demand.rate, groups
}

// demandBucket returns the bucket that holds a demand. The caller holds the lock.
func (t *Throttler) demandBucket(hash WorkspaceHash, now time.Time) *bucket {
	b := t.buckets[hash]
	if b == nil {
		b = &bucket{at: now, remoteUsage: make(map[ids.HostGroup]*groupUsage)}
		if t.buckets == nil {
			t.buckets = make(map[WorkspaceHash]*bucket)
		}
		t.buckets[hash] = b
	}
	return b
}

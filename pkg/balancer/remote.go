package balancer

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// remoteCounts holds the in-flight requests reported by each host group, and their
// totals by target, so that the cost of a choice does not depend on the number of
// hosts.
type remoteCounts struct {
	mu     sync.Mutex
	groups map[ids.HostGroup]groupCounts
	totals map[uint32]int
	// nextExpiry is the earliest time at which a group's counts may expire.
	nextExpiry time.Time
}

// groupCounts is the last report of a host group, by target hash.
type groupCounts struct {
	counts     map[uint32]int
	receivedAt time.Time
}

// replace replaces the counts of a group, and returns the new totals of the targets
// whose total changed.
func (rc *remoteCounts) replace(group ids.HostGroup, inFlight []InFlight, now time.Time) map[uint32]int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if rc.groups == nil {
		rc.groups = make(map[ids.HostGroup]groupCounts)
		rc.totals = make(map[uint32]int)
		rc.nextExpiry = now.Add(remoteCountTimeout)
	}
	counts := make(map[uint32]int, len(inFlight))
	changed := make(map[uint32]int)
	for _, r := range inFlight {
		counts[r.Target] += r.Count
	}
	old := rc.groups[group].counts
	rc.subtract(old, counts, changed)
	rc.add(counts, old, changed)
	rc.groups[group] = groupCounts{counts, now}
	return changed
}

// subtract removes the counts of targets that a group no longer reports. The caller
// holds the lock.
func (rc *remoteCounts) subtract(old, counts, changed map[uint32]int) {
	for hash, n := range old {
		if _, ok := counts[hash]; !ok {
			rc.adjust(hash, -n, changed)
		}
	}
}

// add adds the differences between a group's new and old counts. The caller holds the
// lock.
func (rc *remoteCounts) add(counts, old, changed map[uint32]int) {
	for hash, n := range counts {
		if diff := n - old[hash]; diff != 0 {
			rc.adjust(hash, diff, changed)
		}
	}
}

// adjust adds by to the total of a target. The caller holds the lock.
func (rc *remoteCounts) adjust(hash uint32, by int, changed map[uint32]int) {
	total := rc.totals[hash] + by
	changed[hash] = total
	if total == 0 {
		delete(rc.totals, hash)
		return
	}
	rc.totals[hash] = total
}

// expire drops the counts of groups that have not reported within remoteCountTimeout,
// and returns the new totals of their targets.
func (rc *remoteCounts) expire(now time.Time) map[uint32]int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if len(rc.groups) == 0 || now.Before(rc.nextExpiry) {
		return nil
	}
	changed := make(map[uint32]int)
	rc.nextExpiry = now.Add(remoteCountTimeout)
	for group, c := range rc.groups {
		expiry := c.receivedAt.Add(remoteCountTimeout)
		switch {
		case !now.Before(expiry):
			rc.subtract(c.counts, nil, changed)
			delete(rc.groups, group)
		case expiry.Before(rc.nextExpiry):
			rc.nextExpiry = expiry
		}
	}
	return changed
}

// expired returns the in-flight counts that expire would drop, and the age of the oldest report
// that it would keep.
func (rc *remoteCounts) expired(now time.Time) (counts map[uint32]int, oldest time.Duration) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	counts = make(map[uint32]int)
	for _, c := range rc.groups {
		if age := now.Sub(c.receivedAt); age < remoteCountTimeout {
			oldest = max(oldest, age)
			continue
		}
		for hash, n := range c.counts {
			counts[hash] += n
		}
	}
	return counts, oldest
}

// total returns the total of a target.
func (rc *remoteCounts) total(hash uint32) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.totals[hash]
}

package loadsim

import (
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// queueFactor is how many requests wait at a target for each of its slots before
// it sheds.
const queueFactor = 3

// target serves requests in slots, and remembers the objects that it served
// last.
type target struct {
	site Site
	zone ids.Zone
	free chan struct{}

	mu      sync.Mutex
	waiting int
	lately  []balancer.ObjectHash
}

func newTarget(site Site, zone ids.Zone) *target {
	t := &target{site: site, zone: zone, free: make(chan struct{}, site.Slots)}
	for range site.Slots {
		t.free <- struct{}{}
	}
	return t
}

// serve runs a request and reports whether it did: a full queue sheds it.
func (t *target) serve(o balancer.ObjectHash, q request) bool {
	t.mu.Lock()
	if t.waiting >= queueFactor*t.site.Slots {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	<-t.free
	work := t.start(o, q.kind)
	time.Sleep(time.Duration(float64(work) * q.spread))
	t.free <- struct{}{}
	return true
}

// busy returns the number of slots in use.
func (t *target) busy() int { return t.site.Slots - len(t.free) }

// start takes a request out of the queue and returns how long its work is.
func (t *target) start(o balancer.ObjectHash, k Kind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	work := k.Cold
	if i := slices.Index(t.lately, o); i >= 0 {
		work = k.Warm
		t.lately = slices.Delete(t.lately, i, i+1)
	}
	t.lately = slices.Insert(t.lately, 0, o)
	if len(t.lately) > t.site.Kept {
		t.lately = t.lately[:t.site.Kept]
	}
	return work
}

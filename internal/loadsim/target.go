package loadsim

import (
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// queueLengthPerSlot is the length of a target's queue, as a multiple of its slots.
// A target sheds further requests.
const queueLengthPerSlot = 3

// target serves requests in slots, and keeps the objects warm that it served last.
type target struct {
	deployment Deployment
	zone       ids.Zone
	freeSlots  chan struct{}

	mu      sync.Mutex
	waiting int
	// warm holds the objects that were served last, the most recent one first.
	warm []balancer.ObjectHash
}

func newTarget(d Deployment, zone ids.Zone) *target {
	t := &target{deployment: d, zone: zone, freeSlots: make(chan struct{}, d.Slots)}
	for range d.Slots {
		t.freeSlots <- struct{}{}
	}
	return t
}

// serve blocks until the request is served, and returns true. It returns false at
// once if the queue is full.
func (t *target) serve(object balancer.ObjectHash, r request) bool {
	t.mu.Lock()
	if t.waiting >= queueLengthPerSlot*t.deployment.Slots {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	<-t.freeSlots
	serviceTime := t.dequeue(object, r.class)
	time.Sleep(time.Duration(float64(serviceTime) * r.workFactor))
	t.freeSlots <- struct{}{}
	return true
}

// busySlots returns the number of slots in use.
func (t *target) busySlots() int { return t.deployment.Slots - len(t.freeSlots) }

// dequeue removes a request from the queue, marks its object as the most recently
// used one, and returns the class's service time.
func (t *target) dequeue(object balancer.ObjectHash, class Class) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	serviceTime := class.ColdTime
	if i := slices.Index(t.warm, object); i >= 0 {
		serviceTime = class.WarmTime
		t.warm = slices.Delete(t.warm, i, i+1)
	}
	t.warm = slices.Insert(t.warm, 0, object)
	if len(t.warm) > t.deployment.WarmObjects {
		t.warm = t.warm[:t.deployment.WarmObjects]
	}
	return serviceTime
}

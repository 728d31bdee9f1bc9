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
	id         ids.Target
	zone       ids.Zone
	began      time.Time
	freeSlots  chan struct{}

	mu      sync.Mutex
	waiting int
	// warm holds the objects that were served last, the most recent one first.
	warm []balancer.ObjectHash
}

func newTarget(d Deployment, id ids.Target, zone ids.Zone, began time.Time) *target {
	t := &target{deployment: d, id: id, zone: zone, began: began, freeSlots: make(chan struct{}, d.Slots)}
	for range d.Slots {
		t.freeSlots <- struct{}{}
	}
	return t
}

// serve blocks until the request is served. It returns false at once if the queue is full or
// the fault refuses the request. warm reports whether the object was warm.
func (t *target) serve(object balancer.ObjectHash, r request) (answered, warm bool, report balancer.LoadReport) {
	t.mu.Lock()
	if t.waiting >= queueLengthPerSlot*t.deployment.Slots || t.deployment.Fault.refuses(time.Since(t.began), r) {
		t.mu.Unlock()
		return false, false, t.report()
	}
	t.waiting++
	t.mu.Unlock()
	<-t.freeSlots
	serviceTime, warm := t.dequeue(object, r.class)
	serviceTime = time.Duration(float64(serviceTime) * r.workFactor * t.deployment.Speed.factor(t.id, time.Since(t.began)))
	time.Sleep(serviceTime)
	t.freeSlots <- struct{}{}
	return true, warm, t.report()
}

// report returns what the target tells of its load, which is nothing if its speed is constant.
func (t *target) report() balancer.LoadReport {
	if t.deployment.Speed.Factor == 0 {
		return balancer.LoadReport{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	slowdown := t.deployment.Speed.factor(t.id, time.Since(t.began))
	return balancer.LoadReport{Load: t.waiting + t.busySlots(), HasLoad: true, Slowdown: balancer.Slowdown(slowdown)}
}

// busySlots returns the number of slots in use.
func (t *target) busySlots() int { return t.deployment.Slots - len(t.freeSlots) }

// dequeue removes a request from the queue, marks its object as the most recently
// used one, and returns the class's service time and whether the object was warm.
func (t *target) dequeue(object balancer.ObjectHash, class Class) (serviceTime time.Duration, warm bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	serviceTime = class.ColdTime
	if i := slices.Index(t.warm, object); i >= 0 {
		serviceTime, warm = class.WarmTime, true
		t.warm = slices.Delete(t.warm, i, i+1)
	}
	t.warm = slices.Insert(t.warm, 0, object)
	if len(t.warm) > t.deployment.WarmObjects {
		t.warm = t.warm[:t.deployment.WarmObjects]
	}
	return serviceTime, warm
}

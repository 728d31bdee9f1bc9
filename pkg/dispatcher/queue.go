package dispatcher

import (
	"context"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/picker"
	"gypsumbeam.example/gypsumbeam/pkg/queuer"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// holdTimeGain is the weight of a new sample in the smoothed hold time, which
// counts from minHoldSamples samples on.
const (
	holdTimeGain   = 0.1
	minHoldSamples = 10
)

// serviceQueue is the queue of one service, with the figures from which waiting
// times are estimated.
type serviceQueue struct {
	d       *Dispatcher
	service ids.Service

	mu      sync.Mutex
	snap    *config.Snapshot
	timeout time.Duration
	// anonymousWeight is the weight of requests without a workspace: the mean of
	// all workspaces' weights.
	anonymousWeight float64
	waiters         queuer.Queuer[*waiter]
	inFlight        int
	// holdTime is the smoothed time for which a request holds its slot.
	holdTime    time.Duration
	holdSamples int
	// borrowers counts the goroutines that borrow slots from other hosts.
	borrowers int
}

// waiter is a request in the queue.
type waiter struct {
	req        callers.SlotRequest
	weight     float64
	enqueuedAt time.Time
	deadline   time.Time
	// startBy is the latest start at which a request of the usual duration meets
	// its deadline.
	startBy time.Time
	// result is buffered for its single grant.
	result chan grant
}

// grant is the end of a wait: a slot or a refusal.
type grant struct {
	slot    *slot
	refusal *refusal.Refusal
}

// err returns the refusal as an error, or nil.
func (g grant) err() error {
	if g.refusal == nil {
		return nil
	}
	return g.refusal
}

func (q *serviceQueue) configure(snap *config.Snapshot, svc *config.Service) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.snap = snap
	q.timeout = svc.Timeout()
	q.waiters.Limit = svc.QueueLimit()
	sum := 0.0
	for i := range snap.Document.Workspaces {
		sum += workspaceWeight(snap, snap.Document.Workspaces[i].Name)
	}
	q.anonymousWeight = sum / float64(max(len(snap.Document.Workspaces), 1))
}

// workspaceWeight returns the weight of a workspace when slots are scarce: the
// configured one, or else its rate.
func workspaceWeight(snap *config.Snapshot, ws ids.Workspace) float64 {
	w, ok := snap.Workspace(ws)
	if !ok {
		return 0
	}
	if w.Weight > 0 {
		return w.Weight
	}
	return w.Rate
}

// withTimeout applies the service's timeout to a ctx without a deadline.
func (q *serviceQueue) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	q.mu.Lock()
	timeout := q.timeout
	q.mu.Unlock()
	return context.WithTimeout(ctx, timeout)
}

func (q *serviceQueue) waiterCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters.Len()
}

// tryAcquire returns a slot if one is free and no request waits, else nil.
func (q *serviceQueue) tryAcquire(req callers.SlotRequest, deadline time.Time) callers.Slot {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters.Len() > 0 {
		return nil
	}
	if s := q.takeSlot(req, deadline); s != nil {
		return s
	}
	return nil
}

// takeSlot takes a slot at the best target, or returns nil. The caller holds mu.
func (q *serviceQueue) takeSlot(req callers.SlotRequest, deadline time.Time) *slot {
	free := func(t ids.Target) bool { return q.d.cfg.Slotter.Free(t) > 0 }
	choice, ok := q.d.cfg.Picker.Pick(q.service, req.Avoid, free)
	if !ok {
		return nil
	}
	permit, ok := q.d.cfg.Slotter.TryAcquire(choice.Target)
	if !ok {
		return nil // It was lent to another host meanwhile.
	}
	q.inFlight++
	return &slot{
		queue:      q,
		choice:     choice,
		permit:     permit,
		request:    q.d.cfg.Picker.Begin(choice.Target),
		acquiredAt: time.Now(),
		deadline:   deadline,
	}
}

// enqueue adds a request to the queue, or returns a *refusal.Refusal at once.
func (q *serviceQueue) enqueue(req callers.SlotRequest, deadline time.Time) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	wt := &waiter{req: req, weight: q.anonymousWeight, enqueuedAt: now, deadline: deadline, result: make(chan grant, 1)}
	if req.Workspace != "" {
		wt.weight = workspaceWeight(q.snap, req.Workspace)
	}
	wt.startBy = deadline
	if q.holdSamples >= minHoldSamples {
		wt.startBy = deadline.Add(-q.holdTime)
	}
	if r := q.admissionRefusal(wt, now); r != nil {
		return nil, r
	}
	qw := queuer.Waiter{Workspace: req.Workspace, Weight: wt.weight, Deadline: deadline, Arrived: now}
	if out, evicted := q.waiters.Push(qw, wt); evicted {
		out.result <- grant{refusal: q.queueFullRefusal(out)}
	}
	return wt, nil
}

// admissionRefusal returns why the request should not wait, or nil. The caller
// holds mu.
func (q *serviceQueue) admissionRefusal(wt *waiter, now time.Time) *refusal.Refusal {
	if r := q.outageRefusal(now, 0, q.waiters.Len()); r != nil {
		return r
	}
	wait := q.estimateWait(wt.req.Workspace, wt.weight)
	if now.Add(wait).After(wt.startBy) {
		return deadlineRefusal(max(wait, time.Millisecond))
	}
	return nil
}

// maxTrialWait is how long one request waits for a slot at an ejected target
// whose trial is due, while no other target works.
const maxTrialWait = 50 * time.Millisecond

// outageRefusal returns why a request that has waited for the time waited, along
// with others, should not wait on, or nil while some target here works. While
// none works, one request at a time may wait for the trial of an ejected target.
// The caller holds mu.
func (q *serviceQueue) outageRefusal(now time.Time, waited time.Duration, others int) *refusal.Refusal {
	a := q.d.cfg.Picker.Availability(q.service)
	switch {
	case a.Live == 0:
		return noTargetRefusal(q.service, 0)
	case a.Ejected+a.TrialDue < a.Live:
		return nil
	case a.TrialDue == 0:
		return noTargetRefusal(q.service, max(a.NextTrial.Sub(now), time.Millisecond))
	case others == 0 && waited < maxTrialWait:
		return nil
	default:
		return noTargetRefusal(q.service, maxTrialWait)
	}
}

// queueFullRefusal returns the refusal of a request that was evicted from a full
// queue. The caller holds mu.
func (q *serviceQueue) queueFullRefusal(wt *waiter) *refusal.Refusal {
	return refusal.Unavailable(refusal.CodeQueueFull,
		"too many requests wait for this service", max(q.estimateWait(wt.req.Workspace, wt.weight), time.Millisecond))
}

// estimateWait estimates how long a new request of the workspace would wait,
// from the smoothed hold time; zero while there are too few samples. The caller
// holds mu.
func (q *serviceQueue) estimateWait(ws ids.Workspace, weight float64) time.Duration {
	if q.holdSamples < minHoldSamples {
		return 0
	}
	ahead := q.waiters.Ahead(ws, weight)
	return time.Duration(float64(ahead) * float64(q.holdTime) / float64(max(q.inFlight, 1)))
}

// serve gives free slots to waiting requests and borrows slots for the rest.
func (q *serviceQueue) serve() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serveLocked()
}

// serveLocked is serve for a caller that holds mu.
func (q *serviceQueue) serveLocked() {
	for q.waiters.Len() > 0 {
		var g grant
		wt, ok := q.waiters.Pop(func(wt *waiter) bool {
			g = q.tryGrant(wt)
			return g.slot != nil || g.refusal != nil
		})
		if !ok {
			break
		}
		wt.result <- g
	}
	q.startBorrowers()
}

// tryGrant returns a slot for a waiting request, or a refusal when it can no
// longer meet its deadline or no target works. It returns neither while no slot
// is free. The caller holds mu.
func (q *serviceQueue) tryGrant(wt *waiter) grant {
	if time.Now().After(wt.startBy) {
		return grant{refusal: deadlineRefusal(max(q.estimateWait(wt.req.Workspace, wt.weight), time.Millisecond))}
	}
	if s := q.takeSlot(wt.req, wt.deadline); s != nil {
		return grant{slot: s}
	}
	now := time.Now()
	return grant{refusal: q.outageRefusal(now, now.Sub(wt.enqueuedAt), q.waiters.Len()-1)}
}

// recordHoldTime adds a sample to the smoothed hold time. The caller holds mu.
func (q *serviceQueue) recordHoldTime(d time.Duration) {
	if q.holdSamples < minHoldSamples {
		q.holdSamples++
	}
	if q.holdTime == 0 {
		q.holdTime = d
		return
	}
	q.holdTime += time.Duration(holdTimeGain * float64(d-q.holdTime))
}

// slot implements callers.Slot.
type slot struct {
	queue      *serviceQueue
	choice     picker.Choice
	request    *picker.Request
	permit     permit
	acquiredAt time.Time
	// deadline is the request's deadline.
	deadline time.Time
	once     sync.Once
}

// permit is a slotter.Permit.
type permit interface{ Release() }

// abortedSlotHold is how long a slot stays taken after its request was aborted:
// the target learns of it by the closed connection and needs time to stop.
const abortedSlotHold = 100 * time.Millisecond

// Target implements callers.Slot.
func (s *slot) Target() ids.Target { return s.choice.Target }

// Address implements callers.Slot.
func (s *slot) Address() string { return s.choice.Address }

// Release implements callers.Slot.
func (s *slot) Release(r callers.AttemptResult) {
	s.once.Do(func() {
		if r.Status == 0 && !time.Now().Before(s.deadline) {
			// The time may have been spent before the target got the request, so
			// the target is not to blame.
			r.Cancelled = true
		}
		s.request.End(picker.Result(r))
		answered := r.Status != 0 && !r.Cancelled
		if r.Connected && !answered {
			time.AfterFunc(abortedSlotHold, func() { s.returnPermit(false) })
			return
		}
		s.returnPermit(answered && !r.Shed)
	})
}

// releaseUnused returns a slot on which no request was sent.
func (s *slot) releaseUnused() {
	s.once.Do(func() {
		s.request.End(picker.Result{Cancelled: true})
		s.returnPermit(false)
	})
}

// returnPermit releases the permit and serves the waiting requests. If sample is
// set, the hold time counts for the estimate of waits.
func (s *slot) returnPermit(sample bool) {
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	s.permit.Release()
	q.inFlight--
	if sample {
		q.recordHoldTime(time.Since(s.acquiredAt))
	}
	q.serveLocked()
}

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

// The estimate of how long slots are held.
const (
	holdWeight  = 0.1
	holdSamples = 10
)

// line is one service: its queue, and what is known of how it moves.
type line struct {
	d       *Dispatcher
	service ids.Service

	mu      sync.Mutex
	snap    *config.Snapshot
	timeout time.Duration
	// openWeight is the weight of requests without a workspace.
	openWeight float64
	queue      queuer.Queuer[*waiting]
	inFlight   int
	// hold is the smoothed time for which a request holds its slot.
	hold    time.Duration
	samples int
	// asks counts the goroutines that ask other hosts for slots.
	asks int
}

// waiting is one request in the queue.
type waiting struct {
	want     callers.SlotRequest
	weight   float64
	arrived  time.Time
	deadline time.Time
	// startBy is when a request that takes the usual time must start.
	startBy time.Time
	// ready has room for the one answer.
	ready chan granted
}

// granted is what a waiting request gets: a slot, or a refusal.
type granted struct {
	slot    *slot
	refused *refusal.Refusal
}

// err returns the refusal as an error, or nil.
func (g granted) err() error {
	if g.refused == nil {
		return nil
	}
	return g.refused
}

func (l *line) configure(snap *config.Snapshot, svc *config.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snap = snap
	l.timeout = svc.Timeout()
	l.queue.Limit = svc.QueueLimit()
	sum := 0.0
	for i := range snap.Document.Workspaces {
		sum += weightOf(snap, snap.Document.Workspaces[i].Name)
	}
	l.openWeight = sum / float64(max(len(snap.Document.Workspaces), 1))
}

// weightOf returns a workspace's share when slots are short.
func weightOf(snap *config.Snapshot, ws ids.Workspace) float64 {
	w, ok := snap.Workspace(ws)
	if !ok {
		return 0
	}
	if w.Weight > 0 {
		return w.Weight
	}
	return w.Rate
}

// bounded gives a request without a deadline that of the service.
func (l *line) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	l.mu.Lock()
	timeout := l.timeout
	l.mu.Unlock()
	return context.WithTimeout(ctx, timeout)
}

func (l *line) waiters() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Len()
}

// fast returns a slot if one is free and nobody waits, else nil.
func (l *line) fast(w callers.SlotRequest, deadline time.Time) callers.Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Len() > 0 {
		return nil
	}
	if s := l.take(w, deadline); s != nil {
		return s
	}
	return nil
}

// take takes a slot at the best target, or returns nil. The caller holds mu.
func (l *line) take(w callers.SlotRequest, deadline time.Time) *slot {
	free := func(t ids.Target) bool { return l.d.cfg.Slotter.Free(t) > 0 }
	choice, ok := l.d.cfg.Picker.Pick(l.service, w.Avoid, free)
	if !ok {
		return nil
	}
	right, ok := l.d.cfg.Slotter.TryAcquire(choice.Target)
	if !ok {
		return nil // It was lent meanwhile.
	}
	l.inFlight++
	return &slot{
		l:        l,
		choice:   choice,
		right:    right,
		request:  l.d.cfg.Picker.Begin(choice.Target),
		since:    time.Now(),
		deadline: deadline,
	}
}

// enqueue adds a request to the queue, or refuses it at once.
func (l *line) enqueue(w callers.SlotRequest, deadline time.Time) (*waiting, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	wt := &waiting{want: w, weight: l.openWeight, arrived: now, deadline: deadline, ready: make(chan granted, 1)}
	if w.Workspace != "" {
		wt.weight = weightOf(l.snap, w.Workspace)
	}
	wt.startBy = deadline
	if l.samples >= holdSamples {
		wt.startBy = deadline.Add(-l.hold)
	}
	if r := l.refuse(wt, now); r != nil {
		return nil, r
	}
	qw := queuer.Waiter{Workspace: w.Workspace, Weight: wt.weight, Deadline: deadline, Arrived: now}
	if out, evicted := l.queue.Push(qw, wt); evicted {
		out.ready <- granted{refused: l.queueFull(out)}
	}
	return wt, nil
}

// refuse returns why the request should not wait, or nil. The caller holds mu.
func (l *line) refuse(wt *waiting, now time.Time) *refusal.Refusal {
	if r := l.outage(now, 0, l.queue.Len()); r != nil {
		return r
	}
	wait := l.wait(wt.want.Workspace, wt.weight)
	if now.Add(wait).After(wt.startBy) {
		return pastDeadline(max(wait, time.Millisecond))
	}
	return nil
}

// trialWait is how long one request waits for a slot at a target that failed
// and may be tried again, while no other target works.
const trialWait = 50 * time.Millisecond

// outage returns why a request that has waited for a while beside others should
// not wait on, or nil while a target here works. One request at a time may wait
// for the trial of a target that failed. The caller holds mu.
func (l *line) outage(now time.Time, waited time.Duration, others int) *refusal.Refusal {
	o := l.d.cfg.Picker.Outlook(l.service)
	switch {
	case o.Live == 0:
		return noTarget(l.service, 0)
	case o.Ejected+o.Due < o.Live:
		return nil
	case o.Due == 0:
		return noTarget(l.service, max(o.Trial.Sub(now), time.Millisecond))
	case others == 0 && waited < trialWait:
		return nil
	default:
		return noTarget(l.service, trialWait)
	}
}

// queueFull returns the refusal of a request that a full queue has no room for.
// The caller holds mu.
func (l *line) queueFull(wt *waiting) *refusal.Refusal {
	return refusal.Unavailable(refusal.CodeQueueFull,
		"too many requests wait for this service", max(l.wait(wt.want.Workspace, wt.weight), time.Millisecond))
}

// wait estimates how long a new request of the workspace would wait, by how
// long the slots in use are held; zero while that is not known. The caller
// holds mu.
func (l *line) wait(ws ids.Workspace, weight float64) time.Duration {
	if l.samples < holdSamples {
		return 0
	}
	ahead := l.queue.Ahead(ws, weight)
	return time.Duration(float64(ahead) * float64(l.hold) / float64(max(l.inFlight, 1)))
}

// serve gives free slots to waiting requests, and asks for slots for the rest.
func (l *line) serve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.serveLocked()
}

// serveLocked is serve for a caller that holds mu.
func (l *line) serveLocked() {
	for l.queue.Len() > 0 {
		var g granted
		wt, ok := l.queue.Pop(func(wt *waiting) bool {
			g = l.grant(wt)
			return g.slot != nil || g.refused != nil
		})
		if !ok {
			break
		}
		wt.ready <- g
	}
	l.askMore()
}

// grant gives a waiting request a slot, or a refusal when it is too late for
// one, or neither while no slot is free. The caller holds mu.
func (l *line) grant(wt *waiting) granted {
	if time.Now().After(wt.startBy) {
		return granted{refused: pastDeadline(max(l.wait(wt.want.Workspace, wt.weight), time.Millisecond))}
	}
	if s := l.take(wt.want, wt.deadline); s != nil {
		return granted{slot: s}
	}
	now := time.Now()
	return granted{refused: l.outage(now, now.Sub(wt.arrived), l.queue.Len()-1)}
}

// held takes in for how long a request held its slot. The caller holds mu.
func (l *line) held(d time.Duration) {
	if l.samples < holdSamples {
		l.samples++
	}
	if l.hold == 0 {
		l.hold = d
		return
	}
	l.hold += time.Duration(holdWeight * float64(d-l.hold))
}

// slot implements callers.Slot.
type slot struct {
	l       *line
	choice  picker.Choice
	request *picker.Request
	right   right
	since   time.Time
	// deadline is when the request is no longer wanted.
	deadline time.Time
	once     sync.Once
}

// right is a slotter's right.
type right interface{ Release() }

// cutGrace is how long a slot rests after a request that was cut: the target
// learns from the closed connection that it may stop, and needs a moment for it.
const cutGrace = 100 * time.Millisecond

// Target implements callers.Slot.
func (s *slot) Target() ids.Target { return s.choice.Target }

// Address implements callers.Slot.
func (s *slot) Address() string { return s.choice.Address }

// Release implements callers.Slot.
func (s *slot) Release(r callers.AttemptResult) {
	s.once.Do(func() {
		if r.Status == 0 && !time.Now().Before(s.deadline) {
			// The request ran out of time, which may have been spent before.
			r.Cancelled = true
		}
		s.request.End(picker.Result(r))
		answered := r.Status != 0 && !r.Cancelled
		if r.Connected && !answered {
			time.AfterFunc(cutGrace, func() { s.free(false) })
			return
		}
		s.free(answered && !r.Shed)
	})
}

// unused gives a slot back that no request was sent on.
func (s *slot) unused() {
	s.once.Do(func() {
		s.request.End(picker.Result{Cancelled: true})
		s.free(false)
	})
}

// free gives the right back and serves the next.
func (s *slot) free(sample bool) {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	s.right.Release()
	l.inFlight--
	if sample {
		l.held(time.Since(s.since))
	}
	l.serveLocked()
}

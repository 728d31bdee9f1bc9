// Package dispatcher assigns requests to slots at the targets of this host's
// region. It combines the choice of a target (picker), the permits for its slots
// (slotter) and a queue of waiting requests for each service (queuer), each
// service under its own lock.
//
// A caller configures the Dispatcher, starts Run, gets a slot from Acquire and
// releases it when the request has ended.
package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/picker"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/slotter"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// DefaultMaxBorrowers is the default of Config.MaxBorrowers.
const DefaultMaxBorrowers = 8

// Config configures a Dispatcher. Slotter and Picker are required.
type Config struct {
	Slotter *slotter.Slotter
	Picker  *picker.Picker
	// MaxBorrowers bounds the concurrent attempts to borrow a slot of one service
	// from other hosts. Zero means DefaultMaxBorrowers.
	MaxBorrowers int
}

// Dispatcher implements callers.Dispatcher. Its methods may be called
// concurrently.
type Dispatcher struct {
	cfg       Config
	done      chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	borrowers sync.WaitGroup

	// mu serialises Configure.
	mu     sync.Mutex
	queues atomic.Pointer[map[ids.Service]*serviceQueue]
}

// New returns a Dispatcher that has no services until Configure is called. It
// calls the Slotter's SetUsable and SetOnSlotsFreed.
func New(cfg Config) *Dispatcher {
	if cfg.MaxBorrowers == 0 {
		cfg.MaxBorrowers = DefaultMaxBorrowers
	}
	d := &Dispatcher{cfg: cfg, done: make(chan struct{})}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.queues.Store(&map[ids.Service]*serviceQueue{})
	cfg.Slotter.SetUsable(cfg.Picker.Usable)
	cfg.Slotter.SetOnSlotsFreed(d.serveService)
	return d
}

// Configure applies a configuration revision. The Slotter and the Picker must
// have been configured with it before.
func (d *Dispatcher) Configure(snap *config.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := *d.queues.Load()
	next := make(map[ids.Service]*serviceQueue, len(snap.Document.Services))
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		q := old[svc.Name]
		if q == nil {
			q = &serviceQueue{d: d, service: svc.Name}
		}
		q.configure(snap, svc)
		next[svc.Name] = q
	}
	d.queues.Store(&next)
	for _, q := range next {
		q.serve()
	}
}

// Run blocks until ctx ends, then stops borrowing slots and returns once all
// attempts have ended. It may be called once.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.done)
	<-ctx.Done()
	d.cancel()
	for _, q := range *d.queues.Load() {
		_ = q.waiterCount() // Waits for the lock, so that no borrower is started after this.
	}
	d.borrowers.Wait()
}

// Done is closed once Run has returned.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// serveService serves the waiting requests of a service whose slots became free.
func (d *Dispatcher) serveService(svc ids.Service) {
	if q := (*d.queues.Load())[svc]; q != nil {
		q.serve()
	}
}

// Acquire implements callers.Dispatcher.
func (d *Dispatcher) Acquire(ctx context.Context, req callers.SlotRequest) (callers.Slot, error) {
	q := (*d.queues.Load())[req.Service]
	if q == nil {
		return nil, noTargetRefusal(req.Service, 0)
	}
	ctx, cancel := q.withTimeout(ctx)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if s := q.tryAcquire(req, deadline); s != nil {
		return s, nil
	}
	wt, err := q.enqueue(req, deadline)
	if err != nil {
		return nil, err
	}
	q.serve()
	select {
	case got := <-wt.result:
		return got.slot, got.err()
	case <-ctx.Done():
		return q.cancelWait(ctx, wt)
	}
}

// noTargetRefusal returns the refusal of a request that no target can take.
func noTargetRefusal(svc ids.Service, retryAfter time.Duration) *refusal.Refusal {
	return refusal.Unavailable(refusal.CodeNoTarget,
		fmt.Sprintf("no target of service %s in this region can take the request", svc), retryAfter)
}

// deadlineRefusal returns the refusal of a request that cannot meet its
// deadline.
func deadlineRefusal(retryAfter time.Duration) *refusal.Refusal {
	return &refusal.Refusal{
		Status:     http.StatusGatewayTimeout,
		Code:       refusal.CodeDeadlineExceeded,
		Outcome:    refusal.NotRun,
		Detail:     "no slot can become free before the request's deadline",
		RetryAfter: retryAfter,
	}
}

// cancelWait removes a request whose ctx has ended from the queue. A slot that
// was granted to it just before is released.
func (q *serviceQueue) cancelWait(ctx context.Context, wt *waiter) (callers.Slot, error) {
	q.mu.Lock()
	waited := q.waiters.Remove(wt.req.Workspace, func(v *waiter) bool { return v == wt })
	retryAfter := q.estimateWait(wt.req.Workspace, wt.weight)
	q.mu.Unlock()
	if !waited {
		got := <-wt.result
		if got.slot != nil && ctx.Err() == nil {
			return got.slot, nil
		}
		if got.slot != nil {
			got.slot.releaseUnused()
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, deadlineRefusal(retryAfter)
	}
	return nil, ctx.Err()
}

// Capacity returns the number of slots that this host may use at the service's
// usable targets, and how many of them are free.
func (d *Dispatcher) Capacity(svc ids.Service) (slots, free int) {
	for _, t := range d.cfg.Picker.UsableTargets(svc) {
		u := d.cfg.Slotter.Usage(t)
		slots += u.Slots
		free += max(u.Slots-u.InFlight, 0)
	}
	return slots, free
}

// UsableCount returns the number of the service's targets in this region that
// may be sent requests.
func (d *Dispatcher) UsableCount(svc ids.Service) int { return d.cfg.Picker.UsableCount(svc) }

// Reports returns this host's load for each service, to be sent to other hosts.
func (d *Dispatcher) Reports() []*peerpb.ServiceReport {
	var all []*peerpb.ServiceReport
	for svc, q := range *d.queues.Load() {
		slots, free := d.Capacity(svc)
		all = append(all, &peerpb.ServiceReport{
			Service:  string(svc),
			Slots:    uint32(slots),
			InFlight: uint32(slots - free),
			Waiting:  uint32(q.waiterCount()),
		})
	}
	return all
}

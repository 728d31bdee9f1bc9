// Package dispatcher hands out slots at the targets of this host's region. It
// puts the choice of targets, the rights to their slots and the queue of
// waiting requests together, for each service under a lock of its own.
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

// DefaultMaxAsks bounds the slots of one service that are asked for at a time.
const DefaultMaxAsks = 8

// Config holds what a Dispatcher needs. Slotter and Picker are required.
type Config struct {
	Slotter *slotter.Slotter
	Picker  *picker.Picker
	// MaxAsks bounds the slots of one service that are asked for at a time.
	MaxAsks int
}

// Dispatcher implements callers.Dispatcher. Its methods may be called from
// several goroutines.
type Dispatcher struct {
	cfg    Config
	done   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	asking sync.WaitGroup

	// mu serialises Configure.
	mu    sync.Mutex
	lines atomic.Pointer[map[ids.Service]*line]
}

// New returns a Dispatcher that knows no services until Configure. It sets the
// Slotter's Usable and Freed.
func New(cfg Config) *Dispatcher {
	if cfg.MaxAsks == 0 {
		cfg.MaxAsks = DefaultMaxAsks
	}
	d := &Dispatcher{cfg: cfg, done: make(chan struct{})}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.lines.Store(&map[ids.Service]*line{})
	cfg.Slotter.SetUsable(cfg.Picker.Usable)
	cfg.Slotter.SetOnSlotsFreed(d.freed)
	return d
}

// Configure takes in a revision. The Slotter and the Picker must have taken it
// in before.
func (d *Dispatcher) Configure(snap *config.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := *d.lines.Load()
	next := make(map[ids.Service]*line, len(snap.Document.Services))
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		l := old[svc.Name]
		if l == nil {
			l = &line{d: d, service: svc.Name}
		}
		l.configure(snap, svc)
		next[svc.Name] = l
	}
	d.lines.Store(&next)
	for _, l := range next {
		l.serve()
	}
}

// Run ends the asking for slots when ctx ends. It may be called once.
func (d *Dispatcher) Run(ctx context.Context) {
	defer close(d.done)
	<-ctx.Done()
	d.cancel()
	for _, l := range *d.lines.Load() {
		_ = l.waiters() // Whoever began to ask before has left the lock by now.
	}
	d.asking.Wait()
}

// Done is closed once Run has returned.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// freed serves the waiters of a service whose slots became free.
func (d *Dispatcher) freed(svc ids.Service) {
	if l := (*d.lines.Load())[svc]; l != nil {
		l.serve()
	}
}

// Acquire implements callers.Dispatcher.
func (d *Dispatcher) Acquire(ctx context.Context, w callers.SlotRequest) (callers.Slot, error) {
	l := (*d.lines.Load())[w.Service]
	if l == nil {
		return nil, noTarget(w.Service, 0)
	}
	ctx, cancel := l.bounded(ctx)
	defer cancel()
	deadline, _ := ctx.Deadline()
	if s := l.fast(w, deadline); s != nil {
		return s, nil
	}
	wt, err := l.enqueue(w, deadline)
	if err != nil {
		return nil, err
	}
	l.serve()
	select {
	case got := <-wt.ready:
		return got.slot, got.err()
	case <-ctx.Done():
		return l.leave(ctx, wt)
	}
}

// noTarget returns the refusal of a request that no target can be given.
func noTarget(svc ids.Service, retryAfter time.Duration) *refusal.Refusal {
	return refusal.Unavailable(refusal.CodeNoTarget,
		fmt.Sprintf("no target of service %s in this region can take the request", svc), retryAfter)
}

// pastDeadline returns the refusal of a request that cannot make its deadline.
func pastDeadline(retryAfter time.Duration) *refusal.Refusal {
	return &refusal.Refusal{
		Status:     http.StatusGatewayTimeout,
		Code:       refusal.CodeDeadline,
		Outcome:    refusal.NotRun,
		Detail:     "no slot can become free before the request's deadline",
		RetryAfter: retryAfter,
	}
}

// leave ends the wait of a request whose ctx has ended.
func (l *line) leave(ctx context.Context, wt *waiting) (callers.Slot, error) {
	l.mu.Lock()
	waited := l.queue.Remove(wt.want.Workspace, func(v *waiting) bool { return v == wt })
	retryAfter := l.wait(wt.want.Workspace, wt.weight)
	l.mu.Unlock()
	if !waited {
		got := <-wt.ready
		if got.slot != nil && ctx.Err() == nil {
			return got.slot, nil
		}
		if got.slot != nil {
			got.slot.unused()
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, pastDeadline(retryAfter)
	}
	return nil, ctx.Err()
}

// Capacity returns the number of slots that this host may fill at the service's
// usable targets, and how many of them are free.
func (d *Dispatcher) Capacity(svc ids.Service) (slots, free int) {
	for _, t := range d.cfg.Picker.Targets(svc) {
		u := d.cfg.Slotter.Usage(t)
		slots += u.Slots
		free += max(u.Slots-u.InFlight, 0)
	}
	return slots, free
}

// Alive returns the number of the service's targets here that may be given work.
func (d *Dispatcher) Alive(svc ids.Service) int { return d.cfg.Picker.Alive(svc) }

// Reports returns this host's load of each service, for the other hosts.
func (d *Dispatcher) Reports() []*peerpb.ServiceReport {
	var all []*peerpb.ServiceReport
	for svc, l := range *d.lines.Load() {
		slots, free := d.Capacity(svc)
		all = append(all, &peerpb.ServiceReport{
			Service:  string(svc),
			Slots:    uint32(slots),
			InFlight: uint32(slots - free),
			Waiting:  uint32(l.waiters()),
		})
	}
	return all
}

package slotsim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/dispatcher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/picker"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/slotter"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Host is one entry host's part that hands out slots.
type Host struct {
	ID         ids.Instance
	Slotter    *slotter.Slotter
	Picker     *picker.Picker
	Dispatcher *dispatcher.Dispatcher

	f *Fleet
	// paused voids the lease and stops all messages.
	paused atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc
}

// startHost starts a host without a seat. The caller holds mu or is alone.
func (f *Fleet) startHost() *Host {
	f.started++
	h := &Host{f: f, ID: ids.Instance(fmt.Sprintf("host-%d", f.started))}
	h.ctx, h.cancel = context.WithCancel(f.ctx)
	h.Picker = picker.New(picker.Config{Region: Region, Random: f.random()})
	h.Slotter = slotter.New(slotter.Config{
		Self: h.ID, Lease: h, Lenders: h, Hosts: f.hostStates, Checker: f.Checker, LoanIdleTimeout: f.cfg.IdleHold,
	})
	h.Dispatcher = dispatcher.New(dispatcher.Config{Slotter: h.Slotter, Picker: h.Picker})
	go h.Slotter.Run(h.ctx)
	go h.Dispatcher.Run(h.ctx)
	f.hosts[h.ID] = h
	return h
}

func (f *Fleet) random() func() float64 {
	return func() float64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.rng.Float64()
	}
}

func (h *Host) configure(snap *config.Snapshot) {
	h.Slotter.Configure(snap)
	h.Picker.Configure(snap)
	h.Dispatcher.Configure(snap)
}

func (h *Host) stop() {
	h.cancel()
	<-h.Slotter.Done()
	<-h.Dispatcher.Done()
}

// running reports whether the host sends and answers messages.
func (h *Host) running() bool { return !h.paused.Load() && h.ctx.Err() == nil }

// Check implements slotter.Lease.
func (h *Host) Check() *refusal.Refusal {
	if h.running() {
		return nil
	}
	return refusal.Unavailable(refusal.CodeNotServing, "no valid serving lease", 0)
}

// errLost is the error of a message that got no answer.
var errLost = errs.New("no answer came")

// Borrow implements slotter.Lenders.
func (h *Host) Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	var reply *peerpb.BorrowReply
	err := h.call(ctx, lender, func(to *Host) (err error) {
		reply, err = to.Slotter.Borrow(ctx, r)
		return err
	})
	return reply, err
}

// Return implements slotter.Lenders.
func (h *Host) Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error {
	return h.call(ctx, lender, func(to *Host) error {
		_, err := to.Slotter.Return(ctx, r)
		return err
	})
}

// call carries one message to a host and its answer back.
func (h *Host) call(ctx context.Context, lender ids.Instance, handle func(to *Host) error) error {
	h.f.messages.Add(1)
	if err := h.f.travel(ctx, h); err != nil {
		return err
	}
	h.f.mu.Lock()
	to := h.f.hosts[lender]
	h.f.mu.Unlock()
	if to == nil || !to.running() {
		return lost(ctx)
	}
	if h.f.chance(h.f.cfg.Twice) {
		_ = handle(to) // The second answer counts.
	}
	if err := handle(to); err != nil {
		return err
	}
	return h.f.travel(ctx, to)
}

// travel takes as long as a message of from needs, or loses it.
func (f *Fleet) travel(ctx context.Context, from *Host) error {
	if !from.running() || f.chance(f.cfg.Loss) {
		return lost(ctx)
	}
	t := time.NewTimer(f.cfg.Delay / 2)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func lost(ctx context.Context) error {
	<-ctx.Done()
	return errLost
}

// Request is one request of a caller.
type Request struct {
	Workspace ids.Workspace
	// Work is the time that it takes on a warm target.
	Work time.Duration
}

// Sent tells what became of a Request.
type Sent struct {
	// Target is empty when the request was refused.
	Target ids.Target
	// Status is the target's answer, or zero.
	Status int
	// Waited is the time for the slot, and At when the request was sent.
	Waited time.Duration
	At     time.Time
}

// Send runs one request through the host. It returns an error when the request
// was refused.
func (h *Host) Send(r Request) (Sent, error) {
	ctx, cancel := context.WithTimeout(h.ctx, h.f.cfg.Timeout)
	defer cancel()
	began := time.Now()
	slot, err := h.Dispatcher.Acquire(ctx, callers.SlotRequest{Service: Service, Workspace: r.Workspace})
	if err != nil {
		return Sent{}, err
	}
	s := Sent{Target: slot.Target(), At: time.Now(), Waited: time.Since(began)}
	res := h.f.run(ctx, slot.Target(), r.Work)
	s.Status = res.Status
	slot.Release(res)
	return s, nil
}

// run lets a target work on a request.
func (f *Fleet) run(ctx context.Context, name ids.Target, work time.Duration) (res callers.AttemptResult) {
	t := f.targets[name]
	if !t.Running() {
		return callers.AttemptResult{}
	}
	began := time.Now()
	res.Connected = true
	defer func() {
		if recover() != nil { // The target cut the connection.
			res.Status = 0
			res.Cancelled = ctx.Err() != nil
		}
	}()
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
	r.Header.Set(target.HeaderServiceTime, strconv.FormatInt(work.Microseconds(), 10))
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline) + time.Millisecond - 1
		r.Header.Set(target.HeaderTimeout, strconv.FormatInt(left.Milliseconds(), 10))
	}
	w := httptest.NewRecorder()
	t.ServeHTTP(w, r)
	res.Status = w.Code
	res.Shed = w.Header().Get(target.HeaderShed) == "1"
	res.Leaving = w.Header().Get(target.HeaderLeaving) == "1"
	res.Elapsed = time.Since(began)
	return res
}

// probe asks a target's endpoints, which may mislead.
func probe(ctx context.Context, t *target.Target) picker.ProbeResult {
	if !t.Running() {
		return picker.ProbeResult{}
	}
	var health target.HealthResponse
	status := get(ctx, t, "/healthz", &health)
	var load target.LoadResponse
	get(ctx, t, "/load", &load)
	return picker.ProbeResult{
		Healthy: status == http.StatusOK,
		Leaving: health.Status == "leaving" || load.Leaving,
		StartID: health.StartID,
		Load:    load.Busy,
	}
}

// answered serves one request, and reports whether the target gave an answer: it
// ends a request without one as net/http has it, by a panic.
func answered(t *target.Target, w http.ResponseWriter, r *http.Request) (ok bool) {
	defer func() {
		what := recover()
		if err, isErr := what.(error); what != nil && (!isErr || !errors.Is(err, http.ErrAbortHandler)) {
			panic(what)
		}
	}()
	t.ServeHTTP(w, r)
	return true
}

// get asks one endpoint and decodes its answer into v.
func get(ctx context.Context, t *target.Target, path string, v any) int {
	w := httptest.NewRecorder()
	if !answered(t, w, httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil)) {
		return 0
	}
	if err := json.Unmarshal(w.Body.Bytes(), v); err != nil {
		return 0
	}
	return w.Code
}

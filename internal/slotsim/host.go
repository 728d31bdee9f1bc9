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

// Host is the part of an entry host that assigns slots to requests.
type Host struct {
	ID         ids.Instance
	Slotter    *slotter.Slotter
	Picker     *picker.Picker
	Dispatcher *dispatcher.Dispatcher

	fleet *Fleet
	// paused invalidates the lease and stops all messages.
	paused atomic.Bool
	ctx    context.Context
	cancel context.CancelFunc
}

// startHost starts a host without a seat. The caller holds f.mu, or nothing else
// uses f yet.
func (f *Fleet) startHost() *Host {
	f.startedHosts++
	h := &Host{fleet: f, ID: ids.Instance(fmt.Sprintf("host-%d", f.startedHosts))}
	h.ctx, h.cancel = context.WithCancel(f.ctx)
	h.Picker = picker.New(picker.Config{Region: Region, Random: f.random()})
	h.Slotter = slotter.New(slotter.Config{
		Self: h.ID, Lease: h, Lenders: h, Hosts: f.hostStates, Checker: f.Checker, LoanIdleTimeout: f.cfg.LoanIdleTimeout,
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

// running reports whether the host sends and receives messages.
func (h *Host) running() bool { return !h.paused.Load() && h.ctx.Err() == nil }

// Check implements slotter.Lease.
func (h *Host) Check() *refusal.Refusal {
	if h.running() {
		return nil
	}
	return refusal.Unavailable(refusal.CodeNotServing, "no valid serving lease", 0)
}

// errNoReply is returned for messages that are lost or whose reply is.
var errNoReply = errs.New("no reply from the host")

// Borrow implements slotter.Lenders.
func (h *Host) Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	var reply *peerpb.BorrowReply
	err := h.send(ctx, lender, func(to *Host) (err error) {
		reply, err = to.Slotter.Borrow(ctx, r)
		return err
	})
	return reply, err
}

// Return implements slotter.Lenders.
func (h *Host) Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error {
	return h.send(ctx, lender, func(to *Host) error {
		_, err := to.Slotter.Return(ctx, r)
		return err
	})
}

// send delivers a message to the lender by calling handle, once or twice, and waits
// for the time of its reply. It returns handle's error, ctx's error, or errNoReply
// once ctx is done.
func (h *Host) send(ctx context.Context, lender ids.Instance, handle func(receiver *Host) error) error {
	h.fleet.messageCount.Add(1)
	if err := h.fleet.transmit(ctx, h); err != nil {
		return err
	}
	h.fleet.mu.Lock()
	receiver := h.fleet.hosts[lender]
	h.fleet.mu.Unlock()
	if receiver == nil || !receiver.running() {
		return waitForTimeout(ctx)
	}
	if h.fleet.randomTrue(h.fleet.cfg.DuplicateShare) {
		_ = handle(receiver) // The caller receives the second reply.
	}
	if err := handle(receiver); err != nil {
		return err
	}
	return h.fleet.transmit(ctx, receiver)
}

// transmit waits for the one-way network delay of a message. If the message is lost,
// it waits until ctx is done and returns errNoReply.
func (f *Fleet) transmit(ctx context.Context, sender *Host) error {
	if !sender.running() || f.randomTrue(f.cfg.LossShare) {
		return waitForTimeout(ctx)
	}
	t := time.NewTimer(f.cfg.RoundTrip / 2)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func waitForTimeout(ctx context.Context) error {
	<-ctx.Done()
	return errNoReply
}

// Request is a request of a caller.
type Request struct {
	Workspace ids.Workspace
	// Work is the service time on a warm target.
	Work time.Duration
}

// Dispatched is the result of a Request.
type Dispatched struct {
	// Target is empty when the request was refused.
	Target ids.Target
	// Status is the HTTP status of the target's response, or 0 if there was none.
	Status int
	// Wait is the time until a slot was acquired, and SentAt when the request was
	// sent to the target.
	Wait   time.Duration
	SentAt time.Time
}

// Send acquires a slot for a request, sends it to the slot's target and waits for
// the response. It returns the dispatcher's error if the request is refused.
func (h *Host) Send(r Request) (Dispatched, error) {
	ctx, cancel := context.WithTimeout(h.ctx, h.fleet.cfg.Timeout)
	defer cancel()
	began := time.Now()
	slot, err := h.Dispatcher.Acquire(ctx, callers.SlotRequest{Service: Service, Workspace: r.Workspace})
	if err != nil {
		return Dispatched{}, err
	}
	s := Dispatched{Target: slot.Target(), SentAt: time.Now(), Wait: time.Since(began)}
	res := h.fleet.serveAt(ctx, slot.Target(), r.Work)
	s.Status = res.Status
	slot.Release(res)
	return s, nil
}

// serveAt sends a request to a target.
func (f *Fleet) serveAt(ctx context.Context, name ids.Target, work time.Duration) (res callers.AttemptResult) {
	t := f.targets[name]
	if !t.Running() {
		return callers.AttemptResult{}
	}
	began := time.Now()
	res.Connected = true
	defer func() {
		if recover() != nil { // The target closed the connection without a response.
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

// probe queries a target's health and load endpoints, which may mislead.
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

// serveHTTP serves one request and reports whether the target responded. Targets
// panic with http.ErrAbortHandler to close a connection without a response.
func serveHTTP(t *target.Target, w http.ResponseWriter, r *http.Request) (ok bool) {
	defer func() {
		recovered := recover()
		if err, isErr := recovered.(error); recovered != nil && (!isErr || !errors.Is(err, http.ErrAbortHandler)) {
			panic(recovered)
		}
	}()
	t.ServeHTTP(w, r)
	return true
}

// get decodes the response of an endpoint into v. It returns the HTTP status, or 0
// if there was no response or it cannot be decoded.
func get(ctx context.Context, t *target.Target, path string, v any) int {
	w := httptest.NewRecorder()
	if !serveHTTP(t, w, httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil)) {
		return 0
	}
	if err := json.Unmarshal(w.Body.Bytes(), v); err != nil {
		return 0
	}
	return w.Code
}

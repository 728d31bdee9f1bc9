package dispatcher_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/dispatcher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/picker"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/pkg/slotter"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// validLease is a serving lease that never expires.
type validLease struct{}

func (validLease) Check() *refusal.Refusal { return nil }

// fixture is a running Dispatcher with its Picker.
type fixture struct {
	*dispatcher.Dispatcher
	picker *picker.Picker
	close  func()
}

// newFixture returns a host that holds all slots of the targets, which have the
// given number each.
func newFixture(t *testing.T, slots, queue int, targets ...ids.Target) *fixture {
	t.Helper()
	svc := config.Service{Name: "till", Slots: slots, QueueLength: queue}
	for _, name := range targets {
		svc.Upstreams = append(svc.Upstreams, config.Upstream{Name: name, Region: "here", Address: string(name)})
	}
	snap := config.NewSnapshot(1, &config.Document{
		Services:   []config.Service{svc},
		Workspaces: []config.Workspace{{Name: "a", Rate: 1}, {Name: "b", Rate: 1}},
	})
	s := slotter.New(slotter.Config{Self: "h", Lease: validLease{}})
	p := picker.New(picker.Config{Region: "here"})
	d := dispatcher.New(dispatcher.Config{Slotter: s, Picker: p})
	s.SetTable("h", &seater.Table{Revision: 1, Seats: []seater.Seat{{Region: "here", Holder: "h"}}})
	s.Configure(snap)
	p.Configure(snap)
	d.Configure(snap)
	ctx, cancel := context.WithCancel(t.Context())
	go s.Run(ctx)
	go d.Run(ctx)
	return &fixture{Dispatcher: d, picker: p, close: func() {
		cancel()
		<-d.Done()
		<-s.Done()
	}}
}

func slotRequest(ws ids.Workspace) callers.SlotRequest {
	return callers.SlotRequest{Service: "till", Workspace: ws}
}

var answered = callers.AttemptResult{Connected: true, Status: 200, Elapsed: 10 * time.Millisecond}

// asRefusal returns the refusal in err, and fails the test if there is none.
func asRefusal(t *testing.T, err error) *refusal.Refusal {
	t.Helper()
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("got error %v, want a *refusal.Refusal", err)
	}
	return r
}

func TestWaiterGetsTheSlotThatIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1, 10, "x")
		defer f.close()
		s, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		time.AfterFunc(30*time.Millisecond, func() { s.Release(answered) })
		began := time.Now()
		next, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		is.Equal(time.Since(began), 30*time.Millisecond)
		next.Release(answered)
		slots, free := f.Capacity("till")
		is.Equal(slots, 1)
		is.Equal(free, 1)
	})
}

func TestCancelledWaiterLosesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1, 10, "x")
		defer f.close()
		s, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		// The cancellation and the release race at the same instant.
		time.AfterFunc(time.Millisecond, cancel)
		time.AfterFunc(time.Millisecond, func() { s.Release(answered) })
		if got, err := f.Acquire(ctx, slotRequest("a")); err == nil {
			got.Release(answered)
		} else {
			is.Equal(err, context.Canceled)
		}
		synctest.Wait() // The first slot may be released after the second Acquire returned.
		_, free := f.Capacity("till")
		is.Equal(free, 1)
	})
}

func TestSlotOfAbortedRequestIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1, 10, "x")
		defer f.close()
		s, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		s.Release(callers.AttemptResult{Connected: true, Cancelled: true})
		began := time.Now()
		s, err = f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		is.True(time.Since(began) >= 100*time.Millisecond) // the target may still run the request
		s.Release(answered)
	})
}

func TestDeadlineRefusalIsImmediateAndItsRetryAfterSuffices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1, 10, "x")
		defer f.close()
		for range 20 { // Teaches the dispatcher a hold time of 100 ms.
			s, err := f.Acquire(t.Context(), slotRequest("a"))
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			s.Release(answered)
		}
		for range 5 {
			go func() {
				if s, err := f.Acquire(t.Context(), slotRequest("a")); err == nil {
					time.Sleep(100 * time.Millisecond)
					s.Release(answered)
				}
			}()
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := f.Acquire(ctx, slotRequest("a"))
		r := asRefusal(t, err)
		is.Equal(time.Since(began), time.Duration(0)) // refused at once: four requests wait before it, 400 ms
		is.Equal(r.Code, refusal.CodeDeadlineExceeded)
		is.Equal(r.Outcome, refusal.NotRun)
		time.Sleep(r.RetryAfter + 100*time.Millisecond)
		ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		s, err := f.Acquire(ctx, slotRequest("a")) // the queue is empty after RetryAfter
		is.NoErr(err)
		s.Release(answered)
	})
}

func TestRetryAfterOfEjectedTargetIsItsNextTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 2, 10, "x")
		defer f.close()
		s, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		s.Release(callers.AttemptResult{})
		_, err = f.Acquire(t.Context(), slotRequest("a"))
		r := asRefusal(t, err)
		is.Equal(r.Code, refusal.CodeNoTarget)
		time.Sleep(r.RetryAfter)
		s, err = f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		s.Release(answered)
		is.Equal(f.UsableCount("till"), 1)
	})
}

func TestExpiredRequestsDoNotEjectTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1, 10, "x")
		defer f.close()
		for _, r := range []callers.AttemptResult{{}, {Connected: true}, {Connected: true}} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			s, err := f.Acquire(ctx, slotRequest("a"))
			is.NoErr(err)
			time.Sleep(time.Second)
			cancel()
			s.Release(r)
			is.Equal(f.UsableCount("till"), 1)
		}
	})
}

func TestFullQueueEvictsFromTheLargestWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1, 4, "x")
		defer f.close()
		s, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		refusals := make(chan *refusal.Refusal, 10)
		var flood sync.WaitGroup
		for range 4 {
			flood.Go(func() {
				got, err := f.Acquire(t.Context(), slotRequest("a"))
				if err != nil {
					refusals <- asRefusal(t, err)
					return
				}
				got.Release(answered)
			})
		}
		synctest.Wait()
		go func() {
			time.Sleep(time.Millisecond)
			s.Release(answered)
		}()
		calm, err := f.Acquire(t.Context(), slotRequest("b"))
		is.NoErr(err) // a waiter of workspace a is evicted for it
		calm.Release(answered)
		flood.Wait()
		is.Equal(len(refusals), 1)
		r := <-refusals
		is.Equal(r.Code, refusal.CodeQueueFull)
		is.Equal(r.Outcome, refusal.NotRun)
	})
}

func TestWaitersAreRefusedWhenTheLastTargetFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1, 10, "x")
		defer f.close()
		s, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		time.AfterFunc(10*time.Millisecond, func() { s.Release(callers.AttemptResult{}) })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		began := time.Now()
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				_, err := f.Acquire(ctx, slotRequest("a"))
				r := asRefusal(t, err)
				is.Equal(r.Code, refusal.CodeNoTarget)
				is.Equal(r.Outcome, refusal.NotRun)
				is.Equal(time.Since(began), 10*time.Millisecond) // at once, so that another region may serve it
			})
		}
		wg.Wait()
	})
}

func TestOneRequestAtATimeWaitsForATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, 1, 10, "x", "y")
		defer f.close()
		for range 2 {
			s, err := f.Acquire(t.Context(), slotRequest("a"))
			is.NoErr(err)
			s.Release(callers.AttemptResult{})
		}
		time.Sleep(time.Second) // The trials of both targets are due.
		x, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		y, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		_, err = f.Acquire(t.Context(), slotRequest("a"))
		is.Equal(asRefusal(t, err).Code, refusal.CodeNoTarget) // both trials are taken
		x.Release(answered)
		s, err := f.Acquire(t.Context(), slotRequest("a"))
		is.NoErr(err)
		s.Release(answered)
		y.Release(answered)
	})
}

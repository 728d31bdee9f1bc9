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

// always is a serving lease that is always valid.
type always struct{}

func (always) Check() *refusal.Refusal { return nil }

// desk is a Dispatcher with what it stands on.
type desk struct {
	*dispatcher.Dispatcher
	picker *picker.Picker
	close  func()
}

// newDesk holds all slots of the targets, which are slots each.
func newDesk(t *testing.T, slots, queue int, targets ...ids.Target) *desk {
	t.Helper()
	svc := config.Service{Name: "till", Slots: slots, QueueLength: queue}
	for _, name := range targets {
		svc.Upstreams = append(svc.Upstreams, config.Upstream{Name: name, Region: "here", Address: string(name)})
	}
	snap := config.NewSnapshot(1, &config.Document{
		Services:   []config.Service{svc},
		Workspaces: []config.Workspace{{Name: "a", Rate: 1}, {Name: "b", Rate: 1}},
	})
	s := slotter.New(slotter.Config{Self: "h", Lease: always{}})
	p := picker.New(picker.Config{Region: "here"})
	d := dispatcher.New(dispatcher.Config{Slotter: s, Picker: p})
	s.SetTable("h", &seater.Table{Revision: 1, Seats: []seater.Seat{{Region: "here", Holder: "h"}}})
	s.Configure(snap)
	p.Configure(snap)
	d.Configure(snap)
	ctx, cancel := context.WithCancel(t.Context())
	go s.Run(ctx)
	go d.Run(ctx)
	return &desk{Dispatcher: d, picker: p, close: func() {
		cancel()
		<-d.Done()
		<-s.Done()
	}}
}

func want(ws ids.Workspace) callers.SlotRequest {
	return callers.SlotRequest{Service: "till", Workspace: ws}
}

var answered = callers.AttemptResult{Connected: true, Status: 200, Elapsed: 10 * time.Millisecond}

// refused returns the refusal that err is.
func refused(t *testing.T, err error) *refusal.Refusal {
	t.Helper()
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		t.Fatalf("%v is no refusal", err)
	}
	return r
}

func TestWaiterGetsTheSlotThatIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t, 1, 10, "x")
		defer d.close()
		s, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		time.AfterFunc(30*time.Millisecond, func() { s.Release(answered) })
		began := time.Now()
		next, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		is.Equal(time.Since(began), 30*time.Millisecond)
		next.Release(answered)
		slots, free := d.Capacity("till")
		is.Equal(slots, 1)
		is.Equal(free, 1)
	})
}

func TestCancelledWaiterLosesNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t, 1, 10, "x")
		defer d.close()
		s, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		// Both happen at the same instant, in either order.
		time.AfterFunc(time.Millisecond, cancel)
		time.AfterFunc(time.Millisecond, func() { s.Release(answered) })
		if got, err := d.Acquire(ctx, want("a")); err == nil {
			got.Release(answered)
		} else {
			is.Equal(err, context.Canceled)
		}
		synctest.Wait() // The first request's slot may be released after the other's refusal.
		_, free := d.Capacity("till")
		is.Equal(free, 1)
	})
}

func TestSlotOfACutRequestRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t, 1, 10, "x")
		defer d.close()
		s, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		s.Release(callers.AttemptResult{Connected: true, Cancelled: true})
		began := time.Now()
		s, err = d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		is.True(time.Since(began) >= 100*time.Millisecond) // the target may still be at it
		s.Release(answered)
	})
}

func TestRefusalsAreEarlyAndTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t, 1, 10, "x")
		defer d.close()
		for range 20 { // Each request takes 100 ms.
			s, err := d.Acquire(t.Context(), want("a"))
			is.NoErr(err)
			time.Sleep(100 * time.Millisecond)
			s.Release(answered)
		}
		for range 5 {
			go func() {
				if s, err := d.Acquire(t.Context(), want("a")); err == nil {
					time.Sleep(100 * time.Millisecond)
					s.Release(answered)
				}
			}()
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := d.Acquire(ctx, want("a"))
		r := refused(t, err)
		is.Equal(time.Since(began), time.Duration(0)) // it could not make its deadline
		is.Equal(r.Code, refusal.CodeDeadline)
		is.Equal(r.Outcome, refusal.NotRun)
		time.Sleep(r.RetryAfter + 100*time.Millisecond)
		ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		s, err := d.Acquire(ctx, want("a")) // alone after the wait that was named
		is.NoErr(err)
		s.Release(answered)
	})
}

func TestDeadTargetsAreRefusedWithTheNextTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t, 2, 10, "x")
		defer d.close()
		s, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		s.Release(callers.AttemptResult{})
		_, err = d.Acquire(t.Context(), want("a"))
		r := refused(t, err)
		is.Equal(r.Code, refusal.CodeNoTarget)
		time.Sleep(r.RetryAfter)
		s, err = d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		s.Release(answered)
		is.Equal(d.Alive("till"), 1)
	})
}

func TestRequestsOutOfTimeAreNoFaultOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t, 1, 10, "x")
		defer d.close()
		for _, r := range []callers.AttemptResult{{}, {Connected: true}, {Connected: true}} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			s, err := d.Acquire(ctx, want("a"))
			is.NoErr(err)
			time.Sleep(time.Second)
			cancel()
			s.Release(r)
			is.Equal(d.Alive("till"), 1)
		}
	})
}

func TestFullQueueRefusesTheFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t, 1, 4, "x")
		defer d.close()
		s, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		refusals := make(chan *refusal.Refusal, 10)
		var flood sync.WaitGroup
		for range 4 {
			flood.Go(func() {
				got, err := d.Acquire(t.Context(), want("a"))
				if err != nil {
					refusals <- refused(t, err)
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
		calm, err := d.Acquire(t.Context(), want("b"))
		is.NoErr(err) // the full queue makes room for the other workspace
		calm.Release(answered)
		flood.Wait()
		is.Equal(len(refusals), 1)
		r := <-refusals
		is.Equal(r.Code, refusal.CodeQueueFull)
		is.Equal(r.Outcome, refusal.NotRun)
	})
}

func TestWaitersAreRefusedOnceTheLastTargetFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t, 1, 10, "x")
		defer d.close()
		s, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		time.AfterFunc(10*time.Millisecond, func() { s.Release(callers.AttemptResult{}) })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		began := time.Now()
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				_, err := d.Acquire(ctx, want("a"))
				r := refused(t, err)
				is.Equal(r.Code, refusal.CodeNoTarget)
				is.Equal(r.Outcome, refusal.NotRun)
				is.Equal(time.Since(began), 10*time.Millisecond) // another region may serve it
			})
		}
		wg.Wait()
	})
}

func TestOneRequestAtATimeWaitsForATrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDesk(t, 1, 10, "x", "y")
		defer d.close()
		for range 2 {
			s, err := d.Acquire(t.Context(), want("a"))
			is.NoErr(err)
			s.Release(callers.AttemptResult{})
		}
		time.Sleep(time.Second) // Both may be tried by now.
		x, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		y, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		_, err = d.Acquire(t.Context(), want("a"))
		is.Equal(refused(t, err).Code, refusal.CodeNoTarget) // both trials are taken
		x.Release(answered)
		s, err := d.Acquire(t.Context(), want("a"))
		is.NoErr(err)
		s.Release(answered)
		y.Release(answered)
	})
}

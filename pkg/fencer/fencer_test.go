package fencer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

func TestLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f Fencer
		is.Equal(f.Check().Code, refusal.CodeNotServing) // no lease before the first renewal
		sent := time.Now()
		time.Sleep(time.Second)
		f.RecordRenewal(sent)
		f.RecordRenewal(sent.Add(-time.Second)) // a delayed older renewal does not shorten the lease
		time.Sleep(TTL - time.Second - time.Nanosecond)
		is.Equal(f.Check(), nil)
		time.Sleep(time.Nanosecond)
		r := f.Check() // the lease is counted from when the renewal was sent, not from its answer
		is.Equal(r.Outcome, refusal.NotRun)
		is.True(r.RetryAfter > 0)
		f.RecordRenewal(time.Now())
		f.Stop()
		f.RecordRenewal(time.Now())
		is.Equal(f.Check().Code, refusal.CodeLeaving) // a renewal after Stop changes nothing
	})
}

func TestFenceWaitsForPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f Fencer
		ok, _ := f.Promise("x", "l1")
		is.True(!ok) // the voter has neither a seat nor a lease
		f.RecordRenewal(time.Now())
		f.SetSeats([]ids.Seat{3})
		ok, _ = f.Promise("x", "l1")
		is.True(ok)
		fenced, _ := f.Fence("y", "l7")
		is.True(!fenced) // the previous holder of the seat may have given y a promise
		time.Sleep(TTL + ClockMargin + time.Nanosecond)
		ok, _ = f.Promise("z", "l8")
		is.True(!ok) // the voter's own lease has expired
		fenced, _ = f.Fence("x", "l1")
		is.True(fenced)
		f.RecordRenewal(time.Now())
		ok, _ = f.Promise("x", "l1")
		is.True(!ok) // x is fenced under this store lease
		ok, _ = f.Promise("x", "l2")
		is.True(ok) // the table lists x with a new store lease, so its seats were not reclaimed
		fenced, _ = f.Fence("x", "l2")
		is.True(!fenced)
		time.Sleep(TTL + ClockMargin + time.Nanosecond)
		f.SetSeats([]ids.Seat{3, 4})
		fenced, _ = f.Fence("x", "l2")
		is.True(!fenced) // the previous holder of the new seat may have given x a promise
		f.SetSeats(nil)
		time.Sleep(TTL + ClockMargin + time.Nanosecond)
		f.SetSeats([]ids.Seat{3})
		fenced, _ = f.Fence("x", "l2")
		is.True(!fenced) // the seat was taken again just now
	})
}

func BenchmarkCheck(b *testing.B) {
	var f Fencer
	f.RecordRenewal(time.Now())
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if f.Check() != nil {
				f.RecordRenewal(time.Now())
			}
		}
	})
}

package fencer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

func TestLeaseEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f Fencer
		is.Equal(f.Check().Code, refusal.CodeNotServing) // no lease before the first renewal
		sent := time.Now()
		time.Sleep(time.Second)
		f.RecordRenewal(sent)
		f.RecordRenewal(sent.Add(-time.Second)) // a late, older renewal does not shorten it
		time.Sleep(TTL - time.Second - time.Nanosecond)
		is.Equal(f.Check(), nil)
		time.Sleep(time.Nanosecond)
		r := f.Check() // counted from when it was sent, not from when it was answered
		is.Equal(r.Outcome, refusal.NotRun)
		is.True(r.RetryAfter > 0)
		f.RecordRenewal(time.Now())
		f.Stop()
		f.RecordRenewal(time.Now())
		is.Equal(f.Check().Code, refusal.CodeLeaving) // nothing revives it
	})
}

func TestVoterAnswersForItsPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var f Fencer
		ok, _ := f.Promise("x", "l1")
		is.True(!ok) // neither seat nor lease
		f.RecordRenewal(time.Now())
		f.SetSeats([]ids.Seat{3})
		ok, _ = f.Promise("x", "l1")
		is.True(ok)
		ended, _ := f.Fence("y", "l7")
		is.True(!ended) // the holder before may have promised y something
		time.Sleep(TTL + ClockMargin + time.Nanosecond)
		ok, _ = f.Promise("z", "l8")
		is.True(!ok) // own lease ended
		ended, _ = f.Fence("x", "l1")
		is.True(ended)
		f.RecordRenewal(time.Now())
		ok, _ = f.Promise("x", "l1")
		is.True(!ok) // fenced for good under this store lease
		ok, _ = f.Promise("x", "l2")
		is.True(ok) // the table lists it with a new one: it was never reclaimed
		ended, _ = f.Fence("x", "l2")
		is.True(!ended)
		time.Sleep(TTL + ClockMargin + time.Nanosecond)
		f.SetSeats([]ids.Seat{3, 4})
		ended, _ = f.Fence("x", "l2")
		is.True(!ended) // the second seat is new, and its last holder may have promised
		f.SetSeats(nil)
		time.Sleep(TTL + ClockMargin + time.Nanosecond)
		f.SetSeats([]ids.Seat{3})
		ended, _ = f.Fence("x", "l2")
		is.True(!ended) // seated anew
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

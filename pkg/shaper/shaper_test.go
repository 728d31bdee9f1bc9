package shaper_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/shaper"
)

const rate = 1_000_000

func TestManySendersStayUnderTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s shaper.Shaper
		s.SetRate(rate)
		begun := time.Now()
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				for range 100 {
					is.NoErr(s.Wait(t.Context(), 10_000))
				}
			})
		}
		wg.Wait()
		elapsed := time.Since(begun)
		is.Equal(s.TotalBytes(), int64(10*100*10_000))
		is.True(float64(s.TotalBytes()) <= rate*(elapsed.Seconds()+0.02)) // the rate plus a burst
		is.True(elapsed < 11*time.Second)                                 // and the rate is made use of
	})
}

func TestFullLinkRefusesWithASufficientRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s shaper.Shaper
		s.SetRate(rate)
		is.True(s.Check() == nil)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		is.NoErr(s.Wait(ctx, rate/100))   // within the burst, no delay
		is.True(s.Wait(ctx, rate) != nil) // beyond the burst
		rf := s.Check()
		is.True(rf != nil)
		time.Sleep(rf.RetryAfter)
		is.True(s.Check() == nil) // RetryAfter is long enough
	})
}

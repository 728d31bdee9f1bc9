package hedger_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/hedger"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

func newHedger(share float64) *hedger.Hedger {
	return &hedger.Hedger{Share: func() float64 { return share }}
}

// Guards against a hedger that is not configured and hedges or records anything.
func TestZeroValueAllowsNothing(t *testing.T) {
	is := is.New(t)
	for _, h := range []*hedger.Hedger{{}, newHedger(0)} {
		for range 1000 {
			h.RecordRequest("a")
			h.Observe("read", time.Second)
		}
		_, known := h.Delay("read")
		is.True(!known)
		is.True(!h.Allow("a"))
	}
}

// Guards against more hedges than the share, at once after a restart or after a quiet time.
func TestShareIsKept(t *testing.T) {
	is := is.New(t)
	h := newHedger(0.05)
	is.True(!h.Allow("a")) // a host that restarts has none
	allowed := 0
	for range 1000 {
		h.RecordRequest("a")
		if h.Allow("a") {
			allowed++
		}
	}
	is.True(allowed >= 49 && allowed <= 50)
	for range 100_000 {
		h.RecordRequest("a")
	}
	burst := 0
	for h.Allow("a") {
		burst++
	}
	is.Equal(burst, 10)
	is.True(!h.Allow("b"))
}

// Guards against a delay that too many requests exceed, or that is far above the percentile.
func TestDelayIsPercentile(t *testing.T) {
	for _, c := range []struct {
		share       float64
		least, most time.Duration
	}{
		{0.2, 950 * time.Millisecond, 1080 * time.Millisecond},
		{0.05, 950 * time.Millisecond, 1080 * time.Millisecond},
		{0.01, 990 * time.Millisecond, 1120 * time.Millisecond},
	} {
		is := is.New(t)
		h := newHedger(c.share)
		for i := range 49 {
			h.Observe("read", time.Duration(i*20+1)*time.Millisecond)
		}
		_, known := h.Delay("read")
		is.True(!known)
		for i := range 1000 {
			h.Observe("read", time.Duration(i*37%1000+1)*time.Millisecond)
		}
		d, known := h.Delay("read")
		is.True(known)
		is.True(d >= c.least && d <= c.most)
		_, known = h.Delay("write")
		is.True(!known)
	}
}

// Guards against a delay that keeps to times of long ago.
func TestDelayFollowsTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHedger(0.1)
		observe := func(n int, d time.Duration) {
			for range n {
				h.Observe("read", d)
			}
		}
		observe(1000, time.Second)
		observe(5000, time.Millisecond)
		d, _ := h.Delay("read")
		is.Equal(d, 10*time.Millisecond) // the least
		observe(100, 100*time.Second)
		d, _ = h.Delay("read")
		is.True(d >= 100*time.Second)
		time.Sleep(3 * time.Minute)
		_, known := h.Delay("read")
		is.True(!known)
		observe(50, time.Hour)
		d, known = h.Delay("read")
		is.True(known)
		is.True(d > 4*time.Minute) // the last bucket
	})
}

// Guards against memory that grows with the names of routes, and against allocation for each
// request.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHedger(0.1)
		known := 0
		for i := range 1000 {
			class := fmt.Sprint(i)
			for range 50 {
				h.Observe(class, time.Second)
			}
			time.Sleep(time.Millisecond)
		}
		for i := range 1000 {
			if _, ok := h.Delay(fmt.Sprint(i)); ok {
				known++
				is.True(i >= 1000-256)
			}
		}
		is.Equal(known, 256)
		service := ids.Service("a")
		is.Equal(testing.AllocsPerRun(100, func() {
			h.RecordRequest(service)
			h.Observe("999", time.Second)
			h.Delay("999")
			h.Allow(service)
		}), 0.0)
	})
}

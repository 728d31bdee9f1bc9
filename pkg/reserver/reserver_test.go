package reserver_test

import (
	"sync"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/reserver"
)

// No more than the limit may be reserved, however many goroutines try, and all of it must be
// available again after its release.
func TestLimitHoldsUnderConcurrency(t *testing.T) {
	is := is.New(t)
	const limit, part = 100, 7
	r := reserver.New(limit)
	for range 50 {
		var mu sync.Mutex
		var wg sync.WaitGroup
		granted := 0
		for range 30 {
			wg.Go(func() {
				if r.Reserve(part) {
					mu.Lock()
					defer mu.Unlock()
					granted++
				}
			})
		}
		wg.Wait()
		is.Equal(granted, limit/part)
		is.Equal(r.Used(), int64(granted*part))
		r.Release(int64(granted * part))
	}
	is.True(r.Reserve(limit))
}

// Bytes that are reserved beyond the limit must keep everything else out until they are
// released, requests for 0 bytes included.
func TestOverdraw(t *testing.T) {
	is := is.New(t)
	r := reserver.New(100)
	is.True(r.Reserve(100))
	is.True(r.Reserve(0))
	r.Overdraw(1)
	is.True(!r.Reserve(0))
	r.Release(1)
	is.True(r.Reserve(0))
}

// Without a limit, nothing is refused.
func TestZeroValueHasNoLimit(t *testing.T) {
	is := is.New(t)
	var r reserver.Reserver
	is.Equal(r.Limit(), int64(0))
	is.True(r.Reserve(1 << 60))
	is.Equal(r.Used(), int64(1<<60))
}

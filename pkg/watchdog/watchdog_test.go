package watchdog_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/watchdog"
)

// host simulates a host and its links.
type host struct {
	*watchdog.Watchdog
	// reachable tells which targets can be reached.
	reachable   func(address string) bool
	othersReach bool
	trials      atomic.Int64
}

// withHost runs f with a host that has ten targets, on the virtual clock.
func withHost(t *testing.T, f func(is *is.I, h *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &host{reachable: func(string) bool { return true }, othersReach: true}
		h.Watchdog = &watchdog.Watchdog{
			Reach: func(_ context.Context, address string) bool {
				h.trials.Add(1)
				return h.reachable(address)
			},
			OthersReach: func() bool { return h.othersReach },
		}
		var all []string
		for i := range 10 {
			all = append(all, address(i))
		}
		h.SetTargets(all)
		f(is.New(t), h)
	})
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i) }

// tick calls Tick for the duration d.
func (h *host) tick(t *testing.T, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		h.Tick(t.Context())
		synctest.Wait()
	}
}

// Targets that can no longer be reached are taken for a lost link only if none can be
// reached and another host reaches some.
func TestUnreachableTargets(t *testing.T) {
	for _, c := range []struct {
		name                string
		linkWorks, othersOK bool
		cutOff              bool
	}{
		{"link lost", false, true, true},
		{"two targets crashed", true, true, false},
		{"all targets crashed", false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			withHost(t, func(is *is.I, h *host) {
				h.reachable = func(address string) bool { return c.linkWorks && address > "10.0.0.1:80" }
				h.othersReach = c.othersOK
				h.RecordConnect(address(0), false)
				h.tick(t, time.Second)
				is.Equal(h.trials.Load(), int64(0)) // one target may fail by itself
				h.RecordConnect(address(1), false)
				is.True(h.Suspicious())
				h.tick(t, time.Second)
				is.Equal(h.CutOff(), c.cutOff)
				is.Equal(h.Reaches(), c.linkWorks)
			})
		})
	}
}

// Connections that hang are found by targets that do not answer, though each one may just be
// slow.
func TestSilentTargets(t *testing.T) {
	withHost(t, func(is *is.I, h *host) {
		h.Begin(address(0))(true)
		is.True(h.Reaches())
		lost := h.Lost()
		for i := range 3 {
			h.Begin(address(i))
		}
		h.tick(t, time.Second)
		is.True(!h.CutOff()) // the targets can be reached
		is.True(h.trials.Load() > 0)
		h.reachable = func(string) bool { return false }
		h.tick(t, 2*time.Second)
		is.True(h.CutOff())
		<-lost
		h.reachable = func(string) bool { return true }
		h.tick(t, time.Second)
		is.True(!h.CutOff())
	})
}

// A host without requests is not suspicious, and tries nothing.
func TestIdleHostTriesNothing(t *testing.T) {
	withHost(t, func(is *is.I, h *host) {
		h.reachable = func(string) bool { return false }
		h.tick(t, 10*time.Second)
		is.Equal(h.trials.Load(), int64(0))
		is.True(!h.CutOff())
	})
}

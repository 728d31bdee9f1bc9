// Package seeds gives randomised tests their seed and length from the command
// line: go test -run Randomised ./pkg/limiter -args -seed=7 -virtual=1h.
package seeds

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	seed    = flag.Uint64("seed", 1, "seed of the randomised runs")
	virtual = flag.Duration("virtual", 0, "virtual length of the randomised runs; 0 takes each run's own")
)

// Source returns a random source from the seed flag, and prints the seed so
// that a failing run can be repeated.
func NewRand(t testing.TB) *rand.Rand {
	t.Helper()
	t.Logf("seed=%d", *seed)
	return rand.New(rand.NewPCG(*seed, *seed))
}

// Length returns the virtual length of a run: the flag's, or else usual.
func VirtualDuration(usual time.Duration) time.Duration {
	if *virtual > 0 {
		return *virtual
	}
	return usual
}

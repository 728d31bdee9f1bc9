// Package seeds lets the command line set the seed and the virtual duration of
// randomised tests: go test -run Randomised ./pkg/limiter -args -seed=7 -virtual=1h.
// Importing it defines the flags; only tests import it.
package seeds

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	seed          = flag.Uint64("seed", 1, "seed of the randomised runs")
	virtualLength = flag.Duration("virtual", 0, "virtual duration of the randomised runs; 0 means the default of each run")
)

// NewRand returns a random number generator seeded from the -seed flag, and logs the
// seed so that a failing run can be repeated.
func NewRand(t testing.TB) *rand.Rand {
	t.Helper()
	t.Logf("seed=%d", *seed)
	return rand.New(rand.NewPCG(*seed, *seed))
}

// VirtualDuration returns the value of the -virtual flag if it is positive, else def.
func VirtualDuration(def time.Duration) time.Duration {
	if *virtualLength > 0 {
		return *virtualLength
	}
	return def
}

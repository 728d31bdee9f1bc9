//go:build race

package fleet

import "runtime"

// With the race detector, fleets run on one thread: its runtime sometimes aborts
// ("ThreadSanitizer: CHECK failed", without reporting a race) when several threads
// run the thousands of goroutines of whole fleets. It detects races by the order of
// events, for which one thread is enough.
func init() { runtime.GOMAXPROCS(1) }

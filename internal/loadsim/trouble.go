package loadsim

import (
	"math/rand/v2"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Speed is how the speed of targets changes, which they report with each response. The zero
// value means that it does not, and that they report nothing.
type Speed struct {
	// Factor is the factor by which service times are longer for a fraction Share of the time.
	Factor, Share float64
	// Period is the time after which the speed of a target may change.
	Period time.Duration
}

// factor returns the factor by which the service times of a target are longer at a time since
// the start.
func (s Speed) factor(id ids.Target, elapsed time.Duration) float64 {
	if s.Factor == 0 {
		return 1
	}
	if fraction(string(id), int64(elapsed/s.Period)) < s.Share {
		return s.Factor
	}
	return 1
}

// Fault makes targets refuse a fraction Share of the requests between two times since the
// start.
type Fault struct {
	From, Until time.Duration
	Share       float64
}

// refuses reports whether a request is refused at a time since the start.
func (f Fault) refuses(elapsed time.Duration, r request) bool {
	return elapsed >= f.From && elapsed < f.Until && fraction(r.object, int64(elapsed)) < f.Share
}

// fraction returns a number from 0 to 1 that depends on a name and a number.
func fraction(name string, n int64) float64 {
	return rand.New(rand.NewPCG(uint64(hasher.Sum32(name)), uint64(n))).Float64()
}

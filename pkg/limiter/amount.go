package limiter

import (
	"math/bits"
	"time"
)

// oneRequest is one request in nano-requests (10⁻⁹ of a request), the integer
// unit of all tokens and bursts in this package. Rates are in nano-requests per
// second.
const oneRequest int64 = 1e9

// accrue returns what a rate yields in d, rounded down and at most limit, and the
// remainder to carry into the next call.
func accrue(rate int64, d time.Duration, carry uint64, limit int64) (amount int64, remainder uint64) {
	if rate <= 0 || d <= 0 || limit <= 0 {
		return 0, carry
	}
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	lo, over := bits.Add64(lo, carry, 0)
	hi += over
	if hi >= uint64(time.Second) {
		return limit, 0
	}
	q, r := bits.Div64(hi, lo, uint64(time.Second))
	if q > uint64(limit) {
		return limit, 0
	}
	return int64(q), r
}

// mulDiv returns amount·part/whole, rounded down, with part limited to whole.
func mulDiv(amount, part, whole int64) int64 {
	if amount <= 0 || part <= 0 || whole <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(amount), uint64(min(part, whole)))
	q, _ := bits.Div64(hi, lo, uint64(whole))
	return int64(q)
}

// timeToAccrue returns how long a rate takes to yield amount, rounded up, or
// unboundedWait if it takes longer than that.
func timeToAccrue(amount, rate int64) time.Duration {
	if amount <= 0 {
		return 0
	}
	if rate <= 0 {
		return unboundedWait
	}
	s := float64(amount) / float64(rate)
	if s >= unboundedWait.Seconds() {
		return unboundedWait
	}
	return time.Duration(s*float64(time.Second)) + 1
}

// unboundedWait is an upper bound on computed waits. It stands for a wait that
// never ends.
const unboundedWait = time.Hour

package balancer

import "time"

// Slowdown is the ratio of the time that work takes at a target now to the usual time. 0
// means that it is not known.
type Slowdown float64

const (
	// slowdownValidity is how long a reported slowdown is used. It fades in that time, as it
	// changes several times a second.
	slowdownValidity = 600 * time.Millisecond
	// maxUsualSlowdown is the slowdown up to which a response tells the usual service time.
	maxUsualSlowdown = 1.2
	// initialSlowFactor is the assumed slowdown of a slow target before one was reported.
	initialSlowFactor = 2
	// slownessStep is the factor by which the slowness of a target that reports its slowdown
	// changes with an answer. A few answers that take very long do not change it much.
	slownessStep = 1.05
)

// observeSlowdown takes in the slowdown that a target reported. The caller holds the lock.
func (pl *pool) observeSlowdown(t *target, s Slowdown, now time.Time) {
	if s <= 0 {
		return
	}
	pl.reportsSlowdown = true
	t.slowdown, t.slowdownAt = s, now
	if s > maxUsualSlowdown {
		pl.slowFactor += meanWeight * (float64(s) - pl.slowFactor)
	}
}

// slowdownNow returns the estimated slowdown at now: the reported one, fading to 1.
func (t *target) slowdownNow(now time.Time) float64 {
	age := now.Sub(t.slowdownAt)
	if t.slowdown <= 0 || age >= slowdownValidity {
		return 1
	}
	return 1 + (float64(t.slowdown)-1)*(1-age.Seconds()/slowdownValidity.Seconds())
}

// followSlowness moves the slowness of a target a step towards the ratio of the actual to the
// expected service time.
func (t *target) followSlowness(ratio float64) {
	if ratio > t.slowness {
		t.slowness = min(t.slowness*slownessStep, maxSlowness)
		return
	}
	t.slowness = max(t.slowness/slownessStep, minSlowness)
}

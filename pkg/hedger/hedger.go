// Package hedger decides when a slow idempotent request is sent to a second target: after
// the time within which most requests of its class get a response, and for a bounded share
// of the requests.
//
// A caller reports the first send of each request with RecordRequest and its response time
// with Observe, waits for Delay, and asks Allow before it sends the request again.
package hedger

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// maxTokens is the number of hedges of a service that can accumulate. It is limited so
	// that only recent requests count.
	maxTokens = 10
	// minPercentile is the least percentile of the response times that Delay returns.
	minPercentile = 0.95
	// minDelay is the least delay. A second send costs more than it can save below it.
	minDelay = 10 * time.Millisecond
	// minObservations is the number of observations from which a delay is known.
	minObservations = 50
	// maxClasses bounds the classes whose response times are kept.
	maxClasses = 256
)

// Hedger keeps the recent response times of each class and the hedges that are left to each
// service. The zero value is ready for use and allows none. Its methods may be called
// concurrently.
type Hedger struct {
	// Share returns the share of a service's requests that may be sent a second time. Nil
	// or a value of 0 or less means none; nothing is recorded then.
	Share func() float64

	mu      sync.Mutex
	classes map[string]*histogram
	tokens  map[ids.Service]float64
}

// RecordRequest counts the first send of a request, which adds the share to the allowed
// hedges.
func (h *Hedger) RecordRequest(service ids.Service) {
	share := h.share()
	if share <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokens == nil {
		h.tokens = make(map[ids.Service]float64)
	}
	h.tokens[service] = min(maxTokens, h.tokens[service]+share)
}

// Allow reports whether one more hedge is within the share, and counts it if so.
func (h *Hedger) Allow(service ids.Service) bool {
	if h.share() <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokens[service] < 1 {
		return false
	}
	h.tokens[service]--
	return true
}

// Observe records the response time of a request of the class that was expected to take
// expected, or how long it was waited for, if it was given up because it took too long.
func (h *Hedger) Observe(class string, elapsed, expected time.Duration) {
	if h.share() <= 0 {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.class(class, now).add(scale(elapsed, unit, expected), now)
}

// Delay returns how long to wait for the first target, which is expected to take expected, or
// false if that is not known yet. In proportion to what was expected, at most the share of the
// class's recent requests took longer, and at most 5% of them. A request that is known to take
// long, as its object is cold, is not slow.
func (h *Hedger) Delay(class string, expected time.Duration) (time.Duration, bool) {
	share := h.share()
	if share <= 0 {
		return 0, false
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	times := h.classes[class]
	if times == nil {
		return 0, false
	}
	times.decay(now)
	if times.total < minObservations {
		return 0, false
	}
	return max(scale(times.percentile(max(minPercentile, 1-share)), expected, unit), minDelay), true
}

// unit stands for a ratio of 1: the histograms hold ratios of the actual to the expected time, as
// parts of it.
const unit = time.Second

// scale returns d times the ratio of two durations. The ratio is 1 if one of them is not known.
func scale(d, numerator, denominator time.Duration) time.Duration {
	if numerator <= 0 || denominator <= 0 {
		return d
	}
	return time.Duration(float64(d) * float64(numerator) / float64(denominator))
}

func (h *Hedger) share() float64 {
	if h.Share == nil {
		return 0
	}
	return h.Share()
}

// class returns the response times of a class, which it adds, in place of the class that
// was not observed for the longest time if there are too many. The caller holds the lock.
func (h *Hedger) class(name string, now time.Time) *histogram {
	if times := h.classes[name]; times != nil {
		return times
	}
	if h.classes == nil {
		h.classes = make(map[string]*histogram)
	}
	if len(h.classes) >= maxClasses {
		h.evict()
	}
	times := &histogram{decayedAt: now}
	h.classes[name] = times
	return times
}

// evict removes the class that was not observed for the longest time. The caller holds the
// lock.
func (h *Hedger) evict() {
	oldest := ""
	for name, times := range h.classes {
		if o := h.classes[oldest]; o == nil || times.observedAt.Before(o.observedAt) {
			oldest = name
		}
	}
	delete(h.classes, oldest)
}

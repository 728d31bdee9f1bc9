package hedger

import (
	"math/bits"
	"time"
)

const (
	// bucketCount is the number of buckets: 16 of 1 ms, and 8 for each further power of
	// two, so that a bucket's width is at most 1/8 of its lower bound. The last one ends at
	// 262 s.
	bucketCount = 128
	// halfLife and maxNew are the time and the number of observations after which all
	// earlier observations count half, whichever comes first.
	halfLife = 30 * time.Second
	maxNew   = 512
)

// histogram counts durations in buckets. Earlier ones count less and less.
type histogram struct {
	counts [bucketCount]float32
	total  float32
	// added is the number of observations since decayedAt.
	added      int
	decayedAt  time.Time
	observedAt time.Time
}

// add counts a duration.
func (h *histogram) add(d time.Duration, now time.Time) {
	h.decay(now)
	h.observedAt = now
	h.counts[bucketOf(d)]++
	h.total++
	if h.added++; h.added >= maxNew {
		h.halve(now)
	}
}

// decay halves the counts as often as is due.
func (h *histogram) decay(now time.Time) {
	age := now.Sub(h.decayedAt)
	if age < halfLife {
		return
	}
	if age >= 8*halfLife { // nothing that counts is left
		*h = histogram{decayedAt: now, observedAt: h.observedAt}
		return
	}
	for ; age >= halfLife; age -= halfLife {
		h.halve(now.Add(halfLife - age))
	}
}

// halve halves the counts as of now.
func (h *histogram) halve(now time.Time) {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
	h.added, h.decayedAt = 0, now
}

// percentile returns a duration that at most the fraction 1-p of the durations exceed.
func (h *histogram) percentile(p float64) time.Duration {
	left := float32(1-p) * h.total
	i := bucketCount - 1
	for ; i > 0; i-- {
		if left -= h.counts[i]; left < 0 {
			break
		}
	}
	return upperBound(i)
}

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	ms := max(d.Milliseconds(), 0)
	if ms < 8 {
		return int(ms)
	}
	e := bits.Len64(uint64(ms)) - 4
	return min(8*e+int(ms>>e), bucketCount-1)
}

// upperBound returns the end of a bucket.
func upperBound(i int) time.Duration {
	if i < 16 {
		return time.Duration(i+1) * time.Millisecond
	}
	return time.Duration(i%8+9) << (i/8 - 1) * time.Millisecond
}

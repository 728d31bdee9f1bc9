package steerer

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
)

const (
	periodSlices = int64(checker.ShiftPeriod / checker.ShiftSlice)
	windowSlices = int64(checker.ShiftWindow / checker.ShiftSlice)
	ringSlices   = windowSlices + periodSlices + 1
	// meanRateSlices is the number of slices over which meanRate is computed.
	meanRateSlices = int64(8)
)

// slidingCounter counts requests in slices of checker.ShiftSlice, as far back as
// the shift cap needs: a window and the period that ended at its start. The zero
// value is ready for use. It is not safe for concurrent use.
type slidingCounter struct {
	// counts is a ring buffer; index is the number of the newest slice, counted
	// from base.
	counts [ringSlices]uint32
	index  int64
	base   time.Time
	// minPeriodCount is the lowest count of any period that ended in the window
	// before the newest slice.
	minPeriodCount uint64
}

// advance starts the slice of now, which must not go backwards.
func (c *slidingCounter) advance(now time.Time) {
	if c.base.IsZero() {
		c.base = now
	}
	to := int64(now.Sub(c.base) / checker.ShiftSlice)
	if to <= c.index {
		return
	}
	for i := max(c.index+1, to-ringSlices+1); i <= to; i++ {
		c.counts[i%ringSlices] = 0
	}
	c.index = to
	c.minPeriodCount = c.computeMinPeriodCount()
}

// add counts one request in the slice of the last advance.
func (c *slidingCounter) add() { c.counts[c.index%ringSlices]++ }

// periodCount returns the number of requests in the period that ends now, rounded
// up to whole slices.
func (c *slidingCounter) periodCount() uint64 {
	var sum uint64
	for i := range periodSlices + 1 {
		sum += c.count(c.index - i)
	}
	return sum
}

// computeMinPeriodCount returns the lowest count of any period that ended within
// the window, rounded down: a period that starts within a slice contains one whole
// slice less than its length.
func (c *slidingCounter) computeMinPeriodCount() uint64 {
	var sum uint64
	for i := int64(1); i < periodSlices; i++ {
		sum += c.count(c.index - i)
	}
	lowest := sum
	for end := c.index - 1; end >= c.index-windowSlices; end-- {
		sum += c.count(end-periodSlices+1) - c.count(end)
		lowest = min(lowest, sum)
	}
	return lowest
}

// meanRate returns the mean of the last meanRateSlices whole slices, in requests
// a second.
func (c *slidingCounter) meanRate() float64 {
	var sum uint64
	for i := range meanRateSlices {
		sum += c.count(c.index - 1 - i)
	}
	return float64(sum) / (time.Duration(meanRateSlices) * checker.ShiftSlice).Seconds()
}

// count returns the count of a slice, or zero for slices that are not kept.
func (c *slidingCounter) count(slice int64) uint64 {
	if slice < 0 || c.index-slice >= ringSlices {
		return 0
	}
	return uint64(c.counts[slice%ringSlices])
}

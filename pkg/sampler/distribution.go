package sampler

import (
	"cmp"
	"math"
	"slices"
)

// Bucket is the number of values above the previous bucket's bound and up to its own.
type Bucket struct {
	// UpToUs is the bound in microseconds.
	UpToUs int64 `json:"upToUs"`
	Count  int64 `json:"count"`
}

// Distribution is a histogram of durations. The zero value is empty and ready for use.
type Distribution struct {
	Count int64 `json:"count"`
	// SumUs and MaxUs are in microseconds.
	SumUs int64 `json:"sumUs"`
	MaxUs int64 `json:"maxUs"`
	// Buckets lists the buckets that have values, sorted by bound.
	Buckets []Bucket `json:"buckets,omitempty"`
}

// Add returns the distribution of the values of d and o together.
func (d Distribution) Add(o Distribution) Distribution {
	sum := Distribution{Count: d.Count + o.Count, SumUs: d.SumUs + o.SumUs, MaxUs: max(d.MaxUs, o.MaxUs)}
	all := slices.Concat(d.Buckets, o.Buckets)
	slices.SortFunc(all, func(a, b Bucket) int { return cmp.Compare(a.UpToUs, b.UpToUs) })
	for _, b := range all {
		last := len(sum.Buckets) - 1
		if last >= 0 && sum.Buckets[last].UpToUs == b.UpToUs {
			sum.Buckets[last].Count += b.Count
			continue
		}
		sum.Buckets = append(sum.Buckets, b)
	}
	return sum
}

// MeanUs returns the mean in microseconds, or 0 if d is empty.
func (d Distribution) MeanUs() float64 {
	if d.Count == 0 {
		return 0
	}
	return float64(d.SumUs) / float64(d.Count)
}

// PercentileUs returns the p-quantile in microseconds, with p from 0 to 1. The result
// is never too small, and at most 1/16 too large for durations below 134 s.
func (d Distribution) PercentileUs(p float64) int64 {
	rank := max(int64(math.Ceil(p*float64(d.Count))), 1)
	var n int64
	for _, b := range d.Buckets {
		n += b.Count
		if n >= rank {
			return min(b.UpToUs, d.MaxUs)
		}
	}
	return d.MaxUs
}

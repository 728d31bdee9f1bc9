// Package sampler provides a histogram of durations that implements metrics.Sample.
// Unlike a reservoir sample it is lock-free, and the histograms of several hosts can be
// added up.
package sampler

import (
	"math"
	"math/bits"
	"sync/atomic"

	metrics "github.com/rcrowley/go-metrics"
)

const (
	// subBucketBits sets 16 buckets for each power of two, so that the width of a
	// bucket is at most 1/16 of its lower bound.
	subBucketBits = 4
	subBuckets    = 1 << subBucketBits
	// maxValueBits bounds the values that are distinguished: 2^27 microseconds are 134
	// seconds.
	maxValueBits = 27
	bucketCount  = subBuckets * (maxValueBits - subBucketBits + 1)
)

// Sampler is a metrics.Sample of durations in microseconds. The zero value is empty and
// ready for use, and its methods are safe for concurrent use.
type Sampler struct {
	counts [bucketCount]atomic.Int64
	sum    atomic.Int64
	max    atomic.Int64
}

var _ metrics.Sample = (*Sampler)(nil)

// Update adds a value; a negative one counts as zero.
func (s *Sampler) Update(v int64) {
	v = max(v, 0)
	s.counts[bucketIndex(v)].Add(1)
	s.sum.Add(v)
	for {
		old := s.max.Load()
		if v <= old || s.max.CompareAndSwap(old, v) {
			return
		}
	}
}

// bucketIndex returns the bucket of a value. The last bucket takes all larger values.
func bucketIndex(v int64) int {
	if v < subBuckets {
		return int(v)
	}
	shift := bits.Len64(uint64(v)) - subBucketBits - 1
	i := shift*subBuckets + int(v>>shift)
	return min(i, bucketCount-1)
}

// upperEnd returns the largest value of bucket i.
func upperEnd(i int) int64 {
	if i < 2*subBuckets {
		return int64(i)
	}
	shift := i/subBuckets - 1
	return int64(i%subBuckets+subBuckets+1)<<shift - 1
}

// Distribution returns the current histogram. A concurrent Update may be included in
// part.
func (s *Sampler) Distribution() Distribution {
	d := Distribution{SumUs: s.sum.Load(), MaxUs: s.max.Load()}
	for i := range s.counts {
		if n := s.counts[i].Load(); n > 0 {
			d.Count += n
			d.Buckets = append(d.Buckets, Bucket{UpToUs: upperEnd(i), Count: n})
		}
	}
	return d
}

// Clear removes all values.
func (s *Sampler) Clear() {
	for i := range s.counts {
		s.counts[i].Store(0)
	}
	s.sum.Store(0)
	s.max.Store(0)
}

// Count returns the number of values.
func (s *Sampler) Count() int64 {
	var n int64
	for i := range s.counts {
		n += s.counts[i].Load()
	}
	return n
}

// Max returns the largest value.
func (s *Sampler) Max() int64 { return s.max.Load() }

// Min returns the upper end of the lowest bucket that has a value, or 0.
func (s *Sampler) Min() int64 {
	d := s.Distribution()
	if len(d.Buckets) == 0 {
		return 0
	}
	return min(d.Buckets[0].UpToUs, d.MaxUs)
}

// Sum returns the sum of the values.
func (s *Sampler) Sum() int64 { return s.sum.Load() }

// Size returns the number of values.
func (s *Sampler) Size() int { return int(s.Count()) }

// Mean returns the mean of the values, or 0.
func (s *Sampler) Mean() float64 { return s.Distribution().MeanUs() }

// Percentile returns the p-quantile, with p from 0 to 1.
func (s *Sampler) Percentile(p float64) float64 {
	return float64(s.Distribution().PercentileUs(p))
}

// Percentiles returns the quantile for each of ps.
func (s *Sampler) Percentiles(ps []float64) []float64 {
	d := s.Distribution()
	all := make([]float64, len(ps))
	for i, p := range ps {
		all[i] = float64(d.PercentileUs(p))
	}
	return all
}

// Variance returns the variance of the values, approximated by the upper ends of their
// buckets.
func (s *Sampler) Variance() float64 {
	d := s.Distribution()
	if d.Count == 0 {
		return 0
	}
	mean := d.MeanUs()
	var sum float64
	for _, b := range d.Buckets {
		sum += (float64(b.UpToUs) - mean) * (float64(b.UpToUs) - mean) * float64(b.Count)
	}
	return sum / float64(d.Count)
}

// StdDev returns the square root of Variance.
func (s *Sampler) StdDev() float64 { return math.Sqrt(s.Variance()) }

// maxSnapshotValues bounds the number of values in a snapshot.
const maxSnapshotValues = 1024

// Values returns at most maxSnapshotValues values with the same distribution as all
// values.
func (s *Sampler) Values() []int64 {
	d := s.Distribution()
	n := min(d.Count, maxSnapshotValues)
	values := make([]int64, 0, n)
	for i := range n {
		values = append(values, d.PercentileUs((float64(i)+1)/float64(n)))
	}
	return values
}

// Snapshot returns an immutable copy.
func (s *Sampler) Snapshot() metrics.Sample {
	return metrics.NewSampleSnapshot(s.Count(), s.Values())
}

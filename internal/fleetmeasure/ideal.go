package fleetmeasure

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// MeasuredAndIdealP99 returns the p99 latency of the requests that ran, as measured and
// as it would be with a single queue for all slots and the same times at targets. To
// the latter it adds networkDelay, the round-trip time between callers and entry hosts.
func MeasuredAndIdealP99(executions *Executions, all []Sample, slots int, networkDelay time.Duration) (measured, ideal time.Duration) {
	type job struct {
		sent time.Time
		work time.Duration
	}
	var jobs []job
	var measuredLatencies []time.Duration
	for _, s := range all {
		if e, ok := executions.ByID(s.ID); ok && s.Status != 0 {
			jobs = append(jobs, job{s.Sent, e.Ended.Sub(e.Arrived)})
			measuredLatencies = append(measuredLatencies, s.Elapsed)
		}
	}
	slices.SortFunc(jobs, func(a, b job) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
	slotsFreeAt := make(timeHeap, slots)
	idealLatencies := make([]time.Duration, 0, len(jobs))
	for _, j := range jobs {
		start := j.sent
		if slotsFreeAt[0].After(start) {
			start = slotsFreeAt[0]
		}
		end := start.Add(j.work)
		slotsFreeAt[0] = end
		heap.Fix(&slotsFreeAt, 0)
		idealLatencies = append(idealLatencies, end.Sub(j.sent)+networkDelay)
	}
	return percentile(measuredLatencies, 99), percentile(idealLatencies, 99)
}

// timeHeap is a heap of the times at which slots become free.
type timeHeap []time.Time

// Len implements heap.Interface.
func (t timeHeap) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timeHeap) Less(i, j int) bool { return t[i].Before(t[j]) }

// Swap implements heap.Interface.
func (t timeHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timeHeap) Push(x any) { *t = append(*t, x.(time.Time)) } //nolint:forcetypeassert // the heap holds only times

// Pop implements heap.Interface.
func (t *timeHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

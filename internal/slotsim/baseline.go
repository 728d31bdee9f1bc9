package slotsim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// reportInterval is the time between two load reports in RunLeastReported.
const reportInterval = time.Second

// RunIdeal computes the outcome of a single first-come, first-served queue for all
// slots of the fleet. On average, no division of the load over hosts and targets is
// faster.
func RunIdeal(cfg FleetConfig, l Load) *Outcome {
	outcome := newOutcome()
	queue := newMultiServerQueue(cfg.Targets * cfg.Slots)
	for _, a := range l.arrivals(&cfg) {
		queue.serve(a, cfg.Timeout, outcome)
	}
	return outcome
}

// RunRoundRobin computes the outcome if each host sends to the targets in turn.
// Requests queue at the target while all of its slots are in use.
func RunRoundRobin(cfg FleetConfig, l Load) *Outcome {
	outcome := newOutcome()
	targets := newTargetQueues(cfg)
	next := make([]int, cfg.Hosts)
	for _, a := range l.arrivals(&cfg) {
		next[a.host]++
		targets[next[a.host]%len(targets)].serve(a, cfg.Timeout, outcome)
	}
	return outcome
}

// RunLeastReported computes the outcome if each host sends to the target with the
// lowest load at the last report. Requests queue at the target while all of its
// slots are in use.
func RunLeastReported(cfg FleetConfig, l Load) *Outcome {
	outcome := newOutcome()
	targets := newTargetQueues(cfg)
	reported := make([]int, len(targets))
	nextReport := time.Duration(0)
	rng := rand.New(rand.NewPCG(l.Seed, 5))
	for _, a := range l.arrivals(&cfg) {
		for ; nextReport <= a.offset; nextReport += reportInterval {
			for i, t := range targets {
				reported[i] = t.inSystem(nextReport)
			}
		}
		targets[indexOfLeast(reported, rng)].serve(a, cfg.Timeout, outcome)
	}
	return outcome
}

// indexOfLeast returns the index of the smallest number, a random one on a tie.
func indexOfLeast(loads []int, rng *rand.Rand) int {
	best, ties := 0, 0
	for i, n := range loads {
		switch {
		case n < loads[best]:
			best, ties = i, 1
		case n == loads[best]:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// multiServerQueue is a first-come, first-served queue with a number of slots.
type multiServerQueue struct {
	// freeAt is the heap of the times at which the slots become free.
	freeAt finishTimes
	// ends holds the finish times of the requests that wait or run.
	ends []time.Duration
}

func newMultiServerQueue(n int) *multiServerQueue {
	return &multiServerQueue{freeAt: make(finishTimes, n)}
}

func newTargetQueues(cfg FleetConfig) []*multiServerQueue {
	queues := make([]*multiServerQueue, cfg.Targets)
	for i := range queues {
		queues[i] = newMultiServerQueue(cfg.Slots)
	}
	return queues
}

// serve runs one request, or refuses it if it would end after its timeout. Requests
// must be passed in the order of their arrival.
func (q *multiServerQueue) serve(request arrival, timeout time.Duration, outcome *Outcome) {
	began := max(request.offset, q.freeAt[0])
	if began-request.offset+request.Work > timeout {
		outcome.refused[request.Workspace]++
		return
	}
	q.freeAt[0] = began + request.Work
	heap.Fix(&q.freeAt, 0)
	q.ends = append(q.ends, began+request.Work)
	outcome.latencies[request.Workspace] = append(outcome.latencies[request.Workspace], began+request.Work-request.offset)
}

// inSystem returns the number of requests that wait or run. It drops the finished
// ones, so that now must not decrease between calls.
func (q *multiServerQueue) inSystem(now time.Duration) int {
	remaining := q.ends[:0]
	for _, end := range q.ends {
		if end > now {
			remaining = append(remaining, end)
		}
	}
	q.ends = remaining
	return len(remaining)
}

// finishTimes is a min-heap of times.
type finishTimes []time.Duration

// Len implements heap.Interface.
func (t finishTimes) Len() int { return len(t) }

// Less implements heap.Interface.
func (t finishTimes) Less(i, j int) bool { return t[i] < t[j] }

// Swap implements heap.Interface.
func (t finishTimes) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *finishTimes) Push(x any) { *t = append(*t, x.(time.Duration)) }

// Pop implements heap.Interface.
func (t *finishTimes) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

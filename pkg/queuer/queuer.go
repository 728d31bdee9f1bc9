// Package queuer implements the queue of requests that wait for a slot of one
// service on one host. Workspaces are served by deficit round robin in proportion
// to their weights, so that one that floods the queue delays only itself.
//
// A caller sets Limit, adds requests with Push and takes them out with Pop or
// Remove.
package queuer

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// minQuantum is the lowest quantum of a workspace, where that of the heaviest one
// is 1. It bounds the rounds of one Pop.
const minQuantum = 0.01

// Waiter describes a waiting request. Its fields must not change while it waits.
type Waiter struct {
	Workspace ids.Workspace
	// Weight is the workspace's weight when slots are scarce.
	Weight float64
	// Deadline is the request's deadline.
	Deadline time.Time
	// Arrived is when the wait began.
	Arrived time.Time
}

// Queuer is the queue of one service. It is not safe for concurrent use. The zero
// value evicts every waiter until Limit is set.
type Queuer[W any] struct {
	// Limit is the maximum number of waiters.
	Limit int

	flows map[ids.Workspace]*flow[W]
	// active lists the flows that have waiters, in round-robin order.
	active []*flow[W]
	length int
}

// entry is a waiter and the caller's value for it.
type entry[W any] struct {
	Waiter
	value W
}

// flow holds the waiters of one workspace, the oldest first.
type flow[W any] struct {
	workspace ids.Workspace
	weight    float64
	deficit   float64
	// quantumGranted means that the flow got its quantum of the current round.
	quantumGranted bool
	waiters        []entry[W]
}

// Len returns the number of waiters.
func (q *Queuer[W]) Len() int { return q.length }

// Push adds a waiter. If the queue was full, the newest waiter of the workspace
// with the most waiters for its weight is evicted and its value returned; that may
// be the added one.
func (q *Queuer[W]) Push(w Waiter, value W) (out W, evicted bool) {
	f := q.activate(w)
	f.waiters = append(f.waiters, entry[W]{Waiter: w, value: value})
	q.length++
	if q.length <= q.Limit {
		return out, false
	}
	longest := q.mostOverShare()
	last := len(longest.waiters) - 1
	out = longest.waiters[last].value
	q.removeAt(longest, last)
	return out, true
}

// activate returns the flow of w's workspace, which it adds if necessary, and sets
// its weight.
func (q *Queuer[W]) activate(w Waiter) *flow[W] {
	if q.flows == nil {
		q.flows = make(map[ids.Workspace]*flow[W])
	}
	f := q.flows[w.Workspace]
	if f == nil {
		f = &flow[W]{workspace: w.Workspace}
		q.flows[w.Workspace] = f
		q.active = append(q.active, f)
	}
	f.weight = w.Weight
	return f
}

// mostOverShare returns the flow with the most waiters for its weight.
func (q *Queuer[W]) mostOverShare() *flow[W] {
	return slices.MaxFunc(q.active, func(a, b *flow[W]) int {
		return compare(float64(len(a.waiters))*b.effectiveWeight(), float64(len(b.waiters))*a.effectiveWeight())
	})
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// effectiveWeight returns the weight, but at least minQuantum.
func (f *flow[W]) effectiveWeight() float64 { return max(f.weight, minQuantum) }

// Pop removes the next waiter for which accept returns true, and returns its
// value. It offers the oldest waiter of each workspace at most once, in round-robin
// order. It returns false, with the queue unchanged, if none is accepted.
func (q *Queuer[W]) Pop(accept func(v W) bool) (v W, ok bool) {
	before := q.saveState()
	if v, ok = q.pop(accept); !ok {
		q.restoreState(before)
	}
	return v, ok
}

// flowState is the round-robin state of one flow.
type flowState[W any] struct {
	flow           *flow[W]
	deficit        float64
	quantumGranted bool
}

// saveState returns the round-robin state, for restoreState.
func (q *Queuer[W]) saveState() []flowState[W] {
	all := make([]flowState[W], len(q.active))
	for i, f := range q.active {
		all[i] = flowState[W]{flow: f, deficit: f.deficit, quantumGranted: f.quantumGranted}
	}
	return all
}

func (q *Queuer[W]) restoreState(all []flowState[W]) {
	for i, t := range all {
		q.active[i] = t.flow
		t.flow.deficit = t.deficit
		t.flow.quantumGranted = t.quantumGranted
	}
}

// pop is Pop, but advances the round robin even if no waiter is accepted.
func (q *Queuer[W]) pop(accept func(v W) bool) (v W, ok bool) {
	heaviest := 0.0
	for _, f := range q.active {
		heaviest = max(heaviest, f.effectiveWeight())
	}
	rejected := make(map[*flow[W]]bool)
	for len(rejected) < len(q.active) {
		f := q.active[0]
		if !f.quantumGranted {
			f.quantumGranted = true
			f.deficit += max(f.effectiveWeight()/heaviest, minQuantum)
		}
		if f.deficit < 1 || rejected[f] {
			q.rotate()
			continue
		}
		if v = f.waiters[0].value; !accept(v) {
			rejected[f] = true
			q.rotate()
			continue
		}
		f.deficit--
		q.removeAt(f, 0)
		return v, true
	}
	return v, false
}

// rotate ends the turn of the first flow.
func (q *Queuer[W]) rotate() {
	f := q.active[0]
	f.quantumGranted = false
	// A flow that could not be served must not accumulate more than one turn.
	f.deficit = min(f.deficit, 1)
	copy(q.active, q.active[1:])
	q.active[len(q.active)-1] = f
}

// Remove removes the workspace's oldest waiter for which match returns true, and
// reports whether there was one.
func (q *Queuer[W]) Remove(ws ids.Workspace, match func(v W) bool) bool {
	f := q.flows[ws]
	if f == nil {
		return false
	}
	i := slices.IndexFunc(f.waiters, func(e entry[W]) bool { return match(e.value) })
	if i < 0 {
		return false
	}
	q.removeAt(f, i)
	return true
}

// removeAt removes one waiter, and its flow if none is left.
func (q *Queuer[W]) removeAt(f *flow[W], i int) {
	f.waiters = slices.Delete(f.waiters, i, i+1)
	q.length--
	if len(f.waiters) > 0 {
		return
	}
	delete(q.flows, f.workspace)
	at := slices.Index(q.active, f)
	q.active = slices.Delete(q.active, at, at+1)
}

// Ahead estimates, by the weights, how many waiters would be served before a new
// one of the workspace.
func (q *Queuer[W]) Ahead(ws ids.Workspace, weight float64) int {
	own := 0
	if f := q.flows[ws]; f != nil {
		own = len(f.waiters)
	}
	share := max(weight, minQuantum)
	ahead := own
	for _, f := range q.active {
		if f.workspace == ws {
			continue
		}
		served := float64(own+1) * f.effectiveWeight() / share
		ahead += int(min(float64(len(f.waiters)), served))
	}
	return ahead
}

package queuer_test

import (
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/queuer"
)

func acceptAll(string) bool { return true }

func push(q *queuer.Queuer[string], ws ids.Workspace, weight float64, n int) {
	for range n {
		q.Push(queuer.Waiter{Workspace: ws, Weight: weight}, string(ws))
	}
}

func TestServesByWeight(t *testing.T) {
	is := is.New(t)
	q := &queuer.Queuer[string]{Limit: 1000}
	push(q, "large", 30, 300)
	push(q, "small", 10, 300)
	got := map[string]int{}
	for range 200 {
		ws, ok := q.Pop(acceptAll)
		is.True(ok)
		got[ws]++
	}
	is.True(got["small"] >= 49 && got["small"] <= 51) // a quarter
}

func TestPopWithoutAcceptanceKeepsTheRoundRobinState(t *testing.T) {
	is := is.New(t)
	q := &queuer.Queuer[string]{Limit: 1000}
	push(q, "flood", 1, 300)
	push(q, "calm", 1, 300)
	got := map[string]int{}
	for range 100 {
		ws, _ := q.Pop(acceptAll)
		got[ws]++
		_, ok := q.Pop(func(string) bool { return false }) // as if no slot were free
		is.True(!ok)
	}
	is.Equal(got["calm"], 50)
}

func TestFullQueueEvictsFromTheLargestWorkspace(t *testing.T) {
	is := is.New(t)
	q := &queuer.Queuer[string]{Limit: 10}
	push(q, "flood", 1, 10)
	out, evicted := q.Push(queuer.Waiter{Workspace: "calm", Weight: 1}, "calm")
	is.True(evicted)
	is.Equal(out, "flood") // a waiter of flood is evicted for the one of calm
	out, evicted = q.Push(queuer.Waiter{Workspace: "flood", Weight: 1}, "flood")
	is.True(evicted)
	is.Equal(out, "flood")
	is.Equal(q.Len(), 10)
	is.Equal(q.Ahead("calm", 1), 3) // its own waiter and two of flood
	first, _ := q.Pop(acceptAll)
	second, _ := q.Pop(acceptAll)
	is.True(first == "calm" || second == "calm") // at most one of flood is served before
}

func TestRejectedWaiterDoesNotBlockOthers(t *testing.T) {
	is := is.New(t)
	q := &queuer.Queuer[string]{Limit: 10}
	push(q, "a", 1, 1)
	push(q, "b", 0.001, 1)
	got, ok := q.Pop(func(v string) bool { return v != "a" })
	is.True(ok)
	is.Equal(got, "b")
	_, ok = q.Pop(func(string) bool { return false })
	is.True(!ok)
	is.True(q.Remove("a", acceptAll))
	is.True(!q.Remove("a", acceptAll))
	is.Equal(q.Len(), 0)
	_, ok = q.Pop(acceptAll)
	is.True(!ok)
}

func TestRandomisedNoWaiterIsLostOrReordered(t *testing.T) {
	rng := seeds.NewRand(t)
	is := is.New(t)
	type item struct {
		ws     ids.Workspace
		number int
	}
	q := &queuer.Queuer[item]{Limit: 50}
	names := []ids.Workspace{"a", "b", "c", "d"}
	last := map[ids.Workspace]int{}
	in, out := 0, 0
	for i := range 200_000 {
		ws := names[rng.IntN(len(names))]
		if rng.IntN(2) == 0 {
			in++
			if _, evicted := q.Push(queuer.Waiter{Workspace: ws, Weight: float64(rng.IntN(4))}, item{ws, i + 1}); evicted {
				out++
			}
		} else if v, ok := q.Pop(func(item) bool { return rng.IntN(10) > 0 }); ok {
			out++
			is.True(v.number > last[v.ws]) // the waiters of a workspace keep their order
			last[v.ws] = v.number
		}
		is.Equal(in-out, q.Len())
		is.True(q.Len() <= q.Limit)
	}
}

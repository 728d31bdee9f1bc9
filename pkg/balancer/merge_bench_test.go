package balancer_test

import (
	"fmt"
	"testing"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

// BenchmarkMerge measures Merge of one message from another host, with 500 targets.
func BenchmarkMerge(b *testing.B) {
	bal := balancer.New(balancer.Config{Zone: "e1", Regions: regions})
	var all []registrar.Target
	for i := range 500 {
		all = append(all, registrar.Target{ID: ids.Target(fmt.Sprint(i)), Service: "s", Zone: "e1", Slots: slots, Address: fmt.Sprint(i)})
	}
	bal.SetTargets(all)
	for i := range 10 {
		if _, err := bal.Pick(request(fmt.Sprint(i))); err != nil {
			b.Fatal(err)
		}
	}
	inFlight := bal.InFlight()
	dispatches, _ := bal.Dispatches(0, 5)
	b.ReportAllocs()
	for b.Loop() {
		bal.Merge("peer", inFlight, dispatches)
	}
}

// BenchmarkPick measures Pick with 300 targets.
func BenchmarkPick(b *testing.B) {
	bal, _ := newBalancer(100, "e1", "e2", "w1")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c, err := bal.Pick(request(fmt.Sprint(i % 100)))
		if err != nil {
			b.Fatal(err)
		}
		c.Done(balancer.Result{Answered: true})
	}
}

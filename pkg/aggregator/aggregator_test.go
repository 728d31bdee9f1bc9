package aggregator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/aggregator"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

// startTime is the time at the start of each test.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(inFlight int, admitted uint64, demand float64, dispatches ...balancer.Dispatch) *aggregator.Report {
	return &aggregator.Report{
		Ready: true, Dispatches: dispatches,
		InFlight: []balancer.InFlight{{Target: 7, Count: inFlight}},
		Usages:   []throttler.Usage{{Workspace: 1, Admitted: admitted, Demand: demand}},
	}
}

func TestReportsAreSummed(t *testing.T) {
	is := is.New(t)
	var agg aggregator.Aggregator
	agg.AddReport("a", report(2, 100, 3), startTime) // requests before the first report are not counted
	agg.AddReport("b", report(3, 0, 4), startTime)
	agg.AddReport("a", report(1, 105, 3), startTime)
	agg.AddReport("b", report(4, 7, 4), startTime)
	summary := agg.Summary(startTime)
	is.Equal(len(summary.Hosts), 2)
	is.Equal(summary.InFlight, []balancer.InFlight{{Target: 7, Count: 5}})
	is.Equal(summary.Usages, []throttler.Usage{{Workspace: 1, Admitted: 12, Demand: 7}})
}

// A host that stops reporting no longer counts but is still listed, with its age.
func TestSilentHostIsListedButNotCounted(t *testing.T) {
	is := is.New(t)
	var agg aggregator.Aggregator
	agg.AddReport("a", report(2, 0, 3), startTime)
	agg.AddReport("a", report(2, 5, 3), startTime)
	later := startTime.Add(2 * time.Second)
	summary := agg.Summary(later)
	is.Equal(len(summary.InFlight), 0)
	is.Equal(len(summary.Hosts), 1)
	is.Equal(summary.Hosts[0].Age, 2*time.Second)
	agg.AddReport("a", report(2, 9, 3), later) // reports again within hostRetention
	is.Equal(agg.Summary(later).Usages[0].Admitted, uint64(9))
	is.Equal(len(agg.Summary(later.Add(time.Minute)).Hosts), 0)
}

func TestDispatchesAreReturnedOnce(t *testing.T) {
	is := is.New(t)
	var agg aggregator.Aggregator
	agg.AddReport("a", report(1, 0, 0, balancer.Dispatch{Target: 7, Object: 1}), startTime)
	agg.AddReport("b", report(1, 0, 0, balancer.Dispatch{Target: 8, Object: 2}), startTime)
	dispatches, next := agg.Dispatches(0, 10)
	is.Equal(dispatches, []balancer.Dispatch{{Target: 7, Object: 1}, {Target: 8, Object: 2}})
	dispatches, next = agg.Dispatches(next, 10)
	is.Equal(len(dispatches), 0)
	for range 5000 {
		agg.AddReport("a", report(1, 0, 0, balancer.Dispatch{Target: 9, Object: 3}), startTime)
	}
	dispatches, next = agg.Dispatches(next, 10)
	is.Equal(len(dispatches), 10) // the newest ones
	dispatches, _ = agg.Dispatches(next, 10)
	is.Equal(len(dispatches), 0)
}

package aggregator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/aggregator"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

// begun is when the tests begin.
var begun = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(running int, admitted uint64, demand float64, starts ...balancer.Dispatch) *aggregator.Report {
	return &aggregator.Report{
		Ready: true, Starts: starts,
		Running: []balancer.InFlight{{Target: 7, Count: running}},
		Usages:  []throttler.Usage{{Workspace: 1, Admitted: admitted, Demand: demand}},
	}
}

func TestReportsAddUp(t *testing.T) {
	is := is.New(t)
	var s aggregator.Summarizer
	s.Take("a", report(2, 100, 3), begun) // what it admitted before counts for nothing
	s.Take("b", report(3, 0, 4), begun)
	s.Take("a", report(1, 105, 3), begun)
	s.Take("b", report(4, 7, 4), begun)
	sum := s.Sum(begun)
	is.Equal(len(sum.Hosts), 2)
	is.Equal(sum.Running, []balancer.InFlight{{Target: 7, Count: 5}})
	is.Equal(sum.Usages, []throttler.Usage{{Workspace: 1, Admitted: 12, Demand: 7}})
}

// A host that says nothing more counts no longer, and is still named with its age.
func TestSilentHostCountsNoLonger(t *testing.T) {
	is := is.New(t)
	var s aggregator.Summarizer
	s.Take("a", report(2, 0, 3), begun)
	s.Take("a", report(2, 5, 3), begun)
	later := begun.Add(2 * time.Second)
	sum := s.Sum(later)
	is.Equal(len(sum.Running), 0)
	is.Equal(len(sum.Hosts), 1)
	is.Equal(sum.Hosts[0].Age, 2*time.Second)
	s.Take("a", report(2, 9, 3), later) // it was only silent
	is.Equal(s.Sum(later).Usages[0].Admitted, uint64(9))
	is.Equal(len(s.Sum(later.Add(time.Minute)).Hosts), 0)
}

func TestStartsAreToldOnce(t *testing.T) {
	is := is.New(t)
	var s aggregator.Summarizer
	s.Take("a", report(1, 0, 0, balancer.Dispatch{Target: 7, Object: 1}), begun)
	s.Take("b", report(1, 0, 0, balancer.Dispatch{Target: 8, Object: 2}), begun)
	starts, next := s.Starts(0, 10)
	is.Equal(starts, []balancer.Dispatch{{Target: 7, Object: 1}, {Target: 8, Object: 2}})
	starts, next = s.Starts(next, 10)
	is.Equal(len(starts), 0)
	for range 5000 {
		s.Take("a", report(1, 0, 0, balancer.Dispatch{Target: 9, Object: 3}), begun)
	}
	starts, next = s.Starts(next, 10)
	is.Equal(len(starts), 10) // the last ones
	starts, _ = s.Starts(next, 10)
	is.Equal(len(starts), 0)
}

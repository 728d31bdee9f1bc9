package demo

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// Latency compares the latencies that callers of a service or workspace saw with the
// times at targets. Times are in milliseconds.
type Latency struct {
	Name     string `json:"name"`
	Calls    int    `json:"calls"`
	Answered int    `json:"answered"`
	// P50Ms and P99Ms are those of answered calls, including retries and the waits that
	// refusals asked for.
	P50Ms       float64 `json:"p50Ms"`
	P99Ms       float64 `json:"p99Ms"`
	TargetP50Ms float64 `json:"targetP50Ms"`
	TargetP99Ms float64 `json:"targetP99Ms"`
	// AddedP50Ms and AddedP99Ms are those of single requests that ran: the time until
	// the response header minus the time at the target. They include the network's
	// delays.
	AddedP50Ms float64 `json:"addedP50Ms"`
	AddedP99Ms float64 `json:"addedP99Ms"`
}

// groupBy returns the name of the group of a call and of a request at a target.
type groupBy struct {
	call          func(c *call) string
	targetRequest func(w *target.RequestRecord) string
}

func serviceLatencies(r *records) []Latency {
	locations := targetLocations(r)
	g := groupBy{
		call:          func(c *call) string { return string(c.service) },
		targetRequest: func(w *target.RequestRecord) string { return string(locations[w.Target].service) },
	}
	names := make([]string, 0, len(r.document.Services))
	for i := range r.document.Services {
		names = append(names, string(r.document.Services[i].Name))
	}
	return latenciesOf(r, names, g)
}

func workspaceLatencies(r *records) []Latency {
	g := groupBy{
		call:          func(c *call) string { return string(c.workspace) },
		targetRequest: func(w *target.RequestRecord) string { return w.Workspace },
	}
	var names []string
	for _, ws := range workspacesOf(r) {
		names = append(names, string(ws))
	}
	return latenciesOf(r, names, g)
}

func latenciesOf(r *records, names []string, g groupBy) []Latency {
	calls := make(map[string]int)
	answered := make(map[string][]time.Duration)
	for i := range r.calls {
		c := &r.calls[i]
		name := g.call(c)
		calls[name]++
		if c.answered() {
			answered[name] = append(answered[name], c.endedAt.Sub(c.startedAt))
		}
	}
	atTarget := make(map[string][]time.Duration)
	added := make(map[string][]time.Duration)
	attempts := attemptsByID(r)
	for i := range r.targetRequests {
		req := &r.targetRequests[i]
		if !req.Ran {
			continue
		}
		name, took := g.targetRequest(req), req.Ended.Sub(req.Arrived)
		atTarget[name] = append(atTarget[name], took)
		if a := attempts[req.RequestID]; a != nil && a.outcome == refusal.Ran {
			added[name] = append(added[name], a.headerAt.Sub(a.sentAt)-took)
		}
	}
	all := make([]Latency, 0, len(names))
	for _, name := range names {
		l := Latency{Name: name, Calls: calls[name], Answered: len(answered[name])}
		l.P50Ms, l.P99Ms = p50p99(answered[name])
		l.TargetP50Ms, l.TargetP99Ms = p50p99(atTarget[name])
		l.AddedP50Ms, l.AddedP99Ms = p50p99(added[name])
		all = append(all, l)
	}
	return all
}

// p50p99 sorts the times and returns their 50th and 99th percentiles in milliseconds,
// or zeros without times.
func p50p99(times []time.Duration) (p50, p99 float64) {
	slices.Sort(times)
	return ms(quantile(times, 0.5)), ms(quantile(times, 0.99))
}

// quantile returns the q-quantile of sorted times, or zero without times.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// ms returns d in milliseconds, rounded to hundredths.
func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

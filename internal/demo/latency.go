package demo

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// Latency compares the times that callers of one service or workspace saw
// with the times at targets.
type Latency struct {
	Name     string `json:"name"`
	Calls    int    `json:"calls"`
	Answered int    `json:"answered"`
	// P50Ms and P99Ms are of answered calls, their retries and the waits that
	// refusals asked for included.
	P50Ms       float64 `json:"p50Ms"`
	P99Ms       float64 `json:"p99Ms"`
	TargetP50Ms float64 `json:"targetP50Ms"`
	TargetP99Ms float64 `json:"targetP99Ms"`
	// AddedP50Ms and AddedP99Ms are of single requests that ran: the time until
	// the answer's head less that request's own time at its target, so that the
	// network's delays are in it.
	AddedP50Ms float64 `json:"addedP50Ms"`
	AddedP99Ms float64 `json:"addedP99Ms"`
}

// grouping names the group that a call and a work belong to.
type grouping struct {
	call func(c *call) string
	work func(w *target.RequestRecord) string
}

func serviceLatencies(r *records) []Latency {
	places := placesOf(r)
	g := grouping{
		call: func(c *call) string { return string(c.service) },
		work: func(w *target.RequestRecord) string { return string(places[w.Target].service) },
	}
	names := make([]string, 0, len(r.document.Services))
	for i := range r.document.Services {
		names = append(names, string(r.document.Services[i].Name))
	}
	return latenciesOf(r, names, g)
}

func workspaceLatencies(r *records) []Latency {
	g := grouping{
		call: func(c *call) string { return string(c.workspace) },
		work: func(w *target.RequestRecord) string { return w.Workspace },
	}
	var names []string
	for _, ws := range workspacesOf(r) {
		names = append(names, string(ws))
	}
	return latenciesOf(r, names, g)
}

func latenciesOf(r *records, names []string, g grouping) []Latency {
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
	for i := range r.works {
		w := &r.works[i]
		if !w.Ran {
			continue
		}
		name, took := g.work(w), w.Ended.Sub(w.Arrived)
		atTarget[name] = append(atTarget[name], took)
		if a := attempts[w.RequestID]; a != nil && a.outcome == refusal.Ran {
			added[name] = append(added[name], a.headAt.Sub(a.sentAt)-took)
		}
	}
	all := make([]Latency, 0, len(names))
	for _, name := range names {
		l := Latency{Name: name, Calls: calls[name], Answered: len(answered[name])}
		l.P50Ms, l.P99Ms = quantiles(answered[name])
		l.TargetP50Ms, l.TargetP99Ms = quantiles(atTarget[name])
		l.AddedP50Ms, l.AddedP99Ms = quantiles(added[name])
		all = append(all, l)
	}
	return all
}

// quantiles returns the 50th and 99th percentile in milliseconds, zero of no times.
func quantiles(times []time.Duration) (p50, p99 float64) {
	slices.Sort(times)
	return ms(quantile(times, 0.5)), ms(quantile(times, 0.99))
}

// quantile returns a quantile of sorted times, zero of none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// ms returns a time in milliseconds, to a hundredth.
func ms(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

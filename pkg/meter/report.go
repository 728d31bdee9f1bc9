package meter

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/sampler"
)

// Report counts requests by workspace, service, region and outcome since one or
// several hosts started.
type Report struct {
	// Since is when the counting started; for several hosts, the latest start.
	Since time.Time `json:"since"`
	// Rows is sorted by workspace, service, region, outcome and code.
	Rows []Row `json:"rows"`
	// Workspaces and Services hold the latencies of answered requests, sorted by
	// name.
	Workspaces []Latencies `json:"workspaces"`
	Services   []Latencies `json:"services"`
}

// Row counts the requests of one workspace to one service that were served by one
// region with one outcome.
type Row struct {
	Workspace ids.Workspace   `json:"workspace"`
	Service   ids.Service     `json:"service"`
	Region    ids.Region      `json:"region"`
	Outcome   refusal.Outcome `json:"outcome"`
	// Code is the reason for refused requests; empty for answered ones.
	Code  refusal.Code `json:"code,omitempty"`
	Count int64        `json:"count"`
}

// Latencies holds the latency distributions of the answered requests of one
// workspace or service.
type Latencies struct {
	Name string `json:"name"`
	// Latency is the total time, TargetLatency the time until the target's response
	// header, and Waited the time spent waiting for tokens and slots.
	Latency       sampler.Distribution `json:"latency"`
	TargetLatency sampler.Distribution `json:"atTarget"`
	Waited        sampler.Distribution `json:"waited"`
}

// Report returns the current counts.
func (m *Meter) Report() Report {
	r := Report{Since: m.since, Rows: []Row{}}
	for k, n := range m.rows.all() {
		r.Rows = append(r.Rows, Row{
			Workspace: k.workspace, Service: k.service, Region: k.region,
			Outcome: k.outcome, Code: k.code, Count: n.Load(),
		})
	}
	slices.SortFunc(r.Rows, compareRows)
	r.Workspaces = latenciesOf(m.workspaces.all())
	r.Services = latenciesOf(m.services.all())
	return r
}

func latenciesOf[K ~string](all map[K]*samplers) []Latencies {
	latencies := make([]Latencies, 0, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		s := all[name]
		latencies = append(latencies, Latencies{
			Name:          string(name),
			Latency:       s.latency.Distribution(),
			TargetLatency: s.targetLatency.Distribution(),
			Waited:        s.waited.Distribution(),
		})
	}
	return latencies
}

func compareRows(a, b Row) int {
	return cmp.Or(
		strings.Compare(string(a.Workspace), string(b.Workspace)),
		strings.Compare(string(a.Service), string(b.Service)),
		strings.Compare(string(a.Region), string(b.Region)),
		strings.Compare(string(a.Outcome), string(b.Outcome)),
		strings.Compare(string(a.Code), string(b.Code)),
	)
}

// Add returns the sum of two reports, such as those of two hosts.
func (r Report) Add(o Report) Report {
	sum := Report{Since: r.Since, Rows: []Row{}}
	if o.Since.After(r.Since) {
		sum.Since = o.Since
	}
	rows := slices.Concat(r.Rows, o.Rows)
	slices.SortStableFunc(rows, compareRows)
	for _, row := range rows {
		last := len(sum.Rows) - 1
		if last >= 0 && compareRows(sum.Rows[last], row) == 0 {
			sum.Rows[last].Count += row.Count
			continue
		}
		sum.Rows = append(sum.Rows, row)
	}
	sum.Workspaces = addLatencies(r.Workspaces, o.Workspaces)
	sum.Services = addLatencies(r.Services, o.Services)
	return sum
}

func addLatencies(a, b []Latencies) []Latencies {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y Latencies) int { return strings.Compare(x.Name, y.Name) })
	sum := make([]Latencies, 0, len(all))
	for _, t := range all {
		last := len(sum) - 1
		if last < 0 || sum[last].Name != t.Name {
			sum = append(sum, t)
			continue
		}
		sum[last].Latency = sum[last].Latency.Add(t.Latency)
		sum[last].TargetLatency = sum[last].TargetLatency.Add(t.TargetLatency)
		sum[last].Waited = sum[last].Waited.Add(t.Waited)
	}
	return sum
}

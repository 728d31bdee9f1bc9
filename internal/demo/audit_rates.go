package demo

import (
	"math"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// limit is a workspace's rate and burst from a time on.
type limit struct {
	from  time.Time
	rate  float64
	burst float64
}

// limitsOf returns the limits that a workspace had over the run, in order. A
// wider limit counts from when its change was sent, as hosts may use it from
// then on; a narrower one from when all hosts must use it.
func limitsOf(r *records, ws ids.Workspace) []limit {
	now := limitUnder(r.document, "ordinary", ws)
	all := []limit{now}
	for _, c := range r.changes {
		if c.kind != changePreset || c.err != "" {
			continue
		}
		next := limitUnder(r.document, ids.Preset(c.name), ws)
		next.from = c.sentAt
		if next.rate < now.rate {
			next.from = everywhereAt(r, c)
		}
		all = append(all, next)
		now = next
	}
	return all
}

// everywhereAt returns when the last live host had a change in force, at most
// the bound after it was accepted.
func everywhereAt(r *records, c change) time.Time {
	latest := c.acceptedAt
	bound := c.acceptedAt.Add(inForceWithin)
	for _, h := range sightedHosts(r) {
		at, ok := inForceAt(r, h, c.revision)
		if !ok || at.After(bound) {
			return bound
		}
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// limitUnder returns a workspace's rate and burst under a preset.
func limitUnder(doc *config.Document, preset ids.Preset, ws ids.Workspace) limit {
	copied := *doc
	copied.Preset = preset
	w, ok := config.NewSnapshot(1, &copied).Workspace(ws)
	if !ok {
		return limit{}
	}
	return limit{rate: w.Rate, burst: float64(w.Burst)}
}

// admission is one request that was admitted at some time between its sending
// and its first arrival at a target.
type admission struct {
	sent, arrived time.Time
}

// auditRates judges for every stretch of time that no workspace had more
// requests admitted in it than its burst and its rate times the stretch. Only
// requests that were both sent and had arrived within the stretch count for it:
// they were certainly admitted in it, so that no allowance is needed.
func auditRates(r *records) Promise {
	f := newFinding("no workspace gets more than its rate and burst over all hosts together")
	admitted := admissionsOf(r)
	pressed := 0
	for _, ws := range workspacesOf(r) {
		all := admitted[ws]
		f.observations += len(all)
		over, at := excess(all, limitsOf(r, ws))
		if over > 0 {
			f.broke("workspace %s had %.0f requests over its rate and burst in the %v after %v", ws, math.Ceil(over),
				at.arrived.Sub(at.sent).Round(time.Millisecond), at.sent.Sub(r.began).Round(time.Millisecond))
		}
	}
	for i := range r.attempts {
		if r.attempts[i].code == refusal.CodeRateExceeded {
			pressed++
		}
	}
	// Without a refusal nobody came near the limit, and nothing can be said.
	f.observations = min(f.observations, pressed)
	return f.promise("%d refusals by rate", pressed)
}

// admissionsOf returns the requests that reached targets, by the workspace for
// which they did. A request with a withdrawn key may reach one on an open route,
// as one without a key.
func admissionsOf(r *records) map[ids.Workspace][]admission {
	first := firstWorks(r)
	all := make(map[ids.Workspace][]admission)
	for i := range r.attempts {
		a := &r.attempts[i]
		w := first[a.id]
		if w != nil && w.Workspace != "" {
			ws := ids.Workspace(w.Workspace)
			all[ws] = append(all[ws], admission{sent: a.sentAt, arrived: w.Arrived})
		}
	}
	return all
}

// firstWorks returns the first work of each request that reached a target.
func firstWorks(r *records) map[string]*target.RequestRecord {
	first := make(map[string]*target.RequestRecord)
	for i := range r.works {
		w := &r.works[i]
		if f := first[w.RequestID]; f == nil || w.Arrived.Before(f.Arrived) {
			first[w.RequestID] = w
		}
	}
	return first
}

// excess returns by how much the worst stretch exceeds the limits, and the
// stretch; zero or less if none does.
func excess(all []admission, limits []limit) (float64, admission) {
	all = slices.SortedFunc(slices.Values(all), func(a, b admission) int { return a.arrived.Compare(b.arrived) })
	starts := make([]time.Time, 0, len(all))
	for _, a := range all {
		starts = append(starts, a.sent)
	}
	slices.SortFunc(starts, func(a, b time.Time) int { return a.Compare(b) })
	worst := math.Inf(-1)
	var where admission
	for i, start := range starts {
		if i > 0 && start.Equal(starts[i-1]) {
			continue
		}
		n := 0
		for _, a := range all {
			if a.sent.Before(start) {
				continue
			}
			n++
			if float64(n) <= worst {
				continue // It cannot be worse, whatever the limit.
			}
			if over := float64(n) - allowance(limits, start, a.arrived); over > worst {
				worst = over
				where = admission{sent: start, arrived: a.arrived}
			}
		}
	}
	return worst, where
}

// allowance returns the requests that the limits allow between two times: the
// widest burst in force and the rates over the time.
func allowance(limits []limit, from, until time.Time) float64 {
	var burst, sum float64
	for i, l := range limits {
		begin, end := l.from, until
		if i+1 < len(limits) && limits[i+1].from.Before(end) {
			end = limits[i+1].from
		}
		if begin.Before(from) {
			begin = from
		}
		if end.Before(begin) || i+1 < len(limits) && limits[i+1].from.Before(from) {
			continue
		}
		burst = max(burst, l.burst)
		sum += l.rate * end.Sub(begin).Seconds()
	}
	return burst + sum
}

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

// limit is a workspace's rate, in requests per second, and burst, in requests, from a
// time on.
type limit struct {
	from  time.Time
	rate  float64
	burst float64
}

// limitsInForce returns the limits that a workspace had over the run, in order. A
// higher limit counts from when its change was sent, because hosts may use it from
// then on; a lower one from when all hosts must use it.
func limitsInForce(r *records, ws ids.Workspace) []limit {
	now := limitWithPreset(r.document, "ordinary", ws)
	all := []limit{now}
	for _, c := range r.changes {
		if c.kind != changePreset || c.err != "" {
			continue
		}
		next := limitWithPreset(r.document, ids.Preset(c.name), ws)
		next.from = c.sentAt
		if next.rate < now.rate {
			next.from = inForceEverywhereAt(r, c)
		}
		all = append(all, next)
		now = next
	}
	return all
}

// inForceEverywhereAt returns when a change was in force on the last host, but at
// most maxInForceDelay after it was accepted.
func inForceEverywhereAt(r *records, c change) time.Time {
	latest := c.acceptedAt
	bound := c.acceptedAt.Add(maxInForceDelay)
	for _, h := range observedHosts(r) {
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

// limitWithPreset returns a workspace's rate and burst with a preset.
func limitWithPreset(doc *config.Document, preset ids.Preset, ws ids.Workspace) limit {
	copied := *doc
	copied.Preset = preset
	w, ok := config.NewSnapshot(1, &copied).Workspace(ws)
	if !ok {
		return limit{}
	}
	return limit{rate: w.Rate, burst: float64(w.Burst)}
}

// admission is a request that was admitted at some time between earliest, when it was
// sent, and latest, when it first arrived at a target.
type admission struct {
	earliest, latest time.Time
}

// auditRates checks that in no time interval more requests of a workspace were
// admitted than its burst plus its rate times the interval. Only requests that were
// both sent and arrived within an interval count in it. They were certainly admitted
// in it, so no tolerance is needed.
func auditRates(r *records) Promise {
	check := newPromiseCheck("no workspace gets more than its rate and burst over all hosts together")
	admitted := admissionsOf(r)
	refusals := 0
	for _, ws := range workspacesOf(r) {
		all := admitted[ws]
		check.observations += len(all)
		over, interval := maxExcess(all, limitsInForce(r, ws))
		if over > 0 {
			check.fail("workspace %s had %.0f requests over its rate and burst in the %v after %v", ws, math.Ceil(over),
				interval.latest.Sub(interval.earliest).Round(time.Millisecond), interval.earliest.Sub(r.loadStart).Round(time.Millisecond))
		}
	}
	for i := range r.attempts {
		if r.attempts[i].code == refusal.CodeRateExceeded {
			refusals++
		}
	}
	// Without a refusal no workspace reached its limit, so the promise was not tested.
	check.observations = min(check.observations, refusals)
	return check.result("%d refusals by rate", refusals)
}

// admissionsOf returns the requests that reached targets, by the workspace in the
// target's record. On an open route, a request with a revoked key may reach a target
// without a workspace.
func admissionsOf(r *records) map[ids.Workspace][]admission {
	first := firstTargetRequests(r)
	all := make(map[ids.Workspace][]admission)
	for i := range r.attempts {
		a := &r.attempts[i]
		req := first[a.id]
		if req != nil && req.Workspace != "" {
			ws := ids.Workspace(req.Workspace)
			all[ws] = append(all[ws], admission{earliest: a.sentAt, latest: req.Arrived})
		}
	}
	return all
}

// firstTargetRequests returns, by request ID, the first arrival of each request at a
// target.
func firstTargetRequests(r *records) map[string]*target.RequestRecord {
	first := make(map[string]*target.RequestRecord)
	for i := range r.targetRequests {
		req := &r.targetRequests[i]
		if f := first[req.RequestID]; f == nil || req.Arrived.Before(f.Arrived) {
			first[req.RequestID] = req
		}
	}
	return first
}

// maxExcess returns the largest number of requests over the limits in any time
// interval, and that interval. The number is not positive if the limits were kept.
func maxExcess(all []admission, limits []limit) (float64, admission) {
	all = slices.SortedFunc(slices.Values(all), func(a, b admission) int { return a.latest.Compare(b.latest) })
	starts := make([]time.Time, 0, len(all))
	for _, a := range all {
		starts = append(starts, a.earliest)
	}
	slices.SortFunc(starts, func(a, b time.Time) int { return a.Compare(b) })
	worst := math.Inf(-1)
	var interval admission
	for i, start := range starts {
		if i > 0 && start.Equal(starts[i-1]) {
			continue
		}
		n := 0
		for _, a := range all {
			if a.earliest.Before(start) {
				continue
			}
			n++
			if float64(n) <= worst {
				continue // not worse, whatever the limit
			}
			if over := float64(n) - allowedRequests(limits, start, a.latest); over > worst {
				worst = over
				interval = admission{earliest: start, latest: a.latest}
			}
		}
	}
	return worst, interval
}

// allowedRequests returns the number of requests that the limits allow between two
// times: the largest burst in force plus the integral of the rate.
func allowedRequests(limits []limit, from, until time.Time) float64 {
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

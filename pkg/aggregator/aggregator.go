// Package aggregator sums up the reports of the entry hosts of an availability zone, so
// that the zone's leader can send one summary to other zones.
//
// The leader passes each host's report, its own included, to AddReport, and calls
// Summary and Dispatches for each message that it sends.
package aggregator

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

const (
	// reportTimeout is how long a host's last report counts.
	reportTimeout = time.Second
	// listingTimeout is how long a silent host is still listed, with its age.
	listingTimeout = 4 * time.Second
	// usageTimeout is how long a workspace's usage is listed after its last change.
	usageTimeout = time.Second
	// hostRetention is how long a silent host is remembered. If it reports again within
	// that time, its usage is counted from its last report on.
	hostRetention = time.Minute
)

// Report is the report of one host.
type Report struct {
	// Ready means that the host accepts callers, ReachesTargets that it gets answers from
	// targets.
	Ready, ReachesTargets bool

	InFlight []balancer.InFlight
	// Dispatches are those since the host's last report.
	Dispatches []balancer.Dispatch
	// The Admitted counts start at 0 with the host's process.
	Usages []throttler.Usage
}

// Host is the state of a host of the zone.
type Host struct {
	Instance ids.Instance
	// Age is the time since the host's last report.
	Age                   time.Duration
	Ready, ReachesTargets bool
}

// Summary is the sum of the hosts' reports.
type Summary struct {
	Hosts    []Host
	InFlight []balancer.InFlight
	// The Admitted counts do not include what a host admitted before its first report.
	Usages []throttler.Usage
}

// Aggregator holds the last report of each host. The zero value is empty and ready for
// use. It is not safe for concurrent use.
type Aggregator struct {
	hosts      map[ids.Instance]*host
	usages     map[throttler.WorkspaceHash]*usage
	dispatches balancer.DispatchLog
}

// host is the last report of a host.
type host struct {
	reportedAt time.Time
	ready      bool
	// reachesTargets tells whether the host gets answers from targets.
	reachesTargets bool
	inFlight       []balancer.InFlight
	usages         map[throttler.WorkspaceHash]throttler.Usage
}

// usage is what all hosts together admitted of a workspace.
type usage struct {
	admitted  uint64
	changedAt time.Time
}

// AddReport takes in a report that was received from a host at now.
func (a *Aggregator) AddReport(instance ids.Instance, r *Report, now time.Time) {
	if a.hosts == nil {
		a.hosts = make(map[ids.Instance]*host)
		a.usages = make(map[throttler.WorkspaceHash]*usage)
	}
	h := a.hosts[instance]
	known := h != nil
	if !known {
		h = &host{usages: make(map[throttler.WorkspaceHash]throttler.Usage)}
		a.hosts[instance] = h
	}
	h.reportedAt, h.ready, h.reachesTargets, h.inFlight = now, r.Ready, r.ReachesTargets, r.InFlight
	for _, u := range r.Usages {
		a.addUsage(h, u, known, now)
	}
	a.dispatches.Add(r.Dispatches...)
	a.expireHosts(now)
}

// addUsage adds the requests that a host admitted since its last report. Those before
// its first report are left out, as they may be old.
func (a *Aggregator) addUsage(h *host, u throttler.Usage, known bool, now time.Time) {
	last, reported := h.usages[u.Workspace]
	h.usages[u.Workspace] = u
	total := a.usages[u.Workspace]
	if total == nil {
		total = &usage{changedAt: now}
		a.usages[u.Workspace] = total
	}
	if !known && !reported {
		return
	}
	if u.Admitted > last.Admitted {
		total.admitted += u.Admitted - last.Admitted
		total.changedAt = now
	}
}

func (a *Aggregator) expireHosts(now time.Time) {
	for instance, h := range a.hosts {
		if now.Sub(h.reportedAt) > hostRetention {
			delete(a.hosts, instance)
		}
	}
}

// Dispatches returns the dispatches from number from on, limited to the last limit
// ones, and the number to continue from.
func (a *Aggregator) Dispatches(from uint64, limit int) ([]balancer.Dispatch, uint64) {
	return a.dispatches.Since(from, limit)
}

// Summary returns the sum of the recent reports. Its lists are sorted.
func (a *Aggregator) Summary(now time.Time) Summary {
	var summary Summary
	inFlight := make(map[uint32]int)
	demand := make(map[throttler.WorkspaceHash]float64)
	for instance, h := range a.hosts {
		age := now.Sub(h.reportedAt)
		if age > listingTimeout {
			continue
		}
		summary.Hosts = append(summary.Hosts, Host{instance, age, h.ready, h.reachesTargets})
		if age > reportTimeout {
			continue
		}
		for _, r := range h.inFlight {
			inFlight[r.Target] += r.Count
		}
		for name, u := range h.usages {
			demand[name] += u.Demand
		}
	}
	slices.SortFunc(summary.Hosts, func(a, b Host) int { return cmp.Compare(a.Instance, b.Instance) })
	for target, n := range inFlight {
		summary.InFlight = append(summary.InFlight, balancer.InFlight{Target: target, Count: n})
	}
	slices.SortFunc(summary.InFlight, func(a, b balancer.InFlight) int { return cmp.Compare(a.Target, b.Target) })
	summary.Usages = a.recentUsages(demand, now)
	return summary
}

// recentUsages returns the usage of workspaces that had requests recently or have
// demand.
func (a *Aggregator) recentUsages(demand map[throttler.WorkspaceHash]float64, now time.Time) []throttler.Usage {
	var all []throttler.Usage
	for name, u := range a.usages {
		if now.Sub(u.changedAt) > usageTimeout && demand[name] < 1 {
			continue
		}
		all = append(all, throttler.Usage{Workspace: name, Admitted: u.admitted, Demand: demand[name]})
	}
	slices.SortFunc(all, func(a, b throttler.Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return all
}

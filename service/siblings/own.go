package siblings

import (
	"maps"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

// keptReports is how many of its last reports a host remembers.
const keptReports = 32

// ownReport is what this host told of itself at one time. A sum that answers the
// report holds exactly that.
type ownReport struct {
	sent    int64
	running map[uint32]int
	usages  map[throttler.WorkspaceHash]throttler.Usage
}

// ownReports holds this host's last reports.
type ownReports struct {
	all []ownReport
	// usages holds the last word on every workspace.
	usages map[throttler.WorkspaceHash]throttler.Usage
}

// add remembers a report.
func (o *ownReports) add(sent int64, running []balancer.InFlight, usages []throttler.Usage) {
	r := ownReport{sent: sent, running: make(map[uint32]int, len(running))}
	for _, x := range running {
		r.running[x.Target] = x.Count
	}
	if o.usages == nil {
		o.usages = make(map[throttler.WorkspaceHash]throttler.Usage)
	}
	for _, u := range usages {
		o.usages[u.Workspace] = u
	}
	r.usages = maps.Clone(o.usages)
	if len(o.all) >= keptReports {
		o.all = append(o.all[:0], o.all[keptReports/2:]...)
	}
	o.all = append(o.all, r)
}

// find returns the report that was sent at a reading of this host's clock.
func (o *ownReports) find(sent int64) (*ownReport, bool) {
	for i := range o.all {
		if o.all[i].sent == sent {
			return &o.all[i], true
		}
	}
	return nil, false
}

// others takes this host's part out of the requests at targets.
func (r *ownReport) others(all []balancer.InFlight) []balancer.InFlight {
	out := all[:0]
	for _, x := range all {
		if x.Count -= r.running[x.Target]; x.Count > 0 {
			out = append(out, x)
		}
	}
	return out
}

// othersUse takes this host's part out of the use of workspaces. Only differences of
// the counts mean anything.
func (r *ownReport) othersUse(all []throttler.Usage) []throttler.Usage {
	for i := range all {
		own := r.usages[all[i].Workspace]
		all[i].Admitted -= own.Admitted
		all[i].Demand = max(all[i].Demand-own.Demand, 0)
	}
	return all
}

package siblings

import (
	"maps"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

// maxSentReports bounds the number of sent reports that a host remembers.
const maxSentReports = 32

// sentReport is a report that this host sent. A zone summary that answers the report
// includes exactly these counts of this host.
type sentReport struct {
	sentAt   int64
	inFlight map[uint32]int
	usages   map[throttler.WorkspaceHash]throttler.Usage
}

// sentReports holds the last reports that this host sent.
type sentReports struct {
	all []sentReport
	// usages holds the latest usage of every workspace, because a report contains only
	// those that changed.
	usages map[throttler.WorkspaceHash]throttler.Usage
}

// add records a report.
func (sr *sentReports) add(sentAt int64, inFlight []balancer.InFlight, usages []throttler.Usage) {
	r := sentReport{sentAt: sentAt, inFlight: make(map[uint32]int, len(inFlight))}
	for _, x := range inFlight {
		r.inFlight[x.Target] = x.Count
	}
	if sr.usages == nil {
		sr.usages = make(map[throttler.WorkspaceHash]throttler.Usage)
	}
	for _, u := range usages {
		sr.usages[u.Workspace] = u
	}
	r.usages = maps.Clone(sr.usages)
	if len(sr.all) >= maxSentReports {
		sr.all = append(sr.all[:0], sr.all[maxSentReports/2:]...)
	}
	sr.all = append(sr.all, r)
}

// find returns the report that was sent at a time of this host's clock.
func (sr *sentReports) find(sentAt int64) (*sentReport, bool) {
	for i := range sr.all {
		if sr.all[i].sentAt == sentAt {
			return &sr.all[i], true
		}
	}
	return nil, false
}

// subtractInFlight removes this host's requests from the counts of a zone summary,
// which it modifies.
func (r *sentReport) subtractInFlight(all []balancer.InFlight) []balancer.InFlight {
	out := all[:0]
	for _, x := range all {
		if x.Count -= r.inFlight[x.Target]; x.Count > 0 {
			out = append(out, x)
		}
	}
	return out
}

// subtractUsages removes this host's usage from that of a zone summary, which it
// modifies. An Admitted count may wrap around: only differences between such counts are
// used.
func (r *sentReport) subtractUsages(all []throttler.Usage) []throttler.Usage {
	for i := range all {
		own := r.usages[all[i].Workspace]
		all[i].Admitted -= own.Admitted
		all[i].Demand = max(all[i].Demand-own.Demand, 0)
	}
	return all
}

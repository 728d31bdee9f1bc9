package operators

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/pkg/version"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// hosts lists the hosts whose states are known, and the holders of seats whose
// states are not, so that a lost host is listed until its seats are reclaimed.
func (s *Server) hosts(w http.ResponseWriter, _ *http.Request) {
	var summaries []HostSummary
	seen := make(map[ids.Instance]bool)
	states := append([]*peerpb.HostState{s.cfg.Host.Self()}, s.cfg.Host.Hosts()...)
	for _, h := range states {
		summary := summarise(h)
		if !seen[summary.Instance] {
			seen[summary.Instance] = true
			summaries = append(summaries, summary)
		}
	}
	if t := s.cfg.Configuration.StoredTable(); t != nil {
		for _, i := range t.Holders() {
			if !seen[i] {
				summaries = append(summaries, missingHost(t.SeatsOf(i)))
			}
		}
	}
	slices.SortFunc(summaries, func(a, b HostSummary) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.OperatorsAddress, b.OperatorsAddress),
			cmp.Compare(a.Instance, b.Instance))
	})
	writeJSON(w, http.StatusOK, HostList{Hosts: summaries})
}

func summarise(h *peerpb.HostState) HostSummary {
	summary := HostSummary{
		Instance:         ids.Instance(h.GetInstance()),
		Region:           ids.Region(h.GetRegion()),
		Zone:             ids.Zone(h.GetZone()),
		CallersAddress:   h.GetCallersAddress(),
		OperatorsAddress: h.GetOperatorsAddress(),
		Revision:         ids.Revision(h.GetConfigRevision()),
		Seats:            []ids.Seat{},
		Ready:            h.GetReady(),
		Leaving:          h.GetLeaving(),
	}
	for _, n := range h.GetSeats() {
		summary.Seats = append(summary.Seats, ids.Seat(n))
	}
	return summary
}

// missingHost returns the summary of a holder of seats whose state is unknown.
func missingHost(seats []seater.Seat) HostSummary {
	first := seats[0]
	summary := HostSummary{
		Instance:         first.Holder,
		Region:           first.Region,
		Zone:             first.Zone,
		CallersAddress:   first.CallersAddress,
		OperatorsAddress: first.OperatorsAddress,
		Seats:            []ids.Seat{},
		Missing:          true,
	}
	for _, s := range seats {
		summary.Seats = append(summary.Seats, s.Number)
	}
	return summary
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	self := s.cfg.Host.Self()
	status := Status{
		HostSummary: summarise(self),
		Version:     version.String(),
		Targets:     []TargetStatus{},
		Workspaces:  []WorkspaceStatus{},
		Services:    []ServiceStatus{},
	}
	status.Ready = true
	if r := s.cfg.Host.Ready(); r != nil {
		status.Ready = false
		status.Reason = r.Error()
	}
	if left := time.Until(s.cfg.Host.LeaseUntil()); left > 0 {
		status.LeaseLeftMs = left.Milliseconds()
	}
	if t := s.cfg.Configuration.StoredTable(); t != nil {
		status.SeatRevision = t.Revision
	}
	snapshot := s.cfg.Configuration.Snapshot()
	if snapshot != nil {
		status.Revision = snapshot.Revision
		status.Preset = snapshot.Document.Preset
	}
	status.addLoads(self, snapshot)
	writeJSON(w, http.StatusOK, status)
}

func (s *Status) addLoads(self *peerpb.HostState, snapshot *config.Snapshot) {
	for _, t := range self.GetTargets() {
		name := ids.Target(t.GetTarget())
		s.Targets = append(s.Targets, TargetStatus{
			Target:  name,
			Healthy: t.GetHealthy(),
			Leaving: t.GetLeaving(),
			Drained: snapshot != nil && snapshot.TargetDrained(name),
			Load:    t.GetLoad(),
			AgeMs:   t.GetAgeMs(),
		})
	}
	for _, w := range self.GetWorkspaces() {
		s.Workspaces = append(s.Workspaces, WorkspaceStatus{
			Workspace: ids.Workspace(w.GetWorkspace()),
			Tokens:    w.GetTokens(),
			Rate:      w.GetRate(),
			Demand:    w.GetDemand(),
		})
	}
	for _, v := range self.GetServices() {
		s.Services = append(s.Services, ServiceStatus{
			Service:     ids.Service(v.GetService()),
			Slots:       v.GetSlots(),
			InFlight:    v.GetInFlight(),
			Waiting:     v.GetWaiting(),
			ForeignRate: v.GetForeignRate(),
		})
	}
}

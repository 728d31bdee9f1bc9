package steersim

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// rateGain is the weight of one tick in a host's smoothed rate.
const rateGain = 0.3

// send sends the requests of all caller groups for one tick.
func (s *Sim) send() {
	for _, r := range s.regions {
		r.arriving, r.remoteArrivals = 0, 0
	}
	for _, h := range s.hosts {
		h.arriving = 0
	}
	for _, r := range s.regions {
		perGroup := r.Load * r.slots / s.cfg.ServiceTime.Seconds() * tick.Seconds() / groupsPerRegion
		for _, g := range r.groups {
			s.refreshLookup(r, g)
			s.sendGroup(r, g, perGroup)
		}
	}
	for _, h := range s.hosts {
		h.rate += rateGain * (h.arriving/tick.Seconds() - h.rate)
		if !h.region.dead {
			h.steerer.RecordServiceTime(Service, s.cfg.ServiceTime)
		}
	}
}

// refreshLookup repeats the group's look-up at a random host once it has expired.
func (s *Sim) refreshLookup(r *region, g *callerGroup) {
	if time.Now().Before(g.expires) {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if h.region.dead {
		return // It is retried at the next tick.
	}
	resp, err := h.steerer.Lookup(Service, r.Name, "")
	if err != nil {
		return
	}
	if s.cfg.Policy == Static || s.cfg.Policy == ByReports {
		resp = s.baselineResponse(h, r, resp)
	}
	ttl := time.Duration(resp.TTLMs) * time.Millisecond
	if g.lookup == nil {
		ttl = time.Duration(s.rng.Int64N(int64(ttl))) // Spreads the groups' later look-ups over time.
	}
	g.lookup = resp
	g.expires = time.Now().Add(ttl)
}

// baselineResponse returns the look-up response under the policies Static and ByReports.
func (s *Sim) baselineResponse(h *host, r *region, steered *callers.LookupResponse) *callers.LookupResponse {
	resp := *steered
	resp.EntryHosts = nil
	var others []callers.EntryHost
	for _, state := range s.statesSeenBy(h) {
		entry := callers.EntryHost{Address: state.GetCallersAddress(), Region: ids.Region(state.GetRegion()), Weight: 1}
		if s.cfg.Policy == ByReports {
			report := state.GetServices()[0]
			entry.Weight = max(0.1, float64(report.GetSlots())-float64(report.GetInFlight())-float64(report.GetWaiting()))
		}
		if s.cfg.Policy == Static && entry.Region != r.Name {
			others = append(others, entry)
			continue
		}
		resp.EntryHosts = append(resp.EntryHosts, entry)
	}
	if len(resp.EntryHosts) == 0 {
		resp.EntryHosts = others
	}
	return &resp
}

// sendGroup sends n requests of a group, divided by the weights of its look-up.
func (s *Sim) sendGroup(r *region, g *callerGroup, n float64) {
	if g.lookup == nil {
		return
	}
	var sum float64
	for _, e := range g.lookup.EntryHosts {
		sum += e.Weight
	}
	for _, e := range g.lookup.EntryHosts {
		name := ids.Instance(e.Address)
		g.carry[name] += n * e.Weight / sum
		for g.carry[name] >= 1 {
			g.carry[name]--
			s.sendOne(r, s.host(name))
		}
	}
}

func (s *Sim) host(name ids.Instance) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// sendOne sends one request of r's callers to a host. If the host refuses it, it
// is sent to the region that the host's FailoverRegion returns.
func (s *Sim) sendOne(r *region, h *host) {
	s.Result.Offered++
	if h.region.dead {
		s.Result.Failed++
		s.Result.LastFailed = time.Now()
		return
	}
	if s.admitted(r, h) {
		s.recordArrival(r, h)
		return
	}
	other, ok := h.steerer.FailoverRegion(Service, r.Name)
	if ok {
		for _, o := range s.hosts {
			if o.region.Name == other && !o.region.dead && s.admitted(r, o) {
				s.recordArrival(r, o)
				return
			}
		}
	}
	s.Result.Refused++
}

func (s *Sim) admitted(r *region, h *host) bool {
	if s.cfg.Policy == Static || s.cfg.Policy == ByReports {
		return true
	}
	return h.steerer.AdmitRemote(Service, r.Name) == nil
}

func (s *Sim) recordArrival(r *region, h *host) {
	h.arriving++
	h.region.arriving++
	if r != h.region {
		h.region.remoteArrivals++
	}
}

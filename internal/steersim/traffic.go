package steersim

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// flowGain is the weight of one tick in a host's mean flow.
const flowGain = 0.3

// send lets every group of callers send the requests of one tick.
func (s *Sim) send() {
	for _, r := range s.regions {
		r.arriving, r.taken = 0, 0
	}
	for _, h := range s.hosts {
		h.arriving = 0
	}
	for _, r := range s.regions {
		perGroup := r.Load * r.slots / s.cfg.ServiceTime.Seconds() * tick.Seconds() / groupsPerRegion
		for _, g := range r.groups {
			s.refresh(r, g)
			s.sendGroup(r, g, perGroup)
		}
	}
	for _, h := range s.hosts {
		h.flow += flowGain * (h.arriving/tick.Seconds() - h.flow)
		if !h.region.dead {
			h.steerer.RecordServiceTime(Service, s.cfg.ServiceTime)
		}
	}
}

// refresh asks a random live host once the group's look-up has run out.
func (s *Sim) refresh(r *region, g *group) {
	if time.Now().Before(g.until) {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	if h.region.dead {
		return // The group asks again at the next tick.
	}
	answer, err := h.steerer.Lookup(Service, r.Name, "")
	if err != nil {
		return
	}
	if s.cfg.Policy == Static || s.cfg.Policy == ByReports {
		answer = s.baseline(h, r, answer)
	}
	ttl := time.Duration(answer.TTLMs) * time.Millisecond
	if g.answer == nil {
		ttl = time.Duration(s.rng.Int64N(int64(ttl))) // Later look-ups are spread.
	}
	g.answer = answer
	g.until = time.Now().Add(ttl)
}

// baseline answers a look-up in another way than the Steerer does.
func (s *Sim) baseline(h *host, r *region, like *callers.LookupResponse) *callers.LookupResponse {
	answer := *like
	answer.EntryHosts = nil
	var others []callers.EntryHost
	for _, state := range s.seenBy(h) {
		one := callers.EntryHost{Address: state.GetCallersAddress(), Region: ids.Region(state.GetRegion()), Weight: 1}
		if s.cfg.Policy == ByReports {
			report := state.GetServices()[0]
			one.Weight = max(0.1, float64(report.GetSlots())-float64(report.GetInFlight())-float64(report.GetWaiting()))
		}
		if s.cfg.Policy == Static && one.Region != r.Name {
			others = append(others, one)
			continue
		}
		answer.EntryHosts = append(answer.EntryHosts, one)
	}
	if len(answer.EntryHosts) == 0 {
		answer.EntryHosts = others
	}
	return &answer
}

// sendGroup divides n requests by the weights that the group knows.
func (s *Sim) sendGroup(r *region, g *group, n float64) {
	if g.answer == nil {
		return
	}
	var sum float64
	for _, e := range g.answer.EntryHosts {
		sum += e.Weight
	}
	for _, e := range g.answer.EntryHosts {
		name := ids.Instance(e.Address)
		g.owed[name] += n * e.Weight / sum
		for g.owed[name] >= 1 {
			g.owed[name]--
			s.one(r, s.host(name))
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

// one sends one request of r's callers to a host.
func (s *Sim) one(r *region, h *host) {
	s.Result.Offered++
	if h.region.dead {
		s.Result.Failed++
		s.Result.LastFailed = time.Now()
		return
	}
	if s.accepted(r, h) {
		s.arrive(r, h)
		return
	}
	other, ok := h.steerer.FailoverRegion(Service, r.Name)
	if ok {
		for _, o := range s.hosts {
			if o.region.Name == other && !o.region.dead && s.accepted(r, o) {
				s.arrive(r, o)
				return
			}
		}
	}
	s.Result.Refused++
}

func (s *Sim) accepted(r *region, h *host) bool {
	if s.cfg.Policy == Static || s.cfg.Policy == ByReports {
		return true
	}
	return h.steerer.AdmitRemote(Service, r.Name) == nil
}

func (s *Sim) arrive(r *region, h *host) {
	h.arriving++
	h.region.arriving++
	if r != h.region {
		h.region.taken++
	}
}

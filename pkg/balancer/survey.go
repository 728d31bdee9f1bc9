package balancer

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/shifter"
)

// surveyInterval is the time between two looks at all targets of a pool whose choices look at
// a few candidates only.
const surveyInterval = 50 * time.Millisecond

// maxPressureWithRoom is the pressure up to which a service has room for extra work.
const maxPressureWithRoom = 0.8

// survey is the load of a pool's targets that take requests.
type survey struct {
	at    time.Time
	loads []regionLoad
}

// regionLoad is the load of a region's targets, and their number.
type regionLoad struct {
	shifter.Load
	Targets int
}

// pressure returns the ratio of requests to slots, more than 1 when requests are queued.
func (s *survey) pressure() float64 {
	backlog := 0.0
	for _, l := range s.loads {
		backlog += l.Backlog
	}
	return backlog / max(s.slots(), 1)
}

// slots returns the number of slots in all regions.
func (s *survey) slots() float64 {
	slots := 0.0
	for _, l := range s.loads {
		slots += l.Slots
	}
	return slots
}

// pressureIn returns the pressure in one region.
func (s *survey) pressureIn(region ids.Region) float64 {
	for _, l := range s.loads {
		if l.Region == region {
			return l.Backlog / max(l.Slots, 1)
		}
	}
	return 0
}

// refreshSurvey looks at all targets if the last look is old. The caller holds the lock.
func (b *Balancer) refreshSurvey(pl *pool, evacuated map[ids.Zone]bool, now time.Time) {
	s := &pl.survey
	if !s.at.IsZero() && now.Sub(s.at) < surveyInterval {
		return
	}
	s.at, s.loads = now, s.loads[:0]
	for _, t := range pl.targets {
		if evacuated[t.Zone] || t.exclusion(&Request{}, now) != "" {
			continue
		}
		backlog, slots := t.backlog(now), t.effectiveSlots(now)
		l := s.load(t.region)
		l.Backlog += backlog
		l.Slots += slots
		l.Targets++
	}
	if !pl.hasCandidates() {
		return
	}
	pl.pressure = s.pressure()
	loads := make([]shifter.Load, 0, len(s.loads))
	for _, l := range s.loads {
		loads = append(loads, l.Load)
	}
	pl.shifter.Update(b.cfg.Regions[b.cfg.Zone], loads, now)
}

// load returns the load of a region, which it adds if needed.
func (s *survey) load(region ids.Region) *regionLoad {
	i := slices.IndexFunc(s.loads, func(l regionLoad) bool { return l.Region == region })
	if i < 0 {
		i = len(s.loads)
		s.loads = append(s.loads, regionLoad{Load: shifter.Load{Region: region}})
	}
	return &s.loads[i]
}

// effectiveSlots returns the number of slots that a target at usual speed would need for the
// work that this one does now.
func (t *target) effectiveSlots(now time.Time) float64 {
	return float64(max(t.Slots, 1)) / max(t.slowdownNow(now), 1)
}

// ServiceLoad is the load of a service as this host sees it.
type ServiceLoad struct {
	// Pressure is the ratio of requests to slots, more than 1 when requests are queued.
	Pressure float64
	// Own is the part of the requests that run in this host's own region.
	Own float64
}

// Loads returns the load of each service whose objects have candidates.
func (b *Balancer) Loads() map[ids.Service]ServiceLoad {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make(map[ids.Service]ServiceLoad)
	for name, pl := range b.services {
		pl.mu.Lock()
		if pl.hasCandidates() {
			b.refreshSurvey(pl, b.evacuated, time.Now())
			all[name] = ServiceLoad{Pressure: pl.pressure, Own: pl.shifter.Own()}
		}
		pl.mu.Unlock()
	}
	return all
}

// HasRoom reports whether the targets of a service have room for work that is not necessary.
func (b *Balancer) HasRoom(name ids.Service) bool {
	pl, evacuated := b.poolOf(name)
	if pl == nil {
		return false
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	b.refreshSurvey(pl, evacuated, time.Now())
	return pl.survey.pressure() < maxPressureWithRoom
}

package steerer

import (
	"math"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// initialServiceTime is the service time assumed before any sample. It is
	// long, so that the capacity is underestimated.
	initialServiceTime = time.Second
	// serviceTimeGain is the weight of a sample in the smoothed service time.
	serviceTimeGain = 0.05
	// fullUtilisation is the utilisation of the region above which the ceilings
	// of its hosts fall.
	fullUtilisation = 0.92
	// ceilingGain is the change of a ceiling, as a share of capacity in a second,
	// per unit of distance from fullUtilisation.
	ceilingGain = 0.2
	// minCeiling is the lowest ceiling, as a share of capacity. It lets a little
	// traffic into a full region, to find out when it has room again.
	minCeiling = 0.01
)

// shiftLimiters bounds, for each service, the requests that this host takes over
// from callers of other regions. The hosts of a region divide what the region may
// take over by the seats that they hold, so that their parts never add up to more
// than the whole.
type shiftLimiters struct {
	region  ids.Region
	self    ids.Instance
	checker *checker.Checker

	mu        sync.Mutex
	seatShare float64
	byService map[ids.Service]*shiftLimiter
}

// shiftLimiter bounds one service: the rate of requests taken over grows by at
// most the shift cap within checker.ShiftWindow, and a token bucket spreads them
// within checker.ShiftPeriod.
type shiftLimiter struct {
	// slots is this host's part of the region's live slots, by its seats.
	slots float64
	// shiftShare is the shift cap: the growth allowed within a window, as a share
	// of capacity.
	shiftShare  float64
	serviceTime time.Duration
	samples     int
	admitted    slidingCounter
	tokens      float64
	lastRefill  time.Time
	// ceiling bounds the rate, in requests a second, by what the region has room
	// for. It is at most the capacity.
	ceiling float64
}

// setSeatShare sets this host's share of its region's seats.
func (s *shiftLimiters) setSeatShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seatShare = share
}

// configure sets the bounds of all services and adjusts the ceilings to the
// region's utilisation. The time since the last call is elapsed.
func (s *shiftLimiters) configure(snap *config.Snapshot, v *fleetView, now time.Time, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = make(map[ids.Service]*shiftLimiter)
	}
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		l := s.byService[svc.Name]
		if l == nil {
			l = &shiftLimiter{serviceTime: initialServiceTime, lastRefill: now, ceiling: math.MaxFloat64}
			s.byService[svc.Name] = l
		}
		here := serviceRegion{svc.Name, s.region}
		l.slots = v.liveSlots(here) * s.seatShare
		l.shiftShare = snap.Document.Limits.ShiftShare()
		l.adjustCeiling(fullUtilisation-v.loads[here].utilisation(), elapsed, now)
	}
}

// adjustCeiling moves the ceiling by the margin, which is the distance of the
// region's utilisation below fullUtilisation. A negative one lowers the ceiling,
// starting from the present rate of requests taken over if that is lower. The
// ceiling falls three times as fast as it rises.
func (l *shiftLimiter) adjustCeiling(margin float64, elapsed time.Duration, now time.Time) {
	l.admitted.advance(now)
	if margin < 0 {
		l.ceiling = min(l.ceiling, l.admitted.meanRate())
	}
	if margin > 0 {
		margin /= 3
	}
	l.ceiling += ceilingGain * margin * l.capacity() * elapsed.Seconds()
	l.ceiling = min(max(l.ceiling, minCeiling*l.capacity()), l.capacity())
}

// capacity returns the requests a second that this host's part of the region's
// slots can serve at the smoothed service time.
func (l *shiftLimiter) capacity() float64 { return l.slots / l.serviceTime.Seconds() }

// maxGrowth returns by how many requests a second the rate may grow within a
// window.
func (l *shiftLimiter) maxGrowth() float64 { return l.shiftShare * l.capacity() }

// rate returns the rate that is admitted, in requests a second: the lowest one of
// the window plus the allowed growth, up to the ceiling.
func (l *shiftLimiter) rate() float64 {
	least := float64(l.admitted.minPeriodCount) / checker.ShiftPeriod.Seconds()
	return min(least+l.maxGrowth(), l.ceiling)
}

// admit admits one request, or returns false and the time until the next one may
// be admitted.
func (s *shiftLimiters) admit(svc ids.Service, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byService[svc]
	if l == nil || s.seatShare <= 0 {
		return checker.ShiftWindow, false
	}
	wait, ok := l.admit(now)
	if ok {
		s.checker.RequestTakenOver(checker.Takeover{
			Region:  s.region,
			Service: svc,
			Host:    s.self,
			Share:   s.seatShare,
			Growth:  l.maxGrowth(),
		})
	}
	return wait, ok
}

func (l *shiftLimiter) admit(now time.Time) (time.Duration, bool) {
	l.admitted.advance(now)
	rate := l.rate()
	if rate <= 0 {
		return checker.ShiftWindow, false
	}
	burst := max(1, rate*checker.ShiftBurst.Seconds())
	l.tokens = min(burst, l.tokens+rate*now.Sub(l.lastRefill).Seconds())
	l.lastRefill = now
	if l.tokens < 1 {
		return time.Duration((1 - l.tokens) / rate * float64(time.Second)), false
	}
	// One request in a period is admitted however small the cap is.
	if float64(l.admitted.periodCount()+1) > max(1, rate*checker.ShiftPeriod.Seconds()) {
		return checker.ShiftBurst, false
	}
	l.tokens--
	l.admitted.add()
	return 0, true
}

// recordServiceTime adds a sample to the smoothed service time. The first samples
// count for more, but the first one alone does not replace initialServiceTime.
func (s *shiftLimiters) recordServiceTime(svc ids.Service, serviceTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byService[svc]
	if l == nil || serviceTime <= 0 {
		return
	}
	l.samples++
	gain := max(serviceTimeGain, 1/float64(l.samples+1))
	l.serviceTime += time.Duration(gain * float64(serviceTime-l.serviceTime))
}

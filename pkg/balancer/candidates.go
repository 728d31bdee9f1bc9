package balancer

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/placer"
)

const (
	// maxScanned is the number of targets up to which a choice may look at all of them.
	maxScanned = 32
	// ownZoneCandidates and otherZoneCandidates are the numbers of candidates in this host's
	// zone and in each other one.
	ownZoneCandidates   = 2
	otherZoneCandidates = 1
	// orderPenalty is added for each candidate of the zone that goes before, so that requests
	// for an object go to the same one while it has room.
	orderPenalty = 5 * time.Millisecond
	// maxHolders is the number of targets with the object from which on no further ones are
	// looked for, and holderPenalty is added for those that are no candidates.
	maxHolders    = 2
	holderPenalty = 4 * orderPenalty
	// sampleSize is the number of targets of a service that are considered for a request whose
	// candidates are full.
	sampleSize = 32
	// anonymousObjects is the number of lists of candidates among which requests without an
	// object are spread.
	anonymousObjects = 1024
)

// hasCandidates reports whether a choice looks at few candidates: where the targets are many,
// or change so fast that requests would spread over all of them. The caller holds the lock.
func (pl *pool) hasCandidates() bool { return pl.reportsSlowdown || len(pl.targets) > maxScanned }

// candidates returns the candidates for an object, by zone. The caller holds the lock.
func (pl *pool) candidates(cfg *Config, o ObjectHash) []placer.Group {
	if pl.placer == nil {
		places := make([]placer.Place, 0, len(pl.targets))
		for _, t := range pl.targets {
			places = append(places, placer.Place{Hash: t.hash, Zone: t.Zone, Region: t.region})
		}
		pl.placer = placer.New(cfg.Zone, cfg.Regions[cfg.Zone], places)
	}
	return pl.placer.Candidates(uint32(o))
}

// orAnonymous returns the object that decides the candidates and the region of a request: its
// own one, or a different one for each choice if it has none. The caller holds the lock.
func (pl *pool) orAnonymous(o ObjectHash) ObjectHash {
	if o == NoObject {
		return ObjectHash(pl.picks % anonymousObjects)
	}
	return o
}

// scanCandidates considers the candidates in the region that the object has now, else those in
// other regions, and all targets if none of them is eligible.
func (s *search) scanCandidates() {
	object := s.pool.orAnonymous(s.request.Object)
	groups := s.pool.candidates(&s.balancer.cfg, object)
	own := s.balancer.cfg.Regions[s.balancer.cfg.Zone]
	region := s.pool.shifter.Region(own, uint32(object))
	s.region = region
	s.scanGroups(groups, func(r ids.Region) bool { return r == region })
	s.scanHolders(region)
	if s.full() {
		s.scanSample(region)
	}
	if s.eligible == 0 {
		s.scanGroups(groups, func(r ids.Region) bool { return r != region })
	}
	if s.eligible == 0 {
		s.scanAll()
	}
}

// full reports whether the candidates have no room, though the service has.
func (s *search) full() bool {
	if s.eligible == 0 || s.pool.pressure >= maxPressureWithRoom {
		return false
	}
	return s.best.target == nil || s.best.QueueDelay > 0 && s.best.QueueDelay+s.best.ServiceTime > s.request.Objective
}

// scanSample considers some targets of a region, others for each request. So the requests for an
// object that is more popular than its candidates can bear get further targets.
func (s *search) scanSample(region ids.Region) {
	n := len(s.pool.targets)
	stride := max(n/sampleSize, 1)
	first := int(s.pool.picks % uint64(stride))
	for i := first; i < n; i += stride {
		if t := s.pool.targets[i]; t.region == region {
			s.consider(t, holderPenalty)
		}
	}
}

// scanHolders considers further targets of a region that have the object, unless enough
// candidates do. They got it while others took no requests, or before the targets changed.
func (s *search) scanHolders(region ids.Region) {
	left := maxHolders - s.warm
	for _, t := range s.pool.holders[s.request.Object] {
		if left <= 0 {
			return
		}
		if t.region == region && float64(s.pool.rankOf(t)) < s.pool.warmCapacity && s.consider(t, holderPenalty) {
			left--
		}
	}
}

// scanGroups considers the first eligible candidates of each zone in some regions.
func (s *search) scanGroups(groups []placer.Group, in func(ids.Region) bool) {
	for _, g := range groups {
		if !in(g.Region) {
			continue
		}
		left := otherZoneCandidates
		if g.Zone == s.balancer.cfg.Zone {
			left = ownZoneCandidates
		}
		for _, c := range g.Candidates {
			if left == 0 {
				break
			}
			if s.considerCandidate(c, g.Region) {
				left--
			}
		}
	}
}

// considerCandidate takes in a candidate in a region. One that does not have the object gets it
// only if the targets of the region can keep as many copies of each object.
func (s *search) considerCandidate(c placer.Candidate, region ids.Region) bool {
	t := s.pool.targets[c.Index]
	penalty := time.Duration(c.Order) * orderPenalty
	holds, fits := s.pool.rankOf(t) >= 0, c.Order < s.pool.copies(region)
	if !holds && !fits {
		penalty += time.Duration(s.times.warmSaving())
	}
	if t.Zone == s.balancer.cfg.Zone {
		penalty -= time.Duration(s.times.warmSaving() * ownZoneFraction)
		if !holds && fits && s.inTimeWithoutObject() {
			penalty -= s.costWithoutObject()
		}
	}
	return s.consider(t, penalty)
}

// inTimeWithoutObject reports whether a request that runs at a target without the object is
// expected to meet its objective nevertheless. Then the object can as well get a copy in this
// host's zone, from which all later requests are served there.
func (s *search) inTimeWithoutObject() bool {
	return s.times.measured && s.pool.pressure < maxPressureWithRoom &&
		float64(s.times.cold) <= safeFraction*float64(s.request.Objective)
}

// costWithoutObject is by how much the score of a target is higher as it does not have the
// object.
func (s *search) costWithoutObject() time.Duration {
	return time.Duration(float64(s.times.cold-s.times.warm) * (1 + s.pool.pressure*pressureFactor))
}

const (
	// copyFraction is the part of what targets keep warm that the copies of objects take.
	copyFraction = 0.75
	// ownZoneFraction is the part of the time that a warm object saves for which requests stay
	// in this host's zone.
	ownZoneFraction = 0.5
	// objectWindow is the time in which a host's requests tell what objects there are.
	objectWindow = 10 * time.Second
)

// copies returns how many targets of a region may get an object. The caller holds the lock.
func (pl *pool) copies(region ids.Region) int {
	targets := 0.0
	for _, l := range pl.survey.loads {
		if l.Region == region {
			targets = float64(l.Targets)
		}
	}
	return max(int(copyFraction*pl.warmCapacity*targets/float64(max(pl.objects.count(), 1))), 1)
}

// objectCounter counts the objects that this host had requests for lately.
type objectCounter struct {
	current, last map[ObjectHash]struct{}
	began         time.Time
}

func (c *objectCounter) add(o ObjectHash, now time.Time) {
	if c.current == nil || now.Sub(c.began) > objectWindow {
		c.last, c.current, c.began = c.current, make(map[ObjectHash]struct{}), now
	}
	if len(c.current) < maxCountedObjects {
		c.current[o] = struct{}{}
	}
}

// maxCountedObjects bounds the objects that are counted.
const maxCountedObjects = 8192

// count returns the number of objects.
func (c *objectCounter) count() int { return max(len(c.current), len(c.last)) }

// Package shifter decides in which region the requests of this host's region run. It moves
// requests away from a region whose targets fill up, and back, at a bounded rate, so that no
// other region is hit by a sudden shift.
//
// A caller calls Update at intervals with the load of each region, and Region for each object.
package shifter

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Load is the load of the targets of a region.
type Load struct {
	Region ids.Region
	// Slots is the number of requests that the targets run at a time, and Backlog the
	// number of requests that they have, queued ones included.
	Slots, Backlog float64
}

const (
	// maxRate bounds the part of the requests that change their region in a second. Operators
	// allow 0.15 in 2 s, of which a third is left for differences between hosts.
	maxRate = 0.05
	// maxReturnRate bounds the part that returns in a second, unless the other regions are full:
	// then it is maxRate. Each return costs the objects their
	// warm targets, and is not urgent.
	maxReturnRate = 0.03
	// Requests leave a region whose utilisation exceeds highUtilisation, and return below
	// lowUtilisation. In between, those that already left stay where they are.
	highUtilisation = 0.7
	lowUtilisation  = 0.4
	// minDifference is by how much a region's utilisation must exceed that of the others
	// before requests leave it, as another region is further away.
	minDifference = 0.1
	// gain is the part of the requests that move in a second for each unit of utilisation
	// beyond the bounds.
	gain = 0.4
	// outageRate is the part of the requests that leaves in a second while the own region has
	// no targets: they run elsewhere anyway, and must not all return at once with the first
	// target. A short outage moves few of them.
	outageRate = 0.5
	// expectedUtilisation is the utilisation that is assumed before any was measured.
	expectedUtilisation = 0.5
	// maxStep bounds the time that one Update makes up for.
	maxStep = time.Second
)

// Shifter holds the shares of one service. The zero value sends everything to this host's own
// region until the first Update. It is not safe for concurrent use.
type Shifter struct {
	// others are the shares of the other regions, sorted by name. The rest is the own one's. A
	// region without targets has none, but keeps its place.
	others    []share
	updatedAt time.Time
}

// share is the part of the requests that go to a region.
type share struct {
	region ids.Region
	part   float64
}

// Clone returns a copy that changes independently.
func (s *Shifter) Clone() Shifter {
	c := *s
	c.others = slices.Clone(s.others)
	return c
}

// Own returns the part of the requests that stay in this host's own region.
func (s *Shifter) Own() float64 {
	own := 1.0
	for _, o := range s.others {
		own -= o.part
	}
	return max(own, 0)
}

// Update moves the shares towards even utilisation. loads lists the regions with targets.
func (s *Shifter) Update(own ids.Region, loads []Load, now time.Time) {
	rest := otherLoads(own, loads)
	if len(rest) == 0 {
		s.others, s.updatedAt = nil, now
		return
	}
	mine := loadOf(own, loads)
	if s.updatedAt.IsZero() {
		s.spread(rest, 1-initialOwn(mine, loads))
		s.updatedAt = now
		return
	}
	elapsed := min(max(now.Sub(s.updatedAt), 0), maxStep).Seconds()
	s.updatedAt = now
	s.follow(rest)
	away := 1 - s.Own()
	change := min(max(away+s.rate(mine, rest)*elapsed, 0), 1) - away
	s.move(rest, change)
}

// rate returns the part of all requests that should leave the own region in a second,
// negative if they should return.
func (s *Shifter) rate(mine Load, rest []Load) float64 {
	var total Load
	for _, l := range rest {
		total.Slots += l.Slots
		total.Backlog += l.Backlog
	}
	here, there := mine.utilisation(), total.utilisation()
	switch {
	case mine.Slots == 0:
		return outageRate
	case here > highUtilisation && here > there+minDifference:
		return min(gain*min(here-highUtilisation, here-there), maxRate)
	case there > highUtilisation && here < there-minDifference:
		return max(gain*(here-there), -maxRate)
	case here < there-minDifference:
		return max(gain*(here-there), -maxReturnRate)
	case here < lowUtilisation:
		return max(gain*(here-lowUtilisation), -maxReturnRate)
	default:
		return 0
	}
}

// move adds change to the part that leaves the own region. What is added goes where there is
// room, and what returns comes from the fullest regions first.
func (s *Shifter) move(rest []Load, change float64) {
	if change >= 0 {
		s.spread(rest, change)
		return
	}
	for change < 0 {
		fullest := -1
		for i, o := range s.others {
			if o.part > 0 && (fullest < 0 || loadOf(o.region, rest).utilisation() > loadOf(s.others[fullest].region, rest).utilisation()) {
				fullest = i
			}
		}
		if fullest < 0 {
			return
		}
		taken := min(s.others[fullest].part, -change)
		s.others[fullest].part -= taken
		change += taken
	}
}

// spread adds a part to the other regions in proportion to their free slots.
func (s *Shifter) spread(rest []Load, part float64) {
	s.follow(rest)
	total := 0.0
	for _, l := range rest {
		total += l.room()
	}
	for _, l := range rest {
		i, _ := s.find(l.Region)
		s.others[i].part += part * l.room() / total
	}
}

// follow makes others list the given regions. The part of a region that is gone returns.
func (s *Shifter) follow(rest []Load) {
	for i := range s.others {
		if !slices.ContainsFunc(rest, func(l Load) bool { return l.Region == s.others[i].region }) {
			s.others[i].part = 0
		}
	}
	for _, l := range rest {
		if i, known := s.find(l.Region); !known {
			s.others = slices.Insert(s.others, i, share{region: l.Region})
		}
	}
}

// find returns the index of another region, or where it belongs if it is not known.
func (s *Shifter) find(region ids.Region) (int, bool) {
	return slices.BinarySearchFunc(s.others, region, func(o share, r ids.Region) int { return cmp.Compare(o.region, r) })
}

// Region returns the region in which requests for an object run; own is this host's region. A
// change of the shares changes the region of few objects.
func (s *Shifter) Region(own ids.Region, object uint32) ids.Region {
	x := fraction(object)
	low, high := 0.0, 1.0
	for i, o := range s.others {
		// The other regions take objects from both ends, so that a change of the share of one of
		// two moves no objects between them.
		if i%2 == 0 {
			low += o.part
		} else {
			high -= o.part
		}
		if x < low || x >= high {
			return o.region
		}
	}
	return own
}

// fraction returns a number from 0 to 1 that depends on the object.
func fraction(object uint32) float64 {
	const increment = 0x9e3779b97f4a7c15 // that of SplitMix64
	return hasher.Fraction(hasher.Mix(uint64(object) + increment))
}

// utilisation returns the ratio of requests to slots.
func (l Load) utilisation() float64 { return l.Backlog / max(l.Slots, 1) }

// room returns the free slots, or a small part of the slots of a full region.
func (l Load) room() float64 {
	const minPart = 0.02
	return max(highUtilisation*l.Slots-l.Backlog, minPart*l.Slots, minPart)
}

// initialOwn returns the part of the requests that the own region has slots for if all regions
// have the same demand.
func initialOwn(mine Load, loads []Load) float64 {
	total := 0.0
	for _, l := range loads {
		total += l.Slots
	}
	demand := expectedUtilisation * total / float64(len(loads))
	return min(highUtilisation*mine.Slots/max(demand, 1), 1)
}

func otherLoads(own ids.Region, loads []Load) []Load {
	var rest []Load
	for _, l := range loads {
		if l.Region != own {
			rest = append(rest, l)
		}
	}
	return rest
}

func loadOf(region ids.Region, loads []Load) Load {
	for _, l := range loads {
		if l.Region == region {
			return l
		}
	}
	return Load{Region: region}
}

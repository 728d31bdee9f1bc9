// Package placer decides which targets of a service may get the requests for an object, by
// rendezvous hashing. All hosts that know the same targets agree on them, so that an object
// stays on few targets, which keep it warm, and a choice among them costs the same however
// many targets there are.
//
// A caller builds a Placer whenever the targets change, and asks Candidates for each request.
package placer

import (
	"cmp"
	"slices"

	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Place is a target, with the hash by which all hosts know it.
type Place struct {
	Hash   uint32
	Zone   ids.Zone
	Region ids.Region
}

// Group lists the candidates for an object in one availability zone, the preferred ones
// first.
type Group struct {
	Zone       ids.Zone
	Region     ids.Region
	Candidates []Candidate
}

// Candidate is a target that may get the requests for an object.
type Candidate struct {
	// Index is that in the list of places.
	Index int
	// Order is the position among the candidates of the region: 0 for the target that gets
	// the object first. The first candidates of all its zones go before the second ones.
	Order int
	score uint64
}

const (
	// maxPerZone is the number of candidates in a zone. Further ones than are usually needed
	// stand in for those that take no requests at the moment.
	maxPerZone = 4
	// maxCached bounds the objects whose candidates are remembered.
	maxCached = 4096
)

// Placer holds the targets of a service by zone. It is not safe for concurrent use.
type Placer struct {
	zones []zone
	cache map[uint32][]Group
}

// zone lists the targets of an availability zone.
type zone struct {
	name   ids.Zone
	region ids.Region
	places []member
}

// member is a target in the list of places.
type member struct {
	hash  uint32
	index int
}

// New returns a Placer for the given targets. Candidates lists the zone own first, then the
// other zones of ownRegion.
func New(own ids.Zone, ownRegion ids.Region, places []Place) *Placer {
	p := &Placer{cache: make(map[uint32][]Group)}
	for i, pl := range places {
		z := p.zone(pl)
		z.places = append(z.places, member{pl.Hash, i})
	}
	distance := func(z zone) int {
		switch {
		case z.name == own:
			return 0
		case z.region == ownRegion:
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(p.zones, func(a, b zone) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(a.name, b.name))
	})
	return p
}

// zone returns the zone of a target, which it adds if needed.
func (p *Placer) zone(pl Place) *zone {
	i := slices.IndexFunc(p.zones, func(z zone) bool { return z.name == pl.Zone })
	if i < 0 {
		i = len(p.zones)
		p.zones = append(p.zones, zone{name: pl.Zone, region: pl.Region})
	}
	return &p.zones[i]
}

// Candidates returns the candidates for an object, by zone. The result must not be changed.
func (p *Placer) Candidates(object uint32) []Group {
	if groups, ok := p.cache[object]; ok {
		return groups
	}
	if len(p.cache) >= maxCached {
		clear(p.cache)
	}
	groups := make([]Group, 0, len(p.zones))
	for _, z := range p.zones {
		groups = append(groups, Group{Zone: z.name, Region: z.region, Candidates: z.highest(object)})
	}
	order(groups)
	p.cache[object] = groups
	return groups
}

// order numbers the candidates of each region.
func order(groups []Group) {
	for i := range groups {
		for j := range groups[i].Candidates {
			c := &groups[i].Candidates[j]
			for k := range groups {
				if groups[k].Region == groups[i].Region {
					c.Order += before(groups[k].Candidates, j, c.score)
				}
			}
		}
	}
}

// before returns how many of a zone's candidates go before one at position j with a score.
func before(all []Candidate, j int, score uint64) int {
	n := min(j, len(all))
	if j < len(all) && all[j].score > score {
		n++
	}
	return n
}

// highest returns the targets with the highest hashes for an object, the highest first.
func (z *zone) highest(object uint32) []Candidate {
	var best [maxPerZone]Candidate
	n := 0
	for _, m := range z.places {
		score := hasher.MixPair(object, m.hash)
		if n == maxPerZone && score <= best[n-1].score {
			continue
		}
		n = min(n+1, maxPerZone)
		i := n - 1
		for ; i > 0 && best[i-1].score < score; i-- {
			best[i] = best[i-1]
		}
		best[i] = Candidate{Index: m.index, score: score}
	}
	return slices.Clone(best[:n])
}

package placer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/placer"
)

// places returns targets in the zones e1, e2 (east) and w1, w2 (west), as many in each as counts
// says.
func places(counts ...int) []placer.Place {
	zones := []placer.Place{{Zone: "e1", Region: "east"}, {Zone: "e2", Region: "east"}, {Zone: "w1", Region: "west"}, {Zone: "w2", Region: "west"}}
	var all []placer.Place
	for z, n := range counts {
		for i := range n {
			p := zones[z]
			p.Hash = hasher.Sum32(fmt.Sprintf("%s-%d", p.Zone, i))
			all = append(all, p)
		}
	}
	return all
}

// candidate is a candidate as all hosts know it.
type candidate struct {
	hash   uint32
	order  int
	region ids.Region
}

// byZone returns the candidates for an object.
func byZone(p *placer.Placer, all []placer.Place, object uint32) map[ids.Zone][]candidate {
	found := make(map[ids.Zone][]candidate)
	for _, g := range p.Candidates(object) {
		for _, c := range g.Candidates {
			found[g.Zone] = append(found[g.Zone], candidate{all[c.Index].Hash, c.Order, g.Region})
		}
	}
	return found
}

// Load: hosts of all zones, which know the targets in different orders. Guards against objects
// that hosts put on different targets, where each makes the object warm once more.
func TestRandomisedHostsAgreeOnCandidates(t *testing.T) {
	is := is.New(t)
	rnd := seeds.NewRand(t)
	all := places(20, 15, 3, 1)
	first := placer.New("e1", "east", all)
	for _, host := range []placer.Place{{Zone: "e1", Region: "east"}, {Zone: "e2", Region: "east"}, {Zone: "w1", Region: "west"}} {
		shuffled := slices.Clone(all)
		rnd.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		other := placer.New(host.Zone, host.Region, shuffled)
		for object := range uint32(500) {
			is.Equal(byZone(other, shuffled, object), byZone(first, all, object))
			is.Equal(other.Candidates(object)[0].Zone, host.Zone)     // its own zone first,
			is.Equal(other.Candidates(object)[1].Region, host.Region) // then its region
		}
	}
}

// Guards against candidates of a region with the same number, or with none for the first place,
// as the balancer gives an object to the first ones.
func TestOrderNumbersTheCandidatesOfARegion(t *testing.T) {
	is := is.New(t)
	all := places(20, 2, 3, 1)
	p := placer.New("e1", "east", all)
	firstInE2 := 0
	for object := range uint32(1000) {
		orders := make(map[ids.Region][]int)
		for zone, candidates := range byZone(p, all, object) {
			last := -1
			for _, c := range candidates {
				is.True(c.order > last) // a zone's preferred target goes first
				last = c.order
				orders[c.region] = append(orders[c.region], c.order)
			}
			is.True(len(candidates) < 2 || candidates[0].order < 2) // first candidates of all zones go before second ones
			if zone == "e2" && candidates[0].order == 0 {
				firstInE2++
			}
		}
		for _, numbers := range orders {
			slices.Sort(numbers)
			for i, n := range numbers {
				is.Equal(n, i)
			}
		}
	}
	is.True(firstInE2 > 60 && firstInE2 < 130) // 91 of 1,000, in proportion to its 2 targets of 22
}

// Load: a target comes or goes. Guards against a rebuilt assignment that makes all objects cold:
// only about one in n objects of the zone may get another first target.
func TestChangedTargetMovesFewObjects(t *testing.T) {
	for _, removed := range []int{0, 7, 19} {
		t.Run(fmt.Sprint(removed), func(t *testing.T) {
			is := is.New(t)
			all := places(20, 20)
			rest := slices.Delete(slices.Clone(all), removed, removed+1)
			before, after := placer.New("e1", "east", all), placer.New("e1", "east", rest)
			const objects = 4000
			moved := 0
			for object := range uint32(objects) {
				a, b := byZone(before, all, object), byZone(after, rest, object)
				if a["e1"][0].hash != b["e1"][0].hash {
					moved++
					is.Equal(a["e1"][0].hash, all[removed].Hash) // only its own objects move,
					is.Equal(a["e1"][1].hash, b["e1"][0].hash)   // to the second candidate
				}
				is.Equal(len(a["e2"]), len(b["e2"]))
				for i := range a["e2"] {
					is.Equal(a["e2"][i].hash, b["e2"][i].hash)
				}
			}
			is.True(moved > objects/20*7/10)
			is.True(moved < objects/20*13/10)
		})
	}
}

// Guards against a target that is first for many more objects than others, and so full while
// they are idle.
func TestObjectsSpreadEvenly(t *testing.T) {
	is := is.New(t)
	all := places(30)
	p := placer.New("e1", "east", all)
	counts := make(map[uint32]int)
	const objects = 30_000
	for object := range uint32(objects) {
		counts[byZone(p, all, hasher.Sum32(fmt.Sprint(object)))["e1"][0].hash]++
	}
	is.Equal(len(counts), len(all))
	for _, n := range counts {
		is.True(n > 850 && n < 1150) // 1,000 on average, with a standard deviation of 32
	}
}

// Load: a million objects, each once. Guards against a cache that grows without bound, and
// against one that returns the candidates of another object.
func TestCacheIsBounded(t *testing.T) {
	is := is.New(t)
	all := places(3, 3)
	p := placer.New("e1", "east", all)
	perRound := testing.AllocsPerRun(1, func() {
		for object := range uint32(10_000) {
			p.Candidates(object)
		}
	})
	is.True(perRound > 10_000) // far more objects than are remembered
	for object := range uint32(100) {
		fresh := placer.New("e1", "east", all)
		is.Equal(p.Candidates(object), fresh.Candidates(object))
	}
	is.Equal(testing.AllocsPerRun(10, func() { p.Candidates(1) }), 0.0)
}

// Guards against a panic where there is nothing to choose from.
func TestNoTargets(t *testing.T) {
	is := is.New(t)
	is.Equal(len(placer.New("e1", "east", nil).Candidates(1)), 0)
	groups := placer.New("e1", "east", places(0, 0, 1)).Candidates(1)
	is.Equal(len(groups), 1)
	is.Equal(groups[0].Candidates[0].Order, 0)
}

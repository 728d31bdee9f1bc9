package balancer

import (
	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Object is the short name of what a request is about: hosts tell each other
// which objects a target served.
type ObjectHash uint32

// NoObject stands for requests whose object is not known.
const NoObject ObjectHash = 0

// NameObject returns the short name of an object of a class of requests.
func HashObject(class, object string) ObjectHash {
	if object == "" {
		return NoObject
	}
	n := ObjectHash(hasher.Sum32(class + "/" + object))
	if n == NoObject {
		return 1
	}
	return n
}

// NameTarget returns the short name of a target.
func HashTarget(id ids.Target) uint32 { return hasher.Sum32(string(id)) }

const (
	// firstKept is how many objects a target is assumed to keep warm until
	// answers tell.
	firstKept = 16
	// leastKept and mostKept bound that assumption.
	leastKept = 4
	mostKept  = 256
	// keptStep is the change of the assumption by one answer that contradicts
	// it.
	keptStep = 0.25
)

// recency holds the objects that a target served, the most recent one first.
type recency struct {
	order []ObjectHash
}

// rank returns how many other objects were served since, or -1 if the object is
// not known.
func (r *recency) rank(o ObjectHash) int {
	for i, x := range r.order {
		if x == o {
			return i
		}
	}
	return -1
}

// touch makes o the most recent object. It reports whether o is new, and which
// object was forgotten as the last one over the bound, or NoObject.
func (r *recency) touch(o ObjectHash, bound int) (isNew bool, evicted ObjectHash) {
	i := r.rank(o)
	if i < 0 {
		isNew = true
		r.order = append(r.order, o)
		i = len(r.order) - 1
	}
	copy(r.order[1:i+1], r.order[:i])
	r.order[0] = o
	if len(r.order) > bound {
		evicted = r.order[bound]
		r.order = r.order[:bound]
	}
	return isNew, evicted
}

// spread returns a number in [0, 1) by which objects are spread over targets,
// alike on every host.
func spread(o ObjectHash, target uint32) float64 {
	x := uint64(o)<<32 | uint64(target)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

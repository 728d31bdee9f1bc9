package balancer

import (
	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// ObjectHash identifies the object that a request is about in messages between hosts.
// Two objects may have the same hash.
type ObjectHash uint32

// NoObject stands for an unknown object.
const NoObject ObjectHash = 0

// HashObject returns the hash of an object of a class of requests, or NoObject if
// object is empty.
func HashObject(class, object string) ObjectHash {
	if object == "" {
		return NoObject
	}
	hash := ObjectHash(hasher.Sum32(class + "/" + object))
	if hash == NoObject {
		return 1
	}
	return hash
}

// HashTarget returns the hash by which messages between hosts identify a target.
func HashTarget(id ids.Target) uint32 { return hasher.Sum32(string(id)) }

const (
	// initialWarmCapacity is the assumed number of objects that a target keeps warm
	// before any answer was measured.
	initialWarmCapacity = 16
	// minWarmCapacity and maxWarmCapacity bound the estimate.
	minWarmCapacity = 4
	maxWarmCapacity = 256
	// warmCapacityStep is the change of the estimate by one answer that contradicts it.
	warmCapacityStep = 0.25
)

// recency lists the objects that a target was sent requests for, the most recent first.
type recency struct {
	objects []ObjectHash
}

// rank returns how many other objects were used since o, or -1 if o is not listed.
func (r *recency) rank(o ObjectHash) int {
	for i, x := range r.objects {
		if x == o {
			return i
		}
	}
	return -1
}

// touch moves o to the front. It reports whether o is new, and returns the object that
// was evicted because the list exceeded bound, or NoObject.
func (r *recency) touch(o ObjectHash, bound int) (isNew bool, evicted ObjectHash) {
	i := r.rank(o)
	if i < 0 {
		isNew = true
		r.objects = append(r.objects, o)
		i = len(r.objects) - 1
	}
	copy(r.objects[1:i+1], r.objects[:i])
	r.objects[0] = o
	if len(r.objects) > bound {
		evicted = r.objects[bound]
		r.objects = r.objects[:bound]
	}
	return isNew, evicted
}

// spreadHash returns a number in [0, 1) from the object and target hashes. All hosts
// compute the same number.
func spreadHash(o ObjectHash, target uint32) float64 {
	return hasher.Fraction(hasher.MixPair(uint32(o), target))
}

package balancer

import "slices"

// touch notes that t served an object just now, and keeps the index of the targets
// that hold it. The caller holds the lock.
func (pl *pool) touch(t *target, o ObjectHash) {
	isNew, evicted := t.warm.touch(o, mostKept)
	if isNew {
		pl.holders[o] = append(pl.holders[o], t)
	}
	if evicted != NoObject {
		pl.drop(t, evicted)
	}
}

// drop takes t out of the index of an object. The caller holds the lock.
func (pl *pool) drop(t *target, o ObjectHash) {
	rest := slices.DeleteFunc(pl.holders[o], func(h *target) bool { return h == t })
	if len(rest) == 0 {
		delete(pl.holders, o)
		return
	}
	pl.holders[o] = rest
}

// forget takes a target out of the index altogether. The caller holds the lock.
func (pl *pool) forget(t *target) {
	for _, o := range t.warm.order {
		pl.drop(t, o)
	}
}

// rank marks the targets that hold an object with its rank there, for one choice. The
// caller holds the lock.
func (pl *pool) rank(o ObjectHash) {
	pl.choices++
	if o == NoObject {
		return
	}
	for _, t := range pl.holders[o] {
		t.rank, t.rankedIn = t.warm.rank(o), pl.choices
	}
}

// rankOf returns the rank of the object at t in the choice being made, -1 if it is
// not held. The caller holds the lock.
func (pl *pool) rankOf(t *target) int {
	if t.rankedIn != pl.choices {
		return -1
	}
	return t.rank
}

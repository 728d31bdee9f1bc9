package balancer

import "slices"

// recordUse records that t was sent a request for object o, and updates the index of
// targets by object. The caller holds the lock.
func (pl *pool) recordUse(t *target, o ObjectHash) {
	isNew, evicted := t.recent.touch(o, maxWarmCapacity)
	if isNew {
		pl.holders[o] = append(pl.holders[o], t)
	}
	if evicted != NoObject {
		pl.removeHolder(t, evicted)
	}
}

// removeHolder removes t from the index entry of an object. The caller holds the lock.
func (pl *pool) removeHolder(t *target, o ObjectHash) {
	rest := slices.DeleteFunc(pl.holders[o], func(h *target) bool { return h == t })
	if len(rest) == 0 {
		delete(pl.holders, o)
		return
	}
	pl.holders[o] = rest
}

// forgetTarget removes t from the whole index. The caller holds the lock.
func (pl *pool) forgetTarget(t *target) {
	for _, o := range t.recent.objects {
		pl.removeHolder(t, o)
	}
}

// rankHolders stores in each target that holds o the rank of o there, for the current
// choice. The caller holds the lock.
func (pl *pool) rankHolders(o ObjectHash) {
	pl.choiceCount++
	if o == NoObject {
		return
	}
	for _, t := range pl.holders[o] {
		t.rank, t.rankedIn = t.recent.rank(o), pl.choiceCount
	}
}

// rankOf returns the rank of the current choice's object at t, or -1 if t does not hold
// it. The caller holds the lock.
func (pl *pool) rankOf(t *target) int {
	if t.rankedIn != pl.choiceCount {
		return -1
	}
	return t.rank
}

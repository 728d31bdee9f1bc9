package isolator

import (
	"slices"
	"time"
)

// entry is what is known of one request.
type entry struct {
	Observation
	// successive is the number of successive crashes, which are the first ones of Crashes.
	successive int
	// nextTrial is when this host may try the request again.
	nextTrial time.Time
	// changedAt is when the crashes last changed.
	changedAt time.Time
	// local is set if this host saw one of the crashes.
	local bool
	// storedSince is since when the platform's store is known to contain the request, zero
	// if it does not. savedAt is when Unsaved last returned it.
	storedSince, savedAt time.Time
}

// stored reports whether the store's word counts: it does until hosts know as much by
// themselves, or of an answer.
func (e *entry) stored() bool {
	return !e.storedSince.IsZero() && e.ClearedAt.IsZero() && e.successive < minCrashes
}

// merge takes in another observation of the same request. It reports whether the crashes
// that count have changed.
func (e *entry) merge(o Observation) bool {
	if o.ClearedAt.After(e.ClearedAt) {
		e.ClearedAt = o.ClearedAt
	}
	before, beforeSuccessive := len(e.Crashes), e.successive
	known := e.uncleared(e.Crashes)
	all := slices.Concat(known, e.uncleared(o.Crashes))
	chain := successive(all)
	if old := successive(known); !extends(chain, old) {
		chain = old // the same crash, as told by another host, has slightly other times
	}
	e.successive = len(chain)
	for _, c := range all {
		if len(chain) < minCrashes && !slices.ContainsFunc(chain, func(o Crash) bool { return o.Run == c.Run }) {
			chain = append(chain, c)
		}
	}
	e.Crashes = chain
	return len(e.Crashes) != before || e.successive != beforeSuccessive
}

// uncleared returns the crashes after the last answer.
func (e *entry) uncleared(all []Crash) []Crash {
	return slices.DeleteFunc(slices.Clone(all), func(c Crash) bool { return !c.CrashedAt.After(e.ClearedAt) })
}

// extends reports whether a chain has another crash than old, which is a beginning of it or
// has maxCrashes too.
func extends(chain, old []Crash) bool {
	n := len(chain)
	if n != len(old) || n < maxCrashes {
		return n > len(old)
	}
	return chain[n-1].SentAt.Sub(old[n-1].CrashedAt) >= minGap
}

// successive returns crashes of which each one's request was sent after the one before, as
// many as there are. If there are more than maxCrashes, the last one is the latest.
func successive(crashes []Crash) []Crash {
	var chain []Crash
	for _, c := range slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.CrashedAt.Compare(b.CrashedAt) }) {
		if !follows(c, chain) {
			continue
		}
		chain = append(chain[:min(len(chain), maxCrashes-1)], c)
	}
	return chain
}

// follows reports whether the request was sent after the last of the crashes, if any.
func follows(c Crash, chain []Crash) bool {
	if len(chain) > 0 && c.SentAt.Sub(chain[len(chain)-1].CrashedAt) < minGap {
		return false
	}
	return !slices.ContainsFunc(chain, func(o Crash) bool {
		return o.Run == c.Run && c.SentAt.Sub(o.CrashedAt) < sameRunGap
	})
}

// isolatedUntil returns until when the request is isolated, the zero time if it was not.
func (e *entry) isolatedUntil() time.Time {
	switch n := len(e.Crashes); {
	case e.stored() && n == 0:
		return e.storedSince.Add(isolationTime)
	case e.stored():
		return e.Crashes[n-1].CrashedAt.Add(isolationTime * isolationFactor)
	case e.successive < minCrashes:
		return time.Time{}
	}
	d := isolationTime
	for range e.successive - minCrashes {
		d *= isolationFactor
	}
	return e.Crashes[e.successive-1].CrashedAt.Add(d)
}

// onTrial reports whether the request is tried by one host at a time, unless it is
// isolated.
func (e *entry) onTrial() bool { return e.stored() || len(e.Crashes) >= minCrashes }

// suspectedSince returns when the request was first suspected, as far as is known. It is to
// be called only if it is on trial.
func (e *entry) suspectedSince() time.Time {
	if e.stored() {
		return e.storedSince
	}
	return e.Crashes[0].CrashedAt
}

// expired reports whether the entry is no longer of use.
func (e *entry) expired(now time.Time) bool {
	if !e.storedSince.IsZero() {
		return false
	}
	if len(e.Crashes) == 0 {
		return now.Sub(e.ClearedAt) > clearedTime
	}
	recent := slices.ContainsFunc(e.Crashes, func(c Crash) bool { return now.Sub(c.CrashedAt) <= suspicionTime })
	return !recent && now.After(e.isolatedUntil())
}

// lessImportant reports whether e is to be forgotten rather than o.
func (e *entry) lessImportant(o *entry) bool {
	if e.stored() != o.stored() {
		return o.stored()
	}
	if len(e.Crashes) != len(o.Crashes) {
		return len(e.Crashes) < len(o.Crashes)
	}
	return e.changedAt.Before(o.changedAt)
}

// observation returns a copy of what is known.
func (e *entry) observation() Observation {
	o := e.Observation
	o.Crashes = slices.Clone(e.Crashes)
	return o
}

// age makes the entry older.
func (e *entry) age(d time.Duration) {
	if !e.ClearedAt.IsZero() {
		e.ClearedAt = e.ClearedAt.Add(-d)
	}
	for i := range e.Crashes {
		e.Crashes[i].SentAt = e.Crashes[i].SentAt.Add(-d)
		e.Crashes[i].CrashedAt = e.Crashes[i].CrashedAt.Add(-d)
	}
}

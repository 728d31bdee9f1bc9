// Package reconciler merges what the entry hosts observe of the targets' limits. For each
// run of a target the newest observation of any host counts, so that hosts that were not
// told by the target itself learn of its limit, of its changes and of its end.
//
// The caller passes what a target's answers tell to ObserveAnswer, and what other hosts sent
// to Observe, and sends the result of Due to the other hosts in every round of messages.
package reconciler

import (
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// announceTime is how long a change is sent in every round.
	announceTime = time.Second
	// refreshInterval is how much newer an observation that changes nothing has to be. It
	// is longer than messages take, so that the hosts do not pass an observation on to
	// each other for ever.
	refreshInterval = time.Second
	// endedRetention is how long the end of a limit is remembered and told, and
	// limitRetention how long a limit is without a new observation.
	endedRetention = 10 * time.Second
	limitRetention = 10 * time.Minute
	// repeatedLimits is the number of unchanged limits in each round of messages.
	repeatedLimits = 2
)

// RunHash identifies one run of a target's process in messages between hosts.
type RunHash uint32

// Observation is what a target said of its limit.
type Observation struct {
	Run RunHash
	// Rate is the limit, 0 for none.
	Rate ids.Rate
	// NamedAt is when the target named a limit for the first time, and SeenAt the time for
	// which the rate is known.
	NamedAt, SeenAt time.Time
}

// Reconciler holds the newest observation of each target's run. The zero value is empty
// and ready for use, and its methods are safe for concurrent use.
type Reconciler struct {
	mu   sync.Mutex
	runs map[RunHash]*entry
	// order lists the runs in the order in which unchanged limits are sent. nextRepeated
	// is the index of the next one.
	order        []RunHash
	nextRepeated int
}

// entry is the newest observation of a run.
type entry struct {
	Observation
	changedAt time.Time
}

// ObserveAnswer takes in the rate, 0 for no limit, that a target named in its answer to a
// request that was sent at sentAt. It reports the same as Observe.
//
// The target may have said so at any time between then and now. So an answer that allows
// more than what is known, or names no limit, counts for the time at which its request was
// sent, and every other one for now: an answer that was on its way when the target named a
// limit does not end it.
func (r *Reconciler) ObserveAnswer(run RunHash, rate ids.Rate, sentAt time.Time) bool {
	now := time.Now()
	o := Observation{Run: run, Rate: rate, NamedAt: now, SeenAt: now}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.runs[run]; e != nil && e.Rate > 0 && (rate == 0 || rate > e.Rate) {
		o.SeenAt = sentAt
	}
	return r.observe(o, now)
}

// Observe takes in an observation of another host. It reports whether what counts for the
// run has changed, which Get returns.
func (r *Reconciler) Observe(o Observation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observe(o, time.Now())
}

// observe takes in an observation. The caller holds the lock.
func (r *Reconciler) observe(o Observation, now time.Time) bool {
	e := r.runs[o.Run]
	switch {
	case e == nil && o.Rate == 0:
		return false
	case e == nil:
		r.add(&entry{o, now})
		return true
	}
	old := e.Observation
	e.merge(o)
	if e.Rate != old.Rate {
		e.changedAt = now
		return true
	}
	return !e.NamedAt.Equal(old.NamedAt)
}

// merge takes in another observation of the same run.
func (e *entry) merge(o Observation) {
	age := e.SeenAt.Sub(o.SeenAt)
	switch {
	case o.Rate == e.Rate && age < -refreshInterval:
		e.SeenAt = o.SeenAt
	case o.Rate == e.Rate:
	case age >= 0:
		return
	case e.Rate == 0 || o.Rate == 0:
		e.Observation = o
	default:
		e.Rate, e.SeenAt = o.Rate, o.SeenAt
	}
	if o.Rate > 0 && o.NamedAt.Before(e.NamedAt) {
		e.NamedAt = o.NamedAt
	}
}

// add adds the first observation of a run. The caller holds the lock.
func (r *Reconciler) add(e *entry) {
	if r.runs == nil {
		r.runs = make(map[RunHash]*entry)
	}
	r.runs[e.Run] = e
	r.order = append(r.order, e.Run)
}

// Get returns what is known of a run; its Rate is 0 if that is nothing.
func (r *Reconciler) Get(run RunHash) Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.runs[run]; e != nil {
		return e.Observation
	}
	return Observation{Run: run}
}

// Due returns the observations to send in a round of messages: those that changed
// recently, and some others in turn.
func (r *Reconciler) Due() []Observation {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	var due []Observation
	for _, run := range r.order {
		if e := r.runs[run]; now.Sub(e.changedAt) < announceTime {
			due = append(due, e.Observation)
		}
	}
	for range min(repeatedLimits, len(r.order)) {
		e := r.runs[r.order[r.nextRepeated%len(r.order)]]
		r.nextRepeated = (r.nextRepeated + 1) % len(r.order)
		if now.Sub(e.changedAt) >= announceTime {
			due = append(due, e.Observation)
		}
	}
	return due
}

// expire forgets old observations. The caller holds the lock.
func (r *Reconciler) expire(now time.Time) {
	r.order = slices.DeleteFunc(r.order, func(run RunHash) bool {
		e := r.runs[run]
		retention := limitRetention
		if e.Rate == 0 {
			retention = endedRetention
		}
		if now.Sub(e.SeenAt) < retention {
			return false
		}
		delete(r.runs, run)
		return true
	})
}

// Age makes all observations older, after this process was suspended for d.
func (r *Reconciler) Age(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.runs {
		e.SeenAt = e.SeenAt.Add(-d)
		e.NamedAt = e.NamedAt.Add(-d)
	}
}

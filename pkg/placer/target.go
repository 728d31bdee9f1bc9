package placer

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

const (
	// warmObjects is how many objects a target is assumed to keep warm.
	warmObjects = 24
	// loadLife is how long a target's own report of its load counts.
	loadLife = 500 * time.Millisecond
	// firstEjection and longestEjection are how long a target that failed gets
	// nothing; each failure in a row doubles it.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// speedGain is the weight of a new measurement in a moving average.
	speedGain = 0.2
)

// target is what this host knows of one target. The pool's lock guards it.
type target struct {
	registrar.Target
	region ids.Region
	gone   bool

	// inFlight counts this host's requests at the target.
	inFlight int
	// load is what the target reported, running and waiting, at loadAt.
	load   int
	loadAt time.Time
	// ownAt is this host's part of load.
	ownAt int

	warm warmSet
	// slowness is how much longer than expected work takes; 1 is as expected.
	slowness float64
	// failures is the share of answers that were failures.
	failures   float64
	ejected    time.Time
	ejections  int
	coldSentAt time.Time
}

func newTarget() *target {
	return &target{slowness: 1, warm: warmSet{at: make(map[string]uint64)}}
}

// backlog estimates the requests that the target holds.
func (t *target) backlog(now time.Time) float64 {
	age := now.Sub(t.loadAt)
	if t.loadAt.IsZero() || age > loadLife {
		return float64(t.inFlight)
	}
	others := max(t.load-t.ownAt, 0)
	fresh := 1 - age.Seconds()/loadLife.Seconds()
	return float64(t.inFlight) + float64(others)*fresh
}

func (t *target) cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// eject sends nothing to the target for a while.
func (t *target) eject(now time.Time) {
	d := min(firstEjection<<min(t.ejections, 4), longestEjection)
	t.ejections++
	t.ejected = now.Add(d)
}

// warmSet holds the objects that a target served most recently.
type warmSet struct {
	at   map[string]uint64
	tick uint64
}

func (s *warmSet) has(object string) bool {
	_, ok := s.at[object]
	return ok
}

// add marks an object as served just now and drops the oldest one over the
// bound.
func (s *warmSet) add(object string) {
	s.tick++
	s.at[object] = s.tick
	if len(s.at) <= warmObjects {
		return
	}
	oldest, when := "", s.tick
	for o, at := range s.at {
		if at <= when {
			oldest, when = o, at
		}
	}
	delete(s.at, oldest)
}

// times holds how long the work of one class of requests takes.
type times struct {
	warm, cold time.Duration
}

// learn takes a measurement into a moving average.
func learn(avg *time.Duration, d time.Duration) {
	*avg += time.Duration(speedGain * float64(d-*avg))
}

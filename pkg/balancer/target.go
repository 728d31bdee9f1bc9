package balancer

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

const (
	// loadLife is how long a target's own report of its load counts.
	loadLife = 400 * time.Millisecond
	// occupiedLife is the time over which the load of a target is averaged.
	occupiedLife = 3 * time.Second
	// peerLife is how long what a peer told of its requests counts.
	peerLife = 1500 * time.Millisecond
	// firstEjection and longestEjection are how long a target that failed gets
	// nothing; each failure in a row doubles it.
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// longestPause bounds the time for which a target may ask for nothing.
	longestPause = 5 * time.Minute
	// formerLife is how long a target that is no longer registered is remembered,
	// so that it has not forgotten anything if its registration only lapsed.
	formerLife = 10 * time.Minute
	// gain is the weight of a new measurement in a moving average.
	gain = 0.2
)

// target is what this host knows of one target. The pool's lock guards it.
type target struct {
	registrar.Target
	short  uint32
	region ids.Region

	// inFlight counts this host's requests at the target.
	inFlight int
	// load is what the target reported, running and waiting, at loadAt, and
	// ownAt this host's part of it.
	load   int
	ownAt  int
	loadAt time.Time
	// told is the sum of the other hosts' requests, as they told.
	told int

	// occupied is the mean part of the slots that was taken lately, more than 1 where
	// requests waited. The target has held noticed requests since noticedAt.
	occupied  float64
	noticed   float64
	noticedAt time.Time

	warm recency
	// rank is the rank of the object that the choice rankedIn was made for.
	rank     int
	rankedIn uint64
	// slowness is how much longer than expected work takes; 1 is as expected.
	slowness float64
	// failures is the share of answers that were failures.
	failures   float64
	ejected    time.Time
	ejections  int
	coldSentAt time.Time
	// left says that the target told this host that it is leaving.
	left bool
	// paused is the end of the time for which the target wants nothing.
	paused time.Time
	// goneAt is when its registration ended.
	goneAt time.Time
}

func newTarget() *target {
	return &target{slowness: 1}
}

// backlog estimates the requests that the target holds: what the hosts tell of
// theirs, or what the target told of all.
func (t *target) backlog(now time.Time) float64 {
	told := float64(t.inFlight + t.told)
	age := now.Sub(t.loadAt)
	if t.loadAt.IsZero() || age > loadLife {
		return told
	}
	fresh := 1 - age.Seconds()/loadLife.Seconds()
	seen := float64(t.inFlight) + float64(max(t.load-t.ownAt, 0))
	return max(told, told+(seen-told)*fresh)
}

// notice notes how many requests the target holds from now on, and takes what it held
// until now into the mean.
func (t *target) notice(backlog float64, now time.Time) {
	if !t.noticedAt.IsZero() {
		age := now.Sub(t.noticedAt)
		part := float64(age) / float64(occupiedLife+age)
		t.occupied += part * (t.noticed/float64(max(t.Slots, 1)) - t.occupied)
	}
	t.noticed, t.noticedAt = backlog, now
}

func (t *target) cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// unused reports whether no host is known to have sent the target anything.
func (t *target) unused(now time.Time) bool {
	return len(t.warm.order) == 0 && t.inFlight == 0 && !t.cold(now)
}

// eject sends nothing to the target for a while.
func (t *target) eject(now time.Time) {
	d := min(firstEjection<<min(t.ejections, 4), longestEjection)
	t.ejections++
	t.ejected = now.Add(d)
}

// pause sends nothing to the target until end, or until the end of a longer pause.
func (t *target) pause(end time.Time) {
	if t.paused.Before(end) {
		t.paused = end
	}
}

// same reports whether a registration is of this run of the target.
func (t *target) same(info registrar.Target) bool {
	return t.StartMillis == info.StartMillis && t.Address == info.Address
}

// times holds how long the work of one class of requests takes, and how long its
// answers are.
type times struct {
	warm, cold time.Duration
	// measured says that an answer told of them.
	measured bool
	kib      float64
}

// learn takes a measurement into a moving average.
func learn(avg *time.Duration, d time.Duration) {
	*avg += time.Duration(gain * float64(d-*avg))
}

package picker

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The bounds of what is concluded about a target.
const (
	// rampTime is how long a cold target gets less than its share, and
	// coldShare the part of it that it gets at first.
	rampTime  = 10 * time.Second
	coldShare = 0.1
	// reportLife is the age at which a reported load or health no longer counts.
	reportLife = 3 * time.Second
	// provenFor is how long an answered request counts more than a bad probe.
	provenFor = 5 * time.Second
	// stickyLeaving is how long after the last signal a target that is never
	// seen with a newer start counts as leaving.
	stickyLeaving = time.Minute
	// retiredStarts bounds the start ids that are remembered as gone.
	retiredStarts = 16
	// slowFactor times the typical latency is what makes a target slow, and
	// slowShare the least part of its share that it gets.
	slowFactor = 2
	slowShare  = 0.05
	// slowFloor is the latency below which no target is slow.
	slowFloor = 2 * time.Millisecond
	// hungFactor times the target's own latency, and at least hungFloor, is how
	// long a request without an answer is no fault of the target.
	hungFactor = 8
	hungFloor  = time.Second
	// latencyWeight is the weight of a new sample in the smoothed latency, and
	// latencySamples the number of them that makes it count.
	latencyWeight  = 0.2
	latencySamples = 5
)

// state is what is known of one target. The group's lock guards it.
type state struct {
	name    ids.Target
	address string
	drained bool

	inFlight int
	fault    fault

	// latency is the smoothed time until an answer's head.
	latency    time.Duration
	samples    int
	answeredAt time.Time

	// probe is the last probe's result.
	probe   ProbeResult
	probeAt time.Time

	// startID names the newest run that was seen, and retired those before.
	startID   string
	retired   []string
	coldSince time.Time

	// leftAt is when the target was last said to leave; zero means that it
	// does not.
	leftAt time.Time
}

// newState returns the state of a new target, which is cold unless this host
// has just started and cannot know.
func newState(u *config.Upstream, warm bool) *state {
	t := &state{name: u.Name, address: u.Address}
	if !warm {
		t.coldSince = time.Now()
	}
	return t
}

// usable reports whether the target may be given a request.
func (t *state) usable(now time.Time) bool {
	return !t.leaving(now) && t.fault.allows(now)
}

// leaving reports whether the target takes no new work.
func (t *state) leaving(now time.Time) bool {
	if t.drained {
		return true
	}
	return !t.leftAt.IsZero() && now.Sub(t.leftAt) < stickyLeaving
}

// doubted reports whether a probe calls the target unhealthy and its requests do
// not prove otherwise.
func (t *state) doubted(now time.Time) bool {
	if t.probeAt.IsZero() || now.Sub(t.probeAt) > reportLife || t.probe.Healthy {
		return false
	}
	return !t.proven(now)
}

// proven reports whether a request was answered of late and none failed since.
func (t *state) proven(now time.Time) bool {
	if t.answeredAt.IsZero() || now.Sub(t.answeredAt) > provenFor {
		return false
	}
	return t.fault.cuts == 0 && t.fault.until.IsZero()
}

// share returns the part of its share that the target is to get, from 0 to 1.
func (t *state) share(typical time.Duration, now time.Time) float64 {
	share := 1.0
	if since := now.Sub(t.coldSince); !t.coldSince.IsZero() && since < rampTime {
		share = coldShare + (1-coldShare)*float64(since)/float64(rampTime)
	}
	limit := max(slowFactor*typical, slowFloor)
	if t.samples >= latencySamples && typical > 0 && t.latency > limit {
		share *= max(float64(limit)/float64(t.latency), slowShare)
	}
	return share
}

// lessLoaded compares own requests in flight first and reported load second.
func (t *state) lessLoaded(other *state, now time.Time) bool {
	if t.inFlight != other.inFlight {
		return t.inFlight < other.inFlight
	}
	return t.reported(now) < other.reported(now)
}

// reported returns the reported number of busy slots, or zero when it is old.
func (t *state) reported(now time.Time) int {
	if t.probeAt.IsZero() || now.Sub(t.probeAt) > reportLife {
		return 0
	}
	return t.probe.Load
}

// typicalLatency returns the median of the targets' smoothed latencies. The
// caller holds mu.
func (g *group) typicalLatency() time.Duration {
	var buf [32]time.Duration
	all := buf[:0]
	for _, t := range g.targets {
		if t.samples >= latencySamples {
			all = append(all, t.latency)
		}
	}
	if len(all) < 2 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// answered takes in the latency of an answer.
func (t *state) answered(d time.Duration, now time.Time) {
	t.answeredAt = now
	if t.samples < latencySamples {
		t.samples++
	}
	if t.latency == 0 {
		t.latency = d
		return
	}
	t.latency += time.Duration(latencyWeight * float64(d-t.latency))
}

// seenLive notes a sign of life of the run with the given start id.
func (t *state) seenLive(startID string, now time.Time) {
	if startID == "" || startID == t.startID || slices.Contains(t.retired, startID) {
		return
	}
	if t.startID != "" {
		t.retire(t.startID)
		t.coldSince = now
		t.latency, t.samples = 0, 0
		t.fault = fault{}
	}
	if !t.leftAt.IsZero() {
		t.coldSince = now
		t.leftAt = time.Time{}
	}
	t.startID = startID
}

// seenLeaving notes a sign that the run with the given start id leaves; an empty
// id stands for the present run.
func (t *state) seenLeaving(startID string, now time.Time) {
	if startID != "" && startID != t.startID {
		if slices.Contains(t.retired, startID) {
			return // The run that left is gone already.
		}
		if t.startID != "" {
			t.retire(t.startID)
		}
		t.startID = startID
	}
	if now.After(t.leftAt) {
		t.leftAt = now
	}
}

// retire remembers a start id as gone.
func (t *state) retire(startID string) {
	if len(t.retired) >= retiredStarts {
		t.retired = t.retired[1:]
	}
	t.retired = append(t.retired, startID)
}

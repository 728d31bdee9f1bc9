package picker

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The limits by which targets are judged.
const (
	// slowStartTime is how long a cold target gets less than its share of traffic,
	// and minColdShare the part of its share with which it starts.
	slowStartTime = 10 * time.Second
	minColdShare  = 0.1
	// probeMaxAge is the age from which a probe's health and load do not count.
	probeMaxAge = 3 * time.Second
	// answerTrust is how long an answered request overrides an unhealthy probe.
	answerTrust = 5 * time.Second
	// leavingTimeout is how long after the last report of it a target counts as
	// leaving, unless a newer start is seen before.
	leavingTimeout = time.Minute
	// maxRetiredStarts bounds the remembered start ids of ended processes.
	maxRetiredStarts = 16
	// slowFactor times the typical latency is the latency above which a target is
	// slow, and minSlowShare the least part of its share that it gets.
	slowFactor   = 2
	minSlowShare = 0.05
	// minSlowLatency is the latency up to which no target is slow.
	minSlowLatency = 2 * time.Millisecond
	// hungFactor times the target's own latency, but at least minHungTime, is the
	// time after which a request without an answer counts as hung.
	hungFactor  = 8
	minHungTime = time.Second
	// latencyGain is the weight of a new sample in the smoothed latency, which
	// counts from minLatencySamples samples on.
	latencyGain       = 0.2
	minLatencySamples = 5
)

// targetState is the state of one target, guarded by the lock of its
// serviceTargets.
type targetState struct {
	name    ids.Target
	address string
	drained bool

	inFlight int
	breaker  breaker

	// latency is the smoothed time until the response header.
	latency        time.Duration
	latencySamples int
	lastAnswer     time.Time

	// probe is the result of the newest probe, made at probeAt.
	probe   ProbeResult
	probeAt time.Time

	// startID identifies the newest process seen, and retired the ones before it.
	startID string
	retired []string
	// coldSince is when the target was first seen after a start; zero means it is
	// not cold.
	coldSince time.Time

	// leavingAt is when the target was last reported as leaving; zero means it is
	// not leaving.
	leavingAt time.Time
}

// newTargetState returns the state of a new target. It is cold unless warm is set,
// which is for targets of the first configuration: this host has just started and
// cannot tell how long they have run.
func newTargetState(u *config.Upstream, warm bool) *targetState {
	t := &targetState{name: u.Name, address: u.Address}
	if !warm {
		t.coldSince = time.Now()
	}
	return t
}

// usable reports whether the target may be sent a request.
func (t *targetState) usable(now time.Time) bool {
	return !t.leaving(now) && t.breaker.allows(now)
}

// leaving reports whether the target is drained or takes no new requests.
func (t *targetState) leaving(now time.Time) bool {
	if t.drained {
		return true
	}
	return !t.leavingAt.IsZero() && now.Sub(t.leavingAt) < leavingTimeout
}

// probedUnhealthy reports whether a recent probe found the target unhealthy and no
// recent answer overrides it.
func (t *targetState) probedUnhealthy(now time.Time) bool {
	if t.probeAt.IsZero() || now.Sub(t.probeAt) > probeMaxAge || t.probe.Healthy {
		return false
	}
	return !t.answeredRecently(now)
}

// answeredRecently reports whether a request was answered within answerTrust and
// none went unanswered since.
func (t *targetState) answeredRecently(now time.Time) bool {
	if t.lastAnswer.IsZero() || now.Sub(t.lastAnswer) > answerTrust {
		return false
	}
	return t.breaker.unanswered == 0 && t.breaker.ejectedUntil.IsZero()
}

// trafficShare returns the part of its even share of traffic that the target
// should get, from 0 to 1. It is below 1 for cold and slow targets.
func (t *targetState) trafficShare(typical time.Duration, now time.Time) float64 {
	share := 1.0
	if since := now.Sub(t.coldSince); !t.coldSince.IsZero() && since < slowStartTime {
		share = minColdShare + (1-minColdShare)*float64(since)/float64(slowStartTime)
	}
	limit := max(slowFactor*typical, minSlowLatency)
	if t.latencySamples >= minLatencySamples && typical > 0 && t.latency > limit {
		share *= max(float64(limit)/float64(t.latency), minSlowShare)
	}
	return share
}

// lessLoaded compares this host's requests in flight, and the reported load where
// these are equal.
func (t *targetState) lessLoaded(other *targetState, now time.Time) bool {
	if t.inFlight != other.inFlight {
		return t.inFlight < other.inFlight
	}
	return t.reportedLoad(now) < other.reportedLoad(now)
}

// reportedLoad returns the reported number of busy slots, or zero if the report is
// too old.
func (t *targetState) reportedLoad(now time.Time) int {
	if t.probeAt.IsZero() || now.Sub(t.probeAt) > probeMaxAge {
		return 0
	}
	return t.probe.Load
}

// typicalLatency returns the median of the targets' smoothed latencies, or zero if
// fewer than two targets have enough samples. The caller holds mu.
func (g *serviceTargets) typicalLatency() time.Duration {
	var buf [32]time.Duration
	all := buf[:0]
	for _, t := range g.targets {
		if t.latencySamples >= minLatencySamples {
			all = append(all, t.latency)
		}
	}
	if len(all) < 2 {
		return 0
	}
	slices.Sort(all)
	return all[(len(all)-1)/2]
}

// recordLatency adds the latency of an answer to the smoothed latency.
func (t *targetState) recordLatency(d time.Duration, now time.Time) {
	t.lastAnswer = now
	if t.latencySamples < minLatencySamples {
		t.latencySamples++
	}
	if t.latency == 0 {
		t.latency = d
		return
	}
	t.latency += time.Duration(latencyGain * float64(d-t.latency))
}

// markLive records that the process with the given start id is live. A new start
// id ends the leaving state and, if another one was known, makes the target cold
// and clears its failures. The start ids of ended processes are ignored.
func (t *targetState) markLive(startID string, now time.Time) {
	if startID == "" || startID == t.startID || slices.Contains(t.retired, startID) {
		return
	}
	if t.startID != "" {
		t.retireStart(t.startID)
		t.coldSince = now
		t.latency, t.latencySamples = 0, 0
		t.breaker = breaker{}
	}
	if !t.leavingAt.IsZero() {
		t.coldSince = now
		t.leavingAt = time.Time{}
	}
	t.startID = startID
}

// markLeaving records that the process with the given start id is leaving. An
// empty id means the current process.
func (t *targetState) markLeaving(startID string, now time.Time) {
	if startID != "" && startID != t.startID {
		if slices.Contains(t.retired, startID) {
			return // That process is gone already.
		}
		if t.startID != "" {
			t.retireStart(t.startID)
		}
		t.startID = startID
	}
	if now.After(t.leavingAt) {
		t.leavingAt = now
	}
}

// retireStart remembers the start id of an ended process.
func (t *targetState) retireStart(startID string) {
	if len(t.retired) >= maxRetiredStarts {
		t.retired = t.retired[1:]
	}
	t.retired = append(t.retired, startID)
}

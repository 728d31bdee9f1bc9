package balancer

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/reconciler"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
)

const (
	// loadReportTimeout is how long a target's own load report is used.
	loadReportTimeout = 400 * time.Millisecond
	// occupancyWindow is the time constant of a target's mean occupancy.
	occupancyWindow = 3 * time.Second
	// remoteCountTimeout is how long the in-flight counts of another host are used
	// without an update.
	remoteCountTimeout = 1500 * time.Millisecond
	// A target that could not be reached gets no requests for minEjection, doubled with
	// each failure in a row up to maxEjection.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxPause bounds the time for which a target may ask for no requests.
	maxPause = 5 * time.Minute
	// unregisteredRetention is how long the state of an unregistered target is kept, in
	// case its registration only expired.
	unregisteredRetention = 10 * time.Minute
	// meanWeight is the weight of a new sample in an exponential moving average.
	meanWeight = 0.2
)

// target is this host's view of a target. It is guarded by the pool's lock.
type target struct {
	registrar.Target
	hash   uint32
	run    reconciler.RunHash
	region ids.Region

	// inFlight is the number of this host's requests at the target.
	inFlight int
	// load is the number of running and queued requests that the target reported at
	// loadAt, when this host had inFlightAtLoad requests there.
	load           int
	inFlightAtLoad int
	loadAt         time.Time
	// remoteInFlight is the number of requests that the other hosts reported to have at
	// the target.
	remoteInFlight int

	// occupancy is the recent mean ratio of requests to slots, more than 1 when
	// requests were queued. It includes the time until lastBacklogAt; the backlog since
	// then is lastBacklog.
	occupancy     float64
	lastBacklog   float64
	lastBacklogAt time.Time

	recent recency
	// rank is the rank at this target of the object of choice number rankedIn.
	rank     int
	rankedIn uint64
	// consideredIn is the number of the last choice that considered this target.
	consideredIn uint64
	// slowness is the ratio of actual to expected service time.
	slowness float64
	// slowdown is what the target reported at slowdownAt. checkedAt is when its health was
	// last checked.
	slowdown              Slowdown
	slowdownAt, checkedAt time.Time
	// failureRate is the moving average of failures per answer, from 0 to 1.
	failureRate  float64
	ejectedUntil time.Time
	ejections    int
	// leaving means that the target told this host that it takes no new requests.
	leaving bool
	// pausedUntil is the end of the time for which the target asked for no requests.
	pausedUntil time.Time
	// limits is nil while the target has no limit and is not cold.
	limits *targetLimits
	// unregisteredAt is when the registration ended, zero while the target is
	// registered.
	unregisteredAt time.Time
}

func newTarget(run reconciler.RunHash) *target {
	return &target{run: run, slowness: 1}
}

// backlog estimates the number of requests at the target from the hosts' in-flight
// counts and, while it is recent, from the target's own load report.
func (t *target) backlog(now time.Time) float64 {
	reported := float64(t.inFlight + t.remoteInFlight)
	age := now.Sub(t.loadAt)
	if t.loadAt.IsZero() || age > loadReportTimeout {
		return reported
	}
	freshness := 1 - age.Seconds()/loadReportTimeout.Seconds()
	observed := float64(t.inFlight) + float64(max(t.load-t.inFlightAtLoad, 0))
	return max(reported, reported+(observed-reported)*freshness)
}

// recordBacklog adds the previous backlog, for the time since it was recorded, to the
// mean occupancy, and records the current one.
func (t *target) recordBacklog(backlog float64, now time.Time) {
	if !t.lastBacklogAt.IsZero() {
		age := now.Sub(t.lastBacklogAt)
		weight := float64(age) / float64(occupancyWindow+age)
		t.occupancy += weight * (t.lastBacklog/float64(max(t.Slots, 1)) - t.occupancy)
	}
	t.lastBacklog, t.lastBacklogAt = backlog, now
}

func (t *target) cold(now time.Time) bool { return now.Before(t.ColdUntil) }

// neverUsed reports whether no host is known to have sent requests to the target.
func (t *target) neverUsed(now time.Time) bool {
	return len(t.recent.objects) == 0 && t.inFlight == 0 && !t.cold(now)
}

// eject excludes the target for a while, twice as long after each failure in a row.
func (t *target) eject(now time.Time) {
	d := min(minEjection<<min(t.ejections, 4), maxEjection)
	t.ejections++
	t.ejectedUntil = now.Add(d)
}

// pause excludes the target until end, or until the end of a longer pause.
func (t *target) pause(end time.Time) {
	if t.pausedUntil.Before(end) {
		t.pausedUntil = end
	}
}

// sameRun reports whether a registration is of the same run of the target's process.
func (t *target) sameRun(info registrar.Target) bool {
	return t.StartMillis == info.StartMillis && t.Address == info.Address
}

// serviceTimes holds the estimated service times, and the mean response size in KiB, of
// one class of requests.
type serviceTimes struct {
	warm, cold time.Duration
	// measured is set once an answer has been measured.
	measured    bool
	responseKiB float64
}

// updateMean adds a sample to an exponential moving average.
func updateMean(avg *time.Duration, d time.Duration) {
	*avg += time.Duration(meanWeight * float64(d-*avg))
}

// Package throttler enforces each workspace's rate and burst over all hosts. Every host
// keeps its own copy of the workspace's token bucket, from which it takes its own
// requests and those that the other hosts report. While the bucket is nearly empty, a
// host admits no more than its share of the rate, in proportion to the demand at each
// host. The shares of hosts that are registered but not heard from are left unused.
//
// The demand for other things, such as the service of limited targets, is counted with
// CountDemand and reported in the same way.
//
// The caller calls Admit for each request, sends the result of Usages to the other
// hosts at intervals, and passes what it receives from them to Merge.
package throttler

import (
	"math/rand/v2"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

const (
	// scarcityThreshold is the fraction of the burst below which hosts keep to their
	// shares. Above it, usage that was not yet reported does no harm as long as it is
	// reported within minPropagationDelay. Longer delays raise the threshold.
	scarcityThreshold   = 0.6
	minPropagationDelay = 200 * time.Millisecond
	// maxMissedMessages is the number of missed messages in a row after which the hosts
	// of a group no longer count as reachable.
	maxMissedMessages = 3
	// isolationDelayFactor is the number of propagation delays without any message
	// after which this host counts as isolated, unless SetPropagationDelay sets a
	// longer time.
	isolationDelayFactor = 1.25
	// minReportedDemand, in requests per second, is the lowest demand that is reported
	// without new requests.
	minReportedDemand = 0.1
	// demandWindow is the time constant of the demand average.
	demandWindow = time.Second
	// allowanceWindow is how much of its share a host may accumulate, as time at its
	// share of the rate.
	allowanceWindow = 100 * time.Millisecond
	// startFraction is the fraction of the tolerance that hosts admit when they start
	// without knowing earlier usage: once while isolated and once more when they hear
	// each other.
	startFraction = 0.5
	// savedAllowanceFraction is the fraction of hosts that hold one accumulated request
	// when a workspace goes over its rate. The tolerance has to cover these first.
	savedAllowanceFraction = 0.35
	// maxRetryAfter bounds the retry delay given to rejected callers.
	maxRetryAfter = 5 * time.Second
)

// WorkspaceHash identifies a workspace in messages between hosts.
type WorkspaceHash uint32

// HashWorkspace returns the hash of a workspace's name.
func HashWorkspace(w ids.Workspace) WorkspaceHash {
	return WorkspaceHash(hasher.Sum32(string(w)))
}

// Usage is the usage of a workspace by one host, or by the hosts of a group.
type Usage struct {
	Workspace WorkspaceHash
	// Admitted is the number of requests that were admitted since the host's start.
	Admitted uint64
	// Demand is the rate of requests from callers, admitted or not, per second.
	Demand float64
}

// Throttler holds a token bucket for each workspace. The zero value is ready for use on
// a host that is alone. Its methods are safe for concurrent use; the exported fields
// must be set before the first call.
type Throttler struct {
	// HostCount returns the number of registered hosts, including this one. Nil means
	// 1.
	HostCount func() int
	// Tolerance returns how many requests a workspace may be admitted above its limit.
	// Hosts that have just started use a part of it, because they do not know the usage
	// before. Nil means 0.
	Tolerance func(w *router.Workspace) float64

	mu sync.Mutex
	// propagationDelay is the maximum age of what hosts receive from each other, and
	// isolationTimeout the time without any message after which this host is isolated.
	propagationDelay, isolationTimeout time.Duration
	buckets                            map[WorkspaceHash]*bucket
	groups                             map[ids.HostGroup]groupState
}

// RemoteUsage is a report of the usage of a group of hosts.
type RemoteUsage struct {
	Group ids.HostGroup
	// Source is the host that sent the report. The counts of different sources are
	// unrelated.
	Source ids.Instance
	// Hosts is the number of hosts in the group, without this one.
	Hosts int
	// The Admitted counts start at an arbitrary value per source. Only differences
	// between them are used, modulo 2^64.
	Usages []Usage
}

// groupState records the last report of a host group.
type groupState struct {
	source  ids.Instance
	hosts   int
	heardAt time.Time
}

// bucket is this host's view of a workspace's token bucket.
type bucket struct {
	tokens float64
	at     time.Time
	// admitted and demand are those of this host alone.
	admitted uint64
	demand   demand
	// allowance is the number of requests that this host may admit while tokens are
	// scarce.
	allowance   float64
	remoteUsage map[ids.HostGroup]*groupUsage
	// lastRetryAt is the time at which the last rejected caller was told to retry.
	lastRetryAt      time.Time
	reportedAdmitted uint64
	// unsynced means that no other host has been heard since the bucket was created.
	unsynced bool
}

// groupUsage is the last report of a workspace's usage by a group.
type groupUsage struct {
	Usage
	at time.Time
	// rate is a moving average of the requests that the group admitted per second.
	rate float64
	// replaced is set if another host reports on the group since, whose counts start anew.
	replaced bool
	// silent is set once the group no longer counts as reachable, and charged is what was taken off
	// then for the time before.
	silent  bool
	charged float64
}

// takeCharge returns what was taken off since the last report, and resets it.
func (g *groupUsage) takeCharge() float64 {
	charged := g.charged
	g.silent, g.charged = false, 0
	return charged
}

// update takes in a further report of the same host.
func (g *groupUsage) update(u Usage, now time.Time) (admitted float64) {
	admitted = max(float64(int64(u.Admitted-g.Admitted)), 0)
	if elapsed := now.Sub(g.at).Seconds(); elapsed > 0 {
		g.rate += (admitted/elapsed - g.rate) * min(elapsed/demandWindow.Seconds(), 1)
	}
	g.Usage, g.at = u, now
	return admitted
}

// demand is a moving average in requests per second.
type demand struct {
	rate float64
	at   time.Time
}

// add counts one request.
func (d *demand) add(now time.Time) {
	d.decay(now)
	d.rate += 1 / demandWindow.Seconds()
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 && !d.at.IsZero() {
		d.rate *= max(1-elapsed.Seconds()/demandWindow.Seconds(), 0)
	}
	d.at = now
}

// Hosts returns the number of hosts that share the limits, and of those that this one counts as
// reachable, itself included. The reachable ones admit their part of a limit together.
func (t *Throttler) Hosts() (all, reachable int) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	all, reachable, _ = t.countHosts(now)
	return all, reachable
}

// countHosts is Hosts for a caller that holds the lock. isolated means that this host hears no
// other.
func (t *Throttler) countHosts(now time.Time) (all, reachable int, isolated bool) {
	all, reachable, isolated = 1, 1, true
	if t.HostCount != nil {
		all = max(t.HostCount(), 1)
	}
	for _, h := range t.groups {
		age := now.Sub(h.heardAt)
		if age < maxMissedMessages*t.effectiveDelay() {
			reachable += h.hosts
		}
		isolated = isolated && age > t.effectiveIsolationTimeout()
	}
	if isolated {
		reachable = 1 // Does not wait for maxMissedMessages.
	}
	return all, reachable, isolated
}

// SetPropagationDelay sets the maximum age of what hosts receive from each other, and
// the time without any message after which a host is isolated. The latter is raised to
// at least isolationDelayFactor delays.
func (t *Throttler) SetPropagationDelay(delay, isolationTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.propagationDelay, t.isolationTimeout = delay, isolationTimeout
}

// effectiveIsolationTimeout returns the time without any message after which this host
// is isolated. The caller holds the lock.
func (t *Throttler) effectiveIsolationTimeout() time.Duration {
	return max(t.isolationTimeout, time.Duration(isolationDelayFactor*float64(t.effectiveDelay())))
}

// effectiveDelay returns the propagation delay. The caller holds the lock.
func (t *Throttler) effectiveDelay() time.Duration {
	return max(t.propagationDelay, minPropagationDelay)
}

// scarcityLevel returns the fraction of the burst below which hosts keep to their
// shares. The caller holds the lock.
func (t *Throttler) scarcityLevel() float64 {
	return 1 - (1-scarcityThreshold)*minPropagationDelay.Seconds()/t.effectiveDelay().Seconds()
}

// localLimit is the part of a workspace's limit that belongs to the hosts that hear
// each other.
type localLimit struct {
	rate, burst float64
	// startTokens is the level, over all hosts, of a bucket whose earlier usage is not
	// known.
	startTokens float64
	// fraction is the part of the limit, from 0 to 1. isolated means that this host
	// hears no other.
	fraction float64
	isolated bool
}

// localLimit returns the part of w's limit for this host and those that it hears. The
// caller holds the lock.
func (t *Throttler) localLimit(w *router.Workspace, now time.Time) localLimit {
	hosts, reachable, isolated := t.countHosts(now)
	fraction := min(float64(reachable)/float64(hosts), 1)
	l := localLimit{rate: w.Rate * fraction, burst: max(w.Burst*fraction, 1), fraction: fraction, isolated: isolated}
	if t.Tolerance != nil {
		tolerance := max(t.Tolerance(w)-savedAllowanceFraction*float64(hosts), 0)
		l.startTokens = min(w.Burst, startFraction*tolerance)
	}
	return l
}

// bucket returns the bucket of a workspace, refilled up to now. The caller holds the
// lock.
func (t *Throttler) bucket(hash WorkspaceHash, l localLimit, now time.Time) *bucket {
	b := t.buckets[hash]
	if b == nil {
		if t.buckets == nil {
			t.buckets = make(map[WorkspaceHash]*bucket)
		}
		b = newBucket(l, now)
		t.buckets[hash] = b
	}
	b.refill(l, now)
	t.chargeSilent(b, now)
	return b
}

// chargeSilent takes off once what groups that no longer count as reachable have admitted at their
// rate until then. The caller holds the lock.
func (t *Throttler) chargeSilent(b *bucket, now time.Time) {
	delay := t.effectiveDelay()
	for group, g := range b.remoteUsage {
		if g.silent || now.Sub(g.at) < maxMissedMessages*delay || t.isIdle(group, g) {
			continue
		}
		g.silent, g.charged = true, g.rate*((maxMissedMessages-1)*delay).Seconds()
		b.tokens -= g.charged
	}
}

// refill brings the bucket up to now. The caller holds the lock.
func (b *bucket) refill(l localLimit, now time.Time) {
	if b.unsynced && !l.isolated {
		b.unsynced = false
		b.tokens = max(b.tokens, l.startTokens)
	}
	elapsed := now.Sub(b.at).Seconds()
	b.at = now
	b.tokens = min(l.burst, b.tokens+l.rate*elapsed)
	shareRate := l.rate * b.demandShare()
	b.allowance = min(b.allowance+shareRate*elapsed, max(shareRate*allowanceWindow.Seconds(), 1))
}

// newBucket returns the bucket of a host that does not know earlier usage. All hosts
// that start together share the start tokens; if there is less than one for each, a
// random part of the hosts gets one.
func newBucket(l localLimit, now time.Time) *bucket {
	b := &bucket{at: now, remoteUsage: make(map[ids.HostGroup]*groupUsage), unsynced: true}
	if rand.Float64() < l.startTokens*l.fraction {
		b.tokens, b.allowance = 1, 1
	}
	return b
}

// demandShare returns this host's share of the demand, above 0 and at most 1.
func (b *bucket) demandShare() float64 {
	own := max(b.demand.rate, 0.5)
	total := own
	for _, u := range b.remoteUsage {
		total += u.Demand
	}
	return own / total
}

// Prepare creates the bucket of a workspace, so that it is full by the time of the
// first request. It should be called when the workspace is configured.
func (t *Throttler) Prepare(w *router.Workspace) {
	if w.Rate <= 0 {
		return
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bucket(HashWorkspace(w.Name), t.localLimit(w, now), now)
}

// Admit takes a token for one request of w and returns true, or returns false and the
// time after which the caller should retry.
func (t *Throttler) Admit(w *router.Workspace) (time.Duration, bool) {
	if w.Rate <= 0 {
		return 0, true
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.localLimit(w, now)
	b := t.bucket(HashWorkspace(w.Name), l, now)
	b.demand.add(now)
	if t.hasToken(b, l, now) {
		b.tokens--
		b.allowance = max(b.allowance-1, 0)
		b.admitted++
		return 0, true
	}
	return b.nextRetryAfter(l, now), false
}

// WouldAdmit reports whether Admit would admit a request of w now, and counts nothing. known is
// false if this host has no bucket of the workspace yet.
func (t *Throttler) WouldAdmit(w *router.Workspace) (admits, known bool) {
	if w.Rate <= 0 {
		return true, true
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.buckets[HashWorkspace(w.Name)]
	if b == nil {
		return false, false
	}
	t.chargeSilent(b, now)
	l, refilled := t.localLimit(w, now), *b
	refilled.refill(l, now)
	return t.hasToken(&refilled, l, now), true
}

// hasToken reports whether a refilled bucket allows one more request. The caller holds the lock.
func (t *Throttler) hasToken(b *bucket, l localLimit, now time.Time) bool {
	tokens := b.tokens - t.unreported(b, now)
	scarce := tokens < l.burst*t.scarcityLevel()
	return tokens >= 1 && (!scarce || b.allowance >= 1)
}

// unreported estimates what groups whose reports are overdue have admitted since: they go on at
// their rate. Once they no longer count as reachable, their part of the limit is left out instead,
// and chargeSilent has taken off the time before. The caller holds the lock.
func (t *Throttler) unreported(b *bucket, now time.Time) float64 {
	delay := t.effectiveDelay()
	total := 0.0
	for group, g := range b.remoteUsage {
		age := now.Sub(g.at)
		if age <= delay || g.silent || t.isIdle(group, g) {
			continue
		}
		total += g.rate * (age - delay).Seconds()
	}
	return total
}

// isIdle reports whether the last report of a group left the workspace out, as nothing was admitted.
// The caller holds the lock.
func (t *Throttler) isIdle(group ids.HostGroup, g *groupUsage) bool {
	return g.at.Before(t.groups[group].heardAt)
}

// nextRetryAfter returns a retry delay of its own for each rejected caller, spaced at
// this host's share of the rate. The caller holds the lock.
func (b *bucket) nextRetryAfter(l localLimit, now time.Time) time.Duration {
	rate := max(l.rate*b.demandShare(), 0.1)
	gap := time.Duration(float64(time.Second) / rate)
	debt := time.Duration(max(1-b.tokens, 0) / l.rate * float64(time.Second))
	first := now.Add(max(gap, debt))
	if b.lastRetryAt.Before(first) {
		b.lastRetryAt = first
	} else {
		b.lastRetryAt = b.lastRetryAt.Add(gap)
	}
	if wait := b.lastRetryAt.Sub(now); wait < maxRetryAfter {
		return wait
	}
	b.lastRetryAt = now.Add(maxRetryAfter)
	return maxRetryAfter
}

// Usages returns this host's usage of the workspaces that had requests since the last
// call or still have demand. The caller sends it to the other hosts.
func (t *Throttler) Usages() []Usage {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var all []Usage
	for hash, b := range t.buckets {
		b.demand.decay(now)
		if b.admitted == b.reportedAdmitted && b.demand.rate < minReportedDemand {
			continue
		}
		b.reportedAdmitted = b.admitted
		all = append(all, Usage{hash, b.admitted, b.demand.rate})
	}
	return all
}

// Merge takes in a report of other hosts' usage.
func (t *Throttler) Merge(r RemoteUsage) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.groups == nil {
		t.groups = make(map[ids.HostGroup]groupState)
	}
	last, known := t.groups[r.Group]
	if known && last.source != r.Source {
		t.replaceSource(r.Group, now)
	}
	t.groups[r.Group] = groupState{r.Source, r.Hosts, now}
	for _, u := range r.Usages {
		if b := t.buckets[u.Workspace]; b != nil {
			b.merge(r.Group, u, known, now)
		}
	}
	t.expireGroups(now)
}

// merge subtracts the requests that a group admitted since its last report. In the
// first report of this workspace from a known group, only what the reported demand
// explains counts as recent.
func (b *bucket) merge(group ids.HostGroup, u Usage, known bool, now time.Time) {
	g := b.remoteUsage[group]
	switch {
	case g == nil:
		if known {
			b.tokens -= min(float64(max(int64(u.Admitted), 0)), u.Demand+1)
		}
		b.remoteUsage[group] = &groupUsage{Usage: u, at: now}
	case g.replaced:
		g.Usage, g.at, g.replaced = u, now, false
	default:
		b.tokens -= g.update(u, now) - g.takeCharge()
	}
}

// replaceSource takes in that another host reports on a group from now on. Its counts tell nothing
// of the time since the last report, in which the group went on at its rate.
func (t *Throttler) replaceSource(group ids.HostGroup, now time.Time) {
	for _, b := range t.buckets {
		g := b.remoteUsage[group]
		switch {
		case g == nil:
		case t.isIdle(group, g):
			delete(b.remoteUsage, group)
		default:
			b.tokens -= g.rate*min(now.Sub(g.at), maxMissedMessages*t.effectiveDelay()).Seconds() - g.takeCharge()
			g.at, g.replaced = now, true
		}
	}
}

// resetGroup drops the counts of a group.
func (t *Throttler) resetGroup(group ids.HostGroup) {
	for _, b := range t.buckets {
		delete(b.remoteUsage, group)
	}
}

// expireGroups drops the groups that have not been heard for groupRetention.
func (t *Throttler) expireGroups(now time.Time) {
	const groupRetention = 12 * time.Second
	for group, h := range t.groups {
		if now.Sub(h.heardAt) < groupRetention {
			continue
		}
		delete(t.groups, group)
		t.resetGroup(group)
	}
}

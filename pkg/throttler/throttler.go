// Package allotter holds each workspace to its rate and burst over all hosts.
// Every host keeps the level of the whole bucket, from its own requests and
// from what the others tell of theirs. While the bucket is nearly empty, a host
// takes no more than its part of the rate, in proportion to the demand. The
// parts of hosts that are registered but not heard of stay untouched.
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
	// scarceLevel is the part of the burst below which hosts keep to their parts:
	// above it what they have not told each other yet does no harm, if they tell
	// it within shortLag. The longer they take, the higher the level.
	scarceLevel = 0.6
	shortLag    = 200 * time.Millisecond
	// missedMessages is how many messages must be missing until a host no longer
	// counts as heard of.
	missedMessages = 3
	// cutOffLags is how many lags without any message say that this host is cut off,
	// unless SetLag tells another time.
	cutOffLags = 1.25
	// leastDemand, in requests a second, is what is worth telling.
	leastDemand = 0.1
	// demandTime is the time over which demand is averaged.
	demandTime = time.Second
	// allowanceTime is how much of its part a host may save up.
	allowanceTime = 100 * time.Millisecond
	// startPart is the part of what is spare that hosts admit when they start, alone, and
	// once more when they hear each other.
	startPart = 0.5
	// savedPart is the part of the hosts that have a request of their part saved up when
	// a workspace turns hot. What is spare has to bear these first.
	savedPart = 0.35
	// longestReturn bounds the wait that is told to a refused caller.
	longestReturn = 5 * time.Second
)

// Name is the short name of a workspace by which hosts tell of it.
type WorkspaceHash uint32

// NameOf returns the short name of a workspace.
func HashWorkspace(w ids.Workspace) WorkspaceHash {
	return WorkspaceHash(hasher.Sum32(string(w)))
}

// Usage is what one host tells of a workspace.
type Usage struct {
	Workspace WorkspaceHash
	// Admitted counts the requests that the host has admitted since its start.
	Admitted uint64
	// Demand is what callers ask of the host, in requests a second.
	Demand float64
}

// Allotter holds a bucket for each workspace. The zero value is ready for a
// host that is alone, and its methods may be called from several goroutines.
type Throttler struct {
	// Members returns how many hosts are registered, this one included. Nil
	// means one.
	HostCount func() int
	// Spare returns what a workspace may be admitted over its limit. Hosts that have
	// just started use a part of it, as they do not know what was used before. Nil
	// means nothing.
	Tolerance func(w *router.Workspace) float64

	mu sync.Mutex
	// lag is how old what hosts tell each other may be, and patience the time
	// without any message after which this host is cut off.
	lag, patience time.Duration
	buckets       map[WorkspaceHash]*bucket
	heard         map[ids.HostGroup]heard
}

// Word is what was told of the use of one scope.
type RemoteUsage struct {
	Scope ids.HostGroup
	// Source is the host that told it. The counts of two sources have nothing to do
	// with each other.
	Source ids.Instance
	// Hosts is how many other hosts the scope has.
	Hosts int
	// Usages counts from a beginning of the source's own. Differences count, also
	// where they pass 0.
	Usages []Usage
}

// heard is when a scope was last heard of.
type heard struct {
	source ids.Instance
	hosts  int
	at     time.Time
}

// bucket is the level of a workspace's whole limit, as this host knows it.
type bucket struct {
	tokens float64
	at     time.Time
	// admitted and demand are this host's own.
	admitted uint64
	demand   demand
	// allowance is what this host may take while tokens are scarce.
	allowance float64
	peers     map[ids.HostGroup]*Usage
	// returnAt is when the last refused caller was told to come back.
	returnAt time.Time
	told     uint64
	// fresh says that this host has not heard others since the bucket was made.
	fresh bool
}

// demand is a moving average of requests a second.
type demand struct {
	rate float64
	at   time.Time
}

// add counts one request.
func (d *demand) add(now time.Time) {
	d.decay(now)
	d.rate += 1 / demandTime.Seconds()
}

func (d *demand) decay(now time.Time) {
	if dt := now.Sub(d.at); dt > 0 && !d.at.IsZero() {
		d.rate *= max(1-dt.Seconds()/demandTime.Seconds(), 0)
	}
	d.at = now
}

// SetLag says how old what hosts tell each other may be, and for how long a host may
// hear nothing until it is cut off; 0 means a little more than the lag.
func (a *Throttler) SetPropagationDelay(lag, patience time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lag, a.patience = lag, patience
}

// cutOffAfter returns the time without any message after which this host is cut off.
// The caller holds the lock.
func (a *Throttler) cutOffAfter() time.Duration {
	return max(a.patience, time.Duration(cutOffLags*float64(a.told())))
}

// told returns the lag. The caller holds the lock.
func (a *Throttler) told() time.Duration { return max(a.lag, shortLag) }

// scarce returns the part of the burst below which hosts keep to their parts. The
// caller holds the lock.
func (a *Throttler) scarce() float64 {
	return 1 - (1-scarceLevel)*shortLag.Seconds()/a.told().Seconds()
}

// limit is the part of a workspace's limit that the hosts that hear each other
// may use.
type limit struct {
	rate, burst float64
	// start is the level of a bucket whose past is not known, over all hosts.
	start float64
	// part is the hosts' part of the limit, and cutOff says that this host is alone.
	part   float64
	cutOff bool
}

// limit returns the part for this host and those that it hears. The caller
// holds the lock.
func (a *Throttler) limit(w *router.Workspace, now time.Time) limit {
	members := 1
	if a.HostCount != nil {
		members = max(a.HostCount(), 1)
	}
	hears := 1
	cutOff := true
	for _, h := range a.heard {
		age := now.Sub(h.at)
		if age < missedMessages*a.told() {
			hears += h.hosts
		}
		cutOff = cutOff && age > a.cutOffAfter()
	}
	if cutOff {
		hears = 1 // Nobody at all: it is this host that is cut off.
	}
	part := min(float64(hears)/float64(members), 1)
	l := limit{rate: w.Rate * part, burst: max(w.Burst*part, 1), part: part, cutOff: cutOff}
	if a.Tolerance != nil {
		spare := max(a.Tolerance(w)-savedPart*float64(members), 0)
		l.start = min(w.Burst, startPart*spare)
	}
	return l
}

// bucket returns the bucket of w, brought to now. The caller holds the lock.
func (a *Throttler) bucket(name WorkspaceHash, l limit, now time.Time) *bucket {
	b := a.buckets[name]
	if b == nil {
		if a.buckets == nil {
			a.buckets = make(map[WorkspaceHash]*bucket)
		}
		b = newBucket(l, now)
		a.buckets[name] = b
	}
	if b.fresh && !l.cutOff {
		b.fresh = false
		b.tokens = max(b.tokens, l.start)
	}
	dt := now.Sub(b.at).Seconds()
	b.at = now
	b.tokens = min(l.burst, b.tokens+l.rate*dt)
	part := l.rate * b.part()
	b.allowance = min(b.allowance+part*dt, max(part*allowanceTime.Seconds(), 1))
	return b
}

// newBucket returns the bucket of a host that does not know what was used before. All
// hosts that start together have the start level together: where that is less than one
// request for each, some have one.
func newBucket(l limit, now time.Time) *bucket {
	b := &bucket{at: now, peers: make(map[ids.HostGroup]*Usage), fresh: true}
	if rand.Float64() < l.start*l.part {
		b.tokens, b.allowance = 1, 1
	}
	return b
}

// part is this host's part of the demand, above 0 and at most 1.
func (b *bucket) part() float64 {
	own := max(b.demand.rate, 0.5)
	total := own
	for _, u := range b.peers {
		total += u.Demand
	}
	return own / total
}

// Ready prepares the bucket of a workspace, so that it is full when its first
// request comes.
func (a *Throttler) Prepare(w *router.Workspace) {
	if w.Rate <= 0 {
		return
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bucket(HashWorkspace(w.Name), a.limit(w, now), now)
}

// Admit takes one request of w. Where it is over the limit, Admit returns the
// time after which one more caller finds a token.
func (a *Throttler) Admit(w *router.Workspace) (time.Duration, bool) {
	if w.Rate <= 0 {
		return 0, true
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.limit(w, now)
	b := a.bucket(HashWorkspace(w.Name), l, now)
	b.demand.add(now)
	scarce := b.tokens < l.burst*a.scarce()
	if b.tokens >= 1 && (!scarce || b.allowance >= 1) {
		b.tokens--
		b.allowance = max(b.allowance-1, 0)
		b.admitted++
		return 0, true
	}
	return b.nextReturn(l, now), false
}

// nextReturn gives each refused caller a time of its own, at the rate at which
// tokens come. The caller holds the lock.
func (b *bucket) nextReturn(l limit, now time.Time) time.Duration {
	rate := max(l.rate*b.part(), 0.1)
	gap := time.Duration(float64(time.Second) / rate)
	debt := time.Duration(max(1-b.tokens, 0) / l.rate * float64(time.Second))
	first := now.Add(max(gap, debt))
	if b.returnAt.Before(first) {
		b.returnAt = first
	} else {
		b.returnAt = b.returnAt.Add(gap)
	}
	if wait := b.returnAt.Sub(now); wait < longestReturn {
		return wait
	}
	b.returnAt = now.Add(longestReturn)
	return longestReturn
}

// Usages returns what this host has to tell, of the workspaces that were used
// since the last call or still are.
func (a *Throttler) Usages() []Usage {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []Usage
	for name, b := range a.buckets {
		b.demand.decay(now)
		if b.admitted == b.told && b.demand.rate < leastDemand {
			continue
		}
		b.told = b.admitted
		all = append(all, Usage{name, b.admitted, b.demand.rate})
	}
	return all
}

// Absorb takes what was told of the use of other hosts.
func (a *Throttler) Merge(w RemoteUsage) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.heard == nil {
		a.heard = make(map[ids.HostGroup]heard)
	}
	last, known := a.heard[w.Scope]
	if known && last.source != w.Source {
		a.restart(w.Scope)
		known = false
	}
	a.heard[w.Scope] = heard{w.Source, w.Hosts, now}
	for _, u := range w.Usages {
		if b := a.buckets[u.Workspace]; b != nil {
			b.absorb(w.Scope, u, known)
		}
	}
	a.forget(now)
}

// absorb takes out what a scope admitted since it was last told of. Of a scope that
// has been heard for some time without a word of this workspace, only what its demand
// explains is recent.
func (b *bucket) absorb(scope ids.HostGroup, u Usage, known bool) {
	last := b.peers[scope]
	switch {
	case last != nil:
		if more := int64(u.Admitted - last.Admitted); more > 0 {
			b.tokens -= float64(more)
		}
	case known:
		b.tokens -= min(float64(max(int64(u.Admitted), 0)), u.Demand+1)
	}
	b.peers[scope] = &u
}

// restart forgets the counts of a scope, of which another host tells now.
func (a *Throttler) restart(scope ids.HostGroup) {
	for _, b := range a.buckets {
		delete(b.peers, scope)
	}
}

// forget drops the scopes that have not been heard of for long.
func (a *Throttler) forget(now time.Time) {
	const forgetTime = 12 * time.Second
	for scope, h := range a.heard {
		if now.Sub(h.at) < forgetTime {
			continue
		}
		delete(a.heard, scope)
		a.restart(scope)
	}
}

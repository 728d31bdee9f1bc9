// Package delegator decides which entry hosts speak for their availability zone, and
// whom this host tells what. There is no election and nothing to agree on: every host
// ranks the hosts alike, the first one that is heard speaks, and two that speak at
// once do no harm.
package delegator

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// takeover is how long the hosts before this one must say nothing until it
	// speaks, and takeoverStep is added for each of them.
	takeover     = 400 * time.Millisecond
	takeoverStep = 100 * time.Millisecond
	// settleTime is how long a host that was paused listens before it speaks again.
	settleTime = 500 * time.Millisecond
	// pauseTime is the time between two rounds from which on the host was paused.
	pauseTime = time.Second
	// speakerLife is how long the speaker of another zone counts as such.
	speakerLife = time.Second
	// standbys is how many hosts of the zone are told beside its speaker, so that
	// they know all when they take over.
	standbys = 2
	// tried is how many hosts of a zone without a known speaker are told at a time.
	tried = 2
)

// Host is an entry host as this one knows it.
type Host struct {
	Instance ids.Instance
	Zone     ids.Zone
	// Capacity orders the hosts of a zone: the largest speaks first.
	Capacity float64
	// Alive says that the host is heard of, and Ready that it takes callers.
	Alive, Ready bool
}

// Delegator holds who speaks. It is not safe for use by several goroutines.
type Delegator struct {
	self Host
	// order holds the hosts of each zone, those that are to speak first in front.
	order map[ids.Zone][]Host
	// spoke holds when each host of the own zone last spoke for it.
	spoke map[ids.Instance]time.Time
	// speakers holds who speaks for the other zones.
	speakers map[ids.Zone]speaker
	// free is since when no host before this one has spoken.
	free time.Time
	// settled is when this host may speak, and last the last round.
	settled, last time.Time
	speaks        bool
	// hears says that any other host is heard.
	hears  bool
	rounds int
}

// speaker is the host whose word is taken for a zone.
type speaker struct {
	instance ids.Instance
	at       time.Time
	// hears is how many hosts of its zone it named last.
	hears int
}

// New returns a Delegator for a host that has just started.
func New(self Host, now time.Time) *Delegator {
	return &Delegator{
		self: self, spoke: make(map[ids.Instance]time.Time), speakers: make(map[ids.Zone]speaker),
		free: now, settled: now, last: now,
	}
}

// Round takes all hosts, this one among them, and decides anew who speaks. It is to
// be called before each round of messages. Hears says that any other host is heard.
func (d *Delegator) Round(all []Host, hears bool, now time.Time) {
	if now.Sub(d.last) > pauseTime {
		d.settled = now.Add(settleTime)
	}
	d.last = now
	d.hears = hears
	d.rounds++
	d.rank(all)
	for instance, at := range d.spoke {
		if now.Sub(at) > speakerLife {
			delete(d.spoke, instance)
		}
	}
	place := d.place()
	wait := time.Duration(0)
	if place > 0 {
		wait = takeover + time.Duration(place)*takeoverStep
	}
	alone := len(all) < 2
	d.speaks = !now.Before(d.settled) && now.Sub(d.free) >= wait && (hears || alone || d.neverHeard(now))
}

// neverHeard reports whether this host is so young that it cannot have heard others.
func (d *Delegator) neverHeard(now time.Time) bool { return now.Sub(d.settled) < pauseTime }

// rank orders the hosts of each zone.
func (d *Delegator) rank(all []Host) {
	d.order = make(map[ids.Zone][]Host)
	for _, h := range all {
		d.order[h.Zone] = append(d.order[h.Zone], h)
	}
	for _, hosts := range d.order {
		slices.SortFunc(hosts, func(a, b Host) int {
			return cmp.Or(
				-cmp.Compare(score(a), score(b)), -cmp.Compare(a.Capacity, b.Capacity),
				cmp.Compare(a.Instance, b.Instance),
			)
		})
	}
}

// score puts living hosts before silent ones, and those that stay before those that
// leave.
func score(h Host) int {
	switch {
	case h.Alive && h.Ready:
		return 2
	case h.Alive:
		return 1
	default:
		return 0
	}
}

// place returns how many living hosts are before this one, and notes whether one of
// them speaks.
func (d *Delegator) place() int {
	place := 0
	for _, h := range d.order[d.self.Zone] {
		if h.Instance == d.self.Instance {
			break
		}
		if !h.Alive {
			continue
		}
		place++
		if at, ok := d.spoke[h.Instance]; ok && at.After(d.free) {
			d.free = at
		}
	}
	return min(place, int(pauseTime/takeoverStep))
}

// Spoke notes that a host of this host's zone spoke for it, and hears this host.
func (d *Delegator) Spoke(instance ids.Instance, now time.Time) { d.spoke[instance] = now }

// Speaks reports whether this host speaks for its zone.
func (d *Delegator) Speaks() bool { return d.speaks }

// Speaker returns the host whose word counts for this host's own zone: the first one
// that spoke lately.
func (d *Delegator) Speaker() (ids.Instance, bool) {
	for _, h := range d.order[d.self.Zone] {
		if h.Instance == d.self.Instance {
			if d.speaks {
				return h.Instance, true
			}
			continue
		}
		if _, ok := d.spoke[h.Instance]; ok {
			return h.Instance, true
		}
	}
	return "", false
}

// Listen reports whether the word of a host for another zone counts, and notes it. Of
// several speakers, the one that hears most hosts counts, or the first one by rank.
func (d *Delegator) Listen(zone ids.Zone, instance ids.Instance, hears int, now time.Time) bool {
	s, ok := d.speakers[zone]
	if ok && s.instance != instance && now.Sub(s.at) < speakerLife {
		if hears < s.hears || (hears == s.hears && d.before(zone, s.instance, instance)) {
			return false
		}
	}
	d.speakers[zone] = speaker{instance, now, hears}
	return true
}

// before reports whether one host of a zone is to speak before another.
func (d *Delegator) before(zone ids.Zone, one, other ids.Instance) bool {
	for _, h := range d.order[zone] {
		if h.Instance == one || h.Instance == other {
			return h.Instance == one
		}
	}
	return false
}

// Near returns the hosts of this host's zone that it tells of itself: the speaker,
// and those that would be next. A host that hears nobody may still be heard: it tells
// some others in turn.
func (d *Delegator) Near() []ids.Instance {
	if !d.hears {
		return d.inTurn(d.Members())
	}
	var to []ids.Instance
	if s, ok := d.Speaker(); ok && s != d.self.Instance {
		to = append(to, s)
	}
	for i, h := range d.order[d.self.Zone] {
		if i >= standbys {
			break
		}
		if h.Instance != d.self.Instance && !slices.Contains(to, h.Instance) {
			to = append(to, h.Instance)
		}
	}
	return to
}

// Members returns the other hosts of this host's zone.
func (d *Delegator) Members() []ids.Instance {
	var to []ids.Instance
	for _, h := range d.order[d.self.Zone] {
		if h.Instance != d.self.Instance {
			to = append(to, h.Instance)
		}
	}
	return to
}

// Zones returns the other availability zones, in order of their names.
func (d *Delegator) Zones() []ids.Zone {
	var all []ids.Zone
	for z := range d.order {
		if z != d.self.Zone {
			all = append(all, z)
		}
	}
	slices.Sort(all)
	return all
}

// Abroad returns the hosts of another zone that its news goes to: the speaker, or
// some hosts in turn while none is known.
func (d *Delegator) Abroad(zone ids.Zone, now time.Time) []ids.Instance {
	if s, ok := d.speakers[zone]; ok && now.Sub(s.at) < speakerLife {
		if slices.ContainsFunc(d.order[zone], func(h Host) bool { return h.Instance == s.instance }) {
			return []ids.Instance{s.instance}
		}
	}
	var hosts []ids.Instance
	for _, h := range d.order[zone] {
		hosts = append(hosts, h.Instance)
	}
	return d.inTurn(hosts)
}

// inTurn returns some of the hosts, others in each round.
func (d *Delegator) inTurn(hosts []ids.Instance) []ids.Instance {
	var to []ids.Instance
	for i := range min(tried, len(hosts)) {
		to = append(to, hosts[(d.rounds+i)%len(hosts)])
	}
	return to
}

// Heard returns the zones whose speakers are heard, in order of their names.
func (d *Delegator) Heard(now time.Time) []ids.Zone {
	var all []ids.Zone
	for z, s := range d.speakers {
		if now.Sub(s.at) < speakerLife {
			all = append(all, z)
		}
	}
	slices.Sort(all)
	return all
}

// SpeakerOf returns who speaks for another zone.
func (d *Delegator) SpeakerOf(zone ids.Zone, now time.Time) (ids.Instance, bool) {
	s, ok := d.speakers[zone]
	return s.instance, ok && now.Sub(s.at) < speakerLife
}

// Package delegator determines which entry host is the leader of each availability
// zone. The leader exchanges summaries with other zones on behalf of the hosts of its
// own zone. There is no voting: every host sorts the hosts by the same rules, and the
// first one that is heard from leads. Hosts may disagree for a while, and two leaders
// of a zone at once do no harm.
//
// The caller passes the current hosts to Update before each round of messages, and the
// messages of leaders to ObserveLeader (own zone) and AcceptLeader (other zones). The
// other methods tell to whom this host sends what.
package delegator

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// takeoverDelay is the time without a leader that ranks before this host after which
	// this host leads. takeoverDelayStep is added for each host that ranks before it.
	takeoverDelay     = 400 * time.Millisecond
	takeoverDelayStep = 100 * time.Millisecond
	// resumeDelay is how long a host that was suspended listens before it may lead
	// again.
	resumeDelay = 500 * time.Millisecond
	// suspensionThreshold is the time between two calls of Update from which on this
	// host counts as suspended in between.
	suspensionThreshold = time.Second
	// leaderTimeout is how long a leader counts as such after its last message.
	leaderTimeout = time.Second
	// standbyCount is the number of first-ranked hosts of the zone that get the reports
	// beside the leader, so that they can take over with complete data.
	standbyCount = 2
	// probeFanout is the number of hosts that are sent to at a time while no leader is
	// known.
	probeFanout = 2
)

// Host describes an entry host as this host knows it.
type Host struct {
	Instance ids.Instance
	Zone     ids.Zone
	// Capacity sorts the hosts of a zone: the largest leads.
	Capacity float64
	// Alive means that the host is heard from, and Ready that it accepts callers.
	Alive, Ready bool
}

// Delegator holds this host's view of the leaders. It is not safe for concurrent use.
type Delegator struct {
	self Host
	// ranking lists the hosts of each zone, the preferred leader first.
	ranking map[ids.Zone][]Host
	// leadersSeen holds the time of the last leader message of each host of the own
	// zone.
	leadersSeen map[ids.Instance]time.Time
	// otherLeaders holds the accepted leaders of the other zones.
	otherLeaders map[ids.Zone]leader
	// leaderlessSince is the last time at which a host that ranks before this one acted
	// as leader.
	leaderlessSince time.Time
	// eligibleAt is when this host may lead at the earliest. lastUpdate is the time of
	// the last Update.
	eligibleAt, lastUpdate time.Time
	leading                bool
	// hearsPeers means that at least one other host is heard from.
	hearsPeers bool
	rounds     int
}

// leader is the accepted leader of another zone.
type leader struct {
	instance ids.Instance
	heardAt  time.Time
	// hostsHeard is the number of live hosts of the zone by the leader's last message.
	hostsHeard int
}

// New returns a Delegator for a host that has just started.
func New(self Host, now time.Time) *Delegator {
	return &Delegator{
		self: self, leadersSeen: make(map[ids.Instance]time.Time), otherLeaders: make(map[ids.Zone]leader),
		leaderlessSince: now, eligibleAt: now, lastUpdate: now,
	}
}

// Update takes the current hosts, including this one, and decides whether this host
// leads. It must be called before each round of messages. hearsPeers tells whether any
// other host is heard from.
func (d *Delegator) Update(all []Host, hearsPeers bool, now time.Time) {
	if now.Sub(d.lastUpdate) > suspensionThreshold {
		d.eligibleAt = now.Add(resumeDelay)
	}
	d.lastUpdate = now
	d.hearsPeers = hearsPeers
	d.rounds++
	d.rankHosts(all)
	for instance, at := range d.leadersSeen {
		if now.Sub(at) > leaderTimeout {
			delete(d.leadersSeen, instance)
		}
	}
	position := d.position()
	wait := time.Duration(0)
	if position > 0 {
		wait = takeoverDelay + time.Duration(position)*takeoverDelayStep
	}
	alone := len(all) < 2
	d.leading = !now.Before(d.eligibleAt) && now.Sub(d.leaderlessSince) >= wait && (hearsPeers || alone || d.justStarted(now))
}

// justStarted reports whether this host started or resumed so recently that it may not
// have heard from others yet.
func (d *Delegator) justStarted(now time.Time) bool {
	return now.Sub(d.eligibleAt) < suspensionThreshold
}

// rankHosts sorts the hosts of each zone.
func (d *Delegator) rankHosts(all []Host) {
	d.ranking = make(map[ids.Zone][]Host)
	for _, h := range all {
		d.ranking[h.Zone] = append(d.ranking[h.Zone], h)
	}
	for _, hosts := range d.ranking {
		slices.SortFunc(hosts, func(a, b Host) int {
			return cmp.Or(
				-cmp.Compare(livenessScore(a), livenessScore(b)), -cmp.Compare(a.Capacity, b.Capacity),
				cmp.Compare(a.Instance, b.Instance),
			)
		})
	}
}

// livenessScore ranks live hosts before silent ones, and ready hosts before those that
// are shutting down.
func livenessScore(h Host) int {
	switch {
	case h.Alive && h.Ready:
		return 2
	case h.Alive:
		return 1
	default:
		return 0
	}
}

// position returns the number of live hosts that rank before this one, and updates
// leaderlessSince.
func (d *Delegator) position() int {
	position := 0
	for _, h := range d.ranking[d.self.Zone] {
		if h.Instance == d.self.Instance {
			break
		}
		if !h.Alive {
			continue
		}
		position++
		if at, ok := d.leadersSeen[h.Instance]; ok && at.After(d.leaderlessSince) {
			d.leaderlessSince = at
		}
	}
	return min(position, int(suspensionThreshold/takeoverDelayStep))
}

// ObserveLeader records a leader message of a host of the own zone. It must be called
// only if that host hears this one.
func (d *Delegator) ObserveLeader(instance ids.Instance, now time.Time) {
	d.leadersSeen[instance] = now
}

// IsLeader reports whether this host leads its zone.
func (d *Delegator) IsLeader() bool { return d.leading }

// Leader returns the leader of this host's zone: the first by rank that recently acted
// as one. It returns false if there is none.
func (d *Delegator) Leader() (ids.Instance, bool) {
	for _, h := range d.ranking[d.self.Zone] {
		if h.Instance == d.self.Instance {
			if d.leading {
				return h.Instance, true
			}
			continue
		}
		if _, ok := d.leadersSeen[h.Instance]; ok {
			return h.Instance, true
		}
	}
	return "", false
}

// AcceptLeader reports whether the message of a leader of another zone is to be used.
// Of several leaders, the one that hears the most hosts is accepted, or else the first
// by rank.
func (d *Delegator) AcceptLeader(zone ids.Zone, instance ids.Instance, hostsHeard int, now time.Time) bool {
	known, ok := d.otherLeaders[zone]
	if ok && known.instance != instance && now.Sub(known.heardAt) < leaderTimeout {
		if hostsHeard < known.hostsHeard || (hostsHeard == known.hostsHeard && d.ranksBefore(zone, known.instance, instance)) {
			return false
		}
	}
	d.otherLeaders[zone] = leader{instance, now, hostsHeard}
	return true
}

// ranksBefore reports whether host one ranks before host other in a zone.
func (d *Delegator) ranksBefore(zone ids.Zone, one, other ids.Instance) bool {
	for _, h := range d.ranking[zone] {
		if h.Instance == one || h.Instance == other {
			return h.Instance == one
		}
	}
	return false
}

// ReportRecipients returns the hosts of the zone to which this host sends its reports:
// the leader and the standbys. A host that hears no other sends to all peers in turn,
// because they may still hear it.
func (d *Delegator) ReportRecipients() []ids.Instance {
	if !d.hearsPeers {
		return d.roundRobin(d.ZonePeers())
	}
	var to []ids.Instance
	if leader, ok := d.Leader(); ok && leader != d.self.Instance {
		to = append(to, leader)
	}
	for i, h := range d.ranking[d.self.Zone] {
		if i >= standbyCount {
			break
		}
		if h.Instance != d.self.Instance && !slices.Contains(to, h.Instance) {
			to = append(to, h.Instance)
		}
	}
	return to
}

// ZonePeers returns the other hosts of this host's zone.
func (d *Delegator) ZonePeers() []ids.Instance {
	var to []ids.Instance
	for _, h := range d.ranking[d.self.Zone] {
		if h.Instance != d.self.Instance {
			to = append(to, h.Instance)
		}
	}
	return to
}

// OtherZones returns the other availability zones, sorted.
func (d *Delegator) OtherZones() []ids.Zone {
	var all []ids.Zone
	for z := range d.ranking {
		if z != d.self.Zone {
			all = append(all, z)
		}
	}
	slices.Sort(all)
	return all
}

// SummaryRecipients returns the hosts of another zone to which this zone's summary is
// sent: the leader, or a few hosts in turn while none is known.
func (d *Delegator) SummaryRecipients(zone ids.Zone, now time.Time) []ids.Instance {
	if l, ok := d.otherLeaders[zone]; ok && now.Sub(l.heardAt) < leaderTimeout {
		if slices.ContainsFunc(d.ranking[zone], func(h Host) bool { return h.Instance == l.instance }) {
			return []ids.Instance{l.instance}
		}
	}
	var hosts []ids.Instance
	for _, h := range d.ranking[zone] {
		hosts = append(hosts, h.Instance)
	}
	return d.roundRobin(hosts)
}

// roundRobin returns probeFanout of the hosts, different ones in each round.
func (d *Delegator) roundRobin(hosts []ids.Instance) []ids.Instance {
	var to []ids.Instance
	for i := range min(probeFanout, len(hosts)) {
		to = append(to, hosts[(d.rounds+i)%len(hosts)])
	}
	return to
}

// ZonesHeard returns the other zones whose leaders are heard from, sorted.
func (d *Delegator) ZonesHeard(now time.Time) []ids.Zone {
	var all []ids.Zone
	for z, l := range d.otherLeaders {
		if now.Sub(l.heardAt) < leaderTimeout {
			all = append(all, z)
		}
	}
	slices.Sort(all)
	return all
}

// LeaderOf returns the leader of another zone, and false if it is not known.
func (d *Delegator) LeaderOf(zone ids.Zone, now time.Time) (ids.Instance, bool) {
	l, ok := d.otherLeaders[zone]
	return l.instance, ok && now.Sub(l.heardAt) < leaderTimeout
}

package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// SlotUse is one host's use of the slots of one target.
type SlotUse struct {
	// Rights is the number of slots that the host may use.
	Rights int
	// InFlight is the number of its requests in flight.
	InFlight int
}

// slotChecks holds the reported slots and their use.
type slotChecks struct {
	targets      map[ids.Target]*targetSlots
	stoppedHosts map[ids.Instance]bool
}

// targetSlots holds the slots of one target and their use.
type targetSlots struct {
	revisions []slotLimit
	hosts     map[ids.Instance]SlotUse
	orphans   []orphanedRequests
}

// slotLimit is the number of a target's slots in one revision.
type slotLimit struct {
	revision  ids.Revision
	slots     int
	appliedAt time.Time
	// overlap is how long the revision before this one still applies.
	overlap time.Duration
}

// orphanedRequests counts requests of a stopped host that the target may still run.
type orphanedRequests struct {
	inFlight int
	until    time.Time
}

// target returns the state of a target. The caller holds mu.
func (s *slotChecks) target(t ids.Target) *targetSlots {
	if s.targets == nil {
		s.targets = make(map[ids.Target]*targetSlots)
	}
	st := s.targets[t]
	if st == nil {
		st = &targetSlots{hosts: make(map[ids.Instance]SlotUse)}
		s.targets[t] = st
	}
	return st
}

// SlotsConfigured reports that some host applied a revision with this number of
// slots of the target. The revision before it applies for overlap longer, until all
// hosts have applied the new one and the earlier requests have ended.
func (c *Checker) SlotsConfigured(t ids.Target, rev ids.Revision, slots int, overlap time.Duration) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.slots.target(t)
	if n := len(st.revisions); n > 0 && st.revisions[n-1].revision >= rev {
		return
	}
	st.revisions = append(st.revisions, slotLimit{revision: rev, slots: slots, appliedAt: time.Now(), overlap: overlap})
	c.note("target %s has %d slots from revision %d", t, slots, rev)
}

// maxSlots returns the largest number of slots that applies at now.
func (st *targetSlots) maxSlots(now time.Time) int {
	for len(st.revisions) > 1 && now.Sub(st.revisions[1].appliedAt) > st.revisions[1].overlap {
		st.revisions = st.revisions[1:]
	}
	highest := 0
	for _, r := range st.revisions {
		highest = max(highest, r.slots)
	}
	return highest
}

// SlotUseChanged reports a host's use of a target's slots after each change. The
// rights of all hosts must not add up to more than the target's slots.
func (c *Checker) SlotUseChanged(host ids.Instance, t ids.Target, u SlotUse) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.slots.target(t)
	if c.slots.stoppedHosts[host] {
		return // SlotHostStopped has counted the requests of a stopped host.
	}
	before := st.hosts[host]
	st.hosts[host] = u
	if u != before {
		c.note("slots of %s at %s: rights %d, in flight %d", t, host, u.Rights, u.InFlight)
	}
	if u.Rights <= before.Rights && u.InFlight <= before.InFlight {
		return // Only growth can break the bound.
	}
	rights, inFlight := st.sum(time.Now())
	if maxSlots := st.maxSlots(time.Now()); rights > maxSlots {
		c.breach("the rights to target %s add up to %d of %d slots, %d requests in flight: %s",
			t, rights, maxSlots, inFlight, st)
	}
}

// sum returns the total rights and requests in flight of all hosts, with the
// requests of stopped hosts that the target may still run.
func (st *targetSlots) sum(now time.Time) (rights, inFlight int) {
	for _, u := range st.hosts {
		rights += max(u.Rights, u.InFlight)
		inFlight += u.InFlight
	}
	st.orphans = slices.DeleteFunc(st.orphans, func(o orphanedRequests) bool { return !now.Before(o.until) })
	for _, o := range st.orphans {
		rights += o.inFlight
		inFlight += o.inFlight
	}
	return rights, inFlight
}

// String lists the hosts' rights and requests, and those of stopped hosts.
func (st *targetSlots) String() string {
	var b strings.Builder
	for _, host := range slices.Sorted(maps.Keys(st.hosts)) {
		fmt.Fprintf(&b, "%s %d/%d, ", host, st.hosts[host].InFlight, st.hosts[host].Rights)
	}
	fmt.Fprintf(&b, "stopped hosts %v", st.orphans)
	return b.String()
}

// SlotHostStopped reports that a host has crashed, or that its serving lease expired
// while it was paused. It has no rights any more, and its requests at a target end
// within the duration that timeout returns.
func (c *Checker) SlotHostStopped(host ids.Instance, timeout func(t ids.Target) time.Duration) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for t, st := range c.slots.targets {
		u, ok := st.hosts[host]
		if !ok {
			continue
		}
		delete(st.hosts, host)
		if u.InFlight > 0 {
			st.orphans = append(st.orphans, orphanedRequests{inFlight: u.InFlight, until: now.Add(timeout(t))})
		}
	}
	if c.slots.stoppedHosts == nil {
		c.slots.stoppedHosts = make(map[ids.Instance]bool)
	}
	c.slots.stoppedHosts[host] = true
	c.note("host %s has stopped", host)
}

// SlotHostResumed reports that a paused host runs again. Its changes of slot use
// count from then on.
func (c *Checker) SlotHostResumed(host ids.Instance) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.slots.stoppedHosts, host)
	c.note("host %s has resumed", host)
}

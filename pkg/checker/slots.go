package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// SlotUse is one host's rights to one target.
type SlotUse struct {
	// Rights counts the slots that the host may fill.
	Rights int
	// InFlight counts those that it fills.
	InFlight int
}

// slotsState is what the Checker knows of slots.
type slotsState struct {
	targets map[ids.Target]*slotsTarget
	stopped map[ids.Instance]bool
}

// slotsTarget is what the Checker knows of one target's slots.
type slotsTarget struct {
	revisions []slotsRevision
	hosts     map[ids.Instance]SlotUse
	orphans   []slotsOrphan
}

// slotsRevision is the number of slots that one revision gives the target.
type slotsRevision struct {
	revision ids.Revision
	slots    int
	at       time.Time
	// spread is how long the revision before it still counts.
	spread time.Duration
}

// slotsOrphan counts requests of a stopped host that the target may still run.
type slotsOrphan struct {
	inFlight int
	until    time.Time
}

// target returns the state of a target. The caller holds mu.
func (s *slotsState) target(t ids.Target) *slotsTarget {
	if s.targets == nil {
		s.targets = make(map[ids.Target]*slotsTarget)
	}
	st := s.targets[t]
	if st == nil {
		st = &slotsTarget{hosts: make(map[ids.Instance]SlotUse)}
		s.targets[t] = st
	}
	return st
}

// SlotsConfigured tells that a revision, which some host has applied, gives the
// target a number of slots. The revision before it counts for spread longer,
// until all hosts have applied the new one and the requests before it have ended.
func (c *Checker) SlotsConfigured(t ids.Target, rev ids.Revision, slots int, spread time.Duration) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.slots.target(t)
	if n := len(st.revisions); n > 0 && st.revisions[n-1].revision >= rev {
		return
	}
	st.revisions = append(st.revisions, slotsRevision{revision: rev, slots: slots, at: time.Now(), spread: spread})
	c.note("target %s has %d slots from revision %d", t, slots, rev)
}

// bound returns the greatest number of slots that counts at now.
func (st *slotsTarget) bound(now time.Time) int {
	for len(st.revisions) > 1 && now.Sub(st.revisions[1].at) > st.revisions[1].spread {
		st.revisions = st.revisions[1:]
	}
	most := 0
	for _, r := range st.revisions {
		most = max(most, r.slots)
	}
	return most
}

// SlotsHeld tells how a host's rights to a target stand, at each change. The
// rights of all hosts must not add up to more than the target's slots.
func (c *Checker) SlotUseChanged(host ids.Instance, t ids.Target, u SlotUse) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.slots.target(t)
	if c.slots.stopped[host] {
		return // What a stopped host does has been counted by SlotsStopped.
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
	if most := st.bound(time.Now()); rights > most {
		c.breach("the rights to target %s add up to %d of %d slots, %d requests in flight: %s",
			t, rights, most, inFlight, st)
	}
}

// sum adds up the rights and requests of all hosts, those of stopped hosts that
// the target may still run included.
func (st *slotsTarget) sum(now time.Time) (rights, inFlight int) {
	for _, u := range st.hosts {
		rights += max(u.Rights, u.InFlight)
		inFlight += u.InFlight
	}
	st.orphans = slices.DeleteFunc(st.orphans, func(o slotsOrphan) bool { return !now.Before(o.until) })
	for _, o := range st.orphans {
		rights += o.inFlight
		inFlight += o.inFlight
	}
	return rights, inFlight
}

// String lists the hosts' rights and requests, and those of stopped hosts.
func (st *slotsTarget) String() string {
	var b strings.Builder
	for _, host := range slices.Sorted(maps.Keys(st.hosts)) {
		fmt.Fprintf(&b, "%s %d/%d, ", host, st.hosts[host].InFlight, st.hosts[host].Rights)
	}
	fmt.Fprintf(&b, "stopped hosts %v", st.orphans)
	return b.String()
}

// SlotsStopped tells that a host has died or lost its serving lease while
// paused: its rights are void, and its requests at a target end within the
// time-out that timeout returns.
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
			st.orphans = append(st.orphans, slotsOrphan{inFlight: u.InFlight, until: now.Add(timeout(t))})
		}
	}
	if c.slots.stopped == nil {
		c.slots.stopped = make(map[ids.Instance]bool)
	}
	c.slots.stopped[host] = true
	c.note("host %s has stopped", host)
}

// SlotsResumed tells that a paused host acts again on what it held.
func (c *Checker) SlotHostResumed(host ids.Instance) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.slots.stopped, host)
	c.note("host %s has resumed", host)
}

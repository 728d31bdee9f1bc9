package delegator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/delegator"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	tick = 100 * time.Millisecond
	// maxTakeoverTime bounds the time until the next host leads its zone.
	maxTakeoverTime = time.Second
)

// startTime is the time at the start of each test.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// hosts returns n live hosts of a zone, the preferred leader first.
func hosts(zone ids.Zone, n int) []delegator.Host {
	var all []delegator.Host
	for i := range n {
		all = append(all, delegator.Host{
			Instance: ids.Instance(fmt.Sprintf("%s%d", zone, i)), Zone: zone, Alive: true, Ready: true,
		})
	}
	return all
}

func TestFirstHostLeadsImmediately(t *testing.T) {
	is := is.New(t)
	all := hosts("a", 3)
	d := delegator.New(all[0], startTime)
	d.Update(all, true, startTime)
	is.True(d.IsLeader())
	leader, ok := d.Leader()
	is.True(ok)
	is.Equal(leader, all[0].Instance)
}

// The second host leads while the first one is silent, and stops when that leads again.
func TestNextHostTakesOver(t *testing.T) {
	is := is.New(t)
	all := hosts("a", 3)
	d := delegator.New(all[1], startTime)
	now := startTime
	run := func(firstLeads bool, time time.Duration) {
		for end := now.Add(time); now.Before(end); now = now.Add(tick) {
			if firstLeads {
				d.ObserveLeader(all[0].Instance, now)
			}
			d.Update(all, true, now)
		}
	}
	run(true, 2*time.Second)
	is.True(!d.IsLeader())
	run(false, maxTakeoverTime)
	is.True(d.IsLeader())
	run(true, tick)
	is.True(!d.IsLeader())
	leader, _ := d.Leader()
	is.Equal(leader, all[0].Instance)
}

// A host with more capacity ranks first; live hosts rank before silent ones, and ready
// hosts before those that are shutting down.
func TestHostRanking(t *testing.T) {
	is := is.New(t)
	for name, change := range map[string]func(h *delegator.Host){
		"silent":  func(h *delegator.Host) { h.Alive = false },
		"leaving": func(h *delegator.Host) { h.Ready = false },
		"small":   func(h *delegator.Host) { h.Capacity = -1 },
	} {
		all := hosts("a", 2)
		change(&all[0])
		d := delegator.New(all[1], startTime)
		d.Update(all, true, startTime)
		if !d.IsLeader() {
			t.Errorf("%s: the other host does not lead", name)
		}
	}
	all := hosts("a", 2)
	all[0].Capacity, all[1].Capacity = 1, 2
	d := delegator.New(all[0], startTime)
	d.Update(all, true, startTime)
	is.True(!d.IsLeader())
}

// A host that was suspended, or hears no other host, does not lead.
func TestSuspendedOrIsolatedHostDoesNotLead(t *testing.T) {
	is := is.New(t)
	all := hosts("a", 3)
	d := delegator.New(all[0], startTime)
	now := startTime
	for range 30 {
		now = now.Add(tick)
		d.Update(all, true, now)
	}
	is.True(d.IsLeader())
	now = now.Add(5 * time.Second)
	d.Update(all, true, now)
	is.True(!d.IsLeader()) // was suspended
	for range 10 {
		now = now.Add(tick)
		d.Update(all, true, now)
	}
	is.True(d.IsLeader())
	for range 10 {
		now = now.Add(tick)
		d.Update(all, false, now)
	}
	is.True(!d.IsLeader()) // is isolated
	recipients := make(map[ids.Instance]bool)
	for range 6 {
		now = now.Add(tick)
		d.Update(all, false, now)
		for _, to := range d.ReportRecipients() {
			recipients[to] = true
		}
	}
	is.Equal(len(recipients), 2) // still sends to all peers, in turn
}

// Of two leaders of another zone the one that hears more hosts is accepted, or else the
// first by rank.
func TestLeaderConflictInOtherZone(t *testing.T) {
	is := is.New(t)
	others := hosts("b", 3)
	d := delegator.New(hosts("a", 1)[0], startTime)
	d.Update(append(hosts("a", 1), others...), true, startTime)
	is.True(d.AcceptLeader("b", others[1].Instance, 3, startTime))
	is.True(!d.AcceptLeader("b", others[0].Instance, 2, startTime)) // hears fewer hosts
	is.True(d.AcceptLeader("b", others[0].Instance, 3, startTime))  // ranks first
	is.True(!d.AcceptLeader("b", others[1].Instance, 3, startTime))
	is.Equal(d.SummaryRecipients("b", startTime), []ids.Instance{others[0].Instance})
	later := startTime.Add(2 * time.Second)
	is.True(d.AcceptLeader("b", others[2].Instance, 1, later)) // the others are silent
}

// While no leader of a zone is known, messages go to its hosts in turn.
func TestUnknownLeaderIsProbedInTurn(t *testing.T) {
	is := is.New(t)
	all := append(hosts("a", 1), hosts("b", 7)...)
	d := delegator.New(all[0], startTime)
	recipients := make(map[ids.Instance]bool)
	now := startTime
	for range 7 {
		now = now.Add(tick)
		d.Update(all, true, now)
		is.True(len(d.SummaryRecipients("b", now)) <= 2)
		for _, to := range d.SummaryRecipients("b", now) {
			recipients[to] = true
		}
	}
	is.Equal(len(recipients), 7)
}

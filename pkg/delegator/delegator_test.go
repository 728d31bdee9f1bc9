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
	// takeover is the time in which the next host speaks for its zone.
	takeover = time.Second
)

// begun is when the tests begin.
var begun = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// hosts returns n living hosts of a zone, in the order in which they speak.
func hosts(zone ids.Zone, n int) []delegator.Host {
	var all []delegator.Host
	for i := range n {
		all = append(all, delegator.Host{
			Instance: ids.Instance(fmt.Sprintf("%s%d", zone, i)), Zone: zone, Alive: true, Ready: true,
		})
	}
	return all
}

func TestFirstHostSpeaksAtOnce(t *testing.T) {
	is := is.New(t)
	all := hosts("a", 3)
	d := delegator.New(all[0], begun)
	d.Round(all, true, begun)
	is.True(d.Speaks())
	s, ok := d.Speaker()
	is.True(ok)
	is.Equal(s, all[0].Instance)
}

// The next host speaks when the first one says nothing, and stops when it speaks again.
func TestNextHostTakesOver(t *testing.T) {
	is := is.New(t)
	all := hosts("a", 3)
	d := delegator.New(all[1], begun)
	now := begun
	run := func(spoken bool, time time.Duration) {
		for end := now.Add(time); now.Before(end); now = now.Add(tick) {
			if spoken {
				d.Spoke(all[0].Instance, now)
			}
			d.Round(all, true, now)
		}
	}
	run(true, 2*time.Second)
	is.True(!d.Speaks())
	run(false, takeover)
	is.True(d.Speaks())
	run(true, tick)
	is.True(!d.Speaks())
	s, _ := d.Speaker()
	is.Equal(s, all[0].Instance)
}

// A host that is larger, takes callers, or lives comes before one that does not.
func TestRankOfHosts(t *testing.T) {
	is := is.New(t)
	for name, change := range map[string]func(h *delegator.Host){
		"silent":  func(h *delegator.Host) { h.Alive = false },
		"leaving": func(h *delegator.Host) { h.Ready = false },
		"small":   func(h *delegator.Host) { h.Capacity = -1 },
	} {
		all := hosts("a", 2)
		change(&all[0])
		d := delegator.New(all[1], begun)
		d.Round(all, true, begun)
		if !d.Speaks() {
			t.Errorf("%s: the other host does not speak", name)
		}
	}
	all := hosts("a", 2)
	all[0].Capacity, all[1].Capacity = 1, 2
	d := delegator.New(all[0], begun)
	d.Round(all, true, begun)
	is.True(!d.Speaks())
}

// A host that was paused, or hears nobody, does not speak for others.
func TestHostsThatCannotKnowAreSilent(t *testing.T) {
	is := is.New(t)
	all := hosts("a", 3)
	d := delegator.New(all[0], begun)
	now := begun
	for range 30 {
		now = now.Add(tick)
		d.Round(all, true, now)
	}
	is.True(d.Speaks())
	now = now.Add(5 * time.Second)
	d.Round(all, true, now)
	is.True(!d.Speaks()) // it was paused
	for range 10 {
		now = now.Add(tick)
		d.Round(all, true, now)
	}
	is.True(d.Speaks())
	for range 10 {
		now = now.Add(tick)
		d.Round(all, false, now)
	}
	is.True(!d.Speaks()) // it is cut off
	told := make(map[ids.Instance]bool)
	for range 6 {
		now = now.Add(tick)
		d.Round(all, false, now)
		for _, to := range d.Near() {
			told[to] = true
		}
	}
	is.Equal(len(told), 2) // but all are told of it, in turn
}

// Of two speakers of a zone the one that hears more hosts is believed, or the first one.
func TestWhoIsBelieved(t *testing.T) {
	is := is.New(t)
	others := hosts("b", 3)
	d := delegator.New(hosts("a", 1)[0], begun)
	d.Round(append(hosts("a", 1), others...), true, begun)
	is.True(d.Listen("b", others[1].Instance, 3, begun))
	is.True(!d.Listen("b", others[0].Instance, 2, begun)) // hears less
	is.True(d.Listen("b", others[0].Instance, 3, begun))  // comes first
	is.True(!d.Listen("b", others[1].Instance, 3, begun))
	is.Equal(d.Abroad("b", begun), []ids.Instance{others[0].Instance})
	later := begun.Add(2 * time.Second)
	is.True(d.Listen("b", others[2].Instance, 1, later)) // the others fell silent
}

// While nobody of a zone is heard, its hosts are told in turn.
func TestUnknownSpeakersAreSoughtInTurn(t *testing.T) {
	is := is.New(t)
	all := append(hosts("a", 1), hosts("b", 7)...)
	d := delegator.New(all[0], begun)
	told := make(map[ids.Instance]bool)
	now := begun
	for range 7 {
		now = now.Add(tick)
		d.Round(all, true, now)
		is.True(len(d.Abroad("b", now)) <= 2)
		for _, to := range d.Abroad("b", now) {
			told[to] = true
		}
	}
	is.Equal(len(told), 7)
}

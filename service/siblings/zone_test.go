package siblings_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/lister"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

const (
	// settled is how long a fleet takes to know all there is at its start.
	settled = 3 * time.Second
	// known is the time in which the fleet has to know of a silent host, and also
	// that in which a zone has to have its word passed on after its speaker is lost.
	known = 2500 * time.Millisecond
	// wireDelay is the way between two hosts.
	wireDelay = 5 * time.Millisecond
	// slots is so many that no request is refused.
	slots = 10_000
)

// withZones runs f on the virtual clock with a number of hosts in each of a number of
// zones, two zones a region. Host 0 of a zone is the first to speak for it.
func withZones(t *testing.T, zones, hosts int, f func(fl *fleet, all [][]*host)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := &fleet{
			wire: &wire{
				delay: wireDelay, ends: make(map[string]*end), cut: make(map[string]bool),
				deaf: make(map[string]bool), mute: make(map[string]bool),
			},
			hosts: make(map[string]*host),
		}
		all := make([][]*host, zones)
		for z := range zones {
			for i := range hosts {
				address := fmt.Sprintf("10.0.%d.%d:1", z, i)
				h := fl.startIn(lister.Host{
					Instance: ids.Instance(fmt.Sprintf("%02d-%03d", z, i)), CallersAddress: address, PeersAddress: address,
					Zone: ids.Zone(fmt.Sprintf("z%02d", z)), Region: ids.Region(fmt.Sprintf("r%02d", z/2)),
				})
				h.placer.SetTargets([]registrar.Target{{ID: "t", Service: "s", Address: "10.1.0.1:1", Slots: slots, Zone: "z00"}})
				all[z] = append(all[z], h)
			}
		}
		time.Sleep(settled)
		defer func() {
			for _, h := range fl.hosts {
				h.end()
			}
		}()
		f(fl, all)
	})
}

// request starts n requests at the target from a host, without end.
func (h *host) request(t *testing.T, n int) {
	t.Helper()
	for range n {
		if _, err := h.placer.Pick(balancer.Request{Service: "s", Objective: time.Hour}); err != nil {
			t.Fatal(err)
		}
	}
}

// backlog returns what a host believes that the target holds.
func (h *host) backlog(t *testing.T) int {
	t.Helper()
	c, err := h.placer.Pick(balancer.Request{Service: "s", Objective: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	c.Done(balancer.Result{})
	return int(c.Backlog)
}

// set changes who gets what, in one of the wire's maps.
func (fl *fleet) set(m map[string]bool, h *host, on bool) {
	fl.wire.mu.Lock()
	defer fl.wire.mu.Unlock()
	m[h.self.PeersAddress] = on
}

// forget takes a host out of the registered ones.
func (fl *fleet) forget(h *host) {
	fl.wire.mu.Lock()
	defer fl.wire.mu.Unlock()
	delete(fl.hosts, h.self.PeersAddress)
}

// Every host knows the requests of all, counts its own ones once, and has the proof
// that one host got.
func TestZonesKnowOfEachOther(t *testing.T) {
	withZones(t, 6, 6, func(_ *fleet, all [][]*host) {
		is := is.New(t)
		total := 0
		for z, hosts := range all {
			for i, h := range hosts {
				h.request(t, z+i)
				total += z + i
			}
		}
		all[3][4].confirmed.Confirm(all[3][4].confirmed.Now())
		time.Sleep(1500 * time.Millisecond)
		for _, h := range slices.Concat(all...) {
			is.Equal(h.backlog(t), total)
			is.Equal(len(h.gossiper.Unavailable()), 0)
			age, ok := h.confirmed.Age()
			is.True(ok)
			is.True(age >= 1500*time.Millisecond)
			is.True(age < 3*time.Second)
		}
	})
}

// An object that one host sends to a target is known everywhere to be warm there.
func TestZonesTellObjects(t *testing.T) {
	withZones(t, 4, 5, func(_ *fleet, all [][]*host) {
		is := is.New(t)
		w := balancer.Request{Service: "s", Class: "c", Object: balancer.HashObject("c", "o"), Objective: time.Second}
		c, err := all[2][3].placer.Pick(w)
		is.NoErr(err)
		c.Done(balancer.Result{Answered: true})
		time.Sleep(1500 * time.Millisecond)
		for _, h := range slices.Concat(all...) {
			c, err := h.placer.Pick(w)
			is.NoErr(err)
			is.True(c.Warm)
			c.Done(balancer.Result{})
		}
	})
}

// All hosts together hold a workspace to its rate, and use it up.
func TestZonesShareARate(t *testing.T) {
	withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: 100, Burst: 50}
		hosts := slices.Concat(all...)
		for _, h := range hosts {
			h.allotter.HostCount = func() int { return len(hosts) }
			h.allotter.Prepare(w)
		}
		time.Sleep(2 * time.Second)
		const load, d = 3.0, 10 * time.Second
		admitted := 0
		for range int(d / (10 * time.Millisecond)) {
			for range int(load) {
				fl.asked++
				if _, ok := hosts[fl.asked*7%len(hosts)].allotter.Admit(w); ok {
					admitted++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		ideal := w.Rate*d.Seconds() + w.Burst
		t.Logf("admitted %d of %.0f that one bucket admits", admitted, ideal)
		is.True(float64(admitted) <= ideal*1.1+20)
		is.True(float64(admitted) >= ideal*0.85)
	})
}

// harm is what may befall the host that speaks for a zone.
type harm struct {
	name string
	do   func(fl *fleet, h *host)
	undo func(fl *fleet, h *host)
	// silent says that the host is to be known as silent meanwhile.
	silent bool
}

var harms = []harm{
	{"killed", func(_ *fleet, h *host) { h.end() }, nil, true},
	{"paused", func(_ *fleet, h *host) { h.paused.Store(true) }, func(_ *fleet, h *host) { h.paused.Store(false) }, true},
	{"cut off", func(fl *fleet, h *host) { fl.set(fl.wire.cut, h, true) }, func(fl *fleet, h *host) { fl.set(fl.wire.cut, h, false) }, true},
	{"mute", func(fl *fleet, h *host) { fl.set(fl.wire.mute, h, true) }, func(fl *fleet, h *host) { fl.set(fl.wire.mute, h, false) }, true},
	{"deaf", func(fl *fleet, h *host) { fl.set(fl.wire.deaf, h, true) }, func(fl *fleet, h *host) { fl.set(fl.wire.deaf, h, false) }, false},
	{"removed", func(fl *fleet, h *host) { fl.forget(h); h.end() }, nil, false},
}

// Whatever befalls the host that speaks for a zone, and the one after it, the zone's
// word is passed on soon, and so is that of the others to the zone.
func TestSpeakerIsLost(t *testing.T) {
	for _, c := range harms {
		for _, lost := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s/%d", c.name, lost), func(t *testing.T) {
				withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
					is := is.New(t)
					for _, h := range all[1][:lost] {
						c.do(fl, h)
					}
					time.Sleep(known)
					all[1][3].request(t, 3)
					all[2][2].request(t, 4)
					time.Sleep(known)
					for _, h := range slices.Concat(all[0], all[1][lost:], all[2], all[3]) {
						is.Equal(h.backlog(t), 7)
						for _, l := range all[1][:lost] {
							is.Equal(h.gossiper.Unavailable()[l.self.CallersAddress], c.silent)
						}
						is.Equal(len(h.gossiper.Unavailable()) == lost, c.silent)
					}
					if c.undo == nil {
						return
					}
					for _, h := range all[1][:lost] {
						c.undo(fl, h)
					}
					time.Sleep(known)
					for _, h := range slices.Concat(all...) {
						is.Equal(h.backlog(t), 7)
						is.Equal(len(h.gossiper.Unavailable()), 0)
					}
				})
			})
		}
	}
}

// A zone that is lost as a whole is known as silent, and back again when it returns.
func TestZoneIsLost(t *testing.T) {
	withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
		is := is.New(t)
		for _, h := range all[2] {
			fl.set(fl.wire.cut, h, true)
		}
		time.Sleep(known)
		for _, h := range slices.Concat(all[0], all[1], all[3]) {
			is.Equal(len(h.gossiper.Unavailable()), 5)
		}
		for _, h := range all[2] {
			fl.set(fl.wire.cut, h, false)
		}
		time.Sleep(known)
		for _, h := range slices.Concat(all...) {
			is.Equal(len(h.gossiper.Unavailable()), 0)
		}
	})
}

// A host that is cut off keeps to its own part of a rate.
func TestCutOffHostKeepsToItsPart(t *testing.T) {
	withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: 200, Burst: 100}
		h := all[2][3]
		h.allotter.HostCount = func() int { return 20 }
		h.allotter.Prepare(w)
		time.Sleep(2 * time.Second)
		fl.set(fl.wire.cut, h, true)
		time.Sleep(1500 * time.Millisecond)
		admitted := 0
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			if _, ok := h.allotter.Admit(w); ok {
				admitted++
			}
		}
		is.True(admitted <= int(5*w.Rate/20+w.Burst/20)+1)
	})
}

// Two hosts that believe in other lists of hosts may both speak: what they tell adds
// up to no more than there is.
func TestTwoSpeakersDoNoHarm(t *testing.T) {
	withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
		is := is.New(t)
		all[1][4].request(t, 3)
		all[1][2].request(t, 2)
		hidden := all[1][0].self
		for range 20 {
			// The first host is registered anew, under another name, by turns.
			fl.wire.mu.Lock()
			if fl.outdated = nil; time.Now().UnixMilli()/400%2 == 0 {
				other := hidden
				other.Instance = "99"
				fl.outdated = &other
			}
			fl.wire.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			for _, h := range slices.Concat(all...) {
				is.True(h.backlog(t) <= 5)
			}
		}
		fl.wire.mu.Lock()
		fl.outdated = nil
		fl.wire.mu.Unlock()
		time.Sleep(known)
		for _, h := range slices.Concat(all...) {
			is.Equal(h.backlog(t), 5)
		}
	})
}

// What hosts tell each other grows with the hosts, not with their square.
func TestMessagesGrowWithTheHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("many hosts")
	}
	const (
		// most bounds the messages and KiB a second that a host sends, at any size.
		mostMessages = 50
		mostKiB      = 32
		run          = 2 * time.Second
	)
	for _, c := range []struct{ zones, hosts int }{{2, 5}, {6, 11}, {6, 15}, {9, 22}} {
		withZones(t, c.zones, c.hosts, func(fl *fleet, all [][]*host) {
			is := is.New(t)
			n := c.zones * c.hosts
			for i, h := range slices.Concat(all...) {
				h.request(t, i%4)
				for w := range 3 {
					ws := &router.Workspace{Name: ids.Workspace(fmt.Sprint((i + w) % 70)), Rate: 1e6, Burst: 1e6}
					h.allotter.Prepare(ws)
					h.allotter.Admit(ws)
				}
			}
			fl.wire.mu.Lock()
			messages, bytes := fl.wire.messages, fl.wire.bytes
			fl.wire.mu.Unlock()
			time.Sleep(run)
			fl.wire.mu.Lock()
			messages, bytes = fl.wire.messages-messages, fl.wire.bytes-bytes
			fl.wire.mu.Unlock()
			perHost := float64(messages) / run.Seconds() / float64(n)
			kib := float64(bytes) / 1024 / run.Seconds() / float64(n)
			t.Logf("%d hosts: %.0f messages and %.1f KiB a second and host", n, perHost, kib)
			is.True(n <= 16 || perHost < mostMessages)
			is.True(kib < mostKiB)
		})
	}
}

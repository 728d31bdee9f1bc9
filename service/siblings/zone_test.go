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
	// settlingTime is the time until the hosts of a new fleet know each other's state.
	settlingTime = 3 * time.Second
	// detectionTime bounds the time until the fleet detects a silent host, and until a zone
	// that lost its leader is connected again.
	detectionTime = 2500 * time.Millisecond
	// networkDelay is the one-way delay between two hosts.
	networkDelay = 5 * time.Millisecond
	// slots is high enough that no request is rejected.
	slots = 10_000
)

// withZones runs f on the virtual clock with a number of zones, two per region, and a
// number of hosts per zone. Host 0 of a zone is its preferred leader.
func withZones(t *testing.T, zones, hosts int, f func(fl *fleet, all [][]*host)) {
	t.Helper()
	withMixedZones(t, zones, hosts, nil, f)
}

// withMixedZones is like withZones, with some hosts of an older build.
func withMixedZones(t *testing.T, zones, hosts int, older func(h lister.Host) bool, f func(fl *fleet, all [][]*host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(t, networkDelay)
		fl.older = older
		all := make([][]*host, zones)
		for z := range zones {
			for i := range hosts {
				address := fmt.Sprintf("10.0.%d.%d:1", z, i)
				h := fl.startHost(lister.Host{
					Instance: ids.Instance(fmt.Sprintf("%02d-%03d", z, i)), CallersAddress: address, PeersAddress: address,
					Zone: ids.Zone(fmt.Sprintf("z%02d", z)), Region: ids.Region(fmt.Sprintf("r%02d", z/2)),
				})
				h.balancer.SetTargets([]registrar.Target{{ID: "t", Service: "s", Address: "10.1.0.1:1", Slots: slots, Zone: "z00"}})
				all[z] = append(all[z], h)
			}
		}
		time.Sleep(settlingTime)
		defer func() {
			for _, h := range fl.hosts {
				h.stop()
			}
		}()
		f(fl, all)
	})
}

// request starts n requests at the target from a host and does not end them.
func (h *host) request(t *testing.T, n int) {
	t.Helper()
	for range n {
		if _, err := h.balancer.Pick(balancer.Request{Service: "s", Objective: time.Hour}); err != nil {
			t.Fatal(err)
		}
	}
}

// backlog returns a host's estimate of the requests at the target.
func (h *host) backlog(t *testing.T) int {
	t.Helper()
	c, err := h.balancer.Pick(balancer.Request{Service: "s", Objective: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	c.Done(balancer.Result{})
	return int(c.Backlog)
}

// forget removes a host from the host list.
func (fl *fleet) forget(h *host) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	delete(fl.hosts, h.self.PeersAddress)
}

// Every host counts the requests of all hosts once, including its own, and gets the
// confirmation of a single host.
func TestZonesShareInFlightRequests(t *testing.T) {
	withZones(t, 6, 6, func(_ *fleet, all [][]*host) {
		is := is.New(t)
		total := 0
		for z, hosts := range all {
			for i, h := range hosts {
				h.request(t, z+i)
				total += z + i
			}
		}
		all[3][4].confirmer.Confirm(all[3][4].confirmer.Now())
		time.Sleep(1500 * time.Millisecond)
		for _, h := range slices.Concat(all...) {
			is.Equal(h.backlog(t), total)
			is.Equal(len(h.broadcaster.Unavailable()), 0)
			age, ok := h.confirmer.Age()
			is.True(ok)
			is.True(age >= 1500*time.Millisecond)
			is.True(age < 3*time.Second)
		}
	})
}

// An object that one host sends to a target is known to be warm there on all hosts.
func TestZonesShareWarmObjects(t *testing.T) {
	withZones(t, 4, 5, func(_ *fleet, all [][]*host) {
		is := is.New(t)
		w := balancer.Request{Service: "s", Class: "c", Object: balancer.HashObject("c", "o"), Objective: time.Second}
		c, err := all[2][3].balancer.Pick(w)
		is.NoErr(err)
		c.Done(balancer.Result{Answered: true})
		time.Sleep(1500 * time.Millisecond)
		for _, h := range slices.Concat(all...) {
			c, err := h.balancer.Pick(w)
			is.NoErr(err)
			is.True(c.Warm)
			c.Done(balancer.Result{})
		}
	})
}

// All hosts together admit a workspace at its rate, neither much more nor much less.
func TestZonesShareARateLimit(t *testing.T) {
	withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: 100, Burst: 50}
		hosts := slices.Concat(all...)
		for _, h := range hosts {
			h.throttler.HostCount = func() int { return len(hosts) }
			h.throttler.Prepare(w)
		}
		time.Sleep(2 * time.Second)
		const load, d = 3.0, 10 * time.Second
		admitted := 0
		for range int(d / (10 * time.Millisecond)) {
			for range int(load) {
				fl.requests++
				if _, ok := hosts[fl.requests*7%len(hosts)].throttler.Admit(w); ok {
					admitted++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		ideal := w.Rate*d.Seconds() + w.Burst
		t.Logf("admitted %d requests; a single bucket admits %.0f", admitted, ideal)
		is.True(float64(admitted) <= ideal*1.1+20)
		is.True(float64(admitted) >= ideal*0.85)
	})
}

// fault is a fault of the leader of a zone.
type fault struct {
	name string
	do   func(fl *fleet, h *host)
	undo func(fl *fleet, h *host)
	// silent tells whether the other hosts detect the host as silent.
	silent bool
}

var faults = []fault{
	{"killed", func(_ *fleet, h *host) { h.stop() }, nil, true},
	{"paused", func(_ *fleet, h *host) { h.paused.Store(true) }, func(_ *fleet, h *host) { h.paused.Store(false) }, true},
	{"cut off", func(fl *fleet, h *host) { fl.cut(h, true, true) }, func(fl *fleet, h *host) { fl.cut(h, false, false) }, true},
	{"mute", func(fl *fleet, h *host) { fl.cut(h, false, true) }, func(fl *fleet, h *host) { fl.cut(h, false, false) }, true},
	{"deaf", func(fl *fleet, h *host) { fl.cut(h, true, false) }, func(fl *fleet, h *host) { fl.cut(h, false, false) }, false},
	{"removed", func(fl *fleet, h *host) { fl.forget(h); h.stop() }, nil, false},
}

// After a fault of a zone's leader, or of the leader and the first standby, the state
// of the zone soon reaches the others again and theirs reaches the zone.
func TestLeaderFailure(t *testing.T) {
	for _, c := range faults {
		for _, lost := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s/%d", c.name, lost), func(t *testing.T) {
				withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
					is := is.New(t)
					for _, h := range all[1][:lost] {
						c.do(fl, h)
					}
					time.Sleep(detectionTime)
					all[1][3].request(t, 3)
					all[2][2].request(t, 4)
					time.Sleep(detectionTime)
					for _, h := range slices.Concat(all[0], all[1][lost:], all[2], all[3]) {
						is.Equal(h.backlog(t), 7)
						for _, l := range all[1][:lost] {
							is.Equal(h.broadcaster.Unavailable()[l.self.CallersAddress], c.silent)
						}
						is.Equal(len(h.broadcaster.Unavailable()) == lost, c.silent)
					}
					if c.undo == nil {
						return
					}
					for _, h := range all[1][:lost] {
						c.undo(fl, h)
					}
					time.Sleep(detectionTime)
					for _, h := range slices.Concat(all...) {
						is.Equal(h.backlog(t), 7)
						is.Equal(len(h.broadcaster.Unavailable()), 0)
					}
				})
			})
		}
	}
}

// A zone that is cut off is detected as silent, and as available after it is connected
// again.
func TestZoneFailure(t *testing.T) {
	withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
		is := is.New(t)
		for _, h := range all[2] {
			fl.cut(h, true, true)
		}
		time.Sleep(detectionTime)
		for _, h := range slices.Concat(all[0], all[1], all[3]) {
			is.Equal(len(h.broadcaster.Unavailable()), 5)
		}
		for _, h := range all[2] {
			fl.cut(h, false, false)
		}
		time.Sleep(detectionTime)
		for _, h := range slices.Concat(all...) {
			is.Equal(len(h.broadcaster.Unavailable()), 0)
		}
	})
}

// An isolated host keeps to its own share of a rate limit.
func TestIsolatedHostKeepsToItsShare(t *testing.T) {
	withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: 200, Burst: 100}
		h := all[2][3]
		h.throttler.HostCount = func() int { return 20 }
		h.throttler.Prepare(w)
		time.Sleep(2 * time.Second)
		fl.cut(h, true, true)
		time.Sleep(1500 * time.Millisecond)
		admitted := 0
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			if _, ok := h.throttler.Admit(w); ok {
				admitted++
			}
		}
		is.True(admitted <= int(5*w.Rate/20+w.Burst/20)+1)
	})
}

// While hosts have different host lists, a zone may have two leaders. No request is
// counted twice then.
func TestTwoLeadersCountNothingTwice(t *testing.T) {
	withZones(t, 4, 5, func(fl *fleet, all [][]*host) {
		is := is.New(t)
		all[1][4].request(t, 3)
		all[1][2].request(t, 2)
		hidden := all[1][0].self
		for range 20 {
			// The first host is registered under another instance by turns.
			fl.mu.Lock()
			if fl.outdated = nil; time.Now().UnixMilli()/400%2 == 0 {
				other := hidden
				other.Instance = "99"
				fl.outdated = &other
			}
			fl.mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			for _, h := range slices.Concat(all...) {
				is.True(h.backlog(t) <= 5)
			}
		}
		fl.mu.Lock()
		fl.outdated = nil
		fl.mu.Unlock()
		time.Sleep(detectionTime)
		for _, h := range slices.Concat(all...) {
			is.Equal(h.backlog(t), 5)
		}
	})
}

// sent counts the messages and bytes that all hosts have sent.
func (fl *fleet) sent() (messages, bytes int64) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, h := range fl.hosts {
		messages += h.conn.messages.Load()
		bytes += h.conn.bytes.Load()
	}
	return messages, bytes
}

// Traffic grows linearly with the number of hosts, not with its square.
func TestTrafficIsLinearInHosts(t *testing.T) {
	if testing.Short() {
		t.Skip("many hosts")
	}
	const (
		// Bounds on the messages and KiB per second that each host sends in fleets of
		// any size.
		maxMessages = 50
		maxKiB      = 32
		run         = 2 * time.Second
	)
	for _, c := range []struct{ zones, hosts int }{{2, 5}, {6, 11}, {6, 15}, {9, 22}} {
		withZones(t, c.zones, c.hosts, func(fl *fleet, all [][]*host) {
			is := is.New(t)
			n := c.zones * c.hosts
			for i, h := range slices.Concat(all...) {
				h.request(t, i%4)
				for w := range 3 {
					ws := &router.Workspace{Name: ids.Workspace(fmt.Sprint((i + w) % 70)), Rate: 1e6, Burst: 1e6}
					h.throttler.Prepare(ws)
					h.throttler.Admit(ws)
				}
			}
			messagesBefore, bytesBefore := fl.sent()
			time.Sleep(run)
			messages, bytes := fl.sent()
			messages, bytes = messages-messagesBefore, bytes-bytesBefore
			perHost := float64(messages) / run.Seconds() / float64(n)
			kib := float64(bytes) / 1024 / run.Seconds() / float64(n)
			t.Logf("%d hosts: %.0f messages and %.1f KiB per second and host", n, perHost, kib)
			is.True(n <= 16 || perHost < maxMessages)
			is.True(kib < maxKiB)
		})
	}
}

package throttler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/pkg/throttler"
)

// Bounds on the requests admitted above a workspace's limit in any window.
const (
	window = 5 * time.Second
	excess = 0.1
	slack  = 20
)

// step is the time step of the simulated fleet.
const step = 10 * time.Millisecond

// fleet is a set of hosts that exchange their usage at intervals.
type fleet struct {
	hosts []*throttler.Throttler
	// isolated holds the indices of isolated hosts.
	isolated map[int]bool
	// exchangeInterval is the time between two messages of a host.
	exchangeInterval time.Duration
	admitted         []time.Time
	requests         int
}

func newFleet(n int) *fleet {
	f := &fleet{isolated: make(map[int]bool), exchangeInterval: 200 * time.Millisecond}
	if n > 16 {
		f.exchangeInterval = f.exchangeInterval * time.Duration(min(n, 64)) / 16 // As package siblings does.
	}
	for range n {
		f.hosts = append(f.hosts, &throttler.Throttler{HostCount: func() int { return n }})
		f.hosts[len(f.hosts)-1].SetPropagationDelay(f.exchangeInterval, 0)
	}
	return f
}

func (f *fleet) prepare(w *router.Workspace) {
	for _, h := range f.hosts {
		h.Prepare(w)
	}
}

// exchangeUsages delivers each host's usage to all others.
func (f *fleet) exchangeUsages() {
	for i, from := range f.hosts {
		usages := from.Usages()
		for j, to := range f.hosts {
			if i != j && !f.isolated[i] && !f.isolated[j] {
				to.Merge(throttler.RemoteUsage{Group: ids.HostGroup(fmt.Sprint(i)), Hosts: 1, Usages: usages})
			}
		}
	}
}

// run sends load requests per second for d, distributed over the hosts by weights.
func (f *fleet) run(rnd *rand.Rand, w *router.Workspace, load float64, weights []float64, d time.Duration) {
	total := 0.0
	for _, x := range weights {
		total += x
	}
	exchangeSteps := int(f.exchangeInterval / step)
	for i := range int(d / step) {
		time.Sleep(step)
		if i%exchangeSteps == 0 {
			f.exchangeUsages()
		}
		for n := load*step.Seconds() + rnd.Float64(); n >= 1; n-- {
			x := rnd.Float64() * total
			host := 0
			for x > weights[host] {
				x -= weights[host]
				host++
			}
			f.requests++
			if _, ok := f.hosts[host].Admit(w); ok {
				f.admitted = append(f.admitted, time.Now())
			}
		}
	}
}

// maxAdmitted returns the maximum number of requests admitted in any window.
func (f *fleet) maxAdmitted() int {
	highest, first := 0, 0
	for i, at := range f.admitted {
		for at.Sub(f.admitted[first]) > window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

func maxInWindow(w *router.Workspace) int {
	return int((w.Rate*window.Seconds()+w.Burst)*(1+excess) + slack)
}

func even(n int) []float64 {
	ws := make([]float64, n)
	for i := range ws {
		ws[i] = 1
	}
	return ws
}

func skewed(n int) []float64 {
	ws := even(n)
	ws[0] = float64(4 * n)
	return ws
}

// A workspace below its rate has next to no requests rejected, however its callers are
// distributed over the hosts.
func TestWorkspaceBelowItsRateIsNotLimited(t *testing.T) {
	for name, weights := range map[string][]float64{"even": even(10), "skewed": skewed(10)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := &router.Workspace{Name: "school", Rate: 100, Burst: 100}
				f := newFleet(10)
				f.prepare(w)
				f.exchangeUsages()
				time.Sleep(4 * time.Second)
				f.run(seeds.NewRand(t), w, 65, weights, 30*time.Second)
				rejected := f.requests - len(f.admitted)
				is.True(float64(rejected) < 0.005*float64(f.requests)) // rejected below the rate
			})
		})
	}
}

// A workspace far above its rate gets its rate and no more, on fleets of several sizes.
func TestWorkspaceAboveItsRateGetsItsRate(t *testing.T) {
	for _, n := range []int{1, 3, 10, 70} {
		for _, rate := range []float64{8, 100, 400} {
			t.Run(fmt.Sprintf("%dHosts/%gPerSecond", n, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := &router.Workspace{Name: "school", Rate: rate, Burst: rate}
					f := newFleet(n)
					f.prepare(w)
					f.exchangeUsages()
					rnd := seeds.NewRand(t)
					f.run(rnd, w, rate*0.6, even(n), 5*time.Second)
					f.run(rnd, w, rate*5, skewed(n), 15*time.Second)
					is.True(f.maxAdmitted() <= maxInWindow(w)) // the limit over any window
					is.True(float64(len(f.admitted)) > 0.85*rate*15)
				})
			})
		}
	}
}

// Isolated hosts keep to their shares, and the others leave these unused.
func TestRandomisedIsolatedHostsKeepToTheirShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rnd := seeds.NewRand(t)
		w := &router.Workspace{Name: "school", Rate: 100, Burst: 100}
		f := newFleet(10)
		f.prepare(w)
		f.exchangeUsages()
		for range 10 {
			f.run(rnd, w, 500, even(10), 4*time.Second)
			clear(f.isolated)
			for range rnd.IntN(5) {
				f.isolated[rnd.IntN(10)] = true
			}
		}
		is.True(f.maxAdmitted() <= maxInWindow(w)) // the limit over any window
	})
}

// Guards against an answer that differs from what Admit does next, or that uses up tokens.
func TestWouldAdmitTellsWhatAdmitDoesAndCountsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rnd := seeds.NewRand(t)
		var asked, other throttler.Throttler
		w := &router.Workspace{Name: "school", Rate: 10, Burst: 10}
		_, known := asked.WouldAdmit(w)
		is.True(!known)
		asked.Prepare(w)
		other.Prepare(w)
		for range 2000 {
			time.Sleep(time.Duration(rnd.IntN(150)) * time.Millisecond)
			admits, known := asked.WouldAdmit(w)
			is.True(known)
			_, ok := asked.Admit(w)
			_, otherOK := other.Admit(w)
			is.Equal(admits, ok)
			is.Equal(otherOK, ok)
		}
	})
}

// Rejected callers get different retry times, so that they do not retry all at once.
func TestRejectedCallersGetDistinctRetryTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var th throttler.Throttler
		w := &router.Workspace{Name: "school", Rate: 10, Burst: 1}
		th.Prepare(w)
		time.Sleep(time.Second)
		_, ok := th.Admit(w)
		is.True(ok)
		last := time.Duration(0)
		for range 10 {
			wait, ok := th.Admit(w)
			is.True(!ok)
			is.True(wait >= last+90*time.Millisecond) // a token of its own
			last = wait
		}
	})
}

// A workspace goes far above its rate just as hosts become isolated, and again as they
// reconnect.
func TestRandomisedOverloadWhileHostsAreIsolated(t *testing.T) {
	for _, rate := range []float64{40, 371} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rnd := seeds.NewRand(t)
				worst := 0.0
				for range 12 {
					w := &router.Workspace{Name: "school", Rate: rate, Burst: rate}
					f := newFleet(10)
					f.prepare(w)
					f.exchangeUsages()
					f.run(rnd, w, rate*0.62, even(10), 3*time.Second)
					for i := range 4 {
						f.isolated[i*2] = true
					}
					f.run(rnd, w, rate*5, even(10), time.Duration(1+rnd.IntN(4))*time.Second)
					clear(f.isolated)
					f.run(rnd, w, rate*5, skewed(10), 6*time.Second)
					worst = max(worst, float64(f.maxAdmitted())/float64(maxInWindow(w)))
				}
				t.Logf("highest count: %.3f of the bound", worst)
				is.True(worst <= 1) // the limit over any window
			})
		})
	}
}

// A host that joins must not count requests that others admitted long ago, for a
// workspace that is idle since, as recent usage.
func TestOldUsageOfIdleWorkspaceIsNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: 10, Burst: 20}
		th := &throttler.Throttler{HostCount: func() int { return 2 }}
		th.Prepare(w)
		merge := func(usages ...throttler.Usage) {
			th.Merge(throttler.RemoteUsage{Group: "other", Source: "other", Hosts: 1, Usages: usages})
		}
		for range 30 { // The bucket fills.
			merge()
			time.Sleep(100 * time.Millisecond)
		}
		merge(throttler.Usage{Workspace: throttler.HashWorkspace("w"), Admitted: 5000, Demand: 1})
		_, ok := th.Admit(w)
		is.True(ok)
	})
}

// When another host becomes the source of a group's reports, its counts are not
// compared with those of the previous source.
func TestCountsOfAnotherSourceAreNotCompared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: 10, Burst: 20}
		th := &throttler.Throttler{HostCount: func() int { return 3 }}
		th.Prepare(w)
		for i, source := range []ids.Instance{"a", "a", "a", "a", "a", "b", "b", "a", "b"} {
			time.Sleep(300 * time.Millisecond)
			admitted := uint64(10)
			if source == "b" {
				admitted = 100_000
			}
			th.Merge(throttler.RemoteUsage{Group: "zone", Source: source, Hosts: 2, Usages: []throttler.Usage{
				{Workspace: throttler.HashWorkspace("w"), Admitted: admitted + uint64(i)},
			}})
		}
		_, ok := th.Admit(w)
		is.True(ok)
	})
}

// tolerance returns how many requests the bounds allow above a workspace's limit in a
// window.
func tolerance(w *router.Workspace) float64 {
	return excess*(w.Rate*window.Seconds()+w.Burst) + slack
}

// restart replaces all hosts by new ones, which are isolated from each other for a
// time.
func (f *fleet) restart(rnd *rand.Rand, w *router.Workspace, load float64, isolationTime time.Duration) {
	n := len(f.hosts)
	for i := range f.hosts {
		f.hosts[i] = &throttler.Throttler{HostCount: func() int { return n }, Tolerance: tolerance}
		f.hosts[i].SetPropagationDelay(f.exchangeInterval, 0)
		f.isolated[i] = true
	}
	f.prepare(w)
	f.run(rnd, w, load, even(n), isolationTime)
	clear(f.isolated)
}

// isolationTime is how long hosts that start together hear nothing from each other.
const isolationTime = 800 * time.Millisecond

// recoveryTime bounds the requests rejected after all hosts restarted, as time at the
// offered load.
const recoveryTime = 2 * time.Second

// When all hosts restart and lose their buckets, a workspace below its rate has
// requests rejected for a moment only.
func TestRandomisedRestartOfAllHostsRejectsFewRequests(t *testing.T) {
	for _, n := range []int{10, 89, 195} {
		for _, rate := range []float64{12, 50, 178} {
			t.Run(fmt.Sprintf("%dHosts/%gPerSecond", n, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := &router.Workspace{Name: "school", Rate: rate, Burst: rate}
					f := newFleet(n)
					rnd := seeds.NewRand(t)
					load := rate * 0.6
					f.restart(rnd, w, load, isolationTime)
					f.run(rnd, w, load, even(n), 4*time.Second)
					rejected := f.requests - len(f.admitted)
					t.Logf("%d rejected at %.0f requests per second", rejected, load)
					is.True(float64(rejected) <= load*recoveryTime.Seconds())
				})
			})
		}
	}
}

// When all hosts restart and lose their buckets, a workspace that has used up its rate
// is not admitted above its limit.
func TestRandomisedRestartOfAllHostsKeepsTheRateLimit(t *testing.T) {
	for _, n := range []int{10, 70} {
		for _, rate := range []float64{12, 100, 400} {
			t.Run(fmt.Sprintf("%dHosts/%gPerSecond", n, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := &router.Workspace{Name: "school", Rate: rate, Burst: rate}
					f := newFleet(n)
					f.prepare(w)
					f.exchangeUsages()
					rnd := seeds.NewRand(t)
					f.run(rnd, w, rate*0.6, even(n), 5*time.Second)
					f.run(rnd, w, rate*4, even(n), 5*time.Second)
					f.restart(rnd, w, rate*4, isolationTime)
					f.run(rnd, w, rate*4, even(n), 6*time.Second)
					t.Logf("at most %d of %d in a window", f.maxAdmitted(), maxInWindow(w))
					is.True(f.maxAdmitted() <= maxInWindow(w))
				})
			})
		}
	}
}

// Guards against a group whose usage is not counted while another host begins to report on it, as
// when the leader of its zone stops: what it admits meanwhile must not be admitted here too.
func TestUsageGoesOnBetweenReports(t *testing.T) {
	const (
		delay    = 600 * time.Millisecond
		interval = 400 * time.Millisecond
		rate     = 100
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: rate, Burst: rate / 2}
		h := &throttler.Throttler{HostCount: func() int { return 2 }}
		h.SetPropagationDelay(delay, 2*delay)
		admitted, usage := 0, throttler.Usage{Workspace: throttler.HashWorkspace("w"), Demand: rate}
		// run lets callers send twice the rate for a time, of which the group gets one half.
		run := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
				if _, ok := h.Admit(w); ok {
					admitted++
				}
			}
			usage.Admitted += uint64(rate / 2 * d.Seconds())
		}
		report := func(source ids.Instance) {
			h.Merge(throttler.RemoteUsage{Group: "zone", Source: source, Hosts: 1, Usages: []throttler.Usage{usage}})
		}
		report("a")
		for range 20 {
			run(interval)
			report("a")
		}
		const gap = 1200 * time.Millisecond
		admitted = 0
		run(gap)
		usage.Admitted = 7 // the next source counts from another value
		for range 2 {
			report("b")
			run(interval)
		}
		t.Logf("admitted %d", admitted)
		const share = rate / 2
		is.True(float64(admitted) <= 1.2*share*(gap+2*interval).Seconds())
	})
}

// Guards against an estimate for a group that has nothing to report any more, which would take away
// from the rate for good.
func TestNothingIsEstimatedForIdleGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: 20, Burst: 20}
		h := &throttler.Throttler{HostCount: func() int { return 2 }}
		h.Prepare(w)
		usage := throttler.Usage{Workspace: throttler.HashWorkspace("w"), Demand: 20}
		for range 10 {
			h.Merge(throttler.RemoteUsage{Group: "zone", Source: "a", Hosts: 1, Usages: []throttler.Usage{usage}})
			time.Sleep(100 * time.Millisecond)
			usage.Admitted += 2
		}
		for range 50 {
			h.Merge(throttler.RemoteUsage{Group: "zone", Source: "a", Hosts: 1})
			time.Sleep(100 * time.Millisecond)
		}
		admitted := 0
		for range 2 * int(w.Burst) {
			if _, ok := h.Admit(w); ok {
				admitted++
			}
		}
		t.Logf("admitted %d of a burst of %.0f", admitted, w.Burst)
		const scarce = 0.6
		is.True(float64(admitted) >= (1-scarce)*w.Burst-1) // down to the level at which shares count
	})
}

// Guards against an estimate for a host that is gone, which would keep a workspace with a small
// burst out until the host is forgotten.
func TestNothingIsEstimatedForSilentGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := 2
		w := &router.Workspace{Name: "w", Rate: 100, Burst: 10}
		h := &throttler.Throttler{HostCount: func() int { return hosts }}
		h.Prepare(w)
		usage := throttler.Usage{Workspace: throttler.HashWorkspace("w"), Demand: 100}
		for range 20 {
			h.Merge(throttler.RemoteUsage{Group: "h2", Source: "h2", Hosts: 1, Usages: []throttler.Usage{usage}})
			time.Sleep(100 * time.Millisecond)
			usage.Admitted += 10
		}
		time.Sleep(time.Second)
		hosts = 1 // its registration has lapsed
		admitted := 0
		for range 200 {
			if _, ok := h.Admit(w); ok {
				admitted++
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.Logf("admitted %d in a second", admitted)
		is.True(admitted >= 50)
	})
}

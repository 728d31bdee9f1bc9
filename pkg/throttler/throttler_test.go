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

// The bounds that the operators demand of a workspace's limit.
const (
	window = 5 * time.Second
	excess = 0.1
	slack  = 20
)

// step is the resolution of the simulated fleet.
const step = 10 * time.Millisecond

// fleet is hosts that tell each other of their use now and then.
type fleet struct {
	hosts []*throttler.Throttler
	// cut holds the hosts that nobody hears and that hear nobody.
	cut map[int]bool
	// tellEvery is the time between two messages of a host.
	tellEvery time.Duration
	admitted  []time.Time
	asked     int
}

func newFleet(n int) *fleet {
	f := &fleet{cut: make(map[int]bool), tellEvery: 200 * time.Millisecond}
	if n > 16 {
		f.tellEvery = f.tellEvery * time.Duration(min(n, 64)) / 16 // As the siblings do.
	}
	for range n {
		f.hosts = append(f.hosts, &throttler.Throttler{HostCount: func() int { return n }})
		f.hosts[len(f.hosts)-1].SetPropagationDelay(f.tellEvery, 0)
	}
	return f
}

func (f *fleet) ready(w *router.Workspace) {
	for _, h := range f.hosts {
		h.Prepare(w)
	}
}

// tell carries what each host has to tell to all others.
func (f *fleet) tell() {
	for i, from := range f.hosts {
		usages := from.Usages()
		for j, to := range f.hosts {
			if i != j && !f.cut[i] && !f.cut[j] {
				to.Merge(throttler.RemoteUsage{Scope: ids.HostGroup(fmt.Sprint(i)), Hosts: 1, Usages: usages})
			}
		}
	}
}

// run asks for load requests a second, spread over the hosts by weights.
func (f *fleet) run(rnd *rand.Rand, w *router.Workspace, load float64, weights []float64, d time.Duration) {
	total := 0.0
	for _, x := range weights {
		total += x
	}
	tellEvery := int(f.tellEvery / step)
	for i := range int(d / step) {
		time.Sleep(step)
		if i%tellEvery == 0 {
			f.tell()
		}
		for n := load*step.Seconds() + rnd.Float64(); n >= 1; n-- {
			x := rnd.Float64() * total
			host := 0
			for x > weights[host] {
				x -= weights[host]
				host++
			}
			f.asked++
			if _, ok := f.hosts[host].Admit(w); ok {
				f.admitted = append(f.admitted, time.Now())
			}
		}
	}
}

// most returns the most requests admitted in any window.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.admitted {
		for at.Sub(f.admitted[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func bound(w *router.Workspace) int {
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

// A workspace inside its rate is refused nothing, however its callers are
// spread over the hosts.
func TestInsideTheRateNothingIsRefused(t *testing.T) {
	for name, weights := range map[string][]float64{"even": even(10), "skewed": skewed(10)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := &router.Workspace{Name: "school", Rate: 100, Burst: 100}
				f := newFleet(10)
				f.ready(w)
				f.tell()
				time.Sleep(4 * time.Second)
				f.run(seeds.Source(t), w, 65, weights, 30*time.Second)
				refused := f.asked - len(f.admitted)
				is.True(float64(refused) < 0.005*float64(f.asked)) // refused inside the rate
			})
		})
	}
}

// A hot workspace gets its rate and no more, on fleets of several sizes.
func TestHotWorkspaceGetsItsRateAndNoMore(t *testing.T) {
	for _, n := range []int{1, 3, 10, 70} {
		for _, rate := range []float64{8, 100, 400} {
			t.Run(fmt.Sprintf("%dHosts/%gPerSecond", n, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := &router.Workspace{Name: "school", Rate: rate, Burst: rate}
					f := newFleet(n)
					f.ready(w)
					f.tell()
					rnd := seeds.Source(t)
					f.run(rnd, w, rate*0.6, even(n), 5*time.Second)
					f.run(rnd, w, rate*5, skewed(n), 15*time.Second)
					is.True(f.most() <= bound(w)) // the limit over any window
					is.True(float64(len(f.admitted)) > 0.85*rate*15)
				})
			})
		}
	}
}

// Hosts that are cut off keep to their part, and the others leave it to them.
func TestRandomisedCutHostsKeepToTheirParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rnd := seeds.Source(t)
		w := &router.Workspace{Name: "school", Rate: 100, Burst: 100}
		f := newFleet(10)
		f.ready(w)
		f.tell()
		for range 10 {
			f.run(rnd, w, 500, even(10), 4*time.Second)
			clear(f.cut)
			for range rnd.IntN(5) {
				f.cut[rnd.IntN(10)] = true
			}
		}
		is.True(f.most() <= bound(w)) // the limit over any window
	})
}

// Callers that are refused are told times that lie apart, so that they do not
// come back together.
func TestRefusedCallersComeBackOneAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a throttler.Throttler
		w := &router.Workspace{Name: "school", Rate: 10, Burst: 1}
		a.Prepare(w)
		time.Sleep(time.Second)
		_, ok := a.Admit(w)
		is.True(ok)
		last := time.Duration(0)
		for range 10 {
			wait, ok := a.Admit(w)
			is.True(!ok)
			is.True(wait >= last+90*time.Millisecond) // the next token of its own
			last = wait
		}
	})
}

// A workspace begins to send many times its rate just as hosts are cut off, and
// again as they return.
func TestRandomisedHotWorkspaceWhileHostsAreCutOff(t *testing.T) {
	for _, rate := range []float64{40, 371} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				rnd := seeds.Source(t)
				worst := 0.0
				for range 12 {
					w := &router.Workspace{Name: "school", Rate: rate, Burst: rate}
					f := newFleet(10)
					f.ready(w)
					f.tell()
					f.run(rnd, w, rate*0.62, even(10), 3*time.Second)
					for i := range 4 {
						f.cut[i*2] = true
					}
					f.run(rnd, w, rate*5, even(10), time.Duration(1+rnd.IntN(4))*time.Second)
					clear(f.cut)
					f.run(rnd, w, rate*5, skewed(10), 6*time.Second)
					worst = max(worst, float64(f.most())/float64(bound(w)))
				}
				t.Logf("most of the bound: %.3f", worst)
				is.True(worst <= 1) // the limit over any window
			})
		})
	}
}

// A host that starts among others must not take what they admitted of an idle workspace
// long ago for recent use.
func TestHistoryOfAnIdleWorkspaceDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: 10, Burst: 20}
		a := &throttler.Throttler{HostCount: func() int { return 2 }}
		a.Prepare(w)
		tell := func(usages ...throttler.Usage) {
			a.Merge(throttler.RemoteUsage{Scope: "other", Source: "other", Hosts: 1, Usages: usages})
		}
		for range 30 { // The bucket fills.
			tell()
			time.Sleep(100 * time.Millisecond)
		}
		tell(throttler.Usage{Workspace: throttler.HashWorkspace("w"), Admitted: 5000, Demand: 1})
		_, ok := a.Admit(w)
		is.True(ok)
	})
}

// Where another host takes over telling of a zone, its counts begin anew.
func TestCountsOfAnotherSourceBeginAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &router.Workspace{Name: "w", Rate: 10, Burst: 20}
		a := &throttler.Throttler{HostCount: func() int { return 3 }}
		a.Prepare(w)
		for i, source := range []ids.Instance{"a", "a", "a", "a", "a", "b", "b", "a", "b"} {
			time.Sleep(300 * time.Millisecond)
			admitted := uint64(10)
			if source == "b" {
				admitted = 100_000
			}
			a.Merge(throttler.RemoteUsage{Scope: "zone", Source: source, Hosts: 2, Usages: []throttler.Usage{
				{Workspace: throttler.HashWorkspace("w"), Admitted: admitted + uint64(i)},
			}})
		}
		_, ok := a.Admit(w)
		is.True(ok)
	})
}

// spare is what the operators allow over a workspace's limit in a window.
func spare(w *router.Workspace) float64 {
	return excess*(w.Rate*window.Seconds()+w.Burst) + slack
}

// restart replaces all hosts by new ones, which hear nobody for a while.
func (f *fleet) restart(rnd *rand.Rand, w *router.Workspace, load float64, deaf time.Duration) {
	n := len(f.hosts)
	for i := range f.hosts {
		f.hosts[i] = &throttler.Throttler{HostCount: func() int { return n }, Tolerance: spare}
		f.hosts[i].SetPropagationDelay(f.tellEvery, 0)
		f.cut[i] = true
	}
	f.ready(w)
	f.run(rnd, w, load, even(n), deaf)
	clear(f.cut)
}

// deafTime is how long hosts that start together hear nothing of each other.
const deafTime = 800 * time.Millisecond

// restartTime is the time in which hosts that all lost their memory admit again what
// is inside the rate.
const restartTime = 2 * time.Second

// When all hosts have lost their memory, a workspace inside its rate is refused for a
// moment only.
func TestRandomisedRestartOfAllHostsRefusesLittle(t *testing.T) {
	for _, n := range []int{10, 89, 195} {
		for _, rate := range []float64{12, 50, 178} {
			t.Run(fmt.Sprintf("%dHosts/%gPerSecond", n, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := &router.Workspace{Name: "school", Rate: rate, Burst: rate}
					f := newFleet(n)
					rnd := seeds.Source(t)
					load := rate * 0.6
					f.restart(rnd, w, load, deafTime)
					f.run(rnd, w, load, even(n), 4*time.Second)
					refused := f.asked - len(f.admitted)
					t.Logf("%d refused, of %.0f a second", refused, load)
					is.True(float64(refused) <= load*restartTime.Seconds())
				})
			})
		}
	}
}

// Where a hot workspace has used up its rate, hosts that all lose their memory do not
// admit it too much.
func TestRandomisedRestartOfAllHostsKeepsTheRate(t *testing.T) {
	for _, n := range []int{10, 70} {
		for _, rate := range []float64{12, 100, 400} {
			t.Run(fmt.Sprintf("%dHosts/%gPerSecond", n, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := &router.Workspace{Name: "school", Rate: rate, Burst: rate}
					f := newFleet(n)
					f.ready(w)
					f.tell()
					rnd := seeds.Source(t)
					f.run(rnd, w, rate*0.6, even(n), 5*time.Second)
					f.run(rnd, w, rate*4, even(n), 5*time.Second)
					f.restart(rnd, w, rate*4, deafTime)
					f.run(rnd, w, rate*4, even(n), 6*time.Second)
					t.Logf("at most %d of %d in a window", f.most(), bound(w))
					is.True(f.most() <= bound(w))
				})
			})
		}
	}
}

package demo

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// ordinaryShare is the part of its rate that a workspace sends on an
	// ordinary day.
	ordinaryShare = 0.7
	// noisyFactor is what one workspace sends for a part of the run, as a
	// multiple of its rate.
	noisyFactor = 4
	// noisyWorkspace is the place of that workspace in the document.
	noisyWorkspace = 3
	// anonymousRate is the rate of requests without a key on open routes, and
	// intruderRate that of requests with a wrong key or none on other routes,
	// a second.
	anonymousRate = 12
	intruderRate  = 3
	// wrongKey is a key that was never given out.
	wrongKey = "not-a-key-that-was-ever-given-out-0123456789"
)

// source is one stream of Poisson arrivals, spread over the regions.
type source struct {
	// rate returns the arrivals a second at a time since the load began.
	rate    func(since time.Duration) float64
	callers []*caller
	kinds   []kind
	rng     *rand.Rand
}

// run makes calls until ctx ends, and returns when all have their answers.
func (s *source) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	began := time.Now()
	next := began
	for {
		pause := s.rng.ExpFloat64() / s.rate(time.Since(began))
		next = next.Add(time.Duration(pause * float64(time.Second)))
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return
		}
		c := s.callers[s.rng.IntN(len(s.callers))]
		k := s.draw()
		// A call goes on to its end when the load has ended.
		wg.Go(func() { c.send(context.WithoutCancel(ctx), k) })
	}
}

// draw returns a kind by the kinds' shares.
func (s *source) draw() *kind {
	var total float64
	for i := range s.kinds {
		total += s.kinds[i].share
	}
	x := s.rng.Float64() * total
	for i := range s.kinds {
		x -= s.kinds[i].share
		if x < 0 {
			return &s.kinds[i]
		}
	}
	return &s.kinds[len(s.kinds)-1]
}

// newSources returns the streams of all workspaces and of callers without keys.
func (d *Demo) newSources() []*source {
	var all []*source
	for i, w := range d.document.Workspaces {
		s := d.newSource(string(w.Name), w.Name, d.fleet.Keys[w.Name], d.deployment.kinds)
		s.rate = d.workspaceRate(i, w)
		all = append(all, s)
	}
	open, closed := splitKinds(d.deployment.kinds)
	anonymous := d.newSource("anonymous", "", "", open)
	anonymous.rate = func(time.Duration) float64 { return anonymousRate * d.cfg.LoadFactor }
	keyless := d.newSource("keyless", "", "", closed)
	keyless.rate = func(time.Duration) float64 { return intruderRate }
	wrong := d.newSource("wrong-key", "", wrongKey, closed)
	wrong.rate = func(time.Duration) float64 { return intruderRate }
	return append(all, anonymous, keyless, wrong)
}

// workspaceRate returns the arrivals of the i-th workspace over time.
func (d *Demo) workspaceRate(i int, w config.Workspace) func(since time.Duration) float64 {
	ordinary := w.Rate * ordinaryShare * d.cfg.LoadFactor
	noisy := max(ordinary, w.Rate*noisyFactor)
	from, until := d.plan.noisyFrom, d.plan.noisyUntil
	return func(since time.Duration) float64 {
		if i == noisyWorkspace && since >= from && since < until {
			return noisy
		}
		return ordinary
	}
}

func splitKinds(kinds []kind) (open, closed []kind) {
	for _, k := range kinds {
		if k.open {
			open = append(open, k)
			continue
		}
		closed = append(closed, k)
	}
	return open, closed
}

// newSource returns a stream with one caller in each region.
func (d *Demo) newSource(name string, ws ids.Workspace, key string, kinds []kind) *source {
	s := &source{kinds: kinds, rng: d.newRandom()}
	for _, r := range d.document.Regions {
		transport := d.fleet.Transport(d.fleet.ClientIP(r.Name))
		d.addTransport(transport)
		s.callers = append(s.callers, newCaller(name+"-"+string(r.Name), ws, r.Name, key,
			entriesOf(d.fleet, r.Name), transport, &d.recorder, d.newRandom()))
	}
	return s
}

// addTransport keeps a transport whose connections are to be closed at the end.
func (d *Demo) addTransport(t *http.Transport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.transports = append(d.transports, t)
}

func (d *Demo) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
}

// entriesOf returns the callers' addresses of a region's entry hosts.
func entriesOf(f *fleet.Fleet, r ids.Region) []string {
	var all []string
	for _, n := range f.Nodes() {
		if n.Config.Region == r {
			all = append(all, n.Config.CallersAddress)
		}
	}
	return all
}

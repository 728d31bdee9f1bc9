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
	// ordinaryShare is the share of its rate limit that a workspace uses on an ordinary
	// day.
	ordinaryShare = 0.7
	// noisyFactor is the load of the noisy workspace for a part of the run, as a
	// multiple of its rate limit.
	noisyFactor = 4
	// noisyWorkspaceIndex is the index of the noisy workspace in the document.
	noisyWorkspaceIndex = 3
	// anonymousRate is the rate of requests without a key on open routes.
	// invalidKeyRate is the rate on other routes of requests with a wrong key, and that
	// of requests without one. Both are in requests per second.
	anonymousRate  = 12
	invalidKeyRate = 3
	// wrongKey is not the key of any workspace.
	wrongKey = "not-a-key-that-was-ever-given-out-0123456789"
)

// loadSource generates calls as a Poisson process, from random regions.
type loadSource struct {
	// rate returns the calls per second at a time since the load began.
	rate    func(since time.Duration) float64
	callers []*caller
	kinds   []requestKind
	rng     *rand.Rand
}

// run makes calls until ctx ends, and returns once all of them have ended.
func (s *loadSource) run(ctx context.Context) {
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
		k := s.pickKind()
		// A call in progress continues after the load has ended.
		wg.Go(func() { c.send(context.WithoutCancel(ctx), k) })
	}
}

// pickKind returns a random kind, weighted by share.
func (s *loadSource) pickKind() *requestKind {
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

// newLoadSources returns the sources of all workspaces and of callers without a valid
// key.
func (d *Demo) newLoadSources() []*loadSource {
	var all []*loadSource
	for i, w := range d.document.Workspaces {
		s := d.newLoadSource(string(w.Name), w.Name, d.fleet.Keys[w.Name], d.deployment.kinds)
		s.rate = d.workspaceRate(i, w)
		all = append(all, s)
	}
	open, closed := splitKinds(d.deployment.kinds)
	anonymous := d.newLoadSource("anonymous", "", "", open)
	anonymous.rate = func(time.Duration) float64 { return anonymousRate * d.cfg.LoadFactor }
	keyless := d.newLoadSource("keyless", "", "", closed)
	keyless.rate = func(time.Duration) float64 { return invalidKeyRate }
	wrong := d.newLoadSource("wrong-key", "", wrongKey, closed)
	wrong.rate = func(time.Duration) float64 { return invalidKeyRate }
	return append(all, anonymous, keyless, wrong)
}

// workspaceRate returns the load of the workspace with index i over time.
func (d *Demo) workspaceRate(i int, w config.Workspace) func(since time.Duration) float64 {
	ordinary := w.Rate * ordinaryShare * d.cfg.LoadFactor
	noisy := max(ordinary, w.Rate*noisyFactor)
	from, until := d.plan.noisyFrom, d.plan.noisyUntil
	return func(since time.Duration) float64 {
		if i == noisyWorkspaceIndex && since >= from && since < until {
			return noisy
		}
		return ordinary
	}
}

func splitKinds(kinds []requestKind) (open, closed []requestKind) {
	for _, k := range kinds {
		if k.open {
			open = append(open, k)
			continue
		}
		closed = append(closed, k)
	}
	return open, closed
}

// newLoadSource returns a source with one caller in each region. Its rate is not set.
func (d *Demo) newLoadSource(name string, ws ids.Workspace, key string, kinds []requestKind) *loadSource {
	s := &loadSource{kinds: kinds, rng: d.newRandom()}
	for _, r := range d.document.Regions {
		transport := d.fleet.Transport(d.fleet.ClientIP(r.Name))
		d.addTransport(transport)
		s.callers = append(s.callers, newCaller(name+"-"+string(r.Name), ws, r.Name, key,
			callersAddresses(d.fleet, r.Name), transport, &d.recorder, d.newRandom()))
	}
	return s
}

// addTransport registers a transport whose idle connections are closed at the end.
func (d *Demo) addTransport(t *http.Transport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.transports = append(d.transports, t)
}

func (d *Demo) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(d.random.Uint64(), d.random.Uint64()))
}

// callersAddresses returns the addresses of a region's entry hosts for callers.
func callersAddresses(f *fleet.Fleet, r ids.Region) []string {
	var all []string
	for _, n := range f.Nodes() {
		if n.Config.Region == r {
			all = append(all, n.Config.CallersAddress)
		}
	}
	return all
}

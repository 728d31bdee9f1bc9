package slotsim

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Load describes the requests to a Fleet. They arrive as a Poisson process.
type Load struct {
	// Utilisation is the offered load: the mean fraction of the slots in use if no
	// request waited.
	Utilisation float64
	// MeanWork is the mean of the exponentially distributed service times.
	MeanWork time.Duration
	// Duration is the time in which requests arrive.
	Duration time.Duration
	// FirstHostShare is the fraction of requests that the first host receives; 0
	// means an even distribution.
	FirstHostShare float64
	// WorkspaceShares maps each workspace to its share of the requests, relative to
	// the others.
	WorkspaceShares map[ids.Workspace]float64
	Seed            uint64
}

// arrival is one request of a Load.
type arrival struct {
	// offset is the time since the start of the Load.
	offset time.Duration
	host   int
	Request
}

// arrivals draws the requests of a Load, in the order of their arrival.
func (l *Load) arrivals(cfg *FleetConfig) []arrival {
	rng := rand.New(rand.NewPCG(l.Seed, 4))
	perSecond := l.Utilisation * float64(cfg.Targets*cfg.Slots) / l.MeanWork.Seconds()
	names, total := l.workspaces()
	var all []arrival
	for offset := time.Duration(0); ; {
		offset += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if offset >= l.Duration {
			return all
		}
		all = append(all, arrival{offset: offset, host: l.drawHost(rng, cfg.Hosts), Request: Request{
			Workspace: l.drawWorkspace(rng, names, total),
			Work:      time.Duration(rng.ExpFloat64() * float64(l.MeanWork)),
		}})
	}
}

func (l *Load) drawHost(rng *rand.Rand, hosts int) int {
	if l.FirstHostShare == 0 {
		return rng.IntN(hosts)
	}
	if rng.Float64() < l.FirstHostShare {
		return 0
	}
	return 1 + rng.IntN(hosts-1)
}

// workspaces returns the sorted workspaces and the sum of their shares.
func (l *Load) workspaces() ([]ids.Workspace, float64) {
	var names []ids.Workspace
	total := 0.0
	for ws, share := range l.WorkspaceShares {
		names = append(names, ws)
		total += share
	}
	slices.Sort(names)
	return names, total
}

func (l *Load) drawWorkspace(rng *rand.Rand, names []ids.Workspace, total float64) ids.Workspace {
	x := rng.Float64() * total
	for _, ws := range names {
		if x -= l.WorkspaceShares[ws]; x < 0 {
			return ws
		}
	}
	return ""
}

// Outcome holds the results of a Load's requests.
type Outcome struct {
	latencies  map[ids.Workspace][]time.Duration
	refused    map[ids.Workspace]int
	dispatched []Dispatched
}

func newOutcome() *Outcome {
	return &Outcome{latencies: make(map[ids.Workspace][]time.Duration), refused: make(map[ids.Workspace]int)}
}

// Percentile returns the percentile of the answered requests' latencies that share
// gives as a fraction. Without workspaces it covers all of them.
func (o *Outcome) Percentile(share float64, workspaces ...ids.Workspace) time.Duration {
	var all []time.Duration
	for ws, l := range o.latencies {
		if len(workspaces) == 0 || slices.Contains(workspaces, ws) {
			all = append(all, l...)
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(int(share*float64(len(all))), len(all)-1)]
}

// RefusedShare returns the fraction of requests that were refused or got no
// response. Without workspaces it covers all of them.
func (o *Outcome) RefusedShare(workspaces ...ids.Workspace) float64 {
	refused, all := 0, 0
	for ws, n := range o.refused {
		if len(workspaces) == 0 || slices.Contains(workspaces, ws) {
			refused += n
			all += n
		}
	}
	for ws, l := range o.latencies {
		if len(workspaces) == 0 || slices.Contains(workspaces, ws) {
			all += len(l)
		}
	}
	return float64(refused) / float64(max(all, 1))
}

// Requests returns the number of requests, refused ones included.
func (o *Outcome) Requests() int {
	n := 0
	for _, l := range o.latencies {
		n += len(l)
	}
	for _, refused := range o.refused {
		n += refused
	}
	return n
}

// TimeToLeave returns how long after a time the hosts continue to send a target
// more than a quarter of its even share of the requests.
func (o *Outcome) TimeToLeave(t ids.Target, since time.Time, targets int) time.Duration {
	const window = 250 * time.Millisecond
	for at := since; ; at = at.Add(window / 5) {
		here, all := 0, 0
		for _, s := range o.dispatched {
			if s.SentAt.Before(at) || !s.SentAt.Before(at.Add(window)) {
				continue
			}
			all++
			if s.Target == t {
				here++
			}
		}
		if 4*here*targets <= all {
			return at.Sub(since)
		}
	}
}

// Run sends the load through a new fleet and returns the outcome and the closed
// fleet. Unless halfway is nil, Run calls it after half of the load's duration.
func Run(cfg FleetConfig, l Load, halfway func(f *Fleet)) (*Outcome, *Fleet) {
	f := NewFleet(cfg)
	if halfway != nil {
		f.goroutines.Go(func() {
			time.Sleep(l.Duration / 2)
			halfway(f)
		})
	}
	outcome := newOutcome()
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for _, a := range l.arrivals(&cfg) {
		time.Sleep(time.Until(began.Add(a.offset)))
		h := f.HostAt(a.host)
		wg.Go(func() {
			start := time.Now()
			sent, err := h.Send(a.Request)
			mu.Lock()
			defer mu.Unlock()
			if sent.Target != "" {
				outcome.dispatched = append(outcome.dispatched, sent)
			}
			if err != nil || sent.Status == 0 {
				outcome.refused[a.Workspace]++
				return
			}
			outcome.latencies[a.Workspace] = append(outcome.latencies[a.Workspace], time.Since(start))
		})
	}
	wg.Wait()
	f.Close()
	return outcome, f
}

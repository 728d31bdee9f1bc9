package targets

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/picker"
	"gypsumbeam.example/gypsumbeam/pkg/rendezvous"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

// The times and bounds of probes.
const (
	DefaultProbeInterval = time.Second
	DefaultProbeTimeout  = 500 * time.Millisecond
	DefaultListInterval  = 2500 * time.Millisecond
	// probersOfTarget is the number of hosts that probe each target.
	probersOfTarget = 2
	// maxProbeBytes bounds the answer of a probe.
	maxProbeBytes = 4 << 10
	// maxObserved bounds the hosts whose last state is remembered.
	maxObserved = 4096
	// reportLife is the age at which a result is no longer told to others.
	reportLife = 5 * time.Second
)

// ProberConfig holds what a Prober needs. Self, Region, Sender and Picker are
// required.
type ProberConfig struct {
	// Self is this host's instance, and Region its region.
	Self   ids.Instance
	Region ids.Region
	// Sender carries the probes, so that they keep a connection warm.
	Sender *Sender
	// Picker takes the results.
	Picker *picker.Picker
	// Hosts returns the states of all live hosts. Nil means this host alone.
	Hosts func() []*peerpb.HostState
	// Lister returns the platform's list of hosts; nil means that there is none.
	Lister platform.HostLister
	// Interval is the time between two probes of a target, Timeout bounds one,
	// and ListInterval is the time between two looks at the list.
	Interval     time.Duration
	Timeout      time.Duration
	ListInterval time.Duration
}

// Prober asks the targets of this host's region how they are. Each target is
// probed by two hosts of the region, and the results travel to the others with
// the exchange of host states. Its methods may be called from several goroutines.
type Prober struct {
	cfg  ProberConfig
	done chan struct{}

	mu   sync.Mutex
	snap *config.Snapshot
	// results holds the last result of each target that this host probes.
	results map[ids.Target]result
	// observed holds the sequence number of each host's state last taken in.
	observed map[string]uint64
}

// result is the result of one probe.
type result struct {
	report picker.ProbeResult
	at     time.Time
}

// NewProber returns a Prober that probes nothing until Configure and Run.
func NewProber(cfg ProberConfig) *Prober {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultProbeInterval
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultProbeTimeout
	}
	if cfg.ListInterval == 0 {
		cfg.ListInterval = DefaultListInterval
	}
	return &Prober{
		cfg:      cfg,
		done:     make(chan struct{}),
		results:  make(map[ids.Target]result),
		observed: make(map[string]uint64),
	}
}

// Configure takes in a revision.
func (p *Prober) Configure(snap *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snap = snap
}

// Run probes until ctx ends. It may be called once.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	if p.cfg.Lister != nil {
		wg.Go(func() { p.followList(ctx) })
	}
	t := time.NewTicker(p.cfg.Interval)
	defer t.Stop()
	for {
		p.round(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed once Run has returned.
func (p *Prober) Done() <-chan struct{} { return p.done }

// round probes this host's part of the targets and waits for their answers.
func (p *Prober) round(ctx context.Context) {
	p.mu.Lock()
	snap := p.snap
	p.mu.Unlock()
	if snap == nil {
		return
	}
	hosts := p.regionHosts()
	var wg sync.WaitGroup
	for i := range snap.Document.Services {
		svc := &snap.Document.Services[i]
		for j := range svc.Upstreams {
			if u := &svc.Upstreams[j]; u.Region == p.cfg.Region && p.isMine(u.Name, hosts) {
				wg.Go(func() { p.probe(ctx, svc, u) })
			}
		}
	}
	wg.Wait()
}

// regionHosts returns the instances of the region's live hosts in order, this
// one included.
func (p *Prober) regionHosts() []string {
	all := []string{string(p.cfg.Self)}
	if p.cfg.Hosts != nil {
		for _, h := range p.cfg.Hosts() {
			if h.GetRegion() == string(p.cfg.Region) && !slices.Contains(all, h.GetInstance()) {
				all = append(all, h.GetInstance())
			}
		}
	}
	slices.Sort(all)
	return all
}

// isMine reports whether this host is one of those that probe the target.
func (p *Prober) isMine(t ids.Target, hosts []string) bool {
	for _, i := range rendezvous.Pick(string(t), len(hosts), probersOfTarget) {
		if hosts[i] == string(p.cfg.Self) {
			return true
		}
	}
	return false
}

// healthAnswer is what a target's health endpoint tells.
type healthAnswer struct {
	Status  string `json:"status"`
	StartID string `json:"startId"`
}

// loadAnswer is what a target's load endpoint tells.
type loadAnswer struct {
	Busy    int    `json:"busy"`
	StartID string `json:"startId"`
	Leaving bool   `json:"leaving"`
}

// probe asks one target for its health and load.
func (p *Prober) probe(ctx context.Context, svc *config.Service, u *config.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	started := time.Now()
	var health healthAnswer
	status, header := p.get(ctx, u.Address, svc.HealthEndpoint(), &health)
	var load loadAnswer
	if status != 0 {
		p.get(ctx, u.Address, svc.LoadEndpoint(), &load)
	}
	r := picker.ProbeResult{
		Healthy: status == http.StatusOK,
		Leaving: load.Leaving || health.Status == "leaving" || header.Get(HeaderLeaving) == "1",
		StartID: health.StartID,
		Load:    load.Busy,
	}
	if r.Leaving && load.Leaving && load.StartID != "" {
		r.StartID = load.StartID
	}
	p.mu.Lock()
	p.results[u.Name] = result{report: r, at: started}
	p.mu.Unlock()
	r.Age = time.Since(started)
	p.cfg.Picker.RecordProbe(u.Name, r)
}

// get asks an endpoint and decodes its JSON into v. It returns a zero status
// when there is no answer; an answer without JSON leaves v as it is.
func (p *Prober) get(ctx context.Context, address, path string, v any) (status int, header http.Header) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil
	}
	resp, _, err := p.cfg.Sender.Send(ctx, address, r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // What is unread is not wanted.
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes))
	if err != nil {
		return 0, nil
	}
	_ = json.Unmarshal(b, v) // Targets need not answer in JSON.
	return resp.StatusCode, resp.Header
}

// Reports returns the results of this host's own probes, for the other hosts.
func (p *Prober) Reports() []*peerpb.TargetReport {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*peerpb.TargetReport, 0, len(p.results))
	for t, r := range p.results {
		if now.Sub(r.at) > reportLife {
			delete(p.results, t)
			continue
		}
		all = append(all, &peerpb.TargetReport{
			Target:  string(t),
			Healthy: r.report.Healthy,
			Leaving: r.report.Leaving,
			StartId: r.report.StartID,
			Load:    uint32(max(r.report.Load, 0)),
			AgeMs:   uint64(now.Sub(r.at) / time.Millisecond),
		})
	}
	return all
}

// Observe takes in the results of other hosts' probes, those of each state once.
// It should be called as often as states are exchanged.
func (p *Prober) Observe(states []*peerpb.HostState) {
	for _, h := range states {
		if h.GetRegion() != string(p.cfg.Region) || h.GetInstance() == string(p.cfg.Self) || !p.isNew(h) {
			continue
		}
		for _, r := range h.GetTargets() {
			p.cfg.Picker.RecordProbe(ids.Target(r.GetTarget()), picker.ProbeResult{
				Healthy: r.GetHealthy(),
				Leaving: r.GetLeaving(),
				StartID: r.GetStartId(),
				Load:    int(r.GetLoad()),
				Age:     time.Duration(r.GetAgeMs()+h.GetAgeMs()) * time.Millisecond,
			})
		}
	}
}

// isNew reports whether the state was not taken in before.
func (p *Prober) isNew(h *peerpb.HostState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observed[h.GetInstance()] >= h.GetSeq() {
		return false
	}
	if len(p.observed) >= maxObserved {
		clear(p.observed) // Hosts come and go; a state taken in twice does no harm.
	}
	p.observed[h.GetInstance()] = h.GetSeq()
	return true
}

// followList takes in the platform's list until ctx ends.
func (p *Prober) followList(ctx context.Context) {
	t := time.NewTicker(p.cfg.ListInterval)
	defer t.Stop()
	for {
		p.readList(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.ListInterval)
	defer cancel()
	hosts, err := p.cfg.Lister.Hosts(ctx)
	if err != nil {
		return // An old list is as good as none: the probes go on.
	}
	for _, h := range hosts {
		t, ok := p.cfg.Picker.TargetByAddress(h.Address)
		if !ok {
			continue
		}
		switch h.Status {
		case platform.HostLeaving:
			p.cfg.Picker.MarkLeaving(t, h.StartID)
		case platform.HostLive:
			p.cfg.Picker.MarkLive(t, h.StartID)
		}
	}
}

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

// Defaults and limits of probing.
const (
	DefaultProbeInterval = time.Second
	DefaultProbeTimeout  = 500 * time.Millisecond
	DefaultListInterval  = 2500 * time.Millisecond
	// probersPerTarget is the number of hosts that probe each target.
	probersPerTarget = 2
	// maxProbeBytes bounds the response body that is read from a probe.
	maxProbeBytes = 4 << 10
	// maxObservedHosts bounds the hosts whose last state is remembered.
	maxObservedHosts = 4096
	// maxReportAge is the age beyond which a result is not reported to other hosts.
	maxReportAge = 5 * time.Second
)

// ProberConfig holds the settings and dependencies of a Prober. Self, Region, Sender
// and Picker are required.
type ProberConfig struct {
	// Self is this host's instance ID, and Region its region.
	Self   ids.Instance
	Region ids.Region
	// Sender sends the probes. Sharing it with the requests keeps a connection to each
	// probed target open.
	Sender *Sender
	// Picker receives the results.
	Picker *picker.Picker
	// Hosts returns the states of all live hosts. Nil means that this is the only host.
	Hosts func() []*peerpb.HostState
	// Lister reads the platform's list of hosts, in which targets appear with their
	// status; nil means that the platform has none.
	Lister platform.HostLister
	// Interval is the time between two probes of a target, Timeout bounds one probe,
	// and ListInterval is the time between two reads of the platform's list. Zero
	// values take the defaults.
	Interval     time.Duration
	Timeout      time.Duration
	ListInterval time.Duration
}

// Prober probes the health and load endpoints of the targets in this host's region.
// Each target is probed by two hosts of the region, chosen by rendezvous hashing; the
// other hosts receive the results with the exchange of host states. Its methods may be
// called concurrently.
type Prober struct {
	cfg  ProberConfig
	done chan struct{}

	mu   sync.Mutex
	snap *config.Snapshot
	// results holds the latest result for each target that this host probes.
	results map[ids.Target]result
	// observed holds the sequence number of the last state processed, by host instance.
	observed map[string]uint64
}

// result is the result of one probe and the time at which it started.
type result struct {
	probe picker.ProbeResult
	at    time.Time
}

// NewProber returns a Prober that probes nothing until Configure and Run are called.
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

// Configure applies a configuration. It may be called at any time.
func (p *Prober) Configure(snap *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snap = snap
}

// Run probes the targets and reads the platform's list until ctx ends. It may be called
// once.
func (p *Prober) Run(ctx context.Context) {
	defer close(p.done)
	var wg sync.WaitGroup
	defer wg.Wait()
	if p.cfg.Lister != nil {
		wg.Go(func() { p.pollList(ctx) })
	}
	t := time.NewTicker(p.cfg.Interval)
	defer t.Stop()
	for {
		p.probeAll(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Done returns a channel that is closed once Run has returned.
func (p *Prober) Done() <-chan struct{} { return p.done }

// probeAll probes the targets that are assigned to this host and waits for the results.
func (p *Prober) probeAll(ctx context.Context) {
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
			if u := &svc.Upstreams[j]; u.Region == p.cfg.Region && p.assignedToSelf(u.Name, hosts) {
				wg.Go(func() { p.probe(ctx, svc, u) })
			}
		}
	}
	wg.Wait()
}

// regionHosts returns the sorted instance IDs of the region's live hosts, including
// this one.
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

// assignedToSelf reports whether this host is one of those that probe the target.
func (p *Prober) assignedToSelf(t ids.Target, hosts []string) bool {
	for _, i := range rendezvous.Pick(string(t), len(hosts), probersPerTarget) {
		if hosts[i] == string(p.cfg.Self) {
			return true
		}
	}
	return false
}

// healthResponse is the body of a target's health endpoint.
type healthResponse struct {
	Status  string `json:"status"`
	StartID string `json:"startId"`
}

// loadResponse is the body of a target's load endpoint.
type loadResponse struct {
	Busy    int    `json:"busy"`
	StartID string `json:"startId"`
	Leaving bool   `json:"leaving"`
}

// probe queries the health and load of one target and passes the result to the picker.
// The load endpoint is skipped if the health endpoint does not respond.
func (p *Prober) probe(ctx context.Context, svc *config.Service, u *config.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	started := time.Now()
	var health healthResponse
	status, header := p.getJSON(ctx, u.Address, svc.HealthEndpoint(), &health)
	var load loadResponse
	if status != 0 {
		p.getJSON(ctx, u.Address, svc.LoadEndpoint(), &load)
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
	p.results[u.Name] = result{probe: r, at: started}
	p.mu.Unlock()
	r.Age = time.Since(started)
	p.cfg.Picker.RecordProbe(u.Name, r)
}

// getJSON sends a GET request to an endpoint and decodes the JSON response into v. It
// returns status 0 if there is no response; a response that is not JSON leaves v as it
// is.
func (p *Prober) getJSON(ctx context.Context, address, path string, v any) (status int, header http.Header) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, nil
	}
	resp, _, err := p.cfg.Sender.Send(ctx, address, r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // the rest is not needed
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxProbeBytes))
	if err != nil {
		return 0, nil
	}
	_ = json.Unmarshal(b, v) // targets need not respond in JSON
	return resp.StatusCode, resp.Header
}

// Reports returns the recent results of this host's own probes, for the other hosts.
func (p *Prober) Reports() []*peerpb.TargetReport {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*peerpb.TargetReport, 0, len(p.results))
	for t, r := range p.results {
		if now.Sub(r.at) > maxReportAge {
			delete(p.results, t)
			continue
		}
		all = append(all, &peerpb.TargetReport{
			Target:  string(t),
			Healthy: r.probe.Healthy,
			Leaving: r.probe.Leaving,
			StartId: r.probe.StartID,
			Load:    uint32(max(r.probe.Load, 0)),
			AgeMs:   uint64(now.Sub(r.at) / time.Millisecond),
		})
	}
	return all
}

// Observe passes the results of other hosts' probes to the picker. Each state is
// processed once. It should be called as often as states are exchanged.
func (p *Prober) Observe(states []*peerpb.HostState) {
	for _, h := range states {
		if h.GetRegion() != string(p.cfg.Region) || h.GetInstance() == string(p.cfg.Self) || !p.markObserved(h) {
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

// markObserved records that the state is being processed, and reports whether it is a
// new one.
func (p *Prober) markObserved(h *peerpb.HostState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observed[h.GetInstance()] >= h.GetSeq() {
		return false
	}
	if len(p.observed) >= maxObservedHosts {
		clear(p.observed) // hosts come and go, and processing a state twice is harmless
	}
	p.observed[h.GetInstance()] = h.GetSeq()
	return true
}

// pollList reads the platform's list every ListInterval until ctx ends.
func (p *Prober) pollList(ctx context.Context) {
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
		return // without a new list, the probes alone decide
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

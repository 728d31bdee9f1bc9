// Package demo runs an example deployment in one process over loopback addresses:
// real entry hosts, stand-in targets and store, callers and an operator. It then
// checks the records of callers and targets against the system's promises.
//
// New returns a Demo for one of Deployments; Run runs it and returns the Report.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/operators"
)

// The defaults of zero fields of a Config.
const (
	DefaultDuration   = 20 * time.Second
	DefaultLoadFactor = 1.0
	DefaultDeployment = "crested-thread"
)

const (
	// readyTimeout is the time limit for the start of the fleet.
	readyTimeout = 60 * time.Second
	// settleTime is the wait before the load, so that all hosts know each other.
	settleTime = 2 * time.Second
	// progressInterval is the time between two progress lines.
	progressInterval = 2 * time.Second
	// pollInterval is the time between two checks of the hosts' revisions, and of
	// other conditions that Run waits for.
	pollInterval = 50 * time.Millisecond
	// minLookupTTL is the minimum TTL of look-up responses. A host that stops serves
	// callers for noticeMargin longer than the TTL.
	minLookupTTL = time.Second
	noticeMargin = 500 * time.Millisecond
	// minResponseBytes is the minimum length of targets' response bodies.
	minResponseBytes = 2 << 10
	// connectTime is the delay of a new connection to a target, and probeTime that of
	// a target's response to a probe.
	connectTime = time.Millisecond
	probeTime   = 6 * time.Millisecond
)

// Config holds the settings of a Demo. All are optional.
type Config struct {
	// Deployment is one of Deployments; empty means DefaultDeployment.
	Deployment string
	// Duration is how long callers send requests; zero means DefaultDuration.
	Duration time.Duration
	// Seed is the seed of all random choices of the load.
	Seed uint64
	// LoadFactor multiplies the load of an ordinary day; zero means
	// DefaultLoadFactor.
	LoadFactor float64
	// InMemory selects an in-memory network instead of loopback addresses, for tests
	// on the virtual clock.
	InMemory bool
	// Progress receives progress lines; nil means none.
	Progress io.Writer
}

// Demo is a single run, created by New.
type Demo struct {
	cfg        Config
	deployment *deployment
	document   *config.Document
	fleet      *fleet.Fleet
	operators  *operators.Client
	plan       plan
	recorder   recorder
	random     *rand.Rand
	// operatorLock is held by sending to it while an operator's change is applied.
	operatorLock chan struct{}
	stepsRunning sync.WaitGroup
	startedAt    time.Time

	mu         sync.Mutex
	transports []*http.Transport
}

// New returns a Demo that has not started. It returns an error for an unknown
// deployment or a negative duration or load.
func New(cfg Config) (*Demo, error) {
	if cfg.Deployment == "" {
		cfg.Deployment = DefaultDeployment
	}
	if cfg.Duration == 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.LoadFactor == 0 {
		cfg.LoadFactor = DefaultLoadFactor
	}
	if cfg.Duration < 0 || cfg.LoadFactor < 0 {
		return nil, errs.New("the duration and the load must be above zero")
	}
	dep, err := findDeployment(cfg.Deployment)
	if err != nil {
		return nil, err
	}
	doc, err := dep.document()
	if err != nil {
		return nil, err
	}
	return &Demo{
		cfg: cfg, deployment: dep, document: doc,
		random:       rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		operatorLock: make(chan struct{}, 1),
	}, nil
}

// Run runs the demo and returns its report. It may be called once. It returns an
// error if the fleet does not start or ctx ends before the audit; broken promises
// are in the report.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	d.startedAt = time.Now()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	defer d.fleet.Stop()
	d.operators = d.fleet.OperatorsClient()
	d.plan = d.newPlan()
	if err := d.load(ctx); err != nil {
		return nil, err
	}
	d.progressf("auditing")
	return newReport(d.cfg, d.deployment, d.collect()), nil
}

// load sends requests and runs the plan for the configured duration. It returns once
// all requests have ended and the last change can be checked.
func (d *Demo) load(ctx context.Context) error {
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	sources := d.newLoadSources()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	loading, stopLoading := context.WithTimeout(ctx, d.cfg.Duration)
	defer stopLoading()
	d.recorder.records.loadStart = time.Now()
	d.progressf("load begins: %v at %g times the ordinary day, seed %d", d.cfg.Duration, d.cfg.LoadFactor, d.cfg.Seed)
	var watchers, callers sync.WaitGroup
	watchers.Go(func() { d.watchRevisions(watching) })
	watchers.Go(func() { d.reportProgress(watching) })
	for _, s := range sources {
		callers.Go(func() { s.run(loading) })
	}
	d.runPlan(ctx, d.recorder.records.loadStart)
	callers.Wait()
	d.recorder.records.loadEnd = time.Now()
	d.stepsRunning.Wait()
	d.waitForChanges(ctx)
	stopWatching()
	watchers.Wait()
	return ctx.Err()
}

// waitForChanges waits until each accepted change is in force on all hosts or its
// time limit has passed.
func (d *Demo) waitForChanges(ctx context.Context) {
	for {
		d.recorder.mu.Lock()
		waiting := false
		for _, c := range d.recorder.records.changes {
			waiting = waiting || c.revision > 0 && !inForceEverywhere(&d.recorder.records, c) && time.Since(c.acceptedAt) < maxInForceDelay
		}
		d.recorder.mu.Unlock()
		if !waiting {
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return
		}
	}
}

// watchRevisions records changes of each host's revision in force until ctx ends.
func (d *Demo) watchRevisions(ctx context.Context) {
	last := make(map[string]ids.Revision)
	for ctx.Err() == nil {
		for _, n := range d.fleet.Nodes() {
			if !d.fleet.Running(n) {
				continue
			}
			rev := ids.Revision(n.Host.Self().GetConfigRevision())
			address := n.Config.CallersAddress
			if rev != last[address] {
				last[address] = rev
				d.recorder.addHostRevision(hostRevision{host: address, at: time.Now(), revision: rev})
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func (d *Demo) reportProgress(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			calls, answered, attempts := d.recorder.counts()
			d.progressf("%d calls, %d answered by targets, %d requests sent", calls, answered, attempts)
		case <-ctx.Done():
			return
		}
	}
}

// progressf writes a progress line with the time since the start.
func (d *Demo) progressf(format string, args ...any) {
	if d.cfg.Progress == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// A failed write does not stop the run.
	_, _ = fmt.Fprintf(d.cfg.Progress, "%6.1f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// collect waits for the targets and returns the records, theirs included.
func (d *Demo) collect() *records {
	for _, t := range d.transports {
		t.CloseIdleConnections()
	}
	d.waitForTargets()
	d.recorder.mu.Lock()
	r := d.recorder.records
	d.recorder.mu.Unlock()
	r.document = d.document
	for i := range d.document.Services {
		svc := &d.document.Services[i]
		for _, u := range svc.Upstreams {
			s := d.fleet.Targets[u.Name].Stats()
			r.targets = append(r.targets, targetTotals{
				name: u.Name, service: svc.Name, region: u.Region, slots: svc.Slots,
				arrived: s.Arrived, overSlots: s.OverSlots, maxBusy: s.MaxBusy, secretsSeen: s.SecretsSeen,
			})
		}
	}
	for i, b := range d.fleet.Checker.Breaches() {
		r.breaches = append(r.breaches, b.Message)
		if i == 0 {
			d.reportBreach(b)
		}
	}
	return &r
}

// reportBreach writes a broken invariant and the events before it.
func (d *Demo) reportBreach(b checker.Breach) {
	d.progressf("invariant broke: %s", b.Message)
	for _, line := range b.Trace {
		d.progressf("  before it: %s", line)
	}
}

// waitForTargets waits until no request runs at a target, at most callTimeout. It
// includes requests whose callers have disconnected.
func (d *Demo) waitForTargets() {
	end := time.Now().Add(callTimeout)
	for _, t := range d.fleet.Targets {
		for t.Stats().Busy > 0 && time.Now().Before(end) {
			time.Sleep(pollInterval)
		}
	}
}

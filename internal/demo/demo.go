// Package demo runs an example deployment in one process over loopback
// addresses: real entry hosts, stand-in targets and store, callers and an
// operator. It then audits what callers and targets recorded against what the
// system promises.
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

// The defaults of a Config's zero fields.
const (
	DefaultDuration   = 20 * time.Second
	DefaultLoadFactor = 1.0
	DefaultDeployment = "crested-thread"
)

const (
	// readyTimeout bounds the start of the fleet.
	readyTimeout = 60 * time.Second
	// settleTime is left after the start, so that all hosts know each other.
	settleTime = 2 * time.Second
	// progressInterval is the time between two lines of progress.
	progressInterval = 2 * time.Second
	// sightInterval is the time between two looks at the revisions in force.
	sightInterval = 50 * time.Millisecond
	// shortestLookup is the least life of a look-up's answer, and noticeMargin
	// how much longer a leaving host serves on.
	shortestLookup = time.Second
	noticeMargin   = 500 * time.Millisecond
	// answerBytes is the length of targets' answers.
	answerBytes = 2 << 10
	// connectTime is what a new connection to a target costs, and probeTime what
	// a probe of one does.
	connectTime = time.Millisecond
	probeTime   = 6 * time.Millisecond
)

// Config holds the settings of a Demo.
type Config struct {
	// Deployment names one of Deployments.
	Deployment string
	// Duration is how long callers send requests.
	Duration time.Duration
	// Seed starts all random choices of the load.
	Seed uint64
	// Load is a multiple of the ordinary day.
	LoadFactor float64
	// InMemory runs over an in-memory network in place of loopback addresses, for
	// tests on the virtual clock.
	InMemory bool
	// Progress is where progress is told; nil tells none.
	Progress io.Writer
}

// Demo is one run. Use New to make one.
type Demo struct {
	cfg        Config
	deployment *deployment
	document   *config.Document
	fleet      *fleet.Fleet
	operators  *operators.Client
	plan       plan
	recorder   recorder
	random     *rand.Rand
	// operating holds one operator's change at a time.
	operating chan struct{}
	running   sync.WaitGroup
	begunAt   time.Time

	mu         sync.Mutex
	transports []*http.Transport
}

// New returns a Demo that has not started.
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
		random:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		operating: make(chan struct{}, 1),
	}, nil
}

// Run runs the demo and returns its report. It may be called once. An error
// means that there is nothing to judge.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	d.begunAt = time.Now()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	defer d.fleet.Stop()
	d.operators = d.fleet.OperatorsClient()
	d.plan = d.newPlan()
	if err := d.load(ctx); err != nil {
		return nil, err
	}
	d.progress("auditing")
	return newReport(d.cfg, d.deployment, d.finish()), nil
}

// load sends requests and makes changes for the run's length, and returns when
// all requests have ended.
func (d *Demo) load(ctx context.Context) error {
	select {
	case <-time.After(settleTime):
	case <-ctx.Done():
		return ctx.Err()
	}
	sources := d.newSources()
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	loading, stopLoading := context.WithTimeout(ctx, d.cfg.Duration)
	defer stopLoading()
	d.recorder.r.began = time.Now()
	d.progress("load begins: %v at %g times the ordinary day, seed %d", d.cfg.Duration, d.cfg.LoadFactor, d.cfg.Seed)
	var watchers, callers sync.WaitGroup
	watchers.Go(func() { d.watchRevisions(watching) })
	watchers.Go(func() { d.tellProgress(watching) })
	for _, s := range sources {
		callers.Go(func() { s.run(loading) })
	}
	d.runPlan(ctx, d.recorder.r.began)
	callers.Wait()
	d.recorder.r.ended = time.Now()
	d.running.Wait()
	d.awaitChanges(ctx)
	stopWatching()
	watchers.Wait()
	return ctx.Err()
}

// awaitChanges waits until the last change can be judged.
func (d *Demo) awaitChanges(ctx context.Context) {
	for {
		d.recorder.mu.Lock()
		waiting := false
		for _, c := range d.recorder.r.changes {
			waiting = waiting || c.revision > 0 && !inForceEverywhere(&d.recorder.r, c) && time.Since(c.acceptedAt) < inForceWithin
		}
		d.recorder.mu.Unlock()
		if !waiting {
			return
		}
		select {
		case <-time.After(sightInterval):
		case <-ctx.Done():
			return
		}
	}
}

// watchRevisions notes each host's revision in force until ctx ends.
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
				d.recorder.sight(sighting{host: address, at: time.Now(), revision: rev})
			}
		}
		select {
		case <-time.After(sightInterval):
		case <-ctx.Done():
		}
	}
}

func (d *Demo) tellProgress(ctx context.Context) {
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			calls, answered, attempts := d.recorder.counts()
			d.progress("%d calls, %d answered by targets, %d requests sent", calls, answered, attempts)
		case <-ctx.Done():
			return
		}
	}
}

// progress tells one line.
func (d *Demo) progress(format string, args ...any) {
	if d.cfg.Progress == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// What cannot be told does not stop the run.
	_, _ = fmt.Fprintf(d.cfg.Progress, "%6.1f s  %s\n", time.Since(d.begunAt).Seconds(), fmt.Sprintf(format, args...))
}

// finish ends the fleet and returns the records.
func (d *Demo) finish() *records {
	for _, t := range d.transports {
		t.CloseIdleConnections()
	}
	d.awaitTargets()
	d.recorder.mu.Lock()
	r := d.recorder.r
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
			d.tellBreach(b)
		}
	}
	return &r
}

// tellBreach tells an invariant that broke, and the events before it.
func (d *Demo) tellBreach(b checker.Breach) {
	d.progress("invariant broke: %s", b.Message)
	for _, line := range b.Trace {
		d.progress("  before it: %s", line)
	}
}

// awaitTargets waits until no target works any more, within a bound: runs that
// go on without their callers count as well.
func (d *Demo) awaitTargets() {
	end := time.Now().Add(callTimeout)
	for _, t := range d.fleet.Targets {
		for t.Stats().Busy > 0 && time.Now().Before(end) {
			time.Sleep(sightInterval)
		}
	}
}

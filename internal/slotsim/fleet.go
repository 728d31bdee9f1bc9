// Package slotsim runs the hosts of one region against stand-in targets, to test
// and measure how slots are assigned. Each host is a real slotter, picker and
// dispatcher; only the messages between hosts are simulated.
//
// Run sends a Load through a new Fleet and returns its Outcome; RunIdeal,
// RunRoundRobin and RunLeastReported compute that of baselines. Tests that inject
// faults use NewFleet, Host.Send and Close. A Fleet runs on the runtime's clock, so
// that tests create it inside a testing/synctest bubble.
package slotsim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Service and Region are the only service and region of a Fleet.
const (
	Service ids.Service = "shop"
	Region  ids.Region  = "here"
)

// exchangeInterval is the time between two exchanges of the hosts' reports and the
// targets' loads.
const exchangeInterval = 500 * time.Millisecond

// FleetConfig is the configuration of a Fleet.
type FleetConfig struct {
	Hosts   int
	Targets int
	// Slots is the number of slots of each target.
	Slots int
	// Timeout bounds each request, and QueueLength the number of requests that wait
	// on a host.
	Timeout     time.Duration
	QueueLength int
	// WorkspaceWeights maps each workspace to its weight.
	WorkspaceWeights map[ids.Workspace]float64
	// RoundTrip is the round-trip time between two hosts.
	RoundTrip time.Duration
	// LossShare is the fraction of messages that are lost, requests and replies
	// alike, and DuplicateShare the fraction of requests that arrive twice.
	LossShare      float64
	DuplicateShare float64
	Seed           uint64
	// ColdTime is how long a target is cold after its start, and ColdFactor
	// multiplies the service time of a cold target.
	ColdTime   time.Duration
	ColdFactor float64
	// LoanIdleTimeout is passed to the slotters.
	LoanIdleTimeout time.Duration
}

// Fleet holds the hosts and targets of one region. Close must be called to stop it.
type Fleet struct {
	// Checker records requests over the slots and other breaches by the hosts.
	Checker *checker.Checker

	cfg        FleetConfig
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// messageCount is the number of requests that hosts sent to each other for slots.
	messageCount atomic.Int64

	mu       sync.Mutex
	rng      *rand.Rand
	snapshot *config.Snapshot
	table    *seater.Table
	// resizeRevision is the table's revision after the last Resize.
	resizeRevision ids.SeatRevision
	hosts          map[ids.Instance]*Host
	startedHosts   int
	targets        map[ids.Target]*target.Target
	states         []*peerpb.HostState
}

// NewFleet creates the targets and starts one host on each seat.
func NewFleet(cfg FleetConfig) *Fleet {
	f := &Fleet{
		Checker: &checker.Checker{},
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 2)),
		hosts:   make(map[ids.Instance]*Host),
		targets: make(map[ids.Target]*target.Target),
		table:   &seater.Table{Revision: 1},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.snapshot = config.NewSnapshot(1, f.document(cfg.Slots))
	for i := range cfg.Targets {
		name := targetName(i)
		f.targets[name] = target.New(target.Config{
			Name: string(name), Slots: cfg.Slots, Seed: cfg.Seed + uint64(i),
			ColdTime: cfg.ColdTime, ColdFactor: cfg.ColdFactor,
		})
	}
	for i := range cfg.Hosts {
		f.table.Seats = append(f.table.Seats, seater.Seat{Number: ids.Seat(i), Region: Region})
	}
	for i := range cfg.Hosts {
		h := f.startHost()
		f.table.Seats[i].Holder = h.ID
		f.table.Seats[i].Epoch = 1
	}
	for _, h := range f.hosts {
		h.configure(f.snapshot)
		h.Slotter.SetTable(h.ID, f.table.Clone())
	}
	f.goroutines.Go(f.exchangeLoop)
	return f
}

func targetName(i int) ids.Target { return ids.Target(fmt.Sprintf("shop-%d", i)) }

func (f *Fleet) document(slots int) *config.Document {
	svc := config.Service{
		Name:        Service,
		Slots:       slots,
		TimeoutMs:   int(f.cfg.Timeout / time.Millisecond),
		QueueLength: f.cfg.QueueLength,
	}
	for i := range f.cfg.Targets {
		name := targetName(i)
		svc.Upstreams = append(svc.Upstreams, config.Upstream{Name: name, Region: Region, Address: string(name)})
	}
	doc := &config.Document{
		Regions:  []config.Region{{Name: Region, Seats: f.cfg.Hosts}},
		Services: []config.Service{svc},
	}
	for ws, weight := range f.cfg.WorkspaceWeights {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{Name: ws, Weight: weight})
	}
	return doc
}

// Target returns the target with the index i.
func (f *Fleet) Target(i int) *target.Target { return f.targets[targetName(i)] }

// Messages returns the number of requests that hosts sent to each other for slots.
// Replies are not counted.
func (f *Fleet) Messages() int { return int(f.messageCount.Load()) }

// HostAt returns the host on a seat, or nil if the seat is free or does not exist.
func (f *Fleet) HostAt(seat int) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	if seat >= len(f.table.Seats) {
		return nil
	}
	return f.hosts[f.table.Seats[seat].Holder]
}

// Close stops all hosts and waits for them.
func (f *Fleet) Close() {
	f.cancel()
	f.mu.Lock()
	hosts := make([]*Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		hosts = append(hosts, h)
	}
	f.mu.Unlock()
	for _, h := range hosts {
		h.stop()
	}
	f.goroutines.Wait()
}

// exchangeLoop calls exchangeOnce until the fleet is closed.
func (f *Fleet) exchangeLoop() {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.exchangeOnce()
		case <-f.ctx.Done():
			return
		}
	}
}

// exchangeOnce collects the hosts' reports, and passes the results of probes of the
// targets to the hosts.
func (f *Fleet) exchangeOnce() {
	f.mu.Lock()
	var hosts []*Host
	for _, h := range f.hosts {
		if h.running() {
			hosts = append(hosts, h)
		}
	}
	f.mu.Unlock()
	states := make([]*peerpb.HostState, 0, len(hosts))
	for _, h := range hosts {
		states = append(states, &peerpb.HostState{
			Instance: string(h.ID), Region: string(Region), Services: h.Dispatcher.Reports(),
		})
	}
	f.mu.Lock()
	f.states = states
	f.mu.Unlock()
	for name, t := range f.targets {
		result := probe(f.ctx, t)
		for _, h := range hosts {
			h.Picker.RecordProbe(name, result)
		}
	}
}

func (f *Fleet) hostStates() []*peerpb.HostState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states
}

// randomTrue returns true with the given probability.
func (f *Fleet) randomTrue(probability float64) bool {
	if probability == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < probability
}

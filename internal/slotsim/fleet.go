// Package slotsim runs the hosts of one region against stand-in targets, to
// test and measure how slots are handed out. Only the messages between hosts
// are faked; the decisions are the real ones. It runs on the runtime's clock.
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

// Service and Region are the only ones of a Fleet.
const (
	Service ids.Service = "shop"
	Region  ids.Region  = "here"
)

// exchangeInterval is how old the hosts' knowledge of each other's load may be.
const exchangeInterval = 500 * time.Millisecond

// FleetConfig holds the properties of a Fleet.
type FleetConfig struct {
	Hosts   int
	Targets int
	Slots   int
	// Timeout bounds each request, and Queue the requests that wait on a host.
	Timeout time.Duration
	Queue   int
	// Workspaces gives each workspace its weight.
	Workspaces map[ids.Workspace]float64
	// Delay is the time of a message from one host to another and back.
	Delay time.Duration
	// Loss and Twice are the shares of messages that are lost, on either way,
	// and that arrive twice.
	Loss  float64
	Twice float64
	Seed  uint64
	// ColdFor and ColdFactor make started targets slow.
	ColdFor    time.Duration
	ColdFactor float64
	// IdleHold is handed to the slotters.
	IdleHold time.Duration
}

// Fleet is the hosts and targets of one region.
type Fleet struct {
	Checker *checker.Checker

	cfg     FleetConfig
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	// messages counts the messages that hosts sent to each other for slots.
	messages atomic.Int64

	mu    sync.Mutex
	rng   *rand.Rand
	snap  *config.Snapshot
	table *seater.Table
	// resizedAt is the table's revision at the last change of its seats.
	resizedAt ids.SeatRevision
	hosts     map[ids.Instance]*Host
	started   int
	targets   map[ids.Target]*target.Target
	states    []*peerpb.HostState
}

// NewFleet starts the targets and one host on each seat.
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
	f.snap = config.NewSnapshot(1, f.document(cfg.Slots))
	for i := range cfg.Targets {
		name := targetName(i)
		f.targets[name] = target.New(target.Config{
			Name: string(name), Slots: cfg.Slots, Seed: cfg.Seed + uint64(i),
			ColdTime: cfg.ColdFor, ColdFactor: cfg.ColdFactor,
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
		h.configure(f.snap)
		h.Slotter.SetTable(h.ID, f.table.Clone())
	}
	f.running.Go(f.exchange)
	return f
}

func targetName(i int) ids.Target { return ids.Target(fmt.Sprintf("shop-%d", i)) }

func (f *Fleet) document(slots int) *config.Document {
	svc := config.Service{
		Name:        Service,
		Slots:       slots,
		TimeoutMs:   int(f.cfg.Timeout / time.Millisecond),
		QueueLength: f.cfg.Queue,
	}
	for i := range f.cfg.Targets {
		name := targetName(i)
		svc.Upstreams = append(svc.Upstreams, config.Upstream{Name: name, Region: Region, Address: string(name)})
	}
	doc := &config.Document{
		Regions:  []config.Region{{Name: Region, Seats: f.cfg.Hosts}},
		Services: []config.Service{svc},
	}
	for ws, weight := range f.cfg.Workspaces {
		doc.Workspaces = append(doc.Workspaces, config.Workspace{Name: ws, Weight: weight})
	}
	return doc
}

// Target returns the target with a number.
func (f *Fleet) Target(i int) *target.Target { return f.targets[targetName(i)] }

// Messages returns the number of messages that hosts sent to each other for
// slots, each with its answer.
func (f *Fleet) Messages() int { return int(f.messages.Load()) }

// HostAt returns the host on a seat, or nil.
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
	f.running.Wait()
}

// exchange spreads the hosts' reports and the targets' loads.
func (f *Fleet) exchange() {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f.spread()
		case <-f.ctx.Done():
			return
		}
	}
}

func (f *Fleet) spread() {
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
		r := probe(f.ctx, t)
		for _, h := range hosts {
			h.Picker.RecordProbe(name, r)
		}
	}
}

func (f *Fleet) hostStates() []*peerpb.HostState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states
}

// chance reports true in the given share of calls.
func (f *Fleet) chance(share float64) bool {
	if share == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64() < share
}

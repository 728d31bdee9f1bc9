// Package exchanger spreads what each entry host says of itself to the other
// hosts of the fleet. Every interval a host asks a few peers, chosen at random,
// for what is newer than it knows, so a state reaches all hosts in a number of
// rounds that grows with the logarithm of their number. Only the parts of a
// state that changed travel.
package gossiper

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// The defaults of a Config's zero fields.
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultFanout   = 3
	DefaultExpiry   = 3 * time.Second
)

// Config holds what an Exchanger needs. Self, Peers and Call are required.
type Config struct {
	// Self returns this host's present state. The Exchanger owns it then, fills
	// in Seq, and keeps earlier numbers that differ by little.
	Self func() *peerpb.HostState
	// Peers returns the peers' addresses of the other hosts.
	Peers func() []string
	// Call sends a request to the peer at an address and returns its reply.
	Call func(ctx context.Context, address string, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
	// Seen, where set, is called with the states that count after each round.
	OnRound func(states []*peerpb.HostState)
	// Interval is the time between rounds.
	Interval time.Duration
	// Fanout is the number of peers asked in a round.
	Fanout int
	// Expiry is the age at which a state no longer counts.
	Expiry time.Duration
}

// Exchanger keeps the newest state of every host. Its methods may be called
// from several goroutines.
type Gossiper struct {
	cfg  Config
	done chan struct{}

	mu     sync.RWMutex
	seq    uint64
	self   id
	states map[id]*entry
	// acked is the seq of this host's state that the peer at an address has.
	acked map[string]uint64
}

// New returns an Exchanger that has not started.
func New(cfg Config) *Gossiper {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = DefaultFanout
	}
	if cfg.Expiry == 0 {
		cfg.Expiry = DefaultExpiry
	}
	return &Gossiper{
		cfg:    cfg,
		done:   make(chan struct{}),
		states: make(map[id]*entry),
		acked:  make(map[string]uint64),
	}
}

// Run exchanges states until ctx ends. It may be called once.
func (e *Gossiper) Run(ctx context.Context) {
	defer close(e.done)
	t := time.NewTicker(e.cfg.Interval)
	defer t.Stop()
	for {
		e.Round(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed once Run has returned.
func (e *Gossiper) Done() <-chan struct{} { return e.done }

// Round makes a new state of this host and exchanges states with a few peers.
// It returns when all have answered or the interval is over.
func (e *Gossiper) Round(ctx context.Context) {
	e.renewSelf()
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Interval)
	defer cancel()
	var wg sync.WaitGroup
	for i, address := range e.choosePeers() {
		if i > 0 && !e.pause(ctx) {
			break
		}
		wg.Go(func() { e.ask(ctx, address) })
	}
	wg.Wait()
	if e.cfg.OnRound != nil {
		e.cfg.OnRound(e.Hosts())
	}
}

// pause waits between two peers of a round, so that what the first one tells
// need not come from the second one as well. It reports whether ctx goes on.
func (e *Gossiper) pause(ctx context.Context) bool {
	t := time.NewTimer(e.cfg.Interval / time.Duration(2*e.cfg.Fanout))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask gives one peer this host's state and takes in what is newer there.
func (e *Gossiper) ask(ctx context.Context, address string) {
	r := e.request(address)
	reply, err := e.cfg.Call(ctx, address, r)
	if err != nil {
		return // A peer that does not answer drops out by its state's age.
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acked[address] = reply.GetAskerSeq()
	now := time.Now()
	e.merge(reply.GetStates(), now)
	e.mergeBeats(r, reply, now)
	e.forget(now)
}

// request tells the peer what is known here, and of this host what it lacks.
func (e *Gossiper) request(address string) *peerpb.ExchangeRequest {
	now := time.Now()
	e.mu.RLock()
	defer e.mu.RUnlock()
	r := &peerpb.ExchangeRequest{}
	if self, ok := e.states[e.self]; ok {
		r.States = append(r.States, self.since(e.acked[address], now))
	}
	for i, en := range e.states {
		if now.Sub(en.at) > e.cfg.Expiry {
			continue
		}
		r.KnownIds = append(r.KnownIds, uint64(i))
		r.KnownSeqs = append(r.KnownSeqs, en.seq())
	}
	return r
}

func (e *Gossiper) renewSelf() {
	self := e.cfg.Self()
	sortItems(self)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	self.Seq = e.seq
	e.self = idOf(self.GetInstance())
	e.states[e.self] = e.states[e.self].renewed(self, time.Now())
}

func (e *Gossiper) choosePeers() []string {
	all := slices.Clone(e.cfg.Peers())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.acked) > 2*len(all) {
		clear(e.acked) // Most are addresses of hosts that are gone.
	}
	return all[:min(len(all), e.cfg.Fanout)]
}

// Exchange takes a peer's state in and returns what is newer here.
func (e *Gossiper) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.merge(r.GetStates(), now)
	e.forget(now)
	reply := e.newer(r, now)
	for _, s := range r.GetStates() {
		if en, ok := e.states[idOfState(s)]; ok {
			reply.AskerSeq = en.seq()
		}
	}
	return reply, nil
}

// newer returns what the asker does not know. The caller holds mu.
func (e *Gossiper) newer(r *peerpb.ExchangeRequest, now time.Time) *peerpb.ExchangeReply {
	known := knownBy(r)
	reply := &peerpb.ExchangeReply{}
	for i, en := range e.states {
		seq := known[i]
		switch {
		case seq >= en.seq():
		case seq >= en.last():
			reply.BeatIds = append(reply.BeatIds, uint64(i))
			reply.BeatSeqs = append(reply.BeatSeqs, en.seq())
			reply.BeatAgesMs = append(reply.BeatAgesMs, en.ageMs(now))
		default:
			reply.States = append(reply.States, en.since(seq, now))
		}
	}
	return reply
}

// knownBy returns the seqs that the asker knows.
func knownBy(r *peerpb.ExchangeRequest) map[id]uint64 {
	known := make(map[id]uint64, len(r.GetKnownIds()))
	for n, i := range r.GetKnownIds() {
		if n < len(r.GetKnownSeqs()) {
			known[id(i)] = r.GetKnownSeqs()[n]
		}
	}
	return known
}

// merge keeps the newer of each host's states. The caller holds mu.
func (e *Gossiper) merge(states []*peerpb.HostState, now time.Time) {
	for _, s := range states {
		i := idOfState(s)
		at := now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
		if en := e.states[i].merged(s, at); en != nil {
			e.states[i] = en
		}
	}
}

// mergeBeats takes in that states have not changed since the seqs that the
// request named. The caller holds mu.
func (e *Gossiper) mergeBeats(r *peerpb.ExchangeRequest, reply *peerpb.ExchangeReply, now time.Time) {
	known := knownBy(r)
	seqs, ages := reply.GetBeatSeqs(), reply.GetBeatAgesMs()
	for n, i := range reply.GetBeatIds() {
		if n >= len(seqs) || n >= len(ages) {
			return
		}
		s := &peerpb.HostState{Id: i, Seq: seqs[n], Since: known[id(i)], AgeMs: ages[n]}
		if s.Since > 0 {
			e.merge([]*peerpb.HostState{s}, now)
		}
	}
}

// forget drops what has expired. The caller holds mu.
func (e *Gossiper) forget(now time.Time) {
	for i, en := range e.states {
		if now.Sub(en.at) > e.cfg.Expiry {
			delete(e.states, i)
		}
	}
}

// Hosts returns the states of all hosts that count, this one included, ordered
// by instance. The caller must not write to them.
func (e *Gossiper) Hosts() []*peerpb.HostState {
	now := time.Now()
	e.mu.RLock()
	defer e.mu.RUnlock()
	all := make([]*peerpb.HostState, 0, len(e.states))
	for _, en := range e.states {
		if now.Sub(en.at) <= e.cfg.Expiry {
			all = append(all, en.state)
		}
	}
	slices.SortFunc(all, func(a, b *peerpb.HostState) int {
		return strings.Compare(a.GetInstance(), b.GetInstance())
	})
	return all
}

// Package gossiper distributes the state of each entry host to all hosts of the
// fleet by a gossip protocol. Every interval a host exchanges states with a few
// peers chosen at random, so a state reaches all hosts in a number of rounds that
// grows with the logarithm of their number. Only the changed parts of a state are
// sent; for an unchanged one a heartbeat is sent.
//
// A caller creates a Gossiper with New, starts it with Run, passes requests of
// peers to Exchange, and reads the states with Hosts.
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

// Defaults of Config.
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultFanout   = 3
	DefaultExpiry   = 3 * time.Second
)

// Config holds the settings and dependencies of a Gossiper. Self, Peers and Call
// are required; Interval, Fanout and Expiry have defaults.
type Config struct {
	// Self returns the current state of this host. The Gossiper takes ownership of
	// it, sets Seq, and replaces numbers that differ by little from those published
	// before by the published ones.
	Self func() *peerpb.HostState
	// Peers returns the addresses for peers of the other hosts.
	Peers func() []string
	// Call sends a request to the peer at an address and returns the reply.
	Call func(ctx context.Context, address string, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
	// OnRound, if set, is called after each round with the result of Hosts.
	OnRound func(states []*peerpb.HostState)
	// Interval is the time between rounds.
	Interval time.Duration
	// Fanout is the number of peers that are asked in a round.
	Fanout int
	// Expiry is the age at which a state is dropped.
	Expiry time.Duration
}

// Gossiper holds the newest known state of every host. Its methods may be called
// from several goroutines.
type Gossiper struct {
	cfg  Config
	done chan struct{}

	mu     sync.RWMutex
	seq    uint64
	self   hostID
	states map[hostID]*entry
	// acked is the seq of this host's state that the peer at an address has
	// acknowledged.
	acked map[string]uint64
}

// New returns a Gossiper that has not started.
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
		states: make(map[hostID]*entry),
		acked:  make(map[string]uint64),
	}
}

// Run does a round every Config.Interval until ctx ends. It may be called once.
func (g *Gossiper) Run(ctx context.Context) {
	defer close(g.done)
	t := time.NewTicker(g.cfg.Interval)
	defer t.Stop()
	for {
		g.Round(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Done is closed once Run has returned.
func (g *Gossiper) Done() <-chan struct{} { return g.done }

// Round creates a new state of this host and exchanges states with Config.Fanout
// peers. It returns when all have replied or the interval is over.
func (g *Gossiper) Round(ctx context.Context) {
	g.refreshSelf()
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Interval)
	defer cancel()
	var wg sync.WaitGroup
	for i, address := range g.choosePeers() {
		if i > 0 && !g.waitForNextPeer(ctx) {
			break
		}
		wg.Go(func() { g.exchangeWith(ctx, address) })
	}
	wg.Wait()
	if g.cfg.OnRound != nil {
		g.cfg.OnRound(g.Hosts())
	}
}

// waitForNextPeer waits between two peers of a round, so that the second one need
// not send what the first one has sent. It reports false if ctx has ended.
func (g *Gossiper) waitForNextPeer(ctx context.Context) bool {
	t := time.NewTimer(g.cfg.Interval / time.Duration(2*g.cfg.Fanout))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// exchangeWith sends this host's state to a peer and merges the newer states of
// its reply.
func (g *Gossiper) exchangeWith(ctx context.Context, address string) {
	r := g.request(address)
	reply, err := g.cfg.Call(ctx, address, r)
	if err != nil {
		return // The state of a peer that stays unreachable expires.
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked[address] = reply.GetAskerSeq()
	now := time.Now()
	g.merge(reply.GetStates(), now)
	g.mergeHeartbeats(r, reply, now)
	g.removeExpired(now)
}

// request returns the request to a peer: the seqs of all known states, and the
// changes of this host's state that the peer has not acknowledged.
func (g *Gossiper) request(address string) *peerpb.ExchangeRequest {
	now := time.Now()
	g.mu.RLock()
	defer g.mu.RUnlock()
	r := &peerpb.ExchangeRequest{}
	if self, ok := g.states[g.self]; ok {
		r.States = append(r.States, self.changesSince(g.acked[address], now))
	}
	for i, en := range g.states {
		if now.Sub(en.createdAt) > g.cfg.Expiry {
			continue
		}
		r.KnownIds = append(r.KnownIds, uint64(i))
		r.KnownSeqs = append(r.KnownSeqs, en.seq())
	}
	return r
}

func (g *Gossiper) refreshSelf() {
	self := g.cfg.Self()
	sortItems(self)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seq++
	self.Seq = g.seq
	g.self = idOf(self.GetInstance())
	g.states[g.self] = g.states[g.self].updated(self, time.Now())
}

func (g *Gossiper) choosePeers() []string {
	all := slices.Clone(g.cfg.Peers())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.acked) > 2*len(all) {
		clear(g.acked) // Most are addresses of hosts that have left.
	}
	return all[:min(len(all), g.cfg.Fanout)]
}

// Exchange merges the state of a peer and returns what the peer does not know.
func (g *Gossiper) Exchange(_ context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.merge(r.GetStates(), now)
	g.removeExpired(now)
	reply := g.newerStates(r, now)
	for _, s := range r.GetStates() {
		if en, ok := g.states[idOfState(s)]; ok {
			reply.AskerSeq = en.seq()
		}
	}
	return reply, nil
}

// newerStates returns the states that the sender of r does not know. The caller
// holds mu.
func (g *Gossiper) newerStates(r *peerpb.ExchangeRequest, now time.Time) *peerpb.ExchangeReply {
	known := knownBy(r)
	reply := &peerpb.ExchangeReply{}
	for i, en := range g.states {
		seq := known[i]
		switch {
		case seq >= en.seq():
		case seq >= en.lastChange():
			reply.BeatIds = append(reply.BeatIds, uint64(i))
			reply.BeatSeqs = append(reply.BeatSeqs, en.seq())
			reply.BeatAgesMs = append(reply.BeatAgesMs, en.ageMs(now))
		default:
			reply.States = append(reply.States, en.changesSince(seq, now))
		}
	}
	return reply
}

// knownBy returns the seqs that the sender of r knows.
func knownBy(r *peerpb.ExchangeRequest) map[hostID]uint64 {
	known := make(map[hostID]uint64, len(r.GetKnownIds()))
	for n, i := range r.GetKnownIds() {
		if n < len(r.GetKnownSeqs()) {
			known[hostID(i)] = r.GetKnownSeqs()[n]
		}
	}
	return known
}

// merge merges received states that are newer than the known ones. The caller
// holds mu.
func (g *Gossiper) merge(states []*peerpb.HostState, now time.Time) {
	for _, s := range states {
		i := idOfState(s)
		at := now.Add(-time.Duration(s.GetAgeMs()) * time.Millisecond)
		if en := g.states[i].merged(s, at); en != nil {
			g.states[i] = en
		}
	}
}

// mergeHeartbeats raises the seqs of states that have not changed since the seqs in
// the request. The caller holds mu.
func (g *Gossiper) mergeHeartbeats(r *peerpb.ExchangeRequest, reply *peerpb.ExchangeReply, now time.Time) {
	known := knownBy(r)
	seqs, ages := reply.GetBeatSeqs(), reply.GetBeatAgesMs()
	for n, i := range reply.GetBeatIds() {
		if n >= len(seqs) || n >= len(ages) {
			return
		}
		s := &peerpb.HostState{Id: i, Seq: seqs[n], Since: known[hostID(i)], AgeMs: ages[n]}
		if s.Since > 0 {
			g.merge([]*peerpb.HostState{s}, now)
		}
	}
}

// removeExpired removes states older than Config.Expiry. The caller holds mu.
func (g *Gossiper) removeExpired(now time.Time) {
	for i, en := range g.states {
		if now.Sub(en.createdAt) > g.cfg.Expiry {
			delete(g.states, i)
		}
	}
}

// Hosts returns the states that have not expired, that of this host included,
// sorted by instance. The caller must not modify them.
func (g *Gossiper) Hosts() []*peerpb.HostState {
	now := time.Now()
	g.mu.RLock()
	defer g.mu.RUnlock()
	all := make([]*peerpb.HostState, 0, len(g.states))
	for _, en := range g.states {
		if now.Sub(en.createdAt) <= g.cfg.Expiry {
			all = append(all, en.state)
		}
	}
	slices.SortFunc(all, func(a, b *peerpb.HostState) int {
		return strings.Compare(a.GetInstance(), b.GetInstance())
	})
	return all
}

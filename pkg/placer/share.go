package placer

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Start says that a target was sent a request for an object.
type Start struct {
	Target uint32
	Object Object
}

// Running says how many requests a host has at a target.
type Running struct {
	Target uint32
	Count  int
}

// maxStarts bounds the starts that are kept for other hosts.
const maxStarts = 512

// startLog holds this host's most recent starts, numbered from 0.
type startLog struct {
	mu   sync.Mutex
	all  []Start
	next uint64
}

func (l *startLog) add(target uint32, o Object) {
	if o == NoObject {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.all) >= maxStarts {
		l.all = append(l.all[:0], l.all[maxStarts/2:]...)
	}
	l.all = append(l.all, Start{target, o})
	l.next++
}

// Starts returns this host's starts from a number on, at most limit of them,
// and the number to go on from.
func (p *Placer) Starts(from uint64, limit int) ([]Start, uint64) {
	l := &p.starts
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.next - uint64(len(l.all))
	from = max(from, first)
	if l.next-from > uint64(limit) {
		from = l.next - uint64(limit)
	}
	out := make([]Start, l.next-from)
	copy(out, l.all[from-first:])
	return out, l.next
}

// Running returns the targets at which this host has requests.
func (p *Placer) Running() []Running {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var all []Running
	for _, pl := range p.services {
		pl.mu.Lock()
		for _, t := range pl.targets {
			if t.inFlight > 0 {
				all = append(all, Running{t.short, t.inFlight})
			}
		}
		pl.mu.Unlock()
	}
	return all
}

// Absorb takes what another host told of its requests.
func (p *Placer) Absorb(peer ids.Instance, running []Running, starts []Start) {
	now := time.Now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, short := range p.told.replace(peer, running) {
		p.update(short, func(t *target) { delete(t.peers, peer) })
	}
	for _, r := range running {
		p.update(r.Target, func(t *target) { t.peers[peer] = peerLoad{r.Count, now} })
	}
	for _, s := range starts {
		p.update(s.Target, func(t *target) { t.warm.touch(s.Object, mostKept) })
	}
}

// update changes one target, if it is known. The caller holds p.mu.
func (p *Placer) update(short uint32, change func(*target)) {
	pl := p.byShort[short]
	if pl == nil {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if t := pl.byShort[short]; t != nil {
		change(t)
	}
}

// toldLog holds the targets at which each other host told of requests.
type toldLog struct {
	mu    sync.Mutex
	peers map[ids.Instance]toldTargets
}

type toldTargets struct {
	targets []uint32
	at      time.Time
}

// replace keeps what a host tells, and returns the targets that it no longer
// names. Hosts that say nothing any more are forgotten: their requests end by
// peerLife.
func (l *toldLog) replace(peer ids.Instance, running []Running) []uint32 {
	now := time.Now()
	named := make(map[uint32]bool, len(running))
	next := toldTargets{at: now}
	for _, r := range running {
		named[r.Target] = true
		next.targets = append(next.targets, r.Target)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = make(map[ids.Instance]toldTargets)
	}
	var gone []uint32
	for _, short := range l.peers[peer].targets {
		if !named[short] {
			gone = append(gone, short)
		}
	}
	l.peers[peer] = next
	for other, t := range l.peers {
		if now.Sub(t.at) > peerLife {
			delete(l.peers, other)
		}
	}
	return gone
}

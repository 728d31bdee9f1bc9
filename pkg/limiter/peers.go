package limiter

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// optimism is the least part of a peer's rate that is assumed to be left over.
const optimism = 0.1

// peerView is what this host knows of a peer's part of one workspace's limit.
type peerView struct {
	tokens int64
	// rate is the peer's own rate, and spare what its demand leaves of it.
	rate, spare int64
	at          time.Time
	// notBefore is when the peer may be asked again.
	notBefore time.Time
	// planAfter is when it may be asked for a planned loan again.
	planAfter time.Time
}

// tokensAt returns the tokens that the peer is likely to have, given how fast
// they grow, which is at most limit.
func (v *peerView) tokensAt(t time.Time, growth, limit int64) int64 {
	limit = max(limit, v.tokens)
	amount, _ := grown(growth, t.Sub(v.at), 0, limit-v.tokens)
	return v.tokens + amount
}

// growth is the part of the rate that the peer is likely not to use itself.
func (v *peerView) growth() int64 {
	return max(v.spare, int64(float64(v.rate)*optimism))
}

// refreshPeers takes the states of the other hosts in. A leaving host lends until
// it gives its rights back, and its states then tell of no limits.
func (l *Limiter) refreshPeers(now time.Time) {
	states := l.cfg.Hosts()
	l.settle(states, now)
	alive := make(map[ids.Instance]bool, len(states))
	for _, h := range states {
		id := ids.Instance(h.GetInstance())
		if id == l.cfg.Self {
			continue
		}
		alive[id] = true
		if l.seen[id] == h.GetSeq() {
			continue
		}
		l.seen[id] = h.GetSeq()
		at := now.Add(-time.Duration(h.GetAgeMs()) * time.Millisecond)
		for _, w := range h.GetWorkspaces() {
			l.seeReport(id, w, at)
		}
	}
	l.forgetPeers(alive)
}

// settle forgets the revisions before the one in force, once another host tells
// that every host that may act has it.
func (l *Limiter) settle(states []*peerpb.HostState, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.history)
	if n < 2 {
		return
	}
	for _, h := range states {
		if ids.Revision(h.GetSettledRevision()) >= l.history[n-1].number {
			l.history = l.history[n-1:]
			l.applyShares(now)
			return
		}
	}
}

// Settled returns the newest revision that every host that may act has in
// force, or a newer one; zero when none is known.
func (l *Limiter) SettledRevision() ids.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for i := len(l.history) - 1; i >= 0; i-- {
		if r := l.history[i]; !r.missed && now.Sub(r.at) >= spreadTime {
			return r.number
		}
	}
	return 0
}

func (l *Limiter) seeReport(id ids.Instance, w *peerpb.WorkspaceReport, at time.Time) {
	ws := ids.Workspace(w.GetWorkspace())
	s := l.shard(ws)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[ws]
	if b == nil {
		return
	}
	v := b.peers[id]
	if v == nil {
		v = &peerView{}
		b.peers[id] = v
	}
	v.rate = amount(w.GetRate())
	v.spare = v.rate - amount(w.GetDemand())
	if at.After(v.at) {
		v.tokens = amount(w.GetTokens())
		v.at = at
	}
}

// forgetPeers drops what is known of hosts that are gone.
func (l *Limiter) forgetPeers(alive map[ids.Instance]bool) {
	for id := range l.seen {
		if alive[id] {
			continue
		}
		delete(l.seen, id)
		for i := range l.shards {
			s := &l.shards[i]
			s.mu.Lock()
			for _, b := range s.buckets {
				delete(b.peers, id)
			}
			s.mu.Unlock()
		}
	}
}

// maxRequests bounds the amounts that peers may name, in requests.
const maxRequests = 1e9

// amount converts a number of requests, rounded down.
func amount(n float64) int64 {
	if !(n > 0) {
		return 0
	}
	return int64(min(n, maxRequests) * float64(request))
}

package limiter

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// minSpareFraction is the smallest part of a peer's rate that is assumed to be
// spare, whatever demand the peer reports.
const minSpareFraction = 0.1

// peerState is a peer's last reported part of one workspace's limit.
type peerState struct {
	tokens int64
	// rate is the peer's own rate that it has not lent, and spareRate what its
	// demand leaves of it.
	rate, spareRate int64
	updatedAt       time.Time
	// retryAt is when the peer may be asked for a loan again.
	retryAt time.Time
	// planRetryAt is when the peer may be asked for a planned loan again.
	planRetryAt time.Time
}

// tokensAt estimates the peer's tokens at t, refilled at rate up to limit.
func (p *peerState) tokensAt(t time.Time, rate, limit int64) int64 {
	limit = max(limit, p.tokens)
	amount, _ := accrue(rate, t.Sub(p.updatedAt), 0, limit-p.tokens)
	return p.tokens + amount
}

// expectedRefill returns the part of the peer's rate that it is not expected to
// use itself.
func (p *peerState) expectedRefill() int64 {
	return max(p.spareRate, int64(float64(p.rate)*minSpareFraction))
}

// refreshPeers reads the states of the other hosts. A leaving host can lend until
// it gives up its seats; its states then contain no workspaces.
func (l *Limiter) refreshPeers(now time.Time) {
	states := l.cfg.Hosts()
	l.dropSettledRevisions(states, now)
	alive := make(map[ids.Instance]bool, len(states))
	for _, h := range states {
		id := ids.Instance(h.GetInstance())
		if id == l.cfg.Self {
			continue
		}
		alive[id] = true
		if l.peerSeqs[id] == h.GetSeq() {
			continue
		}
		l.peerSeqs[id] = h.GetSeq()
		at := now.Add(-time.Duration(h.GetAgeMs()) * time.Millisecond)
		for _, w := range h.GetWorkspaces() {
			l.applyReport(id, w, at)
		}
	}
	l.removeDeadPeers(alive)
}

// dropSettledRevisions drops the revisions before the one in force once another
// host reports that every host with a valid lease has applied it.
func (l *Limiter) dropSettledRevisions(states []*peerpb.HostState, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.history)
	if n < 2 {
		return
	}
	for _, h := range states {
		if ids.Revision(h.GetSettledRevision()) >= l.history[n-1].id {
			l.history = l.history[n-1:]
			l.applyShares(now)
			return
		}
	}
}

// SettledRevision returns the newest revision known to be applied, or superseded
// by a newer one, at every host with a valid lease. It returns zero if none is
// known.
func (l *Limiter) SettledRevision() ids.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for i := len(l.history) - 1; i >= 0; i-- {
		if r := l.history[i]; !r.missed && now.Sub(r.appliedAt) >= propagationTime {
			return r.id
		}
	}
	return 0
}

func (l *Limiter) applyReport(id ids.Instance, w *peerpb.WorkspaceReport, at time.Time) {
	ws := ids.Workspace(w.GetWorkspace())
	s := l.shard(ws)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[ws]
	if b == nil {
		return
	}
	peer := b.peers[id]
	if peer == nil {
		peer = &peerState{}
		b.peers[id] = peer
	}
	peer.rate = nanoRequests(w.GetRate())
	peer.spareRate = peer.rate - nanoRequests(w.GetDemand())
	if at.After(peer.updatedAt) {
		peer.tokens = nanoRequests(w.GetTokens())
		peer.updatedAt = at
	}
}

// removeDeadPeers drops the state of hosts that are no longer alive.
func (l *Limiter) removeDeadPeers(alive map[ids.Instance]bool) {
	for id := range l.peerSeqs {
		if alive[id] {
			continue
		}
		delete(l.peerSeqs, id)
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

// maxReportedRequests bounds the amounts accepted from peers, in requests.
const maxReportedRequests = 1e9

// nanoRequests converts requests to nano-requests, rounded down. Negative amounts
// and NaN count as zero.
func nanoRequests(n float64) int64 {
	if !(n > 0) {
		return 0
	}
	return int64(min(n, maxReportedRequests) * float64(oneRequest))
}

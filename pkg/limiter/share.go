package limiter

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/rendezvous"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

const (
	// minBurstPerSeat is the smallest burst per seat, in requests, with which every
	// seat gets a share.
	minBurstPerSeat = 4
	// minBurstPerHomeSeat is the burst per home seat, in requests, when only some
	// seats get a share. Hosts without a share borrow more easily from fewer and
	// fuller home seats.
	minBurstPerHomeSeat = 8
)

// homeSeatCount returns the number of home seats, those that get a share of the
// burst.
func homeSeatCount(burst, seats int) int {
	if burst >= minBurstPerSeat*seats {
		return max(1, seats)
	}
	return max(1, burst/minBurstPerHomeSeat)
}

// quota is a rate in nano-requests per second and a burst in nano-requests.
type quota struct{ rate, burst int64 }

// seatQuotas is one workspace's limit and its division over seats.
type seatQuotas struct {
	total     quota
	seatCount int
	// homeRanks gives each home seat its rank, from 0.
	homeRanks map[ids.Seat]int
}

func newSeatQuotas(w *config.Workspace, seats int) seatQuotas {
	k := homeSeatCount(w.Burst, seats)
	q := seatQuotas{
		seatCount: seats,
		total:     quota{rate: int64(w.Rate * float64(oneRequest)), burst: int64(w.Burst) * oneRequest},
		homeRanks: make(map[ids.Seat]int, k),
	}
	for rank, n := range rendezvous.Pick(string(w.Name), seats, k) {
		q.homeRanks[ids.Seat(n)] = rank
	}
	return q
}

// seatQuota returns the share of a seat. The shares of all seats add up to the
// total.
func (q *seatQuotas) seatQuota(s ids.Seat) quota {
	rank, ok := q.homeRanks[s]
	if !ok {
		return quota{}
	}
	k := len(q.homeRanks)
	return quota{rate: partOf(q.total.rate, k, rank), burst: partOf(q.total.burst, k, rank)}
}

// partOf returns part number rank of total divided into k parts. The first parts
// get the remainder.
func partOf(total int64, k, rank int) int64 {
	part := total / int64(k)
	if int64(rank) < total%int64(k) {
		part++
	}
	return part
}

// revision is a configuration revision that this host has applied.
type revision struct {
	id     ids.Revision
	quotas map[ids.Workspace]seatQuotas
	// missed marks a placeholder for revisions that this host did not receive: the
	// limits of workspaces that are not in quotas are unknown.
	missed    bool
	appliedAt time.Time
}

func newRevision(snap *config.Snapshot, now time.Time) *revision {
	r := &revision{id: snap.Revision, quotas: make(map[ids.Workspace]seatQuotas), appliedAt: now}
	seats := len(snap.SeatRegions())
	for i := range snap.Document.Workspaces {
		name := snap.Document.Workspaces[i].Name
		if w, ok := snap.Workspace(name); ok {
			r.quotas[name] = newSeatQuotas(w, seats)
		}
	}
	return r
}

// history holds the revisions that still bound the shares, oldest first. The last
// one is in force.
type history []*revision

// add appends a revision. If revisions in between were missed, their limits are
// unknown, and a workspace's share may not be used until no host can use those
// revisions. Exception: if a workspace's limit is unchanged, and this host
// confirmed no longer than propagationMargin ago that it had the newest revision,
// its share stays usable. A host that uses a missed revision must then apply the
// new one before it may raise its share.
func (h history) add(r *revision, confirmedAgo time.Duration) history {
	if len(h) == 0 {
		if r.id > 1 {
			h = append(h, &revision{missed: true, appliedAt: r.appliedAt})
		}
		return append(h, r)
	}
	last := h[len(h)-1]
	if r.id > last.id+1 {
		missed := &revision{missed: true, appliedAt: r.appliedAt}
		if confirmedAgo <= propagationMargin {
			missed.quotas = unchanged(last.quotas, r.quotas)
		}
		h = append(h, missed)
	}
	return append(h, r)
}

// unchanged returns the limits that are equal in two revisions.
func unchanged(before, after map[ids.Workspace]seatQuotas) map[ids.Workspace]seatQuotas {
	same := make(map[ids.Workspace]seatQuotas)
	for ws, a := range after {
		if b, ok := before[ws]; ok && a.total == b.total && a.seatCount == b.seatCount {
			same[ws] = a
		}
	}
	return same
}

// prune drops the revisions that no host can still use.
func (h history) prune(now time.Time) history {
	for len(h) > 1 && now.Sub(h[1].appliedAt) >= propagationTime {
		h = h[1:]
	}
	return h
}

// share returns a seat's smallest share in the revisions that other hosts may
// still use. A revision without the workspace does not count, since a host with
// that revision admits nothing for the workspace.
func (h history) share(ws ids.Workspace, s ids.Seat) quota {
	current, ok := h[len(h)-1].quotas[ws]
	if !ok {
		return quota{}
	}
	smallest := current.seatQuota(s)
	for _, r := range h[:len(h)-1] {
		old, ok := r.quotas[ws]
		if !ok && r.missed {
			return quota{}
		}
		if !ok {
			continue
		}
		share := old.seatQuota(s)
		smallest.rate = min(smallest.rate, share.rate)
		smallest.burst = min(smallest.burst, share.burst)
	}
	return smallest
}

// heldSeat is a seat that this host holds.
type heldSeat struct {
	epoch uint64
	// quarantinedUntil is when the loans of the previous holder have ended. Until
	// then the seat's share is not used.
	quarantinedUntil time.Time
	// unused is set for a seat that no host held before, until its share is first
	// applied.
	unused bool
}

// newHeldSeats returns the seats that self holds in table t. A seat is
// quarantined until its previous holder's loans have ended, if that holder lost
// it before its lease ended or is unknown.
func newHeldSeats(self ids.Instance, t, before *seater.Table, previous map[ids.Seat]heldSeat, now time.Time) map[ids.Seat]heldSeat {
	held := make(map[ids.Seat]heldSeat)
	for _, s := range t.SeatsOf(self) {
		if known, ok := previous[s.Number]; ok && known.epoch == s.Epoch {
			held[s.Number] = known
			continue
		}
		h := heldSeat{epoch: s.Epoch, unused: s.Epoch <= 1}
		if s.LoansOutstanding || s.Unclean && !heldAtAnotherAddress(before, s) {
			h.quarantinedUntil = now.Add(maxLoanTTL + lenderMargin)
		}
		held[s.Number] = h
	}
	return held
}

// heldAtAnotherAddress reports whether the seat's previous holder is known to
// have had another address. Such a seat was taken only after that holder's lease
// ended.
func heldAtAnotherAddress(before *seater.Table, s seater.Seat) bool {
	if before == nil {
		return false
	}
	for _, b := range before.Seats {
		if b.Number == s.Number {
			return b.Epoch+1 == s.Epoch && b.PeersAddress != s.PeersAddress
		}
	}
	return false
}

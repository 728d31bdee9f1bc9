package limiter

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/rendezvous"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
)

const (
	// burstPerSeat is the least burst of a seat where all seats are homes, in
	// requests.
	burstPerSeat = 4
	// burstPerHome is the least burst of a home seat where some seats are none:
	// fewer and fuller homes serve the hosts without one better.
	burstPerHome = 8
)

// homeCount returns the number of home seats for a burst.
func homeCount(burst, seats int) int {
	if burst >= burstPerSeat*seats {
		return max(1, seats)
	}
	return max(1, burst/burstPerHome)
}

// amounts is a rate and a burst in thousand-millionths of a request.
type amounts struct{ rate, burst int64 }

// homes is one workspace's limit with its division over seats.
type homes struct {
	total amounts
	seats int
	// ranks gives each home seat its place among them.
	ranks map[ids.Seat]int
}

func newHomes(w *config.Workspace, seats int) homes {
	k := homeCount(w.Burst, seats)
	h := homes{
		seats: seats,
		total: amounts{rate: int64(w.Rate * float64(request)), burst: int64(w.Burst) * request},
		ranks: make(map[ids.Seat]int, k),
	}
	for rank, n := range rendezvous.Pick(string(w.Name), seats, k) {
		h.ranks[ids.Seat(n)] = rank
	}
	return h
}

// of returns the share that sits on a seat. The shares of all seats add up to
// the total.
func (h *homes) of(s ids.Seat) amounts {
	rank, ok := h.ranks[s]
	if !ok {
		return amounts{}
	}
	k := len(h.ranks)
	return amounts{rate: divided(h.total.rate, k, rank), burst: divided(h.total.burst, k, rank)}
}

// divided returns the part with number rank of total in k parts.
func divided(total int64, k, rank int) int64 {
	part := total / int64(k)
	if int64(rank) < total%int64(k) {
		part++
	}
	return part
}

// revision is one configuration that was applied here.
type revision struct {
	number ids.Revision
	limits map[ids.Workspace]homes
	// missed stands for revisions that did not come here: what is not in limits
	// is not known.
	missed bool
	at     time.Time
}

func newRevision(snap *config.Snapshot, now time.Time) *revision {
	r := &revision{number: snap.Revision, limits: make(map[ids.Workspace]homes), at: now}
	seats := len(snap.SeatRegions())
	for i := range snap.Document.Workspaces {
		name := snap.Document.Workspaces[i].Name
		if w, ok := snap.Workspace(name); ok {
			r.limits[name] = newHomes(w, seats)
		}
	}
	return r
}

// history holds the revisions that still bound the shares, oldest first; the
// last is the one in force.
type history []*revision

// add appends a revision. Where earlier ones were missed, the limits in them
// are not known, and a workspace's share may not be used until no host can use
// them any more. There is one exception: where the limit is the same as before,
// and this host knew lag ago that it had the newest revision, a host that uses
// a missed one has had to apply the new one before it may raise its share.
func (h history) add(r *revision, lag time.Duration) history {
	if len(h) == 0 {
		if r.number > 1 {
			h = append(h, &revision{missed: true, at: r.at})
		}
		return append(h, r)
	}
	last := h[len(h)-1]
	if r.number > last.number+1 {
		missed := &revision{missed: true, at: r.at}
		if lag <= spreadMargin {
			missed.limits = unchanged(last.limits, r.limits)
		}
		h = append(h, missed)
	}
	return append(h, r)
}

// unchanged returns the limits that are the same in two revisions.
func unchanged(before, after map[ids.Workspace]homes) map[ids.Workspace]homes {
	same := make(map[ids.Workspace]homes)
	for ws, a := range after {
		if b, ok := before[ws]; ok && a.total == b.total && a.seats == b.seats {
			same[ws] = a
		}
	}
	return same
}

// prune drops the revisions that no host can use any more.
func (h history) prune(now time.Time) history {
	for len(h) > 1 && now.Sub(h[1].at) >= spreadTime {
		h = h[1:]
	}
	return h
}

// share returns the smallest share that sits on a seat in the revisions that
// may still be used by other hosts. A revision without the workspace bounds
// nothing, since a host that has it in force uses nothing.
func (h history) share(ws ids.Workspace, s ids.Seat) amounts {
	current, ok := h[len(h)-1].limits[ws]
	if !ok {
		return amounts{}
	}
	least := current.of(s)
	for _, r := range h[:len(h)-1] {
		old, ok := r.limits[ws]
		if !ok && r.missed {
			return amounts{}
		}
		if !ok {
			continue
		}
		share := old.of(s)
		least.rate = min(least.rate, share.rate)
		least.burst = min(least.burst, share.burst)
	}
	return least
}

// heldSeat is a seat that this host holds.
type heldSeat struct {
	epoch uint64
	// restsUntil is when loans of a lost holder can no longer be in use.
	restsUntil time.Time
	// fresh seats were never held before and not yet used here.
	fresh bool
}

// holdings returns the seats that self holds by t. A seat that its last holder
// lost before its lease ended, or whose last holder is not known, rests until
// that holder's loans have ended.
func holdings(self ids.Instance, t, before *seater.Table, old map[ids.Seat]heldSeat, now time.Time) map[ids.Seat]heldSeat {
	held := make(map[ids.Seat]heldSeat)
	for _, s := range t.SeatsOf(self) {
		if o, ok := old[s.Number]; ok && o.epoch == s.Epoch {
			held[s.Number] = o
			continue
		}
		h := heldSeat{epoch: s.Epoch, fresh: s.Epoch <= 1}
		if s.LoansOutstanding || s.Unclean && !takenFromAnother(before, s) {
			h.restsUntil = now.Add(maxLoan + lenderMargin)
		}
		held[s.Number] = h
	}
	return held
}

// takenFromAnother reports whether the seat is known to have been held at
// another address, so that it was taken after its holder's lease had ended.
func takenFromAnother(before *seater.Table, s seater.Seat) bool {
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

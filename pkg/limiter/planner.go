package limiter

import (
	"cmp"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const (
	// wantedRateFactor is the rate that a host plans for, as a multiple of its
	// demand.
	wantedRateFactor = 1.15
	// returnRateFactor is the rate above which planned loans are returned, as a
	// multiple of the demand.
	returnRateFactor = 1.5
	// extendBefore is how long before its end a planned loan is extended.
	extendBefore = time.Second
	// planRetryInterval is the time between two requests for planned loans to one
	// peer.
	planRetryInterval = 500 * time.Millisecond
	// plannedRequestTimeout bounds one request for a planned loan.
	plannedRequestTimeout = time.Second
	// minPlannedRateDivisor gives the smallest rate worth a planned loan: the
	// workspace's rate divided by it.
	minPlannedRateDivisor = 200
	// minBurstShare is the smallest burst share with which a host plans loans.
	// Below it, loans would split the fleet's burst into parts too small to use.
	minBurstShare = 5 * oneRequest
)

// planLoans adjusts the planned loans to the demand. The caller holds the shard's
// lock and has advanced b to now.
func (l *Limiter) planLoans(s *shard, b *bucket, now time.Time) {
	if s.draining || !b.configured {
		return
	}
	l.returnUnneededLoans(b)
	l.extendEndingLoans(s, b, now)
	l.borrowRate(s, b, now)
}

// returnUnneededLoans returns planned loans that the demand no longer needs.
func (l *Limiter) returnUnneededLoans(b *bucket) {
	wanted := b.demand.scaled(returnRateFactor)
	if b.capacity() < oneRequest {
		wanted = 0 // With a burst below one request, the rate yields no usable token.
	}
	for i := 0; i < len(b.borrowed); {
		loan := b.borrowed[i]
		if !loan.planned || loan.extending || b.rate()-loan.rate < wanted {
			i++
			continue
		}
		l.returnLoan(b, i)
	}
}

// extendEndingLoans extends the planned loans that end soon.
func (l *Limiter) extendEndingLoans(s *shard, b *bucket, now time.Time) {
	for _, loan := range b.borrowed {
		if loan.planned && !loan.extending && loan.end.Sub(now) < extendBefore {
			l.requestExtension(s, b, loan, now)
		}
	}
}

func (l *Limiter) requestExtension(s *shard, b *bucket, loan *borrowedLoan, sent time.Time) {
	loan.extending = true
	r := l.newBorrowRequest(b, loan.lender)
	r.Extend = loan.id
	go func() {
		reply, err := l.callBorrow(loan.lender, r, plannedRequestTimeout)
		s.mu.Lock()
		defer s.mu.Unlock()
		l.handleExtension(b, loan, reply, err, sent)
	}()
}

// handleExtension handles the reply to an extension request that was sent at
// sent. The caller holds the shard's lock.
func (l *Limiter) handleExtension(b *bucket, loan *borrowedLoan, reply *peerpb.BorrowReply, err error, sent time.Time) {
	loan.extending = false
	now := time.Now()
	l.advance(b, now)
	l.updatePeer(b, loan.lender, reply, err, now)
	if err != nil {
		return
	}
	i := b.borrowedIndex(loan.lender, loan.id)
	switch {
	case i < 0:
		l.returns.add(b.workspace, loan, 0, 0) // The loan ended here before the reply.
	case reply.GetLoan() != loan.id:
		l.returnLoan(b, i) // The lender needs its rate. A return saves the tokens.
	default:
		if end := loanFromReply(loan.lender, reply, sent).end; end.After(loan.end) {
			loan.end = end
		}
	}
	l.reportShare(b)
}

// borrowRate requests rate that the peers' demand leaves spare.
func (l *Limiter) borrowRate(s *shard, b *bucket, now time.Time) {
	shortfall := b.demand.scaled(wantedRateFactor) - b.rate()
	if shortfall < b.fleetRate/minPlannedRateDivisor || b.burstShare() < minBurstShare {
		return
	}
	for _, c := range b.rateLenders(now) {
		if shortfall <= 0 {
			return
		}
		rate := min(shortfall, c.available)
		l.requestRate(s, b, c.id, rate, now)
		shortfall -= rate
	}
}

// burstShare returns the part of the fleet's burst that corresponds to this
// host's part of the rate.
func (b *bucket) burstShare() int64 {
	return mulDiv(b.seatBurst*int64(b.homeSeats), b.demand.scaled(1), b.fleetRate)
}

// rateLenders returns the peers with spare rate, largest first.
func (b *bucket) rateLenders(now time.Time) []candidate {
	var all []candidate
	for id, peer := range b.peers {
		spare := peer.rate - int64(float64(peer.rate-peer.spareRate)*lenderHeadroom)
		if b.pendingPlanned[id] || now.Before(peer.planRetryAt) || now.Before(peer.retryAt) || spare < b.fleetRate/minPlannedRateDivisor {
			continue
		}
		all = append(all, candidate{id: id, available: spare})
	}
	slices.SortFunc(all, func(x, y candidate) int {
		if c := cmp.Compare(y.available, x.available); c != 0 {
			return c
		}
		return cmp.Compare(x.id, y.id)
	})
	return all
}

func (l *Limiter) requestRate(s *shard, b *bucket, lender ids.Instance, rate int64, sent time.Time) {
	b.pendingPlanned[lender] = true
	r := l.newBorrowRequest(b, lender)
	r.Rate = rate
	r.Burst = max(0, minPlannedBurst-b.capacity())
	go func() {
		reply, err := l.callBorrow(lender, r, plannedRequestTimeout)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(b.pendingPlanned, lender)
		received := time.Now()
		l.advance(b, received)
		if peer := b.peers[lender]; peer != nil {
			peer.planRetryAt = received.Add(planRetryInterval)
		}
		l.acceptPlannedLoan(s, b, lender, reply, err, sent, received)
		l.serveWaiters(s, b, received)
	}()
}

func (l *Limiter) newBorrowRequest(b *bucket, lender ids.Instance) *peerpb.BorrowRequest {
	return &peerpb.BorrowRequest{
		Borrower:  string(l.cfg.Self),
		Lender:    string(lender),
		Workspace: string(b.workspace),
		TtlMs:     uint64(maxLoanTTL / time.Millisecond),
		Demand:    b.demand.rate,
	}
}

// acceptPlannedLoan handles the reply to a request for rate.
func (l *Limiter) acceptPlannedLoan(s *shard, b *bucket, lender ids.Instance, reply *peerpb.BorrowReply, err error, sent, now time.Time) {
	if err == nil && reply.GetLoan() == 0 {
		return
	}
	n := len(b.borrowed)
	l.acceptLoan(s, b, lender, reply, err, sent, now)
	if len(b.borrowed) > n {
		b.borrowed[n].planned = true
	}
}

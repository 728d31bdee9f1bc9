package limiter

import (
	"context"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const (
	// lenderHeadroom is the rate that a lender keeps for itself, as a multiple of
	// its demand.
	lenderHeadroom = 1.25
	// minPlannedBurst is the smallest burst that a planned loan leaves at the
	// lender and at the borrower. With a burst below one request, a refill never
	// yields a usable token.
	minPlannedBurst = 2 * oneRequest
)

// Borrow implements peers.Lender: it lends part of this host's own share of a
// workspace, or extends a loan. It never lends what it has borrowed, and no loan
// outlasts the serving lease. A reply without a loan means that nothing was lent.
// The error is always nil.
func (l *Limiter) Borrow(_ context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	if ids.Instance(r.GetLender()) != l.cfg.Self {
		return &peerpb.BorrowReply{}, nil
	}
	ws := ids.Workspace(r.GetWorkspace())
	s := l.shard(ws)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[ws]
	if b == nil || !b.configured || s.draining || l.cfg.Lease.Check() != nil {
		return &peerpb.BorrowReply{}, nil
	}
	now := time.Now()
	l.advance(b, now)
	ttl := l.loanTTL(r, now)
	if ttl <= 0 {
		return &peerpb.BorrowReply{}, nil
	}
	reply := &peerpb.BorrowReply{}
	switch {
	case r.GetExtend() != 0:
		b.extendLoan(reply, r, now, ttl)
	case r.GetRate() > 0:
		s.lendRate(b, reply, r, now, ttl)
	default:
		s.lendTokens(b, reply, r, now, ttl)
	}
	l.reportShare(b)
	b.fillRemaining(reply)
	return reply, nil
}

// loanTTL returns how long the borrower may use a loan granted now. The loan,
// with lenderMargin, ends before the serving lease.
func (l *Limiter) loanTTL(r *peerpb.BorrowRequest, now time.Time) time.Duration {
	asked := time.Duration(min(r.GetTtlMs(), uint64(maxLoanTTL/time.Millisecond))) * time.Millisecond
	lease := l.cfg.Lease.ValidUntil().Sub(now) - lenderMargin
	return min(asked, lease).Truncate(time.Millisecond)
}

// lendTokens lends tokens and the burst that holds them.
func (s *shard) lendTokens(b *bucket, reply *peerpb.BorrowReply, r *peerpb.BorrowRequest, now time.Time, ttl time.Duration) {
	tokens := min(r.GetTokens(), b.lendableTokens())
	if tokens <= 0 {
		return
	}
	s.grantLoan(b, reply, r, &lentLoan{burst: tokens, end: now.Add(ttl + lenderMargin)}, tokens, ttl)
}

// lendableTokens returns the tokens that the local waiters do not need.
func (b *bucket) lendableTokens() int64 {
	return max(0, min(b.tokens-int64(len(b.waiters))*oneRequest, b.freeBurst()))
}

// lendRate lends rate that the local demand does not need, with a proportional
// part of the burst and tokens. The request names the smallest burst with which
// the borrower can use the rate; if it has room already, rate can be lent without
// burst.
func (s *shard) lendRate(b *bucket, reply *peerpb.BorrowReply, r *peerpb.BorrowRequest, now time.Time, ttl time.Duration) {
	free := b.freeRate()
	rate := min(r.GetRate(), free-b.demand.scaled(lenderHeadroom))
	burst := max(mulDiv(b.freeBurst(), rate, free), r.GetBurst())
	burst = max(0, min(burst, b.freeBurst()-minPlannedBurst))
	if rate < b.fleetRate/minPlannedRateDivisor || burst < r.GetBurst() {
		return
	}
	tokens := min(mulDiv(b.tokens, burst, b.capacity()), b.lendableTokens())
	s.grantLoan(b, reply, r, &lentLoan{rate: rate, burst: burst, end: now.Add(ttl + lenderMargin)}, tokens, ttl)
}

// grantLoan records a loan and fills the reply.
func (s *shard) grantLoan(b *bucket, reply *peerpb.BorrowReply, r *peerpb.BorrowRequest, loan *lentLoan, tokens int64, ttl time.Duration) {
	loan.borrower = ids.Instance(r.GetBorrower())
	s.lastLoanID++
	b.addLentLoan(s.lastLoanID, loan, tokens)
	reply.Loan = s.lastLoanID
	reply.Rate = loan.rate
	reply.Burst = loan.burst
	reply.Tokens = tokens
	reply.TtlMs = uint64(ttl / time.Millisecond)
}

// extendLoan extends a loan without changing its amounts. A loan is left to
// expire if the local demand needs its rate or if the own share no longer covers
// all loans.
func (b *bucket) extendLoan(reply *peerpb.BorrowReply, r *peerpb.BorrowRequest, now time.Time, ttl time.Duration) {
	loan, ok := b.lent[r.GetExtend()]
	if !ok || loan.borrower != ids.Instance(r.GetBorrower()) {
		return
	}
	if b.lentRate > b.ownRate || b.lentBurst > b.ownBurst || b.freeRate() < b.demand.scaled(1) {
		return
	}
	if end := now.Add(ttl + lenderMargin); end.After(loan.end) {
		loan.end = end
	}
	reply.Loan = r.GetExtend()
	reply.Rate = loan.rate
	reply.Burst = loan.burst
	reply.TtlMs = uint64(ttl / time.Millisecond)
}

// fillRemaining tells the borrower what this host has left, and when it can next
// have a whole token.
func (b *bucket) fillRemaining(reply *peerpb.BorrowReply) {
	reply.TokensLeft = toRequests(b.lendableTokens())
	reply.RateLeft = toRequests(b.freeRate())
	if next := timeToAccrue(oneRequest-b.lendableTokens(), b.freeRate()); next < unboundedWait {
		reply.NextMs = uint64(next/time.Millisecond) + 1
	}
}

// Return implements peers.Lender: it takes loans back. Each return counts once,
// and only before the loan ends here. The error is always nil.
func (l *Limiter) Return(_ context.Context, r *peerpb.ReturnRequest) (*peerpb.ReturnReply, error) {
	if ids.Instance(r.GetLender()) != l.cfg.Self {
		return &peerpb.ReturnReply{}, nil
	}
	for _, loan := range r.GetLoans() {
		l.acceptReturn(ids.Instance(r.GetBorrower()), loan)
	}
	return &peerpb.ReturnReply{}, nil
}

func (l *Limiter) acceptReturn(borrower ids.Instance, r *peerpb.LoanReturn) {
	ws := ids.Workspace(r.GetWorkspace())
	s := l.shard(ws)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[ws]
	if b == nil {
		return
	}
	now := time.Now()
	l.advance(b, now)
	loan, ok := b.lent[r.GetLoan()]
	if !ok || loan.borrower != borrower {
		return
	}
	tokens := max(0, min(r.GetTokens(), loan.burst))
	b.closeLentLoan(r.GetLoan())
	b.tokens += tokens
	b.capTokens()
	l.reportShare(b)
	l.serveWaiters(s, b, now)
}

package limiter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const (
	// minLoanTokens is the smallest number of tokens worth a message.
	minLoanTokens = oneRequest / 4
	// onDemandTTL is the lifetime of an on-demand loan, and the timeout of the
	// request for it.
	onDemandTTL = 500 * time.Millisecond
	// tokenDiscount divides a peer's estimated tokens, since other hosts borrow
	// from the same peer.
	tokenDiscount = 2
	// lateTokenDiscount replaces tokenDiscount when the first waiter has time for
	// only one more reply: then more peers are asked at once.
	lateTokenDiscount = 12
	// peerBackoff is how long a peer that did not reply is left out.
	peerBackoff = time.Second
)

// candidate is a peer that may be asked for a loan.
type candidate struct {
	id ids.Instance
	// available is the peer's estimated tokens, or its spare rate.
	available int64
	// sortKey ranks peers by tokens times a random factor, so that not all hosts
	// ask the same peer first.
	sortKey float64
}

// borrowTokens requests the tokens that the waiters lack from the peers with the
// most tokens. The caller holds the shard's lock.
func (l *Limiter) borrowTokens(s *shard, b *bucket, now time.Time) {
	shortfall := int64(len(b.waiters))*oneRequest - b.tokens
	for _, requested := range b.pendingTokens {
		shortfall -= requested
	}
	if shortfall <= 0 {
		return
	}
	divisor := int64(tokenDiscount)
	if b.waiters[0].deadline.Sub(now) < s.maxTokenWait*3/4 {
		divisor = lateTokenDiscount // There is time for only one more reply.
	}
	for _, c := range b.candidates(now) {
		if shortfall <= 0 {
			return
		}
		// Other hosts borrow from the same peer, so count on only a fraction of its
		// estimated tokens.
		expected := min(shortfall, c.available/divisor)
		l.requestTokens(s, b, c.id, min(shortfall, c.available), expected, now)
		shortfall -= expected
	}
	if len(b.pendingTokens) == 0 && b.canProbe(now) {
		l.probe(s, b, shortfall, now)
	}
}

// candidates returns the peers that are likely to have tokens, ordered by
// sortKey, largest first.
func (b *bucket) candidates(now time.Time) []candidate {
	var all []candidate
	for id, peer := range b.peers {
		if _, busy := b.pendingTokens[id]; busy || now.Before(peer.retryAt) {
			continue
		}
		if tokens := peer.tokensAt(now, peer.expectedRefill(), b.seatBurst); tokens >= minLoanTokens {
			all = append(all, candidate{id: id, available: tokens, sortKey: float64(tokens) * (1 + rand.Float64())})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Compare(y.sortKey, x.sortKey)
	})
	return all
}

// canProbe reports whether a peer whose tokens are believed to be used up may be
// asked.
func (b *bucket) canProbe(now time.Time) bool {
	return now.Sub(b.probedAt) >= minRetryAfter && len(b.pendingTokens) == 0
}

// probe requests tokens from the peer that would have the most if it had admitted
// nothing since its last report.
func (l *Limiter) probe(s *shard, b *bucket, shortfall int64, now time.Time) {
	var best ids.Instance
	var most int64
	for id, peer := range b.peers {
		if now.Before(peer.retryAt) {
			continue
		}
		tokens := peer.tokensAt(now, peer.rate, b.seatBurst)
		if tokens > most || tokens == most && id < best {
			best, most = id, tokens
		}
	}
	if most < minLoanTokens {
		return
	}
	b.probedAt = now
	l.requestTokens(s, b, best, min(shortfall, most), min(shortfall, most), now)
}

// requestTokens requests tokens from one peer in the background. Until the reply,
// expected of them count as pending.
func (l *Limiter) requestTokens(s *shard, b *bucket, lender ids.Instance, tokens, expected int64, sent time.Time) {
	b.pendingTokens[lender] = expected
	r := &peerpb.BorrowRequest{
		Borrower:  string(l.cfg.Self),
		Lender:    string(lender),
		Workspace: string(b.workspace),
		Burst:     tokens,
		Tokens:    tokens,
		TtlMs:     uint64(onDemandTTL / time.Millisecond),
		Demand:    b.demand.rate,
	}
	go func() {
		reply, err := l.callBorrow(lender, r, onDemandTTL)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(b.pendingTokens, lender)
		received := time.Now()
		l.advance(b, received)
		l.acceptLoan(s, b, lender, reply, err, sent, received)
		l.serveWaiters(s, b, received)
	}()
}

func (l *Limiter) callBorrow(lender ids.Instance, r *peerpb.BorrowRequest, timeout time.Duration) (*peerpb.BorrowReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.cfg.Lenders.Borrow(ctx, lender, r)
}

// acceptLoan handles the reply to a borrow request that was sent at sent. A loan
// that can no longer be used is returned. The caller holds the shard's lock.
func (l *Limiter) acceptLoan(s *shard, b *bucket, lender ids.Instance, reply *peerpb.BorrowReply, err error, sent, now time.Time) {
	l.updatePeer(b, lender, reply, err, now)
	if err != nil || reply.GetLoan() == 0 {
		return
	}
	loan := loanFromReply(lender, reply, sent)
	if s.draining || !loan.end.After(now) {
		l.returns.add(b.workspace, loan, 0, reply.GetTokens())
		return
	}
	b.addBorrowedLoan(loan, min(reply.GetTokens(), loan.burst))
	l.reportShare(b)
}

// loanFromReply returns the loan that a reply grants. Its TTL counts from when
// the request was sent, so it ends here no later than at the lender.
func loanFromReply(lender ids.Instance, reply *peerpb.BorrowReply, sent time.Time) *borrowedLoan {
	return &borrowedLoan{
		lender: lender,
		id:     reply.GetLoan(),
		rate:   max(0, reply.GetRate()),
		burst:  max(0, reply.GetBurst()),
		end:    sent.Add(min(time.Duration(reply.GetTtlMs())*time.Millisecond, maxLoanTTL)),
	}
}

// updatePeer records what a reply, or its failure, says about the lender.
func (l *Limiter) updatePeer(b *bucket, lender ids.Instance, reply *peerpb.BorrowReply, err error, now time.Time) {
	peer := b.peers[lender]
	if peer == nil {
		return
	}
	if err != nil {
		peer.retryAt = now.Add(peerBackoff)
		return
	}
	peer.tokens = nanoRequests(reply.GetTokensLeft())
	peer.updatedAt = now
	if reply.GetLoan() == 0 && reply.GetNextMs() > 0 {
		peer.retryAt = now.Add(min(time.Duration(reply.GetNextMs())*time.Millisecond, peerBackoff))
	}
}

// returnLoan gives the borrowed loan at index i back to its lender. The caller
// holds the shard's lock.
func (l *Limiter) returnLoan(b *bucket, i int) {
	loan := b.borrowed[i]
	tokens := b.withdrawLoan(i)
	l.reportShare(b) // The checker must know before the lender can reuse the loan.
	l.returns.add(b.workspace, loan, loan.burst, tokens)
}

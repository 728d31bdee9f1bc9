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
	// minAsk is the least amount that is worth a message.
	minAsk = request / 4
	// demandLoan is how long a loan on demand may be used.
	demandLoan = 500 * time.Millisecond
	// discount divides the tokens that a peer is believed to have.
	discount = 2
	// lateDiscount does so once a request has waited for an answer in vain.
	lateDiscount = 12
	// silence is how long a peer that did not answer is not asked.
	silence = time.Second
)

// candidate is a peer that may be asked.
type candidate struct {
	id     ids.Instance
	tokens int64
	// order puts the fuller peers first, with a random part so that not all
	// hosts ask the same one.
	order float64
}

// ask asks peers for the tokens that the waiters lack, the fullest first. The
// caller holds the shard's lock.
func (l *Limiter) ask(s *shard, b *bucket, now time.Time) {
	lack := int64(len(b.waiters))*request - b.tokens
	for _, asked := range b.asking {
		lack -= asked
	}
	if lack <= 0 {
		return
	}
	doubt := int64(discount)
	if b.waiters[0].deadline.Sub(now) < s.limitWait*3/4 {
		doubt = lateDiscount // There is time for one more answer only.
	}
	for _, c := range b.candidates(now) {
		if lack <= 0 {
			return
		}
		// Others ask the same peer, so that only a part of what it is believed to
		// have counts on.
		hope := min(lack, c.tokens/doubt)
		l.askPeer(s, b, c.id, min(lack, c.tokens), hope, now)
		lack -= hope
	}
	if len(b.asking) == 0 && b.mayProbe(now) {
		l.probe(s, b, lack, now)
	}
}

// candidates returns the peers that are likely to have tokens, the fullest first.
func (b *bucket) candidates(now time.Time) []candidate {
	var all []candidate
	for id, v := range b.peers {
		if _, busy := b.asking[id]; busy || now.Before(v.notBefore) {
			continue
		}
		if tokens := v.tokensAt(now, v.growth(), b.seatBurst); tokens >= minAsk {
			all = append(all, candidate{id: id, tokens: tokens, order: float64(tokens) * (1 + rand.Float64())})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Compare(y.order, x.order)
	})
	return all
}

// mayProbe reports whether a peer may be asked that is believed to be out.
func (b *bucket) mayProbe(now time.Time) bool {
	return now.Sub(b.probedAt) >= minRetry && len(b.asking) == 0
}

// probe asks the peer that would be the fullest if it used nothing itself.
func (l *Limiter) probe(s *shard, b *bucket, lack int64, now time.Time) {
	var best ids.Instance
	var most int64
	for id, v := range b.peers {
		if now.Before(v.notBefore) {
			continue
		}
		tokens := v.tokensAt(now, v.rate, b.seatBurst)
		if tokens > most || tokens == most && id < best {
			best, most = id, tokens
		}
	}
	if most < minAsk {
		return
	}
	b.probedAt = now
	l.askPeer(s, b, best, min(lack, most), min(lack, most), now)
}

// askPeer asks one peer for tokens in the background, of which it hopes to get
// some.
func (l *Limiter) askPeer(s *shard, b *bucket, lender ids.Instance, tokens, hope int64, now time.Time) {
	b.asking[lender] = hope
	r := &peerpb.BorrowRequest{
		Borrower:  string(l.cfg.Self),
		Lender:    string(lender),
		Workspace: string(b.workspace),
		Burst:     tokens,
		Tokens:    tokens,
		TtlMs:     uint64(demandLoan / time.Millisecond),
		Demand:    b.demand.rate,
	}
	go func() {
		reply, err := l.borrow(lender, r, demandLoan)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(b.asking, lender)
		done := time.Now()
		l.advance(b, done)
		l.take(s, b, lender, reply, err, now, done)
		l.serve(s, b, done)
	}()
}

func (l *Limiter) borrow(lender ids.Instance, r *peerpb.BorrowRequest, timeout time.Duration) (*peerpb.BorrowReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.cfg.Lenders.Borrow(ctx, lender, r)
}

// take takes in the answer to a request for tokens that was sent at sent.
func (l *Limiter) take(s *shard, b *bucket, lender ids.Instance, reply *peerpb.BorrowReply, err error, sent, now time.Time) {
	l.learn(b, lender, reply, err, now)
	if err != nil || reply.GetLoan() == 0 {
		return
	}
	o := loanOf(lender, reply, sent)
	if s.closing || !o.end.After(now) {
		l.returns.add(b.workspace, o, 0, reply.GetTokens())
		return
	}
	b.borrow(o, min(reply.GetTokens(), o.burst))
	l.tell(b)
}

// loanOf returns the loan that a reply grants. It ends by the time at which the
// request was sent, so never after the lender's end.
func loanOf(lender ids.Instance, reply *peerpb.BorrowReply, sent time.Time) *borrowedLoan {
	return &borrowedLoan{
		lender: lender,
		number: reply.GetLoan(),
		rate:   max(0, reply.GetRate()),
		burst:  max(0, reply.GetBurst()),
		end:    sent.Add(min(time.Duration(reply.GetTtlMs())*time.Millisecond, maxLoan)),
	}
}

// learn notes what the reply tells of the lender.
func (l *Limiter) learn(b *bucket, lender ids.Instance, reply *peerpb.BorrowReply, err error, now time.Time) {
	v := b.peers[lender]
	if v == nil {
		return
	}
	if err != nil {
		v.notBefore = now.Add(silence)
		return
	}
	v.tokens = amount(reply.GetTokensLeft())
	v.at = now
	if reply.GetLoan() == 0 && reply.GetNextMs() > 0 {
		v.notBefore = now.Add(min(time.Duration(reply.GetNextMs())*time.Millisecond, silence))
	}
}

// handBack returns the loan with index i. The caller holds the shard's lock.
func (l *Limiter) handBack(b *bucket, i int) {
	o := b.borrowed[i]
	tokens := b.handBack(i)
	l.tell(b) // Before the lender can have it back.
	l.returns.add(b.workspace, o, o.burst, tokens)
}

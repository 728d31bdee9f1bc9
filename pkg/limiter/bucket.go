package limiter

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// bucket is this host's part of one workspace's limit: the shares of its seats,
// minus what it has lent, plus what it has borrowed. The shard's lock guards it.
type bucket struct {
	workspace ids.Workspace
	// configured is whether the configuration in force contains the workspace.
	configured bool
	// fleetRate is the workspace's configured rate.
	fleetRate int64
	// homeSeats is the number of seats that carry a share of the limit, and
	// seatBurst the burst of one of them.
	homeSeats int
	seatBurst int64

	// ownRate and ownBurst are the share of the seats that this host holds.
	ownRate, ownBurst int64
	// lent holds the loans to other hosts by ID.
	lent                map[uint64]*lentLoan
	lentRate, lentBurst int64
	// borrowed holds the loans from other hosts.
	borrowed                    []*borrowedLoan
	borrowedRate, borrowedBurst int64

	// tokens never exceeds capacity(). refillRemainder is the remainder of the last
	// refill.
	tokens          int64
	refillRemainder uint64
	refilledAt      time.Time
	// leaseValidUntil is the end of the serving lease, as last read while it was
	// valid.
	leaseValidUntil time.Time
	// nextLoanEnd is no later than the end of any loan; zero means no loans.
	nextLoanEnd time.Time

	demand  demand
	waiters []*waiter
	// pendingTokens holds the tokens expected from each peer that has yet to reply
	// to a request for waiters.
	pendingTokens map[ids.Instance]int64
	// pendingPlanned holds the peers that have yet to reply to a request for a
	// planned loan.
	pendingPlanned map[ids.Instance]bool
	peers          map[ids.Instance]*peerState
	// probedAt is when probe last sent a request.
	probedAt time.Time
	// timer runs serveWaiters at timerAt.
	timer   *time.Timer
	timerAt time.Time
}

// lentLoan is a loan to another host.
type lentLoan struct {
	borrower    ids.Instance
	rate, burst int64
	end         time.Time
}

// borrowedLoan is a loan from another host.
type borrowedLoan struct {
	lender      ids.Instance
	id          uint64
	rate, burst int64
	end         time.Time
	extending   bool
	// planned loans are kept in advance of demand; on-demand loans are returned
	// once their tokens are spent.
	planned bool
}

func newBucket(ws ids.Workspace, now time.Time) *bucket {
	return &bucket{
		workspace:      ws,
		lent:           make(map[uint64]*lentLoan),
		pendingTokens:  make(map[ids.Instance]int64),
		pendingPlanned: make(map[ids.Instance]bool),
		peers:          make(map[ids.Instance]*peerState),
		refilledAt:     now,
		demand:         demand{updatedAt: now},
	}
}

// freeRate is the part of the own rate that is not lent.
func (b *bucket) freeRate() int64 { return max(0, b.ownRate-b.lentRate) }

// freeBurst is the part of the own burst that is not lent.
func (b *bucket) freeBurst() int64 { return max(0, b.ownBurst-b.lentBurst) }

func (b *bucket) rate() int64     { return b.freeRate() + b.borrowedRate }
func (b *bucket) capacity() int64 { return b.freeBurst() + b.borrowedBurst }

// advance refills the bucket up to now and expires each loan at its end. It
// reports whether a loan expired. Nothing is refilled for times at which the
// lease was not valid.
func (b *bucket) advance(now, validUntil time.Time) bool {
	ended := false
	for !b.nextLoanEnd.IsZero() && !b.nextLoanEnd.After(now) {
		b.refill(b.nextLoanEnd)
		b.expireLoans(b.nextLoanEnd)
		ended = true
	}
	b.refill(now)
	if validUntil.After(now) {
		b.leaseValidUntil = validUntil
	}
	return ended
}

// noteLoanEnd updates nextLoanEnd for a new loan.
func (b *bucket) noteLoanEnd(end time.Time) {
	if b.nextLoanEnd.IsZero() || end.Before(b.nextLoanEnd) {
		b.nextLoanEnd = end
	}
}

// updateNextLoanEnd recomputes nextLoanEnd from all loans.
func (b *bucket) updateNextLoanEnd() {
	b.nextLoanEnd = time.Time{}
	for _, l := range b.borrowed {
		b.noteLoanEnd(l.end)
	}
	for _, l := range b.lent {
		b.noteLoanEnd(l.end)
	}
}

func (b *bucket) refill(to time.Time) {
	if !to.After(b.refilledAt) {
		return
	}
	d := min(to.Sub(b.refilledAt), b.leaseValidUntil.Sub(b.refilledAt))
	b.refilledAt = to
	var amount int64
	amount, b.refillRemainder = accrue(b.rate(), d, b.refillRemainder, b.capacity()-b.tokens)
	b.tokens += amount
}

// expireLoans removes the loans that end at or before now.
func (b *bucket) expireLoans(now time.Time) {
	for id, l := range b.lent {
		if !l.end.After(now) {
			b.closeLentLoan(id)
		}
	}
	for i := 0; i < len(b.borrowed); {
		if b.borrowed[i].end.After(now) {
			i++
			continue
		}
		b.dropBorrowedLoan(i)
	}
	b.updateNextLoanEnd()
}

// closeLentLoan takes back the rate and burst of a loan, but no tokens.
func (b *bucket) closeLentLoan(id uint64) {
	l := b.lent[id]
	delete(b.lent, id)
	b.lentRate -= l.rate
	b.lentBurst -= l.burst
}

// dropBorrowedLoan removes a loan. Tokens beyond the remaining capacity are lost.
func (b *bucket) dropBorrowedLoan(i int) {
	l := b.borrowed[i]
	b.borrowed = append(b.borrowed[:i], b.borrowed[i+1:]...)
	b.borrowedRate -= l.rate
	b.borrowedBurst -= l.burst
	b.capTokens()
}

// withdrawLoan removes a loan and returns the tokens that go back with it: those
// beyond the remaining capacity, and for a planned loan at least its proportion
// of all tokens.
func (b *bucket) withdrawLoan(i int) (tokens int64) {
	l := b.borrowed[i]
	if l.planned {
		tokens = mulDiv(b.tokens, l.burst, b.capacity())
	}
	tokens = min(l.burst, max(tokens, b.tokens-(b.capacity()-l.burst)))
	b.tokens -= tokens
	b.dropBorrowedLoan(i)
	return tokens
}

// capTokens discards the tokens that exceed the capacity.
func (b *bucket) capTokens() {
	b.tokens = min(b.tokens, b.capacity())
}

// addBorrowedLoan adds a loan and its tokens.
func (b *bucket) addBorrowedLoan(l *borrowedLoan, tokens int64) {
	b.borrowed = append(b.borrowed, l)
	b.borrowedRate += l.rate
	b.borrowedBurst += l.burst
	b.tokens += tokens
	b.capTokens()
	b.noteLoanEnd(l.end)
}

// addLentLoan takes a loan's rate, burst and tokens out of the bucket.
func (b *bucket) addLentLoan(id uint64, l *lentLoan, tokens int64) {
	b.lent[id] = l
	b.lentRate += l.rate
	b.lentBurst += l.burst
	b.tokens -= tokens
	b.capTokens()
	b.noteLoanEnd(l.end)
}

// borrowedIndex returns the index of a borrowed loan, or -1.
func (b *bucket) borrowedIndex(lender ids.Instance, id uint64) int {
	for i, l := range b.borrowed {
		if l.lender == lender && l.id == id {
			return i
		}
	}
	return -1
}

// takeOne spends the tokens of one request, and reports whether there were
// enough.
func (b *bucket) takeOne() bool {
	if b.tokens < oneRequest {
		return false
	}
	b.tokens -= oneRequest
	return true
}

// setOwnShare sets the share of the seats that this host holds, and adds the
// initial tokens of seats that no host held before.
func (b *bucket) setOwnShare(rate, burst, initialTokens int64) {
	b.ownRate, b.ownBurst = rate, burst
	b.tokens += initialTokens
	b.capTokens()
}

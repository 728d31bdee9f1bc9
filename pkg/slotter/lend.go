package slotter

import (
	"context"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

// Borrow implements peers.Lender: it lends one free slot to another host, or
// none. A repeated request ID gets the same loan again. It returns an error if
// the lender named is another instance or the TTL is out of range.
func (s *Slotter) Borrow(_ context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	if ids.Instance(r.GetLender()) != s.cfg.Self {
		return nil, errs.New("the asked lender %s is not here", r.GetLender())
	}
	if !s.canAct() || r.GetSlots() == 0 {
		return &peerpb.BorrowReply{}, nil
	}
	ttl := time.Duration(r.GetTtlMs()) * time.Millisecond
	if ttl <= 0 || ttl > config.MaxTimeout+loanStartWindow {
		return nil, errs.New("a loan of %v is out of range", ttl)
	}
	k := loanKey{borrower: ids.Instance(r.GetBorrower()), requestID: r.GetAsk()}
	p := s.lendSlot(k, r, time.Now().Add(ttl+fencer.ClockMargin))
	if p == nil {
		return &peerpb.BorrowReply{}, nil
	}
	s.wakeUp()
	return &peerpb.BorrowReply{Loan: k.requestID, Slots: 1, TtlMs: r.GetTtlMs(), Target: string(p.target)}, nil
}

// lendSlot lends a slot and returns its pool, or nil.
func (s *Slotter) lendSlot(k loanKey, r *peerpb.BorrowRequest, end time.Time) *pool {
	s.lentMu.Lock()
	defer s.lentMu.Unlock()
	if p := s.lent[k]; p != nil {
		return p
	}
	for _, p := range s.lendablePools(r) {
		if p.lend(k, end) {
			s.lent[k] = p
			return p
		}
	}
	return nil
}

// lendablePools returns the pools that may serve the request, the requested
// target's first.
func (s *Slotter) lendablePools(r *peerpb.BorrowRequest) []*pool {
	set := s.pools.Load()
	requested := set.byTarget[ids.Target(r.GetTarget())]
	if requested == nil {
		return nil
	}
	var all []*pool
	if s.cfg.Usable(requested.target) {
		all = append(all, requested)
	}
	if !r.GetAnyTarget() {
		return all
	}
	for _, p := range set.byService[requested.service] {
		if p != requested && p.region == requested.region && s.cfg.Usable(p.target) {
			all = append(all, p)
		}
	}
	return all
}

// Return implements peers.Lender: it takes back slots that another host borrowed.
// Loans that have already ended are skipped. It returns an error if the lender
// named is another instance.
func (s *Slotter) Return(_ context.Context, r *peerpb.ReturnRequest) (*peerpb.ReturnReply, error) {
	if ids.Instance(r.GetLender()) != s.cfg.Self {
		return nil, errs.New("the lender %s is not here", r.GetLender())
	}
	freed := make(map[ids.Service]bool)
	for _, l := range r.GetLoans() {
		k := loanKey{borrower: ids.Instance(r.GetBorrower()), requestID: l.GetLoan()}
		if p := s.removeLent(k); p != nil {
			p.takeBack(k)
			freed[p.service] = true
		}
	}
	for svc := range freed {
		s.cfg.OnSlotsFreed(svc)
	}
	return &peerpb.ReturnReply{}, nil
}

// removeLent removes a loan from the index and returns its pool, or nil.
func (s *Slotter) removeLent(k loanKey) *pool {
	s.lentMu.Lock()
	defer s.lentMu.Unlock()
	p := s.lent[k]
	delete(s.lent, k)
	return p
}

// expireLentLoans ends the lent loans whose end has passed.
func (s *Slotter) expireLentLoans(now time.Time) {
	for _, p := range s.pools.Load().byTarget {
		expired := p.expireLent(now)
		for _, k := range expired {
			s.removeLent(k)
		}
		if len(expired) > 0 {
			s.cfg.OnSlotsFreed(p.service)
		}
	}
}

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
// nothing. Asking twice for the same ask gives the same loan.
func (s *Slotter) Borrow(_ context.Context, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	if ids.Instance(r.GetLender()) != s.cfg.Self {
		return nil, errs.New("the asked lender %s is not here", r.GetLender())
	}
	if !s.mayAct() || r.GetSlots() == 0 {
		return &peerpb.BorrowReply{}, nil
	}
	ttl := time.Duration(r.GetTtlMs()) * time.Millisecond
	if ttl <= 0 || ttl > config.MaxTimeout+loanWindow {
		return nil, errs.New("a loan of %v is out of range", ttl)
	}
	k := loanKey{borrower: ids.Instance(r.GetBorrower()), ask: r.GetAsk()}
	p := s.lendOne(k, r, time.Now().Add(ttl+fencer.ClockMargin))
	if p == nil {
		return &peerpb.BorrowReply{}, nil
	}
	s.wake()
	return &peerpb.BorrowReply{Loan: k.ask, Slots: 1, TtlMs: r.GetTtlMs(), Target: string(p.target)}, nil
}

// lendOne lends a slot and returns its pool, or nil.
func (s *Slotter) lendOne(k loanKey, r *peerpb.BorrowRequest, end time.Time) *pool {
	s.lentMu.Lock()
	defer s.lentMu.Unlock()
	if p := s.lent[k]; p != nil {
		return p
	}
	for _, p := range s.lendable(r) {
		if p.lend(k, end) {
			s.lent[k] = p
			return p
		}
	}
	return nil
}

// lendable returns the pools that may lend for the request, the best first.
func (s *Slotter) lendable(r *peerpb.BorrowRequest) []*pool {
	set := s.pools.Load()
	asked := set.byTarget[ids.Target(r.GetTarget())]
	if asked == nil {
		return nil
	}
	var all []*pool
	if s.cfg.Usable(asked.target) {
		all = append(all, asked)
	}
	if !r.GetAnyTarget() {
		return all
	}
	for _, p := range set.byService[asked.service] {
		if p != asked && p.region == asked.region && s.cfg.Usable(p.target) {
			all = append(all, p)
		}
	}
	return all
}

// Return implements peers.Lender: it takes back slots that another host hands
// back. Loans that have ended here are passed over.
func (s *Slotter) Return(_ context.Context, r *peerpb.ReturnRequest) (*peerpb.ReturnReply, error) {
	if ids.Instance(r.GetLender()) != s.cfg.Self {
		return nil, errs.New("the lender %s is not here", r.GetLender())
	}
	freed := make(map[ids.Service]bool)
	for _, l := range r.GetLoans() {
		k := loanKey{borrower: ids.Instance(r.GetBorrower()), ask: l.GetLoan()}
		if p := s.forget(k); p != nil {
			p.takeBack(k)
			freed[p.service] = true
		}
	}
	for svc := range freed {
		s.cfg.OnSlotsFreed(svc)
	}
	return &peerpb.ReturnReply{}, nil
}

// forget removes a loan from the index and returns its pool, or nil.
func (s *Slotter) forget(k loanKey) *pool {
	s.lentMu.Lock()
	defer s.lentMu.Unlock()
	p := s.lent[k]
	delete(s.lent, k)
	return p
}

// expireLent ends the loans given whose end has passed.
func (s *Slotter) expireLent(now time.Time) {
	for _, p := range s.pools.Load().byTarget {
		ended := p.expire(now)
		for _, k := range ended {
			s.forget(k)
		}
		if len(ended) > 0 {
			s.cfg.OnSlotsFreed(p.service)
		}
	}
}

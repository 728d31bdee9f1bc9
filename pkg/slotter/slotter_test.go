package slotter_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/checker"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/pkg/slotter"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const (
	timeout = 2 * time.Second
	spread  = 6500 * time.Millisecond
)

// lease is a serving lease that a test can void.
type lease struct{ void atomic.Bool }

func (l *lease) Check() *refusal.Refusal {
	if l.void.Load() {
		return refusal.Unavailable(refusal.CodeNotServing, "", 0)
	}
	return nil
}

// wire carries messages straight to other slotters.
type wire struct {
	hosts map[ids.Instance]*slotter.Slotter
	// loseReply drops the replies of lenders, and loseReturns what is handed back.
	loseReply   atomic.Bool
	loseReturns atomic.Bool
}

func (w *wire) Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	reply, err := w.hosts[lender].Borrow(ctx, r)
	if w.loseReply.Load() {
		return nil, errors.New("lost")
	}
	return reply, err
}

func (w *wire) Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error {
	if w.loseReturns.Load() {
		return errors.New("lost")
	}
	_, err := w.hosts[lender].Return(ctx, r)
	return err
}

func snapshot(rev ids.Revision, slots int) *config.Snapshot {
	return config.NewSnapshot(rev, &config.Document{Services: []config.Service{{
		Name: "till", Slots: slots, TimeoutMs: int(timeout / time.Millisecond),
		Upstreams: []config.Upstream{{Name: "t", Region: "here"}, {Name: "u", Region: "here"}},
	}}})
}

func table(rev ids.SeatRevision, unclean bool, holders ...ids.Instance) *seater.Table {
	t := &seater.Table{Revision: rev}
	for i, h := range holders {
		t.Seats = append(t.Seats, seater.Seat{
			Number: ids.Seat(i), Region: "here", Holder: h, Epoch: uint64(rev), Unclean: unclean,
		})
	}
	return t
}

// pair is two hosts with a seat each, of four slots of each target.
type pair struct {
	wire    wire
	lease   lease
	checker checker.Checker
	a, b    *slotter.Slotter
	cancel  context.CancelFunc
}

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{wire: wire{hosts: make(map[ids.Instance]*slotter.Slotter)}}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(t.Context())
	for _, name := range []ids.Instance{"a", "b"} {
		s := slotter.New(slotter.Config{Self: name, Lease: &p.lease, Lenders: &p.wire, Checker: &p.checker})
		p.wire.hosts[name] = s
		s.Configure(snapshot(1, 4))
		s.SetTable(name, table(1, false, "a", "b"))
		go s.Run(ctx)
	}
	p.a, p.b = p.wire.hosts["a"], p.wire.hosts["b"]
	return p
}

// close ends both hosts and reports breaches.
func (p *pair) close(t *testing.T) {
	t.Helper()
	p.cancel()
	<-p.a.Done()
	<-p.b.Done()
	for _, b := range p.checker.Breaches() {
		t.Error(b.What)
	}
}

// takeAll takes all free slots of a target.
func takeAll(s *slotter.Slotter, t ids.Target) []*slotter.Permit {
	var all []*slotter.Permit
	for {
		r, ok := s.TryAcquire(t)
		if !ok {
			return all
		}
		all = append(all, r)
	}
}

func TestBorrowedSlotCarriesARequestAndGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		defer p.close(t)
		is.Equal(len(takeAll(p.a, "t")), 2) // its own half
		is.True(p.a.RequestLoan(t.Context(), "t"))
		r, ok := p.a.TryAcquire("t")
		is.True(ok)
		is.True(r.Borrowed())
		is.Equal(p.b.Free("t"), 1)
		r.Release()
		r.Release() // changes nothing
		time.Sleep(10 * time.Millisecond)
		is.Equal(p.b.Free("t"), 2)
		is.Equal(p.a.Free("t"), 0)
	})
}

func TestLenderOffersAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		defer p.close(t)
		takeAll(p.a, "t")
		takeAll(p.a, "u")
		takeAll(p.b, "t")
		is.True(p.a.RequestLoan(t.Context(), "t"))
		is.Equal(p.a.Free("u"), 1)
		time.Sleep(10 * time.Millisecond)
		takeAll(p.b, "u")
		is.True(!p.a.RequestLoan(t.Context(), "t")) // nothing is left
	})
}

func TestLostReplyIsHandedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		defer p.close(t)
		p.wire.loseReply.Store(true)
		is.True(!p.a.RequestLoan(t.Context(), "t"))
		time.Sleep(10 * time.Millisecond)
		is.Equal(p.b.Free("t"), 2)
	})
}

func TestLenderGetsAnUnreturnedSlotBackByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		defer p.close(t)
		p.wire.loseReturns.Store(true)
		is.True(p.a.RequestLoan(t.Context(), "t"))
		time.Sleep(timeout)
		is.Equal(p.a.Free("t"), 2) // the borrowed one may start nothing more
		is.Equal(p.b.Free("t"), 1) // but a request may still run on it
		time.Sleep(1500 * time.Millisecond)
		is.Equal(p.b.Free("t"), 2)
	})
}

func TestUncleanSeatRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := slotter.New(slotter.Config{Self: "a", Lease: &lease{}})
		s.Configure(snapshot(1, 4))
		s.SetTable("a", table(1, true, "a"))
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(timeout)
		is.Equal(s.Free("t"), 0) // a request of the holder before may still run
		limited, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		var notClean *slotter.ErrSlotsInUse
		is.True(errors.As(s.DrainSeat(limited, 0), &notClean))
		is.Equal(notClean.Quarantined, 1)
		s.UndrainSeat(0)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(s.Free("t"), 4)
		cancel()
		<-s.Done()
	})
}

func TestSmallerShareCountsWhileARevisionSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		defer p.close(t)
		p.a.Configure(snapshot(2, 8))
		is.Equal(p.a.Free("t"), 2)
		held := takeAll(p.a, "t")
		p.a.Configure(snapshot(3, 2))
		is.Equal(p.a.Free("t"), 0)
		held[0].Release()
		is.Equal(p.a.Free("t"), 0) // what was in flight is not refilled
		held[1].Release()
		is.Equal(p.a.Free("t"), 1)
		p.a.Configure(snapshot(4, 8))
		p.b.Configure(snapshot(4, 8))
		time.Sleep(spread - time.Second)
		is.Equal(p.a.Free("t"), 1)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(p.a.Free("t"), 4)
	})
}

func TestSharesOfAnAddedSeatWaitUntilAllKnowIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		defer p.close(t)
		grown := table(2, false, "a", "b", "c")
		grown.ResizedFrom = 2
		c := slotter.New(slotter.Config{Self: "c", Lease: &p.lease, Checker: &p.checker})
		c.Configure(snapshot(1, 4))
		c.SetTable("c", grown)
		p.a.SetTable("a", grown) // b does not know it yet
		is.Equal(c.Free("t"), 0)
		is.Equal(p.b.Free("t"), 2)
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		time.Sleep(spread - time.Second)
		p.b.SetTable("b", grown)
		is.Equal(c.Free("t"), 0)
		time.Sleep(spread)
		for _, name := range []ids.Target{"t", "u"} {
			is.Equal(p.a.Free(name)+p.b.Free(name)+c.Free(name), 4)
			is.True(c.Free(name) > 0)
		}
		cancel()
		<-c.Done()
	})
}

func TestFencedHostTakesAndLendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		defer p.close(t)
		p.lease.void.Store(true)
		_, ok := p.a.TryAcquire("t")
		is.True(!ok)
		is.True(!p.a.RequestLoan(t.Context(), "t"))
		reply, err := p.b.Borrow(t.Context(), &peerpb.BorrowRequest{
			Borrower: "a", Lender: "b", Target: "t", Slots: 1, TtlMs: 1000, Ask: 9,
		})
		is.NoErr(err)
		is.Equal(reply.GetSlots(), uint32(0))
	})
}

func TestReleaseWaitsForOwnAndLentSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPair(t)
		defer p.close(t)
		own, _ := p.b.TryAcquire("t")
		is.True(p.a.RequestLoan(t.Context(), "t"))
		takeAll(p.a, "t")
		limited, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		var notClean *slotter.ErrSlotsInUse
		is.True(errors.As(p.b.Drain(limited), &notClean))
		is.Equal(notClean.InUse, 2) // one filled and one lent
		own.Release()
		is.NoErr(p.b.Drain(t.Context())) // the loan ends by itself
		_, ok := p.b.TryAcquire("t")
		is.True(!ok)
	})
}

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
	timeout     = 2 * time.Second
	propagation = 6500 * time.Millisecond
)

// lease is a serving lease that a test can invalidate.
type lease struct{ invalid atomic.Bool }

func (l *lease) Check() *refusal.Refusal {
	if l.invalid.Load() {
		return refusal.Unavailable(refusal.CodeNotServing, "", 0)
	}
	return nil
}

// fakeNetwork delivers requests directly to other slotters.
type fakeNetwork struct {
	hosts map[ids.Instance]*slotter.Slotter
	// loseReplies drops the replies of lenders, and loseReturns the returns of
	// borrowers.
	loseReplies atomic.Bool
	loseReturns atomic.Bool
}

func (n *fakeNetwork) Borrow(ctx context.Context, lender ids.Instance, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	reply, err := n.hosts[lender].Borrow(ctx, r)
	if n.loseReplies.Load() {
		return nil, errors.New("message lost")
	}
	return reply, err
}

func (n *fakeNetwork) Return(ctx context.Context, lender ids.Instance, r *peerpb.ReturnRequest) error {
	if n.loseReturns.Load() {
		return errors.New("message lost")
	}
	_, err := n.hosts[lender].Return(ctx, r)
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

// hostPair is two hosts that hold a seat each, with four slots per target.
type hostPair struct {
	network fakeNetwork
	lease   lease
	checker checker.Checker
	a, b    *slotter.Slotter
	cancel  context.CancelFunc
}

func newHostPair(t *testing.T) *hostPair {
	t.Helper()
	p := &hostPair{network: fakeNetwork{hosts: make(map[ids.Instance]*slotter.Slotter)}}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(t.Context())
	for _, name := range []ids.Instance{"a", "b"} {
		s := slotter.New(slotter.Config{Self: name, Lease: &p.lease, Lenders: &p.network, Checker: &p.checker})
		p.network.hosts[name] = s
		s.Configure(snapshot(1, 4))
		s.SetTable(name, table(1, false, "a", "b"))
		go s.Run(ctx)
	}
	p.a, p.b = p.network.hosts["a"], p.network.hosts["b"]
	return p
}

// close stops both hosts and reports breaches.
func (p *hostPair) close(t *testing.T) {
	t.Helper()
	p.cancel()
	<-p.a.Done()
	<-p.b.Done()
	for _, b := range p.checker.Breaches() {
		t.Error(b.Message)
	}
}

// acquireAll takes all free slots of a target.
func acquireAll(s *slotter.Slotter, t ids.Target) []*slotter.Permit {
	var all []*slotter.Permit
	for {
		permit, ok := s.TryAcquire(t)
		if !ok {
			return all
		}
		all = append(all, permit)
	}
}

func TestBorrowedSlotIsReturnedAfterUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHostPair(t)
		defer p.close(t)
		is.Equal(len(acquireAll(p.a, "t")), 2) // its own half
		is.True(p.a.RequestLoan(t.Context(), "t"))
		permit, ok := p.a.TryAcquire("t")
		is.True(ok)
		is.True(permit.Borrowed())
		is.Equal(p.b.Free("t"), 1)
		permit.Release()
		permit.Release() // a second release does nothing
		time.Sleep(10 * time.Millisecond)
		is.Equal(p.b.Free("t"), 2)
		is.Equal(p.a.Free("t"), 0)
	})
}

func TestLenderLendsSlotOfAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHostPair(t)
		defer p.close(t)
		acquireAll(p.a, "t")
		acquireAll(p.a, "u")
		acquireAll(p.b, "t")
		is.True(p.a.RequestLoan(t.Context(), "t"))
		is.Equal(p.a.Free("u"), 1)
		time.Sleep(10 * time.Millisecond)
		acquireAll(p.b, "u")
		is.True(!p.a.RequestLoan(t.Context(), "t")) // nothing is left
	})
}

func TestLoanOfLostReplyIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHostPair(t)
		defer p.close(t)
		p.network.loseReplies.Store(true)
		is.True(!p.a.RequestLoan(t.Context(), "t"))
		time.Sleep(10 * time.Millisecond)
		is.Equal(p.b.Free("t"), 2)
	})
}

func TestUnreturnedLoanExpiresAtLender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHostPair(t)
		defer p.close(t)
		p.network.loseReturns.Store(true)
		is.True(p.a.RequestLoan(t.Context(), "t"))
		time.Sleep(timeout)
		is.Equal(p.a.Free("t"), 2) // no request may start on the borrowed slot
		is.Equal(p.b.Free("t"), 1) // but one may still be running on it
		time.Sleep(1500 * time.Millisecond)
		is.Equal(p.b.Free("t"), 2)
	})
}

func TestUncleanSeatIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := slotter.New(slotter.Config{Self: "a", Lease: &lease{}})
		s.Configure(snapshot(1, 4))
		s.SetTable("a", table(1, true, "a"))
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		time.Sleep(timeout)
		is.Equal(s.Free("t"), 0) // a request of the previous holder may still run
		limited, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		var inUse *slotter.ErrSlotsInUse
		is.True(errors.As(s.DrainSeat(limited, 0), &inUse))
		is.Equal(inUse.Quarantined, 1)
		s.UndrainSeat(0)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(s.Free("t"), 4)
		cancel()
		<-s.Done()
	})
}

func TestSmallerShareCountsUntilRevisionPropagates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHostPair(t)
		defer p.close(t)
		p.a.Configure(snapshot(2, 8))
		is.Equal(p.a.Free("t"), 2)
		held := acquireAll(p.a, "t")
		p.a.Configure(snapshot(3, 2))
		is.Equal(p.a.Free("t"), 0)
		held[0].Release()
		is.Equal(p.a.Free("t"), 0) // slots in flight above the limit are not refilled
		held[1].Release()
		is.Equal(p.a.Free("t"), 1)
		p.a.Configure(snapshot(4, 8))
		p.b.Configure(snapshot(4, 8))
		time.Sleep(propagation - time.Second)
		is.Equal(p.a.Free("t"), 1)
		time.Sleep(1500 * time.Millisecond)
		is.Equal(p.a.Free("t"), 4)
	})
}

func TestSharesOfAddedSeatWaitForPropagation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHostPair(t)
		defer p.close(t)
		resized := table(2, false, "a", "b", "c")
		resized.ResizedFrom = 2
		c := slotter.New(slotter.Config{Self: "c", Lease: &p.lease, Checker: &p.checker})
		c.Configure(snapshot(1, 4))
		c.SetTable("c", resized)
		p.a.SetTable("a", resized) // b does not know the table yet
		is.Equal(c.Free("t"), 0)
		is.Equal(p.b.Free("t"), 2)
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		time.Sleep(propagation - time.Second)
		p.b.SetTable("b", resized)
		is.Equal(c.Free("t"), 0)
		time.Sleep(propagation)
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
		p := newHostPair(t)
		defer p.close(t)
		p.lease.invalid.Store(true)
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

func TestDrainWaitsForOwnAndLentSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newHostPair(t)
		defer p.close(t)
		own, _ := p.b.TryAcquire("t")
		is.True(p.a.RequestLoan(t.Context(), "t"))
		acquireAll(p.a, "t")
		limited, stop := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer stop()
		var inUse *slotter.ErrSlotsInUse
		is.True(errors.As(p.b.Drain(limited), &inUse))
		is.Equal(inUse.InUse, 2) // one in use and one lent
		own.Release()
		is.NoErr(p.b.Drain(t.Context())) // the loan expires
		_, ok := p.b.TryAcquire("t")
		is.True(!ok)
	})
}

package limiter

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

func TestSeatOfCrashedProcessIsQuarantined(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := func(holder ids.Instance, address string, epoch uint64) *seater.Table {
		return &seater.Table{Seats: []seater.Seat{{Holder: holder, PeersAddress: address, Epoch: epoch, Unclean: epoch > 1}}}
	}
	before := table("old", "10.0.0.1:1", 1)
	restart := newHeldSeats("new", table("new", "10.0.0.1:1", 2), before, nil, now)
	is.True(restart[0].quarantinedUntil.After(now.Add(maxLoanTTL))) // loans of the crashed process may be in use
	unknown := newHeldSeats("new", table("new", "10.0.0.1:1", 2), nil, nil, now)
	is.True(unknown[0].quarantinedUntil.After(now.Add(maxLoanTTL)))
	reclaimed := newHeldSeats("new", table("new", "10.0.0.2:1", 2), before, nil, now)
	is.True(reclaimed[0].quarantinedUntil.IsZero()) // its loans ended with its lease
	is.True(!reclaimed[0].unused)
	never := newHeldSeats("new", table("new", "10.0.0.2:1", 1), nil, nil, now)
	is.True(never[0].unused)
}

func TestYieldedSeatIsQuarantinedUntilLoansEnd(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	yielded := &seater.Table{Seats: []seater.Seat{{Epoch: 2, LoansOutstanding: true}}}
	claimed := &seater.Table{Seats: []seater.Seat{{Holder: "new", PeersAddress: "10.0.0.2:1", Epoch: 3, LoansOutstanding: true}}}
	held := newHeldSeats("new", claimed, yielded, nil, now)
	is.True(held[0].quarantinedUntil.After(now.Add(maxLoanTTL)))
}

func TestSettledPeerRevisionEndsWaitAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Config{Self: "new", Lease: &fencer.Fencer{}})
		l.Configure(snapshot(7, 1, config.Workspace{Name: "w", Rate: 10, Burst: 8}))
		share := func() int64 { return l.history.share("w", 0).rate }
		is.Equal(share(), int64(0)) // other hosts may still use an unknown earlier revision
		l.dropSettledRevisions([]*peerpb.HostState{{SettledRevision: 6}}, time.Now())
		is.Equal(share(), int64(0))
		is.Equal(l.SettledRevision(), ids.Revision(0))
		l.dropSettledRevisions([]*peerpb.HostState{{SettledRevision: 6}, {SettledRevision: 7}}, time.Now())
		is.Equal(share(), 10*oneRequest) // no host can use an earlier revision
		time.Sleep(propagationTime)
		is.Equal(l.SettledRevision(), ids.Revision(7))
	})
}

func TestMissedRevisionWithholdsSharesItMayHaveChanged(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	revisionOf := func(n ids.Revision, changed float64, at time.Time) *revision {
		return newRevision(snapshot(n, 1,
			config.Workspace{Name: "same", Rate: 10, Burst: 8},
			config.Workspace{Name: "changed", Rate: changed, Burst: 8}), at)
	}
	first := history(nil).add(revisionOf(1, 10, now), 0)
	is.Equal(first.share("same", 0).rate, 10*oneRequest)

	next := first.add(revisionOf(2, 20, now), time.Second)
	is.Equal(next.share("changed", 0).rate, 10*oneRequest) // the smaller share until the revision has propagated
	is.Equal(next.prune(now.Add(propagationTime)).share("changed", 0).rate, 20*oneRequest)

	missed := first.add(revisionOf(3, 20, now), time.Second)
	is.Equal(missed.share("same", 0).rate, 10*oneRequest)
	is.Equal(missed.share("changed", 0).rate, int64(0))
	is.Equal(missed.prune(now.Add(propagationTime)).share("changed", 0).rate, 20*oneRequest)

	late := first.add(revisionOf(3, 20, now), propagationMargin+1)
	is.Equal(late.share("same", 0).rate, int64(0)) // shares that other hosts used in between are unknown

	restarted := history(nil).add(revisionOf(3, 20, now), 0)
	is.Equal(restarted.share("same", 0).rate, int64(0))
}

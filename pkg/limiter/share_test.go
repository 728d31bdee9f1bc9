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

func TestSeatOfALostProcessRests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := func(holder ids.Instance, address string, epoch uint64) *seater.Table {
		return &seater.Table{Seats: []seater.Seat{{Holder: holder, PeersAddress: address, Epoch: epoch, Unclean: epoch > 1}}}
	}
	before := table("old", "10.0.0.1:1", 1)
	restart := holdings("new", table("new", "10.0.0.1:1", 2), before, nil, now)
	is.True(restart[0].restsUntil.After(now.Add(maxLoan))) // the old process's loans may be in use
	unknown := holdings("new", table("new", "10.0.0.1:1", 2), nil, nil, now)
	is.True(unknown[0].restsUntil.After(now.Add(maxLoan)))
	reclaimed := holdings("new", table("new", "10.0.0.2:1", 2), before, nil, now)
	is.True(reclaimed[0].restsUntil.IsZero()) // its loans ended with its lease
	is.True(!reclaimed[0].fresh)
	never := holdings("new", table("new", "10.0.0.2:1", 1), nil, nil, now)
	is.True(never[0].fresh)
}

func TestYieldedSeatRestsUntilItsLoansEnded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	yielded := &seater.Table{Seats: []seater.Seat{{Epoch: 2, LoansOutstanding: true}}}
	claimed := &seater.Table{Seats: []seater.Seat{{Holder: "new", PeersAddress: "10.0.0.2:1", Epoch: 3, LoansOutstanding: true}}}
	held := holdings("new", claimed, yielded, nil, now)
	is.True(held[0].restsUntil.After(now.Add(maxLoan)))
}

func TestSettledPeerEndsTheRestOfARestartedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := New(Config{Self: "new", Lease: &fencer.Fencer{}})
		l.Configure(snapshot(7, 1, config.Workspace{Name: "w", Rate: 10, Burst: 8}))
		share := func() int64 { return l.history.share("w", 0).rate }
		is.Equal(share(), int64(0)) // others may still use what came before
		l.settle([]*peerpb.HostState{{SettledRevision: 6}}, time.Now())
		is.Equal(share(), int64(0))
		is.Equal(l.SettledRevision(), ids.Revision(0))
		l.settle([]*peerpb.HostState{{SettledRevision: 6}, {SettledRevision: 7}}, time.Now())
		is.Equal(share(), 10*request) // nobody can use what came before
		time.Sleep(spreadTime)
		is.Equal(l.SettledRevision(), ids.Revision(7))
	})
}

func TestMissedRevisionRestsWhatItMayHaveChanged(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	revisionOf := func(n ids.Revision, changed float64, at time.Time) *revision {
		return newRevision(snapshot(n, 1,
			config.Workspace{Name: "same", Rate: 10, Burst: 8},
			config.Workspace{Name: "changed", Rate: changed, Burst: 8}), at)
	}
	first := history(nil).add(revisionOf(1, 10, now), 0)
	is.Equal(first.share("same", 0).rate, 10*request)

	next := first.add(revisionOf(2, 20, now), time.Second)
	is.Equal(next.share("changed", 0).rate, 10*request) // the smaller one while it spreads
	is.Equal(next.prune(now.Add(spreadTime)).share("changed", 0).rate, 20*request)

	missed := first.add(revisionOf(3, 20, now), time.Second)
	is.Equal(missed.share("same", 0).rate, 10*request)
	is.Equal(missed.share("changed", 0).rate, int64(0))
	is.Equal(missed.prune(now.Add(spreadTime)).share("changed", 0).rate, 20*request)

	late := first.add(revisionOf(3, 20, now), spreadMargin+1)
	is.Equal(late.share("same", 0).rate, int64(0)) // it can not know what the others used meanwhile

	restarted := history(nil).add(revisionOf(3, 20, now), 0)
	is.Equal(restarted.share("same", 0).rate, int64(0))
}

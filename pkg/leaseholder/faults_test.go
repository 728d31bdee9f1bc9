package leaseholder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

func TestPausedHostLosesItsSeatAndGetsOneAgain(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		h := f.hosts[5]
		old := h.keep.Status().Seats
		f.net.Freeze(h.ip, true)
		time.Sleep(fencer.TTL)
		is.True(!h.fence.Valid()) // it stops by itself
		time.Sleep(20 * time.Second)
		for _, n := range old {
			is.True(f.table().Seats[n].Holder != h.id) // others took its seats
		}
		f.net.Freeze(h.ip, false)
		took, err := f.waitWhole(10 * time.Second)
		is.NoErr(err)
		t.Logf("whole %v after it came back", took)
	})
}

func TestStoreLeaseLapsesWhilePeersKeepTheHostAlive(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		h := f.hosts[5]
		f.net.Cut(h.ip, storeIP, true)
		seats := f.table().SeatNumbersOf(h.id) // the answer to its last claim may have been cut
		for range 60 {
			time.Sleep(time.Second)
			is.True(h.fence.Valid())
		}
		is.Equal(f.table().SeatNumbersOf(h.id), seats) // nobody could reclaim them
		is.Equal(h.keep.Status().Seats, seats)         // and the host knows them all
		before, _ := f.table().SeatOf(h.id)
		f.net.Cut(h.ip, storeIP, false)
		time.Sleep(15 * time.Second)
		after, _ := f.table().SeatOf(h.id)
		is.True(after.Lease != before.Lease) // put under a new lease
		is.Equal(h.keep.Status().RenewedThrough, "store")
		f.store.Lapse(platform.LeaseID(after.Lease))
		_, err := f.waitWhole(10 * time.Second)
		is.NoErr(err)
		f.store.SetDown(true)
		time.Sleep(time.Minute)
		is.True(h.fence.Valid()) // and the peers promise it again
	})
}

func TestSlowStoreLetsNoLeaseLapse(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		for _, latency := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
			f.store.SetLatency(latency)
			for range 20 {
				time.Sleep(time.Second)
				for _, h := range f.hosts {
					is.True(h.fence.Valid())
				}
			}
		}
	})
}

func TestStartWhileTheStoreIsDown(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		is.True(f.apply(is, f.hosts[0]) <= inForceBound)
		rev := f.revision()
		f.store.SetDown(true)
		f.seeds = []string{f.hosts[0].ip + ":7100", f.hosts[1].ip + ":7100"}
		f.start("munster", "")
		h := f.hosts[len(f.hosts)-1]
		time.Sleep(10 * time.Second)
		is.Equal(h.roll.Snapshot().Revision, rev) // the newest, from its peers
		is.True(!h.fence.Valid())                 // but it has no seat, so nobody can keep it alive
		f.store.SetDown(false)
		_, err := f.waitWhole(20 * time.Second)
		is.NoErr(err)
		is.Equal(len(h.keep.Status().Seats), 1)
	})
}

func TestFullRegionHandsASpareSeatOver(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.start("munster", "") // it had three hosts on four seats
		took, err := f.waitWhole(10 * time.Second)
		is.NoErr(err)
		t.Logf("the twelfth host has a seat after %v", took)
		held := make(map[ids.Instance]bool)
		for _, s := range f.table().Seats {
			is.True(!held[s.Holder]) // each host has one seat now
			held[s.Holder] = true
		}
	})
}

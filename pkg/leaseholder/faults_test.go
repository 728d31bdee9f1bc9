package leaseholder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/platform"
)

func TestPausedHostLosesAndRegainsSeat(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		h := f.hosts[5]
		old := h.leaseholder.Status().Seats
		f.net.SetFrozen(h.ip, true)
		time.Sleep(fencer.TTL)
		is.True(!h.fencer.Valid()) // its lease has expired without a message
		time.Sleep(20 * time.Second)
		for _, n := range old {
			is.True(f.table().Seats[n].Holder != h.id) // other hosts reclaimed its seats
		}
		f.net.SetFrozen(h.ip, false)
		took, err := f.waitHealthy(10 * time.Second)
		is.NoErr(err)
		t.Logf("healthy %v after the host was reachable again", took)
	})
}

func TestStoreLeaseExpiresWhilePeersRenew(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		h := f.hosts[5]
		f.net.SetCut(h.ip, storeIP, true)
		seats := f.table().SeatNumbersOf(h.id) // from the table, since the reply to the host's last claim may be lost
		for range 60 {
			time.Sleep(time.Second)
			is.True(h.fencer.Valid())
		}
		is.Equal(f.table().SeatNumbersOf(h.id), seats) // no other host could reclaim them
		is.Equal(h.leaseholder.Status().Seats, seats)  // the host knows all of them
		before, _ := f.table().SeatOf(h.id)
		f.net.SetCut(h.ip, storeIP, false)
		time.Sleep(15 * time.Second)
		after, _ := f.table().SeatOf(h.id)
		is.True(after.Lease != before.Lease) // the table lists its new store lease
		is.Equal(h.leaseholder.Status().RenewedThrough, "store")
		f.store.ExpireLease(platform.LeaseID(after.Lease))
		_, err := f.waitHealthy(10 * time.Second)
		is.NoErr(err)
		f.store.SetDown(true)
		time.Sleep(time.Minute)
		is.True(h.fencer.Valid()) // peers promise again to the host with its new store lease
	})
}

func TestSlowStoreExpiresNoLease(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		for _, latency := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
			f.store.SetLatency(latency)
			for range 20 {
				time.Sleep(time.Second)
				for _, h := range f.hosts {
					is.True(h.fencer.Valid())
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
		is.Equal(h.roller.Snapshot().Revision, rev) // fetched from its peers
		is.True(!h.fencer.Valid())                  // peers promise nothing to a host without a seat
		f.store.SetDown(false)
		_, err := f.waitHealthy(20 * time.Second)
		is.NoErr(err)
		is.Equal(len(h.leaseholder.Status().Seats), 1)
	})
}

func TestNewHostGetsSpareSeat(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.start("munster", "") // the region had three hosts for four seats
		took, err := f.waitHealthy(10 * time.Second)
		is.NoErr(err)
		t.Logf("the twelfth host got a seat after %v", took)
		held := make(map[ids.Instance]bool)
		for _, s := range f.table().Seats {
			is.True(!held[s.Holder]) // each host holds one seat now
			held[s.Holder] = true
		}
	})
}

package leaseholder_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const hostCount = 11

// withFleet runs check against a healthy fleet in a synctest bubble.
func withFleet(t *testing.T, check func(is *is.I, f *fleet)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, hostCount)
		defer f.checkInvariants()
		defer f.stop()
		took, err := f.waitHealthy(20 * time.Second)
		is.NoErr(err)
		t.Logf("healthy %v after the first start", took)
		check(is, f)
	})
}

func TestStoreLoadInSteadyState(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		const window = 60 * time.Second
		before := f.store.Counts()
		time.Sleep(window)
		after := f.store.Counts()
		perHost := hostCount * window.Seconds()
		reads := float64(after.TotalReads()-before.TotalReads()) / perHost
		writes := float64(after.TotalWrites()-before.TotalWrites()) / perHost
		t.Logf("store load per host: %.2f reads/s, %.2f writes/s", reads, writes)
		is.True(reads < 2)
		is.True(writes < 1)
	})
}

func TestOutageOfTheStore(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.store.SetDown(true)
		for range 30 {
			time.Sleep(time.Second)
			for _, h := range f.hosts {
				is.True(h.fencer.Valid()) // every host serves with its peers' promises
			}
		}
		f.store.SetDown(false)
		_, err := f.waitHealthy(10 * time.Second)
		is.NoErr(err)
	})
}

func TestCrashRestartReplacement(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		h := f.hosts[4]
		f.crash(h)
		took, err := f.waitHealthy(10 * time.Second)
		is.NoErr(err)
		t.Logf("crash without a successor: healthy after %v", took)
		f.start(h.region, "")
		took, err = f.waitHealthy(10 * time.Second)
		is.NoErr(err)
		t.Logf("replacement at another address: healthy after %v", took)
		h = f.hosts[2]
		f.crash(h)
		f.start(h.region, h.ip)
		took, err = f.waitHealthy(10 * time.Second)
		is.NoErr(err)
		t.Logf("restart at the same address: healthy after %v", took)
		h = f.hosts[6]
		is.NoErr(f.leave(h))
		f.start(h.region, "")
		took, err = f.waitHealthy(10 * time.Second)
		is.NoErr(err)
		t.Logf("graceful replacement: healthy after %v", took)
	})
}

func TestLossOfMajorityNeedsOperator(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		lost := append([]*host(nil), f.hosts[:7]...)
		for _, h := range lost {
			f.crash(h)
		}
		for _, h := range lost {
			f.start(h.region, "")
		}
		_, err := f.waitHealthy(30 * time.Second)
		is.True(err != nil) // no majority is left to reclaim the seats
		survivor := f.hosts[0]
		is.True(survivor.leaseholder.Abandon(f.t.Context(), survivor.id) != nil) // its store lease is valid
		is.True(survivor.leaseholder.Abandon(f.t.Context(), "none") != nil)
		for _, h := range lost {
			// An error is possible: the remaining hosts reclaim the other seats as soon
			// as they hold a majority.
			if err := survivor.leaseholder.Abandon(f.t.Context(), h.id); err != nil {
				f.t.Logf("abandon %s: %v", h.id, err)
			}
		}
		_, err = f.waitHealthy(20 * time.Second)
		is.NoErr(err)
	})
}

package leaseholder_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/fencer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
)

// inForceBound is the time to live of the serving lease plus the network delays.
const inForceBound = fencer.TTL + 100*time.Millisecond

// apply stores a new configuration through a host and returns the time until it
// was in force at every host with a valid lease.
func (f *fleet) apply(is *is.I, h *host) time.Duration {
	is.Helper()
	base := f.revision()
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		result, err := h.roller.Apply(ctx, []byte(document("next")), base)
		is.NoErr(err)
		is.True(result.Accepted)
	}()
	for !f.allHave(base+1) && time.Since(began) < 2*inForceBound {
		time.Sleep(time.Millisecond)
	}
	took := time.Since(began)
	<-done
	return took
}

// allHave reports whether every host with a valid lease has the revision in force.
func (f *fleet) allHave(rev ids.Revision) bool {
	for _, h := range f.hosts {
		s := h.roller.Snapshot()
		if h.fencer.Valid() && (s == nil || s.Revision < rev) {
			return false
		}
	}
	return true
}

func reportLatencies(t *testing.T, what string, all []time.Duration) time.Duration {
	t.Helper()
	slices.Sort(all)
	t.Logf("%s: p50 %v, max %v of %d", what, all[len(all)/2], all[len(all)-1], len(all))
	return all[len(all)-1]
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	const changes = 10
	withFleet(t, func(is *is.I, f *fleet) {
		var up, cut []time.Duration
		for n := range changes {
			up = append(up, f.apply(is, f.hosts[n]))
			time.Sleep(time.Second)
		}
		is.True(reportLatencies(t, "store up", up) <= inForceBound)
		for n := range changes {
			s := &faultInjector{fleet: f, cuts: make(map[[2]string]bool)}
			r := regions[1+n%2] // not the region of the store
			for _, a := range s.ips() {
				for _, b := range s.ips() {
					if s.regionOf(a) == r != (s.regionOf(b) == r) {
						s.net.SetCut(a, b, true)
						s.cuts[[2]string{a, b}] = true
					}
				}
			}
			time.Sleep(time.Duration(n) * 300 * time.Millisecond)
			cut = append(cut, f.apply(is, f.hosts[0]))
			s.clearFaults()
			_, err := f.waitHealthy(recoveryBound)
			is.NoErr(err)
		}
		is.True(reportLatencies(t, "one region cut off", cut) <= inForceBound)
	})
}

func TestChangeReachesHostsCutOffFromStore(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		cutOff := f.hosts[1:5]
		for _, h := range cutOff {
			f.net.SetCut(h.ip, storeIP, true)
			f.net.SetCut(storeIP, h.ip, true)
		}
		for _, h := range cutOff[:2] { // These hosts learn of the change only through other peers.
			f.net.SetCut(h.ip, f.hosts[0].ip, true)
			f.net.SetCut(f.hosts[0].ip, h.ip, true)
		}
		time.Sleep(time.Minute)
		for _, h := range cutOff {
			is.True(h.fencer.Valid())
			is.Equal(h.leaseholder.Status().RenewedThrough, "peers")
		}
		took := f.apply(is, f.hosts[0])
		is.True(took <= inForceBound)
		t.Logf("four hosts cut off from the store: in force everywhere after %v", took)
		for _, h := range cutOff {
			is.True(h.fencer.Valid())
			is.Equal(h.roller.Snapshot().Revision, f.revision())
		}
	})
}

func TestConcurrentApplyConflicts(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.store.LoseResponses(1) // the answer to the first writer
		base := f.revision()
		_, err := f.hosts[0].roller.Apply(context.Background(), []byte(document("a")), base)
		is.NoErr(err) // a read resolved the lost answer
		_, err = f.hosts[1].roller.Apply(context.Background(), []byte(document("b")), base)
		var conflict *roller.ErrConflict
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Base, base)
		is.Equal(conflict.Current, base+1)
		is.Equal(f.revision(), base+1)
		f.store.SetDown(true)
		_, err = f.hosts[1].roller.Apply(context.Background(), []byte(document("c")), base+1)
		var notStored *roller.ErrNotStored
		is.True(errors.As(err, &notStored)) // nothing was written
	})
}

func TestInvalidDocumentStopsServing(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		h := f.hosts[3]
		is.True(h.roller.ApplyHead(roller.Head{Revision: 2, Document: "{"}) != nil)
		time.Sleep(fencer.TTL)
		is.True(!h.fencer.Valid()) // the host must not act on an older configuration
		is.True(h.leaseholder.Status().NotServingReason != "")
		is.Equal(h.roller.Snapshot().Revision, ids.Revision(1))
	})
}

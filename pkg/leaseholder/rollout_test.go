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

// inForceBound is the lease's time to live, with the delays of the network.
const inForceBound = fencer.TTL + 100*time.Millisecond

// apply stores a new configuration at a host and returns how long it took until
// every host that may act had it.
func (f *fleet) apply(is *is.I, h *host) time.Duration {
	is.Helper()
	base := f.revision()
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		result, err := h.roll.Apply(ctx, []byte(document("next")), base)
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

// allHave reports whether each host has a revision in force or may not act.
func (f *fleet) allHave(rev ids.Revision) bool {
	for _, h := range f.hosts {
		s := h.roll.Snapshot()
		if h.fence.Valid() && (s == nil || s.Revision < rev) {
			return false
		}
	}
	return true
}

func report(t *testing.T, what string, all []time.Duration) time.Duration {
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
		is.True(report(t, "store up", up) <= inForceBound)
		for n := range changes {
			s := &storm{fleet: f, cuts: make(map[[2]string]bool)}
			r := regions[1+n%2] // not the store's
			for _, a := range s.ips() {
				for _, b := range s.ips() {
					if s.regionOf(a) == r != (s.regionOf(b) == r) {
						s.net.Cut(a, b, true)
						s.cuts[[2]string{a, b}] = true
					}
				}
			}
			time.Sleep(time.Duration(n) * 300 * time.Millisecond)
			cut = append(cut, f.apply(is, f.hosts[0]))
			s.heal()
			_, err := f.waitWhole(wholeWithin)
			is.NoErr(err)
		}
		is.True(report(t, "one region cut off", cut) <= inForceBound)
	})
}

func TestChangeReachesHostsThatOnlySeePeers(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		blind := f.hosts[1:5]
		for _, h := range blind {
			f.net.Cut(h.ip, storeIP, true)
			f.net.Cut(storeIP, h.ip, true)
		}
		for _, h := range blind[:2] { // These hear of it from other peers only.
			f.net.Cut(h.ip, f.hosts[0].ip, true)
			f.net.Cut(f.hosts[0].ip, h.ip, true)
		}
		time.Sleep(time.Minute)
		for _, h := range blind {
			is.True(h.fence.Valid())
			is.Equal(h.keep.Status().RenewedThrough, "peers")
		}
		took := f.apply(is, f.hosts[0])
		is.True(took <= inForceBound)
		t.Logf("four hosts cut off from the store: in force everywhere after %v", took)
		for _, h := range blind {
			is.True(h.fence.Valid())
			is.Equal(h.roll.Snapshot().Revision, f.revision())
		}
	})
}

func TestRaceOfOperatorsIsAConflict(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.store.LoseAnswers(1) // the first writer's answer
		base := f.revision()
		_, err := f.hosts[0].roll.Apply(context.Background(), []byte(document("a")), base)
		is.NoErr(err) // resolved by reading back
		_, err = f.hosts[1].roll.Apply(context.Background(), []byte(document("b")), base)
		var conflict *roller.ErrConflict
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Base, base)
		is.Equal(conflict.Current, base+1)
		is.Equal(f.revision(), base+1)
		f.store.SetDown(true)
		_, err = f.hosts[1].roll.Apply(context.Background(), []byte(document("c")), base+1)
		var notStored *roller.ErrNotStored
		is.True(errors.As(err, &notStored)) // nothing was written
	})
}

func TestDocumentThatDoesNotCompileStopsItsHost(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		h := f.hosts[3]
		is.True(h.roll.ApplyHead(roller.Head{Revision: 2, Document: "{"}) != nil)
		time.Sleep(fencer.TTL)
		is.True(!h.fence.Valid()) // it must not act on an older configuration
		is.True(h.keep.Status().NotServingReason != "")
		is.Equal(h.roll.Snapshot().Revision, ids.Revision(1))
	})
}

package leaseholder_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
)

const (
	// faultPhase is how long faults are injected before all of them are cleared.
	faultPhase = 90 * time.Second
	// recoveryBound bounds the time until the fleet is healthy after that: the
	// expiry of a store lease, the votes, and the claims of spare seats.
	recoveryBound = 30 * time.Second
	// maxFaultLength bounds the duration of one fault.
	maxFaultLength = 40 * time.Second
)

// faultInjector injects random faults into a fleet.
type faultInjector struct {
	*fleet
	rng *rand.Rand

	mu       sync.Mutex
	applying sync.WaitGroup
	applied  map[string]int
	cuts     map[[2]string]bool
}

func TestRandomisedFaults(t *testing.T) {
	rng := seeds.NewRand(t)
	length := seeds.VirtualDuration(time.Minute)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &faultInjector{fleet: newFleet(t, hostCount), rng: rng, applied: make(map[string]int), cuts: make(map[[2]string]bool)}
		defer s.checkInvariants()
		defer s.stop()
		_, err := s.waitHealthy(20 * time.Second)
		is.NoErr(err)
		var slowest time.Duration
		began := time.Now()
		for time.Since(began) < length {
			s.inject()
			s.clearFaults()
			took, err := s.waitHealthy(recoveryBound)
			if err != nil {
				for _, line := range s.checker.Events() {
					t.Log(line)
				}
				t.Fatal(err)
			}
			slowest = max(slowest, took)
		}
		t.Logf("healthy at most %v after all faults were cleared; results of applied configurations: %v", slowest, s.applied)
	})
}

// inject injects faults, several at a time, for the length of faultPhase.
func (s *faultInjector) inject() {
	faults := []func(time.Duration){
		s.storeDown, s.storeSlow, s.loseAnswers, s.freeze, s.restart, s.replace,
		s.leaveAndReplace, s.cutRegion, s.cutStore, s.cutOneWay, s.applyConcurrently, s.applyConcurrently,
	}
	end := time.Now().Add(faultPhase)
	for time.Now().Before(end) {
		d := time.Duration(1 + s.rng.Int64N(int64(maxFaultLength)))
		faults[s.rng.IntN(len(faults))](d)
		time.Sleep(time.Duration(s.rng.Int64N(int64(8 * time.Second))))
	}
}

// clearFaults ends all faults and waits for the pending configuration changes.
func (s *faultInjector) clearFaults() {
	s.store.SetDown(false)
	s.store.SetLatency(0)
	s.store.LoseResponses(0)
	for _, h := range s.hosts {
		s.net.SetFrozen(h.ip, false)
	}
	for p := range s.cuts {
		s.net.SetCut(p[0], p[1], false)
	}
	clear(s.cuts)
	s.checker.Tracef("all faults are cleared")
	s.applying.Wait()
}

func (s *faultInjector) randomHost() *host { return s.hosts[s.rng.IntN(len(s.hosts))] }

func (s *faultInjector) storeDown(d time.Duration) {
	s.checker.Tracef("store down for %v", d)
	s.store.SetDown(true)
	time.AfterFunc(d, func() { s.store.SetDown(false) })
}

func (s *faultInjector) storeSlow(d time.Duration) {
	latency := time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	s.checker.Tracef("store slow by %v for %v", latency, d)
	s.store.SetLatency(latency)
	time.AfterFunc(d, func() { s.store.SetLatency(0) })
}

func (s *faultInjector) loseAnswers(time.Duration) {
	n := 1 + s.rng.IntN(20)
	s.checker.Tracef("the next %d answers of the store are lost", n)
	s.store.LoseResponses(n)
}

func (s *faultInjector) freeze(d time.Duration) {
	h := s.randomHost()
	s.checker.Tracef("host %s is cut off for %v", h.id, d)
	s.net.SetFrozen(h.ip, true)
	time.AfterFunc(d, func() { s.net.SetFrozen(h.ip, false) })
}

func (s *faultInjector) restart(d time.Duration) {
	h := s.randomHost()
	s.net.SetFrozen(h.ip, false)
	s.crash(h)
	time.Sleep(min(d, 5*time.Second))
	s.start(h.region, h.ip)
}

func (s *faultInjector) replace(d time.Duration) {
	h := s.randomHost()
	s.crash(h)
	time.Sleep(min(d, 5*time.Second))
	s.start(h.region, "")
}

func (s *faultInjector) leaveAndReplace(time.Duration) {
	h := s.randomHost()
	if err := s.leave(h); err != nil {
		s.checker.Tracef("host %s could not release its seats: %v", h.id, err)
	}
	s.start(h.region, "")
}

// cutRegion cuts a region off from the others. Connacht keeps its connection to
// the store, which is in that region.
func (s *faultInjector) cutRegion(d time.Duration) {
	r := regions[s.rng.IntN(len(regions))]
	s.checker.Tracef("region %s is cut off for %v", r, d)
	var pairs [][2]string
	for _, a := range s.ips() {
		for _, b := range s.ips() {
			if s.regionOf(a) == r != (s.regionOf(b) == r) {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	s.cut(pairs, d)
}

// cutStore cuts some hosts off from the store, in one direction or both.
func (s *faultInjector) cutStore(d time.Duration) {
	var pairs [][2]string
	for _, h := range s.hosts {
		if s.rng.IntN(2) == 0 {
			pairs = append(pairs, [2]string{storeIP, h.ip})
		}
		if s.rng.IntN(3) == 0 {
			pairs = append(pairs, [2]string{h.ip, storeIP})
		}
	}
	s.checker.Tracef("cuts to the store for %v: %v", d, pairs)
	s.cut(pairs, d)
}

// cutOneWay cuts a quarter of all links in one direction.
func (s *faultInjector) cutOneWay(d time.Duration) {
	var pairs [][2]string
	for _, a := range s.ips() {
		for _, b := range s.ips() {
			if a != b && s.rng.IntN(4) == 0 {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	s.checker.Tracef("%d links are cut one way for %v", len(pairs), d)
	s.cut(pairs, d)
}

func (s *faultInjector) cut(pairs [][2]string, d time.Duration) {
	for _, p := range pairs {
		s.net.SetCut(p[0], p[1], true)
		s.cuts[p] = true
	}
	time.AfterFunc(d, func() {
		for _, p := range pairs {
			s.net.SetCut(p[0], p[1], false)
		}
	})
}

func (s *faultInjector) ips() []string {
	all := []string{storeIP}
	for _, h := range s.hosts {
		all = append(all, h.ip)
	}
	return all
}

func (s *faultInjector) regionOf(ip string) ids.Region {
	for _, h := range s.hosts {
		if h.ip == ip {
			return h.region
		}
	}
	return regions[0]
}

// applyConcurrently applies two different configurations on the same base.
func (s *faultInjector) applyConcurrently(time.Duration) {
	base, _ := s.randomHost().roller.NewestRevisions()
	for n := range 2 {
		h := s.randomHost()
		name := fmt.Sprintf("%s-%d", h.id, n)
		s.applying.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			result, err := h.roller.Apply(ctx, []byte(document(name)), base)
			s.checkApply(name, base, result, err)
		})
	}
}

// checkApply checks the result of an apply and counts it by kind.
func (s *faultInjector) checkApply(name string, base ids.Revision, result roller.ApplyResult, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict *roller.ErrConflict
	var unresolved *roller.ErrUnresolved
	var notStored *roller.ErrNotStored
	switch {
	case err == nil && result.Accepted:
		s.applied["accepted"]++
	case err == nil:
		s.applied["stored"]++
	case errors.As(err, &conflict):
		s.applied["conflict"]++
		if conflict.Current == base {
			s.t.Errorf("apply reported a conflict although its base was current: %v", err)
		}
	case errors.As(err, &notStored):
		s.applied["notStored"]++
	case errors.As(err, &unresolved):
		s.applied["unresolved"]++
	default:
		s.t.Errorf("apply %s: %v", name, err)
	}
	s.checker.Tracef("apply %s on %d: %+v %v", name, base, result, err)
}

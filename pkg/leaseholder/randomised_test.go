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
	// stormLength is how long faults come before all of them heal.
	stormLength = 90 * time.Second
	// wholeWithin bounds the time until the fleet is whole after that: a lost
	// store lease, the votes, and the spare seats.
	wholeWithin = 30 * time.Second
	// maxFault bounds one fault.
	maxFault = 40 * time.Second
)

// storm makes faults at random.
type storm struct {
	*fleet
	rng *rand.Rand

	mu       sync.Mutex
	applying sync.WaitGroup
	applied  map[string]int
	cuts     map[[2]string]bool
}

func TestRandomisedFaults(t *testing.T) {
	rng := seeds.Source(t)
	length := seeds.Length(time.Minute)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &storm{fleet: newFleet(t, hosts), rng: rng, applied: make(map[string]int), cuts: make(map[[2]string]bool)}
		defer s.wantNoBreach()
		defer s.stop()
		_, err := s.waitWhole(20 * time.Second)
		is.NoErr(err)
		var slowest time.Duration
		began := time.Now()
		for time.Since(began) < length {
			s.rage()
			s.heal()
			took, err := s.waitWhole(wholeWithin)
			if err != nil {
				for _, line := range s.check.Events() {
					t.Log(line)
				}
				t.Fatal(err)
			}
			slowest = max(slowest, took)
		}
		t.Logf("whole at most %v after all faults healed; applies: %v", slowest, s.applied)
	})
}

// rage makes faults for a while, several at a time.
func (s *storm) rage() {
	faults := []func(time.Duration){
		s.storeDown, s.storeSlow, s.loseAnswers, s.freeze, s.restart, s.replace,
		s.leaveAndReplace, s.cutRegion, s.cutStore, s.cutOneWay, s.operators, s.operators,
	}
	end := time.Now().Add(stormLength)
	for time.Now().Before(end) {
		d := time.Duration(1 + s.rng.Int64N(int64(maxFault)))
		faults[s.rng.IntN(len(faults))](d)
		time.Sleep(time.Duration(s.rng.Int64N(int64(8 * time.Second))))
	}
}

// heal ends all faults and waits for the operators.
func (s *storm) heal() {
	s.store.SetDown(false)
	s.store.SetLatency(0)
	s.store.LoseAnswers(0)
	for _, h := range s.hosts {
		s.net.Freeze(h.ip, false)
	}
	for p := range s.cuts {
		s.net.Cut(p[0], p[1], false)
	}
	clear(s.cuts)
	s.check.Note("all faults heal")
	s.applying.Wait()
}

func (s *storm) any() *host { return s.hosts[s.rng.IntN(len(s.hosts))] }

func (s *storm) storeDown(d time.Duration) {
	s.check.Note("store down for %v", d)
	s.store.SetDown(true)
	time.AfterFunc(d, func() { s.store.SetDown(false) })
}

func (s *storm) storeSlow(d time.Duration) {
	latency := time.Duration(s.rng.Int64N(int64(3 * time.Second)))
	s.check.Note("store slow by %v for %v", latency, d)
	s.store.SetLatency(latency)
	time.AfterFunc(d, func() { s.store.SetLatency(0) })
}

func (s *storm) loseAnswers(time.Duration) {
	n := 1 + s.rng.IntN(20)
	s.check.Note("%d answers of the store get lost", n)
	s.store.LoseAnswers(n)
}

func (s *storm) freeze(d time.Duration) {
	h := s.any()
	s.check.Note("host %s is cut off for %v", h.id, d)
	s.net.Freeze(h.ip, true)
	time.AfterFunc(d, func() { s.net.Freeze(h.ip, false) })
}

func (s *storm) restart(d time.Duration) {
	h := s.any()
	s.net.Freeze(h.ip, false)
	s.crash(h)
	time.Sleep(min(d, 5*time.Second))
	s.start(h.region, h.ip)
}

func (s *storm) replace(d time.Duration) {
	h := s.any()
	s.crash(h)
	time.Sleep(min(d, 5*time.Second))
	s.start(h.region, "")
}

func (s *storm) leaveAndReplace(time.Duration) {
	h := s.any()
	if err := s.leave(h); err != nil {
		s.check.Note("host %s could not give its seats back: %v", h.id, err)
	}
	s.start(h.region, "")
}

// cutRegion cuts a region off from the others; with connacht, the store is on
// its side.
func (s *storm) cutRegion(d time.Duration) {
	r := regions[s.rng.IntN(len(regions))]
	s.check.Note("region %s is cut off for %v", r, d)
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

// cutStore cuts some hosts off from the store, one way or both.
func (s *storm) cutStore(d time.Duration) {
	var pairs [][2]string
	for _, h := range s.hosts {
		if s.rng.IntN(2) == 0 {
			pairs = append(pairs, [2]string{storeIP, h.ip})
		}
		if s.rng.IntN(3) == 0 {
			pairs = append(pairs, [2]string{h.ip, storeIP})
		}
	}
	s.check.Note("cuts to the store for %v: %v", d, pairs)
	s.cut(pairs, d)
}

// cutOneWay cuts many links in one direction.
func (s *storm) cutOneWay(d time.Duration) {
	var pairs [][2]string
	for _, a := range s.ips() {
		for _, b := range s.ips() {
			if a != b && s.rng.IntN(4) == 0 {
				pairs = append(pairs, [2]string{a, b})
			}
		}
	}
	s.check.Note("%d links are cut one way for %v", len(pairs), d)
	s.cut(pairs, d)
}

func (s *storm) cut(pairs [][2]string, d time.Duration) {
	for _, p := range pairs {
		s.net.Cut(p[0], p[1], true)
		s.cuts[p] = true
	}
	time.AfterFunc(d, func() {
		for _, p := range pairs {
			s.net.Cut(p[0], p[1], false)
		}
	})
}

func (s *storm) ips() []string {
	all := []string{storeIP}
	for _, h := range s.hosts {
		all = append(all, h.ip)
	}
	return all
}

func (s *storm) regionOf(ip string) ids.Region {
	for _, h := range s.hosts {
		if h.ip == ip {
			return h.region
		}
	}
	return regions[0]
}

// operators lets two operators race on the same change.
func (s *storm) operators(time.Duration) {
	base, _ := s.any().roll.Newest()
	for n := range 2 {
		h := s.any()
		name := fmt.Sprintf("%s-%d", h.id, n)
		s.applying.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			result, err := h.roll.Apply(ctx, []byte(document(name)), base)
			s.judge(name, base, result, err)
		})
	}
}

// judge checks what an operator was told against the store.
func (s *storm) judge(name string, base ids.Revision, result roller.ApplyResult, err error) {
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
			s.t.Errorf("a conflict with the base itself: %v", err)
		}
	case errors.As(err, &notStored):
		s.applied["notStored"]++
	case errors.As(err, &unresolved):
		s.applied["unresolved"]++
	default:
		s.t.Errorf("apply %s: %v", name, err)
	}
	s.check.Note("apply %s on %d: %+v %v", name, base, result, err)
}

package callers_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// sentRequest is one request of the randomised run and its response.
type sentRequest struct {
	id     string
	method string
	got    response
}

// TestRandomisedOutcomes sends requests of all kinds, over reused connections to the
// targets, while targets, hosts and links fail, and compares each response with the
// targets' records: a notRun must be true, a ran must not be invented, a request that
// is not idempotent must not run twice, and no response may reach another request.
func TestRandomisedOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := seeds.NewRand(t)
		f := newFleet(t, 3, "west", "west", "east")
		defer f.stop()
		f.net.Delay = func(string, string) time.Duration { return time.Millisecond }
		f.hosts[2].steerer.routeToWest()
		end := time.Now().Add(seeds.VirtualDuration(30 * time.Second))
		counts := make(map[string]int)
		for round := 0; time.Now().Before(end); round++ {
			for _, s := range f.requests(t, rng, round) {
				f.checkOutcome(t, s)
				counts[fmt.Sprint(s.got.outcome(), " ", s.got.status)]++
			}
		}
		for _, h := range f.hosts {
			if n := h.dispatcher.inUse.Load(); n != 0 {
				t.Fatalf("%d slots are still held", n)
			}
		}
		t.Logf("responses by outcome: %v", counts)
	})
}

func (f *fleet) requests(t *testing.T, rng *rand.Rand, round int) []*sentRequest {
	t.Helper()
	endFault := f.fault(rng)
	var wg sync.WaitGroup
	list := make([]*sentRequest, 24)
	for i := range list {
		s := &sentRequest{id: fmt.Sprint("r", round, "-", i, "-end"), method: []string{"GET", "POST", "PUT"}[rng.IntN(3)]}
		list[i] = s
		h := f.hosts[rng.IntN(len(f.hosts))]
		pause := time.Duration(rng.IntN(100)) * time.Millisecond
		timeout := time.Duration(5+rng.IntN(400)) * time.Millisecond
		var body io.Reader
		if s.method != "GET" {
			body = strings.NewReader(strings.Repeat("b", rng.IntN(100<<10)))
			if rng.IntN(2) == 0 {
				body = io.MultiReader(body) // of unknown length
			}
		}
		wg.Go(func() {
			time.Sleep(pause)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			s.got = f.do(ctx, h, s.method, "/s/till/x", body, "X-Request-Id", s.id)
		})
	}
	wg.Wait()
	endFault()
	time.Sleep(6 * time.Second) // until every request has ended: the service's timeout is 5 s
	return list
}

func (f *fleet) checkOutcome(t *testing.T, s *sentRequest) {
	t.Helper()
	runs := 0
	for _, tg := range f.targets {
		runs += tg.Stats().RunsByID[s.id]
	}
	switch {
	case s.method == "POST" && runs > 1:
		t.Fatalf("%s %s ran %d times", s.method, s.id, runs)
	case s.got.err != nil:
	case s.got.outcome() == refusal.NotRun && runs != 0:
		t.Fatalf("%s %s ran %d times, but got notRun: %d %s", s.method, s.id, runs, s.got.status, s.got.body)
	case s.got.outcome() == refusal.Ran && runs == 0:
		t.Fatalf("%s %s did not run, but got ran: %d %s", s.method, s.id, s.got.status, s.got.body)
	case s.got.status == 200 && !strings.Contains(s.got.body, s.id):
		t.Fatalf("%s %s got the response of another request: %s", s.method, s.id, s.got.body)
	case s.got.outcome() == "":
		t.Fatalf("%s %s got no outcome: %d %s", s.method, s.id, s.got.status, s.got.body)
	}
}

package callers_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// pay sends a request with an idempotency key on the at-most-once route.
func (f *fleet) pay(ctx context.Context, h *host, key, body string, header ...string) response {
	return f.do(ctx, h, "POST", "/s/till/pay/card", strings.NewReader(body), append([]string{"Idempotency-Key", key}, header...)...)
}

// runsOf returns how often the targets ran a request with the key.
func (f *fleet) runsOf(key string) int {
	n := 0
	for _, tg := range f.targets {
		n += tg.Stats().RunsByKey[key]
	}
	return n
}

func TestOnceIsReplayedAtEveryHost(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, is *is.I, f *fleet) {
		f.hosts[2].steerer.routeToWest()
		for _, owner := range f.hosts { // the third runs its keys in another region
			key := owner.key("order.1")
			first := f.pay(t.Context(), f.hosts[0], key, "blazer")
			is.Equal(first.status, 200)
			is.Equal(first.outcome(), refusal.Ran)
			is.Equal(first.header.Get("Gypsum-Replayed") == "", true)
			for _, h := range f.hosts {
				again := f.pay(t.Context(), h, key, "blazer")
				is.Equal(again.status, 200)
				is.Equal(again.body, first.body)
				is.Equal(again.header.Get("Gypsum-Replayed"), "true")
			}
			is.Equal(f.runsOf(key), 1)
			other := f.pay(t.Context(), f.hosts[1], key, "two blazers")
			is.Equal(other.status, 422)
			is.Equal(other.code(), refusal.CodeIdempotencyKeyReused)
			stranger := f.pay(t.Context(), f.hosts[1], key, "blazer", "Authorization", "Bearer "+otherKey)
			is.Equal(stranger.status, 422)
			is.True(!strings.Contains(stranger.body, first.body))
			is.Equal(f.runsOf(key), 1)
		}
	})
}

func TestOnceJoinsTheFirstArrival(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, is *is.I, f *fleet) {
		key := f.hosts[0].key("order")
		f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.SlowFactor = 50 })
		f.targets[1].SetBehaviour(func(b *target.Behaviour) { b.SlowFactor = 50 })
		responses := make([]response, 6)
		var wg sync.WaitGroup
		for i := range responses {
			wg.Go(func() { responses[i] = f.pay(t.Context(), f.hosts[i%3], key, "blazer") })
		}
		wg.Wait()
		for _, resp := range responses {
			is.Equal(resp.status, 200)
			is.Equal(resp.body, responses[0].body)
		}
		is.Equal(f.runsOf(key), 1)
	})
}

func TestOnceContinuesAfterCallerDisconnects(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.SlowFactor = 50 })
		for _, h := range f.hosts[:2] {
			key := f.hosts[0].key("order-" + h.ip)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			resp := f.pay(ctx, h, key, "blazer")
			cancel()
			is.True(resp.err != nil) // the caller disconnected
			again := f.pay(t.Context(), f.hosts[1], key, "blazer")
			is.Equal(again.status, 200)
			is.Equal(f.runsOf(key), 1)
		}
	})
}

func TestOnceAtEachStageOfFailure(t *testing.T) {
	for _, stage := range []target.Stage{
		target.StageBeforeReading, target.StageMidBody, target.StageBeforeResponse, target.StageMidResponse, target.StageAfterResponse,
	} {
		withFleet(t, 2, func(t *testing.T, is *is.I, f *fleet) {
			key := f.hosts[0].key("order")
			for _, tg := range f.targets {
				tg.SetBehaviour(func(b *target.Behaviour) { b.FailAt = stage })
			}
			first := f.pay(t.Context(), f.hosts[1], key, "blazer")
			is.True(first.outcome() != refusal.NotRun)
			for _, tg := range f.targets {
				tg.SetBehaviour(func(b *target.Behaviour) { b.FailAt = target.StageNone })
			}
			again := f.pay(t.Context(), f.hosts[0], key, "blazer")
			is.Equal(again.outcome(), first.outcome()) // the outcome never changes
			is.True(f.runsOf(key) <= 1)
			if first.outcome() == refusal.Ran {
				is.Equal(f.runsOf(key), 1)
			}
		})
	}
}

func TestOnceMayRunAgainWhenItProvablyDidNot(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		key := f.hosts[0].key("order")
		f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.ShedShare = 1 })
		resp := f.pay(t.Context(), f.hosts[1], key, "blazer")
		is.Equal(resp.code(), refusal.CodeTargetShed)
		is.Equal(resp.outcome(), refusal.NotRun)
		f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.ShedShare = 0 })
		resp = f.pay(t.Context(), f.hosts[1], key, "blazer")
		is.Equal(resp.status, 200)
		is.Equal(f.runsOf(key), 1)
	})
}

func TestOnceWithoutItsOwner(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		owner, other := f.hosts[0], f.hosts[1]
		key, fresh := owner.key("order"), owner.key("fresh")
		is.Equal(f.pay(t.Context(), owner, key, "blazer").status, 200)
		// An owner whose lease expired while it was paused must run nothing, and report
		// Unknown for what it may have run before.
		owner.lease.lost.Store(true)
		for _, h := range []*host{owner, other} {
			resp := f.pay(t.Context(), h, key, "blazer")
			is.Equal(resp.code(), refusal.CodeNotServing)
			is.Equal(resp.outcome(), refusal.Unknown)
			resp = f.pay(t.Context(), h, fresh, "blazer")
			is.Equal(resp.outcome(), refusal.NotRun)
		}
		f.net.Kill(owner.ip)
		for _, k := range []string{key, fresh, string(ids.NewInstance()) + "-1.x"} {
			resp := f.pay(t.Context(), other, k, "blazer")
			is.Equal(resp.code(), refusal.CodePeerUnreachable)
			is.Equal(resp.outcome(), refusal.Unknown) // only the owner knows that it did not run
		}
		is.Equal(f.runsOf(key), 1)
		is.Equal(f.runsOf(fresh), 0)
	})
}

func TestInvalidIdempotencyKeysAreRefused(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		for _, key := range []string{
			"order", "x-1.order", string(h.instance) + ".order", string(h.instance) + "-0.order",
			string(h.instance) + "-99.order", string(h.instance) + "-01.order", h.handler.IdempotencyPrefix() + ".", h.handler.IdempotencyPrefix() + ".a b",
		} {
			resp := f.pay(t.Context(), h, key, "blazer")
			is.Equal(resp.status, 400)
			is.Equal(resp.code(), refusal.CodeIdempotencyPrefixInvalid)
			is.Equal(resp.outcome(), refusal.NotRun)
		}
		is.Equal(f.targets[0].Stats().Arrived, 0)
	})
}

func TestOnceBodyTruncatedByCaller(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		key := f.hosts[0].key("order")
		for _, h := range f.hosts[:2] {
			f.raw(t, h, "POST /s/till/pay HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\nAuthorization: Bearer "+goodKey+
				"\r\nIdempotency-Key: "+key+"\r\n\r\nbla")
		}
		is.Equal(f.runsOf(key), 0)
		is.Equal(f.pay(t.Context(), f.hosts[0], key, "blazer").status, 200)
	})
}

func TestOnceResponseTooLargeToRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, "west")
		defer f.stop()
		tg := target.New(target.Config{MinResponseBytes: 1 << 20})
		tg.Start(f.listen(t, f.targetAddress(0)))
		f.targets = append(f.targets, tg)
		key := f.hosts[0].key("order")
		resp := f.pay(t.Context(), f.hosts[0], key, "blazer")
		is.NoErr(resp.err)
		is.True(len(resp.body) >= 1<<20) // the first arrival gets the whole response
		resp = f.pay(t.Context(), f.hosts[0], key, "blazer")
		is.Equal(resp.status, http.StatusConflict)
		is.Equal(resp.code(), refusal.CodeIdempotencyAnswerDropped)
		is.Equal(resp.outcome(), refusal.Ran)
		is.Equal(f.runsOf(key), 1)
	})
}

// payment is one request of the randomised run, with all responses to it.
type payment struct {
	owner     *host
	key       string
	body      string
	responses []response
	// okBody is the body of the successful responses, which must be identical.
	okBody string
}

// TestRandomisedOnce sends each payment several times to random hosts while targets,
// hosts, links and leases fail. No payment may run twice, each reported outcome must
// agree with the targets' records, and no response may belong to another payment. The
// outcome of a crashed host's keys stays unknown.
func TestRandomisedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := seeds.NewRand(t)
		f := newFleet(t, 4, "west", "west", "west", "east")
		defer f.stop()
		f.net.Delay = func(string, string) time.Duration { return time.Millisecond }
		f.hosts[3].steerer.routeToWest()
		end := time.Now().Add(seeds.VirtualDuration(30 * time.Second))
		counts := make(map[string]int)
		for round := 0; time.Now().Before(end); round++ {
			f.payments(t, rng, round, counts)
		}
		t.Logf("responses by outcome: %v", counts)
	})
}

// payments runs one round: several payments, each sent several times at once, during
// one fault.
func (f *fleet) payments(t *testing.T, rng *rand.Rand, round int, counts map[string]int) {
	t.Helper()
	startFault := f.fault
	if round%4 == 3 {
		startFault = func(rng *rand.Rand) func() { return f.crashOne(t, rng) }
	}
	endFault := startFault(rng)
	var wg sync.WaitGroup
	list := make([]*payment, 8)
	for i := range list {
		owner := f.hosts[rng.IntN(len(f.hosts))]
		p := &payment{owner: owner, key: owner.key(fmt.Sprint("order-", round, "-", i)), body: fmt.Sprint("amount ", rng.IntN(1000))}
		list[i] = p
		tries := make([]*host, 1+rng.IntN(4))
		pauses := make([]time.Duration, len(tries))
		timeout := make([]time.Duration, len(tries))
		for j := range tries {
			tries[j] = f.hosts[rng.IntN(len(f.hosts))]
			pauses[j] = time.Duration(rng.IntN(80)) * time.Millisecond
			timeout[j] = time.Duration(1+rng.IntN(400)) * time.Millisecond
		}
		p.responses = make([]response, len(tries))
		for j, h := range tries {
			wg.Go(func() {
				time.Sleep(pauses[j])
				ctx, cancel := context.WithTimeout(t.Context(), timeout[j])
				defer cancel()
				p.responses[j] = f.pay(ctx, h, p.key, p.body, "X-Request-Id", p.key)
			})
		}
	}
	wg.Wait()
	endFault()
	time.Sleep(6 * time.Second) // until every run has ended: the service's timeout is 5 s
	for _, p := range list {
		p.responses = append(p.responses, f.pay(t.Context(), f.hosts[0], p.key, p.body, "X-Request-Id", p.key))
		f.checkPayment(t, p)
		for _, resp := range p.responses {
			counts[fmt.Sprint(resp.outcome(), " ", resp.status)]++
		}
	}
}

// crashOne crashes one host during a round and returns a function that starts a new one
// in its place.
func (f *fleet) crashOne(t *testing.T, rng *rand.Rand) func() {
	t.Helper()
	i := rng.IntN(len(f.hosts))
	h := f.hosts[i]
	timer := time.AfterFunc(time.Duration(rng.IntN(60))*time.Millisecond, func() { f.crash(h) })
	return func() {
		if timer.Stop() {
			f.crash(h)
		}
		f.replace(t, i)
	}
}

// fault starts one fault and returns a function that ends it.
func (f *fleet) fault(rng *rand.Rand) func() {
	tg := f.targets[rng.IntN(len(f.targets))]
	h := f.hosts[rng.IntN(len(f.hosts))]
	switch rng.IntN(6) {
	case 0:
		stage := target.Stage(1 + rng.IntN(5))
		tg.SetBehaviour(func(b *target.Behaviour) { b.FailAt = stage })
		return func() { tg.SetBehaviour(func(b *target.Behaviour) { b.FailAt = target.StageNone }) }
	case 1:
		tg.SetBehaviour(func(b *target.Behaviour) { b.ShedShare = 0.5 })
		return func() { tg.SetBehaviour(func(b *target.Behaviour) { b.ShedShare = 0 }) }
	case 2:
		h.lease.lost.Store(true)
		return func() { h.lease.lost.Store(false) }
	case 3:
		f.net.SetFrozen(h.ip, true)
		return func() { f.net.SetFrozen(h.ip, false) }
	case 4:
		tg.SetBehaviour(func(b *target.Behaviour) { b.SlowFactor = 20 })
		return func() { tg.SetBehaviour(func(b *target.Behaviour) { b.SlowFactor = 0 }) }
	default:
		other := f.hosts[rng.IntN(len(f.hosts))]
		f.net.SetCut(h.ip, other.ip, true)
		return func() { f.net.SetCut(h.ip, other.ip, false) }
	}
}

// checkPayment compares all responses to a payment with the targets' records.
func (f *fleet) checkPayment(t *testing.T, p *payment) {
	t.Helper()
	runs := f.runsOf(p.key)
	if runs > 1 {
		t.Fatalf("payment %s ran %d times", p.key, runs)
	}
	last := p.responses[len(p.responses)-1]
	for i, resp := range p.responses {
		if resp.err != nil {
			continue
		}
		switch {
		case resp.outcome() == refusal.Ran && runs != 1:
			t.Fatalf("payment %s did not run, but response %d says that it did: %d %s", p.key, i, resp.status, resp.body)
		case resp.outcome() == refusal.NotRun && i == len(p.responses)-1 && runs != 0:
			t.Fatalf("payment %s ran, but the last response says that it did not: %d %s", p.key, resp.status, resp.body)
		case resp.status != http.StatusOK:
		case !strings.Contains(resp.body, p.key):
			t.Fatalf("payment %s got the response of another one: %s", p.key, resp.body)
		case p.okBody != "" && p.okBody != resp.body:
			t.Fatalf("payment %s got two different responses", p.key)
		default:
			p.okBody = resp.body
		}
	}
	if p.owner.crashed.Load() {
		if last.outcome() != refusal.Unknown {
			t.Fatalf("payment %s of a crashed owner must be unknown, but got: %d %s", p.key, last.status, last.body)
		}
		return
	}
	if p.okBody != "" && last.body != p.okBody {
		t.Fatalf("payment %s got a response that was not replayed: %d %s", p.key, last.status, last.body)
	}
}

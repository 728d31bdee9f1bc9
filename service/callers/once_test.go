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

// pay sends one payment with an idempotency key.
func (f *fleet) pay(ctx context.Context, h *host, key, body string, header ...string) answer {
	return f.do(ctx, h, "POST", "/s/till/pay/card", strings.NewReader(body), append([]string{"Idempotency-Key", key}, header...)...)
}

// runsOf returns how often the targets ran a key.
func (f *fleet) runsOf(key string) int {
	n := 0
	for _, tg := range f.targets {
		n += tg.Stats().RunsByKey[key]
	}
	return n
}

func TestOnceIsReplayedAtEveryHost(t *testing.T) {
	run(t, 2, func(t *testing.T, is *is.I, f *fleet) {
		f.hosts[2].steer.toWest()
		for _, owner := range f.hosts { // The third runs its keys in another region.
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
			is.Equal(other.code(), refusal.CodeIdempotencyReused)
			stranger := f.pay(t.Context(), f.hosts[1], key, "blazer", "Authorization", "Bearer "+otherKey)
			is.Equal(stranger.status, 422)
			is.True(!strings.Contains(stranger.body, first.body))
			is.Equal(f.runsOf(key), 1)
		}
	})
}

func TestOnceJoinsTheFirstArrival(t *testing.T) {
	run(t, 2, func(t *testing.T, is *is.I, f *fleet) {
		key := f.hosts[0].key("order")
		f.targets[0].Set(func(b *target.Behaviour) { b.SlowBy = 50 })
		f.targets[1].Set(func(b *target.Behaviour) { b.SlowBy = 50 })
		answers := make([]answer, 6)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() { answers[i] = f.pay(t.Context(), f.hosts[i%3], key, "blazer") })
		}
		wg.Wait()
		for _, a := range answers {
			is.Equal(a.status, 200)
			is.Equal(a.body, answers[0].body)
		}
		is.Equal(f.runsOf(key), 1)
	})
}

func TestOnceOutlivesItsCaller(t *testing.T) {
	run(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		f.targets[0].Set(func(b *target.Behaviour) { b.SlowBy = 50 })
		for _, h := range f.hosts[:2] {
			key := f.hosts[0].key("order-" + h.ip)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			a := f.pay(ctx, h, key, "blazer")
			cancel()
			is.True(a.err != nil) // the caller left
			again := f.pay(t.Context(), f.hosts[1], key, "blazer")
			is.Equal(again.status, 200)
			is.Equal(f.runsOf(key), 1)
		}
	})
}

func TestOnceAtEachStageOfFailure(t *testing.T) {
	for _, stage := range []target.Stage{
		target.StageBeforeReading, target.StageMidBody, target.StageBeforeAnswer, target.StageMidAnswer, target.StageAfter,
	} {
		run(t, 2, func(t *testing.T, is *is.I, f *fleet) {
			key := f.hosts[0].key("order")
			for _, tg := range f.targets {
				tg.Set(func(b *target.Behaviour) { b.FailAt = stage })
			}
			first := f.pay(t.Context(), f.hosts[1], key, "blazer")
			is.True(first.outcome() != refusal.NotRun)
			for _, tg := range f.targets {
				tg.Set(func(b *target.Behaviour) { b.FailAt = target.StageNone })
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
	run(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		key := f.hosts[0].key("order")
		f.targets[0].Set(func(b *target.Behaviour) { b.ShedShare = 1 })
		a := f.pay(t.Context(), f.hosts[1], key, "blazer")
		is.Equal(a.code(), refusal.CodeTargetShed)
		is.Equal(a.outcome(), refusal.NotRun)
		f.targets[0].Set(func(b *target.Behaviour) { b.ShedShare = 0 })
		a = f.pay(t.Context(), f.hosts[1], key, "blazer")
		is.Equal(a.status, 200)
		is.Equal(f.runsOf(key), 1)
	})
}

func TestOnceWithoutItsOwner(t *testing.T) {
	run(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		owner, other := f.hosts[0], f.hosts[1]
		key, fresh := owner.key("order"), owner.key("fresh")
		is.Equal(f.pay(t.Context(), owner, key, "blazer").status, 200)
		// A paused owner finds its lease lapsed: it runs nothing, and tells the
		// truth of what it ran before.
		owner.lease.lost.Store(true)
		for _, h := range []*host{owner, other} {
			a := f.pay(t.Context(), h, key, "blazer")
			is.Equal(a.code(), refusal.CodeNotServing)
			is.Equal(a.outcome(), refusal.Unknown)
			a = f.pay(t.Context(), h, fresh, "blazer")
			is.Equal(a.outcome(), refusal.NotRun)
		}
		f.net.Kill(owner.ip)
		for _, k := range []string{key, fresh, string(ids.NewInstance()) + "-1.x"} {
			a := f.pay(t.Context(), other, k, "blazer")
			is.Equal(a.code(), refusal.CodePeerUnreachable)
			is.Equal(a.outcome(), refusal.Unknown) // nobody can prove that it did not run
		}
		is.Equal(f.runsOf(key), 1)
		is.Equal(f.runsOf(fresh), 0)
	})
}

func TestOnceKeysThatAreNone(t *testing.T) {
	run(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		for _, key := range []string{
			"order", "x-1.order", string(h.instance) + ".order", string(h.instance) + "-0.order",
			string(h.instance) + "-99.order", string(h.instance) + "-01.order", h.handler.IdempotencyPrefix() + ".", h.handler.IdempotencyPrefix() + ".a b",
		} {
			a := f.pay(t.Context(), h, key, "blazer")
			is.Equal(a.status, 400)
			is.Equal(a.code(), refusal.CodeIdempotencyPrefix)
			is.Equal(a.outcome(), refusal.NotRun)
		}
		is.Equal(f.targets[0].Stats().Arrived, 0)
	})
}

func TestOnceBodyCutByTheCaller(t *testing.T) {
	run(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		key := f.hosts[0].key("order")
		for _, h := range f.hosts[:2] {
			f.raw(t, h, "POST /s/till/pay HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\nAuthorization: Bearer "+goodKey+
				"\r\nIdempotency-Key: "+key+"\r\n\r\nbla")
		}
		is.Equal(f.runsOf(key), 0)
		is.Equal(f.pay(t.Context(), f.hosts[0], key, "blazer").status, 200)
	})
}

func TestOnceAnswerTooLargeToKeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, "west")
		defer f.stop()
		tg := target.New(target.Config{AnswerBytes: 1 << 20})
		tg.Start(f.listen(t, f.targetAddress(0)))
		f.targets = append(f.targets, tg)
		key := f.hosts[0].key("order")
		a := f.pay(t.Context(), f.hosts[0], key, "blazer")
		is.NoErr(a.err)
		is.True(len(a.body) >= 1<<20) // the first arrival gets it whole
		a = f.pay(t.Context(), f.hosts[0], key, "blazer")
		is.Equal(a.status, http.StatusConflict)
		is.Equal(a.code(), refusal.CodeIdempotencyDropped)
		is.Equal(a.outcome(), refusal.Ran)
		is.Equal(f.runsOf(key), 1)
	})
}

// payment is one order of the randomised run, with all that was told of it.
type payment struct {
	owner  *host
	key    string
	body   string
	told   []answer
	answer string
}

// TestRandomisedOnce sends payments again and again to any host while targets,
// hosts, links and leases fail. No payment may run twice, no answer may lie
// about the targets' own records, and none may belong to another payment. The keys of a crashed host stay unknown.
func TestRandomisedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := seeds.Source(t)
		f := newFleet(t, 4, "west", "west", "west", "east")
		defer f.stop()
		f.net.Delay = func(string, string) time.Duration { return time.Millisecond }
		f.hosts[3].steer.toWest()
		end := time.Now().Add(seeds.Length(30 * time.Second))
		told := make(map[string]int)
		for round := 0; time.Now().Before(end); round++ {
			f.payments(t, rng, round, told)
		}
		t.Logf("answers by outcome: %v", told)
	})
}

// payments runs one round: some payments, each tried several times at once,
// with one fault.
func (f *fleet) payments(t *testing.T, rng *rand.Rand, round int, told map[string]int) {
	t.Helper()
	start := f.fault
	if round%4 == 3 {
		start = func(rng *rand.Rand) func() { return f.crashOne(t, rng) }
	}
	heal := start(rng)
	var wg sync.WaitGroup
	list := make([]*payment, 8)
	for i := range list {
		owner := f.hosts[rng.IntN(len(f.hosts))]
		p := &payment{owner: owner, key: owner.key(fmt.Sprint("order-", round, "-", i)), body: fmt.Sprint("amount ", rng.IntN(1000))}
		list[i] = p
		tries := make([]*host, 1+rng.IntN(4))
		pauses := make([]time.Duration, len(tries))
		patience := make([]time.Duration, len(tries))
		for j := range tries {
			tries[j] = f.hosts[rng.IntN(len(f.hosts))]
			pauses[j] = time.Duration(rng.IntN(80)) * time.Millisecond
			patience[j] = time.Duration(1+rng.IntN(400)) * time.Millisecond
		}
		p.told = make([]answer, len(tries))
		for j, h := range tries {
			wg.Go(func() {
				time.Sleep(pauses[j])
				ctx, cancel := context.WithTimeout(t.Context(), patience[j])
				defer cancel()
				p.told[j] = f.pay(ctx, h, p.key, p.body, "X-Request-Id", p.key)
			})
		}
	}
	wg.Wait()
	heal()
	time.Sleep(6 * time.Second) // Every run is over: the service's time-out is 5 s.
	for _, p := range list {
		p.told = append(p.told, f.pay(t.Context(), f.hosts[0], p.key, p.body, "X-Request-Id", p.key))
		f.check(t, p)
		for _, a := range p.told {
			told[fmt.Sprint(a.outcome(), " ", a.status)]++
		}
	}
}

// crashOne crashes one host in the middle of a round and returns the function
// that starts a new one in its place.
func (f *fleet) crashOne(t *testing.T, rng *rand.Rand) func() {
	t.Helper()
	i := rng.IntN(len(f.hosts))
	h := f.hosts[i]
	crashed := time.AfterFunc(time.Duration(rng.IntN(60))*time.Millisecond, func() { f.crash(h) })
	return func() {
		if crashed.Stop() {
			f.crash(h)
		}
		f.replace(t, i)
	}
}

// fault starts one fault and returns its end.
func (f *fleet) fault(rng *rand.Rand) func() {
	tg := f.targets[rng.IntN(len(f.targets))]
	h := f.hosts[rng.IntN(len(f.hosts))]
	switch rng.IntN(6) {
	case 0:
		stage := target.Stage(1 + rng.IntN(5))
		tg.Set(func(b *target.Behaviour) { b.FailAt = stage })
		return func() { tg.Set(func(b *target.Behaviour) { b.FailAt = target.StageNone }) }
	case 1:
		tg.Set(func(b *target.Behaviour) { b.ShedShare = 0.5 })
		return func() { tg.Set(func(b *target.Behaviour) { b.ShedShare = 0 }) }
	case 2:
		h.lease.lost.Store(true)
		return func() { h.lease.lost.Store(false) }
	case 3:
		f.net.Freeze(h.ip, true)
		return func() { f.net.Freeze(h.ip, false) }
	case 4:
		tg.Set(func(b *target.Behaviour) { b.SlowBy = 20 })
		return func() { tg.Set(func(b *target.Behaviour) { b.SlowBy = 0 }) }
	default:
		other := f.hosts[rng.IntN(len(f.hosts))]
		f.net.Cut(h.ip, other.ip, true)
		return func() { f.net.Cut(h.ip, other.ip, false) }
	}
}

// check compares all that was told of a payment with the targets' records.
func (f *fleet) check(t *testing.T, p *payment) {
	t.Helper()
	runs := f.runsOf(p.key)
	if runs > 1 {
		t.Fatalf("payment %s ran %d times", p.key, runs)
	}
	last := p.told[len(p.told)-1]
	for i, a := range p.told {
		if a.err != nil {
			continue
		}
		switch {
		case a.outcome() == refusal.Ran && runs != 1:
			t.Fatalf("payment %s did not run, but answer %d says so: %d %s", p.key, i, a.status, a.body)
		case a.outcome() == refusal.NotRun && i == len(p.told)-1 && runs != 0:
			t.Fatalf("payment %s ran, but the last answer denies it: %d %s", p.key, a.status, a.body)
		case a.status != http.StatusOK:
		case !strings.Contains(a.body, p.key):
			t.Fatalf("payment %s got another one's answer: %s", p.key, a.body)
		case p.answer != "" && p.answer != a.body:
			t.Fatalf("payment %s got two answers", p.key)
		default:
			p.answer = a.body
		}
	}
	if p.owner.dead.Load() {
		if last.outcome() != refusal.Unknown {
			t.Fatalf("payment %s of a dead owner was told: %d %s", p.key, last.status, last.body)
		}
		return
	}
	if p.answer != "" && last.body != p.answer {
		t.Fatalf("payment %s was answered, and its answer is lost: %d %s", p.key, last.status, last.body)
	}
}

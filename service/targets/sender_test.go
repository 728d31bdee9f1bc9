package targets_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/service/targets"
)

const address = "10.1.0.1:80"

// fixture is a simulated target and a Sender that reaches it over an in-memory network.
type fixture struct {
	network *memnet.Network
	target  *target.Target
	sender  *targets.Sender
}

func newFixture(t *testing.T, cfg target.Config) *fixture {
	t.Helper()
	f := &fixture{network: &memnet.Network{}, target: target.New(cfg)}
	f.listen(t)
	f.sender = targets.NewSender(targets.SenderConfig{Dial: f.network.Dialer("10.0.0.1")})
	return f
}

func (f *fixture) listen(t *testing.T) {
	t.Helper()
	l, err := f.network.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	f.target.Start(l)
}

func (f *fixture) close() {
	f.sender.Close()
	f.target.Crash()
}

// send sends a POST request without a body but with an idempotency key, which net/http
// would retry by itself.
func (f *fixture) send(ctx context.Context, key string) (targets.Trace, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://x/pay", nil)
	if err != nil {
		return targets.Trace{}, err
	}
	r.Header.Set(target.HeaderIdempotencyKey, key)
	resp, trace, err := f.sender.Send(ctx, address, r)
	if err != nil {
		return trace, err
	}
	_, err = io.ReadAll(resp.Body)
	_ = resp.Body.Close() // it was read to the end
	return trace, err
}

func TestKeyedRequestIsSentOnceOverBrokenConnection(t *testing.T) {
	for _, stage := range []target.Stage{target.StageBeforeReading, target.StageBeforeResponse} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, target.Config{Name: "a"})
			defer f.close()
			_, err := f.send(t.Context(), "first")
			is.NoErr(err)
			f.target.SetBehaviour(func(b *target.Behaviour) { b.FailAt, b.FailCount = stage, 1 })
			trace, err := f.send(t.Context(), "k")
			is.True(err != nil) // the broken connection is reported
			is.True(trace.Sent) // and also that the request may have run
			is.True(trace.Reused)
			is.True(f.target.Stats().RunsByKey["k"] <= 1)
			is.Equal(f.target.Stats().Arrived, 2) // net/http did not retry
		})
	}
}

func TestNothingIsSentToCrashedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, target.Config{Name: "a"})
		defer f.close()
		f.target.Crash()
		trace, err := f.send(t.Context(), "k")
		is.True(err != nil)
		is.Equal(trace, targets.Trace{})
		f.listen(t)
		_, err = f.send(t.Context(), "k")
		is.NoErr(err)
	})
}

func TestUnreachableTargetFailsAfterConnectTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, target.Config{Name: "a"})
		defer f.close()
		f.network.SetCut("10.0.0.1", "10.1.0.1", true)
		start := time.Now()
		trace, err := f.send(t.Context(), "k")
		is.True(err != nil)
		is.Equal(trace, targets.Trace{})
		is.Equal(time.Since(start), targets.DefaultConnectTimeout)
	})
}

func TestDeadlineAndCancellationReachTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, target.Config{Name: "a"})
		defer f.close()
		f.target.SetBehaviour(func(b *target.Behaviour) { b.SlowFactor = 1000 })
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		trace, err := f.send(ctx, "k")
		is.True(err != nil)
		is.True(trace.Sent)
		time.Sleep(time.Millisecond)
		s := f.target.Stats()
		is.Equal(s.Busy, 0) // the target stopped
		is.Equal(s.Seen[0].Header.Get(target.HeaderTimeout), "200")
	})
}

func TestConnectionLimitIsPerService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(t, target.Config{ServiceTime: func(*rand.Rand) time.Duration { return time.Second }})
		defer f.close()
		other := config.Service{Name: "small", Connections: 2, Upstreams: []config.Upstream{{Address: "10.0.9.9:80"}}}
		mine := config.Service{Name: "large", Connections: 8, Upstreams: []config.Upstream{{Address: address}}}
		f.sender.Configure(config.NewSnapshot(1, &config.Document{Services: []config.Service{other, mine}}), 2)
		var wg sync.WaitGroup
		for i := range 6 {
			wg.Go(func() {
				_, err := f.send(t.Context(), fmt.Sprint("k", i))
				is.NoErr(err)
			})
		}
		wg.Wait()
		is.Equal(f.target.Stats().MaxBusy, 4) // half of the limit of its own service, not of the smallest one
	})
}

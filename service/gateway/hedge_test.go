package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/attestor"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
	"gypsumbeam.example/gypsumbeam/pkg/hedger"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
	targetsender "gypsumbeam.example/gypsumbeam/service/targets"
)

// hedgeDelay is the time after which eagerHedger lets a request be hedged.
const hedgeDelay = 20 * time.Millisecond

// eagerHedger is a Hedger with a fixed delay.
type eagerHedger struct{ hedger.Hedger }

func (h *eagerHedger) Delay(string) (time.Duration, bool) { return hedgeDelay, h.Share() > 0 }

// withHedging is like withHandler, with a share of hedges of 0.2, ten of which are saved.
func withHedging(t *testing.T, replies []reply, f func(env *environment, h *gateway.Handler)) {
	t.Helper()
	withHandler(t, replies, func(env *environment, h *gateway.Handler) {
		e := &eagerHedger{hedger.Hedger{Share: func() float64 { return 0.2 }}}
		for range 100 {
			e.RecordRequest("a")
		}
		env.Hedger = e
		f(env, h)
		synctest.Wait()
		is.New(t).Equal(len(env.balancer.InFlight()), 0) // each send has ended
	})
}

// callAndWait is call, and waits until all sends have ended or wait for something.
func callAndWait(h http.Handler, method, path, body string, fields ...string) *httptest.ResponseRecorder {
	rec := call(h, method, path, body, fields...)
	synctest.Wait()
	return rec
}

// late is a reply that comes after a time. If the send is cancelled before, it writes the time
// since to cancelled.
func late(d time.Duration, then reply, cancelled *atomic.Int64) reply {
	return func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
		start := time.Now()
		select {
		case <-time.After(d):
			return then(ctx, r)
		case <-ctx.Done():
			cancelled.Store(int64(time.Since(start)))
			return nil, true, ctx.Err()
		}
	}
}

// trickle is a response of 100 KiB that is sent little by little, until its send is cancelled.
func trickle() reply {
	return func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
		resp, wrote, err := respond(http.StatusOK, "")(ctx, r)
		resp.ContentLength = 100 << 10
		resp.Body = io.NopCloser(&trickling{ctx, strings.NewReader(strings.Repeat("x", 100<<10))})
		return resp, wrote, err
	}
}

type trickling struct {
	ctx context.Context
	r   io.Reader
}

func (b *trickling) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	if b.ctx.Err() != nil {
		return 0, b.ctx.Err()
	}
	return b.r.Read(p[:min(len(p), 8<<10)])
}

// Guards against a slow target that delays its requests, one that goes on after another one
// answered, and a winner that is cut off with the loser.
func TestSlowTargetIsOvertaken(t *testing.T) {
	for name, winner := range map[string]reply{"short": respond(http.StatusOK, "second"), "long": trickle()} {
		t.Run(name, func(t *testing.T) {
			var cancelled atomic.Int64
			withHedging(t, []reply{late(400*time.Millisecond, respond(http.StatusOK, "first"), &cancelled), late(10*time.Millisecond, winner, &cancelled)},
				func(env *environment, h *gateway.Handler) {
					is := is.New(t)
					rec := callAndWait(h, http.MethodGet, "/read/1", "")
					is.Equal(rec.Code, http.StatusOK)
					is.Equal(rec.Body.Len(), map[string]int{"short": 6, "long": 100 << 10}[name])
					is.Equal(time.Duration(cancelled.Load()), hedgeDelay+10*time.Millisecond)
					is.True(env.sender.sends[0].Header.Get("Target") != env.sender.sends[1].Header.Get("Target"))
					record := env.records[0]
					is.Equal(record.Hedge, gateway.HedgeWon)
					is.Equal(len(record.Attempts), 2)
					is.Equal(record.Attempts[0].Result, "overtaken")
					is.True(!record.Attempts[0].Hedge)
					is.True(record.Attempts[1].Hedge)
				})
		})
	}
}

// Guards against a loser that goes on when the first target answers after all, also with a body
// that was sent to both.
func TestHedgeIsOvertaken(t *testing.T) {
	var cancelled atomic.Int64
	withHedging(t, []reply{late(50*time.Millisecond, respond(http.StatusOK, "first"), nil), late(time.Second, nil, &cancelled)},
		func(env *environment, h *gateway.Handler) {
			is := is.New(t)
			is.Equal(callAndWait(h, http.MethodPost, "/read/1", "order").Body.String(), "first")
			is.Equal(time.Duration(cancelled.Load()), 30*time.Millisecond)
			is.Equal(env.sender.bodies, []string{"order", "order"})
			is.Equal(env.records[0].Hedge, gateway.HedgeLost)
			is.Equal(env.records[0].Attempts[0].Result, "overtaken")
			is.True(env.records[0].Attempts[0].Hedge)
		})
}

// Guards against a connection of the loser that stays open, so that its target goes on.
func TestConnectionOfLoserIsClosed(t *testing.T) {
	withHedging(t, nil, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		var dials, closedAt atomic.Int64
		start := time.Now()
		sender := targetsender.NewSender(targetsender.SenderConfig{OmitTimeout: true, Dial: func(context.Context, string) (net.Conn, error) {
			slow := dials.Add(1) == 1
			return pipeTo(func(c net.Conn) {
				r := bufio.NewReader(c)
				req, err := http.ReadRequest(r)
				if err == nil && !slow {
					_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nStamp: s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Id"))
				}
				_, rest := r.ReadByte()
				if slow && err == nil && errors.Is(rest, io.EOF) {
					closedAt.Store(int64(time.Since(start)))
				}
			}), nil
		}})
		defer sender.Close()
		env.sender.replies = []reply{func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
			return sender.Do(ctx, r.URL.Host, r)
		}}
		is.Equal(callAndWait(h, http.MethodGet, "/read/1", "").Code, http.StatusOK)
		is.Equal(time.Duration(closedAt.Load()), hedgeDelay)
	})
}

// Guards against second sends where there must be none.
func TestNoHedge(t *testing.T) {
	change := func(f func(r *router.Route)) func(*environment) {
		return func(env *environment) {
			d := document()
			for _, r := range d.Routes {
				f(r)
			}
			env.router.Store(router.New(d))
		}
	}
	for name, c := range map[string]struct {
		path, denied string
		change       func(env *environment)
	}{
		"off":            {"/read/1", "", func(env *environment) { env.Hedger = &hedger.Hedger{} }},
		"fast":           {"/read/1", "", func(env *environment) { env.sender.replies = []reply{respond(http.StatusOK, "")} }},
		"not idempotent": {"/pay/1", "", nil},
		"one attempt":    {"/open/1", "attempts", nil},
		"no other":       {"/home/1", "noTarget", nil},
		"too late":       {"/read/1", "time", change(func(r *router.Route) { r.Objective = time.Second })},
		"key withdrawn": {"/read/1", "", func(env *environment) {
			time.AfterFunc(time.Millisecond, func() { env.router.Store(router.New(router.Document{})) })
		}},
		"cut off": {"/read/1", "", func(env *environment) {
			time.AfterFunc(time.Millisecond, func() { env.links.cutOff.Store(true) })
		}},
		"no room": {"/read/1", "room", func(env *environment) {
			for range 12 { // of 16 slots, and the request itself
				c, err := env.balancer.Pick(balancer.Request{Service: "a"})
				is.New(t).NoErr(err)
				time.AfterFunc(time.Second, func() { c.Done(balancer.Result{}) })
			}
		}},
		"no share": {"/read/1", "share", func(env *environment) {
			env.Hedger = &eagerHedger{hedger.Hedger{Share: func() float64 { return 0.2 }}}
		}},
		"no budget": {"/read/1", "budget", func(env *environment) {
			env.retryRatio = 0
			env.budget.AllowRetry("a", "")
		}},
		"suspected": {"/read/1", "", func(env *environment) {
			r := httptest.NewRequest(http.MethodGet, "/read/1", nil)
			r.Host = "h"
			f := fingerprinter.Fingerprint{Head: fingerprinter.Head(r, "/read/1", "school", "")}
			env.isolator.RecordCrash(f, isolator.Crash{Run: 1, SentAt: time.Now(), CrashedAt: time.Now()})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			slow := late(100*time.Millisecond, respond(http.StatusOK, ""), new(atomic.Int64))
			withHedging(t, []reply{slow}, func(env *environment, h *gateway.Handler) {
				is := is.New(t)
				if c.change != nil {
					c.change(env)
				}
				is.Equal(callAndWait(h, http.MethodGet, c.path, "").Code, http.StatusOK)
				is.Equal(len(env.sender.sends), 1)
				is.Equal(env.records[0].HedgeReason, c.denied)
				is.Equal(env.records[0].Hedge == gateway.HedgeDenied, c.denied != "")
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a second send that waits for the caller together with the first one.
func TestNoHedgeWhileBodyArrives(t *testing.T) {
	withHedging(t, []reply{respond(http.StatusOK, "")}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		body, w := io.Pipe()
		time.AfterFunc(100*time.Millisecond, func() { _ = w.Close() })
		r := httptest.NewRequest(http.MethodPost, "/read/1", body)
		r.Host, r.Header = "h", http.Header{"Id": {"id-1"}, "Key": {"k"}}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		is.Equal(rec.Code, http.StatusOK)
		is.Equal(len(env.sender.sends), 1)
	})
}

// Guards against more hedges than the share and the retry budget allow, when all requests are
// slow.
func TestShareAndRetryBudgetHold(t *testing.T) {
	const requests = 1000
	for _, c := range []struct {
		share, retryRatio float64
		most              int
	}{{0.05, 1, 50}, {0.2, 0.1, 1 + 100}, {0.2, 1, 200}} {
		slow := late(30*time.Millisecond, respond(http.StatusOK, ""), new(atomic.Int64))
		withHedging(t, []reply{slow}, func(env *environment, h *gateway.Handler) {
			is := is.New(t)
			env.retryRatio = c.retryRatio
			env.Hedger = &eagerHedger{hedger.Hedger{Share: func() float64 { return c.share }}}
			for range requests {
				is.Equal(callAndWait(h, http.MethodGet, "/read/1", "").Code, http.StatusOK)
			}
			hedges := len(env.sender.sends) - requests
			is.True(hedges <= c.most)
			is.True(hedges >= c.most*9/10)
		})
	}
}

// Guards against a delay that is learned from hedged requests in a way that shortens it.
func TestDelayIsNotShortenedByHedges(t *testing.T) {
	withHandler(t, nil, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		learning := &hedger.Hedger{Share: func() float64 { return 0.2 }}
		env.Hedger = learning
		var seen sync.Map
		var hedges atomic.Int64
		env.sender.replies = []reply{func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
			if _, again := seen.LoadOrStore(r.Header.Get("Id"), true); again {
				hedges.Add(1)
				return respond(http.StatusOK, "")(ctx, r)
			}
			n, err := strconv.Atoi(r.Header.Get("Id"))
			is.NoErr(err)
			took := 15.0
			if k := n * 37 % 100; k >= 90 {
				took = 20 * math.Pow(1.3, float64(k-90))
			}
			return late(time.Duration(took)*time.Millisecond, respond(http.StatusOK, ""), new(atomic.Int64))(ctx, r)
		}}
		for n := range 2000 {
			callAndWait(h, http.MethodGet, "/read/1", "", "Id", strconv.Itoa(n))
		}
		d, known := learning.Delay("read")
		is.True(known)
		is.True(d >= 44*time.Millisecond && d <= 74*time.Millisecond) // p95 is 57 ms
		is.True(hedges.Load() > 20 && hedges.Load() < 200)
	})
}

// Guards against a refusal of a request of which one of two sends may have run, and against an
// answer that is lost because the other send failed.
func TestTruthAfterHedging(t *testing.T) {
	for _, first := range targetWays() {
		for _, second := range targetWays() {
			for _, took := range []time.Duration{10 * time.Millisecond, 80 * time.Millisecond} {
				if first.before != nil || second.before != nil {
					continue // TestLinkLostWhileHedged
				}
				replies := []reply{late(50*time.Millisecond, first.reply, new(atomic.Int64)), late(took, second.reply, new(atomic.Int64))}
				withHedging(t, replies, func(env *environment, h *gateway.Handler) {
					code := callAndWait(h, http.MethodGet, "/read/1", "").Code
					is := is.New(t)
					is.Equal(len(env.sender.sends), 2)
					if attestor.PromisesNotRun(code) != (!first.ran && !second.ran) {
						t.Errorf("%s / %s after %v: status %d", first.name, second.name, took, code)
					}
					if first.name == "answered" || second.name == "answered" {
						is.Equal(code, http.StatusOK)
					}
					is.Equal(len(env.records[0].Attempts), 2)
				})
			}
		}
	}
}

// Guards against a request that is given up after two failed sends though it may be sent again,
// or that is sent more often than it may.
func TestRetryAfterFailedHedge(t *testing.T) {
	for attempts, want := range map[int]int{2: http.StatusBadGateway, 3: http.StatusOK} {
		failed := late(50*time.Millisecond, connectionLost(true), nil)
		withHedging(t, []reply{failed, failed, respond(http.StatusOK, "third")}, func(env *environment, h *gateway.Handler) {
			is := is.New(t)
			d := document()
			d.Routes[0].MaxAttempts = attempts
			env.router.Store(router.New(d))
			is.Equal(callAndWait(h, http.MethodGet, "/read/1", "").Code, want)
			is.Equal(len(env.sender.sends), attempts)
			is.Equal(env.records[0].Hedge, gateway.HedgeLost)
		})
	}
}

// Guards against sends that go on when the caller has left.
func TestCallerLeavesWhileHedged(t *testing.T) {
	var first, second atomic.Int64
	withHedging(t, []reply{late(time.Second, nil, &first), late(time.Second, nil, &second)}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/read/1", nil)
		r.Host, r.Header = "h", http.Header{"Id": {"id-1"}, "Key": {"k"}}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		is.True(!attestor.PromisesNotRun(rec.Code))
		is.Equal(time.Duration(first.Load()), 50*time.Millisecond)
		is.Equal(time.Duration(second.Load()), 50*time.Millisecond-hedgeDelay)
		is.True(env.records[0].CallerGone)
	})
}

// Guards against a request that hangs or is relayed twice when this host is found to be cut off
// while two sends are running, and against a refusal of it by the other host.
func TestLinkLostWhileHedged(t *testing.T) {
	for status, want := range map[int]int{http.StatusOK: http.StatusOK, http.StatusServiceUnavailable: http.StatusBadGateway} {
		var first, second atomic.Int64
		withHedging(t, []reply{late(time.Second, nil, &first), late(time.Second, nil, &second)}, func(env *environment, h *gateway.Handler) {
			is := is.New(t)
			env.links.lost = make(chan struct{})
			env.hosts = fakeRelayer{fakeSender{replies: []reply{respond(status, "")}}, []string{"h1", "h2"}, nil}
			time.AfterFunc(50*time.Millisecond, env.links.lose)
			is.Equal(callAndWait(h, http.MethodGet, "/read/1", "").Code, want)
			is.Equal(len(env.hosts.sends), 1)
			is.Equal(time.Duration(first.Load()), 50*time.Millisecond)
			is.Equal(time.Duration(second.Load()), 50*time.Millisecond-hedgeDelay)
		})
	}
}

// Guards against more sends of a relayed request than the relay allows.
func TestHedgeOfRelayedRequest(t *testing.T) {
	for sends, want := range map[string]int{"1": 1, "2": 2} {
		slow := late(50*time.Millisecond, respond(http.StatusOK, ""), new(atomic.Int64))
		withHedging(t, []reply{slow}, func(env *environment, h *gateway.Handler) {
			is := is.New(t)
			is.Equal(callAndWait(h.RelayedHandler(), http.MethodGet, "/read/1", "", gateway.HeaderRelay, sends).Code, http.StatusOK)
			is.Equal(len(env.sender.sends), want)
		})
	}
}

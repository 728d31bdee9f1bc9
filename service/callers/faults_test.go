package callers_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// If the lease, the key or the deadline ends while a request waits for a slot, the
// request must not be sent.
func TestChangesWhileARequestWaits(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		h.dispatcher.wait.Store(int64(time.Second))
		time.AfterFunc(500*time.Millisecond, func() { h.lease.lost.Store(true) })
		resp := f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(resp.code(), refusal.CodeNotServing)
		is.Equal(resp.outcome(), refusal.NotRun)
		is.Equal(*h.dispatcher.last.Load(), callers.AttemptResult{Cancelled: true}) // nothing was sent, so the slot needs no quarantine
		h.lease.lost.Store(false)
		time.AfterFunc(500*time.Millisecond, func() {
			doc := document()
			doc.Workspaces[0].Keys = nil
			f.conf.set(config.NewSnapshot(2, doc))
		})
		resp = f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(resp.code(), refusal.CodeKeyUnknown)
		f.conf.set(config.NewSnapshot(3, document()))
		resp = f.do(t.Context(), h, "GET", "/s/till/x", nil, "Gypsum-Timeout-Ms", "300")
		is.Equal(resp.code(), refusal.CodeDeadlineExceeded)
		is.Equal(resp.outcome(), refusal.NotRun) // it was never sent
		is.Equal(f.targets[0].Stats().Arrived, 0)
		is.Equal(h.dispatcher.inUse.Load(), int64(0))
	})
}

// If the peers that run a relayed request die, the outcome must be Unknown if the
// request reached the target, and NotRun if no peer was left to send it to.
func TestPeerDiesWithARequest(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.SlowFactor, b.IgnoreCancel = 50, true })
		f.hosts[2].steerer.routeToWest()
		for _, method := range []string{"GET", "POST"} {
			time.AfterFunc(100*time.Millisecond, func() {
				f.net.Kill(f.hosts[0].ip)
				f.net.Kill(f.hosts[1].ip)
			})
			before := f.targets[0].Stats().Arrived
			resp := f.do(t.Context(), f.hosts[2], method, "/s/till/x", nil)
			is.Equal(resp.code(), refusal.CodePeerUnreachable)
			if f.targets[0].Stats().Arrived > before {
				is.Equal(resp.outcome(), refusal.Unknown)
			} else {
				is.Equal(resp.outcome(), refusal.NotRun) // no peer was left
			}
		}
		is.Equal(f.targets[0].Stats().Arrived, 1)
	})
}

// startTarget starts a target with the given handler.
func startTarget(t *testing.T, f *fleet, h http.HandlerFunc) {
	t.Helper()
	s := &http.Server{Handler: h}
	l := f.listen(t, f.targetAddress(0))
	go func() { _ = s.Serve(l) }()
	f.targets = append(f.targets, target.New(target.Config{}))
	t.Cleanup(func() { _ = s.Close() })
}

func TestTrailersAndStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, "west", "east")
		var got http.Header
		startTarget(t, f, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("Trailer", "X-Sum")
			w.Header().Set("Gypsum-Outcome", "notRun") // must be ignored from a target
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			b, _ := io.ReadAll(r.Body)
			got = r.Trailer.Clone()
			_, _ = w.Write(b)
			w.Header().Set("X-Sum", "answer")
		})
		f.hosts[1].steerer.routeToWest()
		for _, h := range f.hosts {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.ip+":80/s/till/x", nil)
			is.NoErr(err)
			pr, pw := io.Pipe()
			r.Body = pr
			r.Trailer = http.Header{"X-Sum": nil, "Authorization": nil}
			r.Header.Set("Authorization", "Bearer "+goodKey)
			tr := f.transport()
			resp, err := tr.RoundTrip(r) // the header arrives while the body is still being sent
			is.NoErr(err)
			is.Equal(resp.Header.Values(refusal.HeaderOutcome), []string{"ran"})
			for range 3 {
				_, err := io.WriteString(pw, "part ")
				is.NoErr(err)
				time.Sleep(time.Second)
			}
			r.Trailer.Set("X-Sum", "request")
			r.Trailer.Set("Authorization", "Bearer "+goodKey)
			is.NoErr(pw.Close())
			b, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(string(b), "part part part ")
			is.Equal(resp.Trailer.Get("X-Sum"), "answer")
			is.Equal(got, http.Header{"X-Sum": {"request"}})
			is.NoErr(resp.Body.Close())
			tr.CloseIdleConnections()
		}
		f.stop()
		f.net.Kill("10.0.1.1")
	})
}

// A chunked response that the target truncates must not look complete, neither directly
// nor relayed.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, "west", "east")
		startTarget(t, f, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "the first half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		f.hosts[1].steerer.routeToWest()
		for _, h := range f.hosts {
			resp := f.do(t.Context(), h, "GET", "/s/till/x", nil)
			is.True(resp.err != nil)
		}
		f.stop()
		f.net.Kill("10.0.1.1")
	})
}

// A response without a length must be refused: it ends with the connection, so that a
// truncated one could not be detected.
func TestResponseWithoutLengthIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, "west")
		runs := 0
		startTarget(t, f, func(w http.ResponseWriter, _ *http.Request) {
			runs++
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\nthe first half")
			_ = c.Close()
		})
		resp := f.do(t.Context(), f.hosts[0], "GET", "/s/till/x", nil)
		is.Equal(resp.code(), refusal.CodeTargetAnswerInvalid)
		is.Equal(resp.outcome(), refusal.Ran)
		resp = f.pay(t.Context(), f.hosts[0], f.hosts[0].key("order"), "blazer")
		is.Equal(resp.outcome(), refusal.Ran)
		resp = f.pay(t.Context(), f.hosts[0], f.hosts[0].key("order"), "blazer")
		is.Equal(resp.outcome(), refusal.Ran)
		is.Equal(runs, 2) // the payment ran only once
		f.stop()
		f.net.Kill("10.0.1.1")
	})
}

// A response whose status is not that of a final response must be refused.
func TestResponseWithInvalidStatusIsRefused(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 0, "west")
			startTarget(t, f, func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Any\r\nContent-Length: 1\r\n\r\nx")
				_ = c.Close()
			})
			resp := f.do(t.Context(), f.hosts[0], "GET", "/s/till/x", nil)
			is.Equal(resp.code(), refusal.CodeTargetAnswerInvalid)
			is.Equal(resp.outcome(), refusal.Unknown)
			f.stop()
			f.net.Kill("10.0.1.1")
		})
	}
}

// A body longer than the replay buffer must not be sent to a second target after the
// first one has received a part of it.
func TestLongBodyIsNotSentTwice(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, is *is.I, f *fleet) {
		for _, tg := range f.targets {
			tg.SetBehaviour(func(b *target.Behaviour) { b.FailAt, b.FailCount = target.StageMidBody, 1 })
		}
		for range 4 {
			body := io.MultiReader(strings.NewReader(strings.Repeat("b", 200<<10))) // of unknown length
			resp := f.do(t.Context(), f.hosts[0], "PUT", "/s/till/x", body)
			is.True(resp.err != nil || resp.status != 200 || strings.Contains(resp.body, "204800"))
		}
	})
}

// A graceful stop must finish all requests, also a payment whose caller has
// disconnected.
func TestDrainWaitsForRequests(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.SlowFactor = 100 })
		key := h.key("order")
		var resp response
		done := make(chan struct{})
		go func() {
			defer close(done)
			resp = f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("x"))
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_ = f.pay(ctx, h, key, "blazer")
		is.NoErr(h.server.Drain(t.Context()))
		h.handler.Wait()
		<-done
		is.Equal(resp.status, 200)
		is.Equal(f.runsOf(key), 1)
		is.Equal(f.targets[0].Stats().Cancelled, 0)
	})
}

// A request that a target of this region aborted may go to another region only if it is
// idempotent, and its outcome must stay Unknown if that region refuses it.
func TestAbortedRequestsFailOverOnlyIfIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, "east", "west")
		defer f.stop()
		h := f.hosts[0]
		h.steerer.failover = "west"
		failTwice := func() {
			f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.FailAt, b.FailCount = target.StageBeforeResponse, 2 })
		}
		failTwice()
		resp := f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(resp.status, 200) // the first attempt and the retry failed here, the third ran in the other region
		is.Equal(f.targets[0].Stats().Arrived, 3)
		failTwice()
		resp = f.do(t.Context(), h, "POST", "/s/till/x", nil)
		is.Equal(resp.status, 502)
		is.Equal(resp.outcome(), refusal.Unknown)
		is.Equal(f.targets[0].Stats().Arrived, 4)
		f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.FailAt, b.FailCount = target.StageBeforeResponse, 0 })
		f.hosts[1].steerer.capped = true
		resp = f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(resp.outcome(), refusal.Unknown) // it may have run here, whatever the other region says
	})
}

// If a request is steered to a region whose targets fail, the host must serve it in its
// own region, as far as the shift cap allows.
func TestRequestIsServedLocallyIfTheOtherRegionFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, "east", "west")
		defer f.stop()
		h := f.hosts[0]
		h.steerer.routeTo = "west"
		f.hosts[1].dispatcher.noTarget.Store(true)
		resp := f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("blazer"))
		is.Equal(resp.status, 200)
		is.Equal(f.targets[0].Stats().Arrived, 1)
		is.Equal(resp.body != "", true)
		resp = f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("blazer"), "Gypsum-Region", "west")
		is.Equal(resp.status, 200)
		is.Equal(h.steerer.accepted, 1) // counted once under the shift cap
		is.Equal(f.targets[0].Stats().Arrived, 2)
		h.steerer.capped = true
		resp = f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("blazer"), "Gypsum-Region", "west")
		is.Equal(resp.code(), refusal.CodeNoTarget)
		is.Equal(resp.outcome(), refusal.NotRun)
		is.Equal(f.targets[0].Stats().Arrived, 2)
	})
}

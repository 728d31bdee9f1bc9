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

// What changes while a request waits for a slot counts when it is sent.
func TestChangesWhileARequestWaits(t *testing.T) {
	run(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		h.dispatch.wait.Store(int64(time.Second))
		time.AfterFunc(500*time.Millisecond, func() { h.lease.lost.Store(true) })
		a := f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(a.code(), refusal.CodeNotServing)
		is.Equal(a.outcome(), refusal.NotRun)
		is.Equal(*h.dispatch.last.Load(), callers.AttemptResult{Cancelled: true}) // its slot need not rest
		h.lease.lost.Store(false)
		time.AfterFunc(500*time.Millisecond, func() {
			doc := document()
			doc.Workspaces[0].Keys = nil
			f.conf.set(config.NewSnapshot(2, doc))
		})
		a = f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(a.code(), refusal.CodeKeyUnknown)
		f.conf.set(config.NewSnapshot(3, document()))
		a = f.do(t.Context(), h, "GET", "/s/till/x", nil, "Gypsum-Timeout-Ms", "300")
		is.Equal(a.code(), refusal.CodeDeadline)
		is.Equal(a.outcome(), refusal.NotRun) // it never left the queue
		is.Equal(f.targets[0].Stats().Arrived, 0)
		is.Equal(h.dispatch.inUse.Load(), int64(0))
	})
}

// A peer that dies with a request leaves its outcome unknown.
func TestPeerDiesWithARequest(t *testing.T) {
	run(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		f.targets[0].Set(func(b *target.Behaviour) { b.SlowBy, b.IgnoreCancel = 50, true })
		f.hosts[2].steer.toWest()
		for _, method := range []string{"GET", "POST"} {
			time.AfterFunc(100*time.Millisecond, func() {
				f.net.Kill(f.hosts[0].ip)
				f.net.Kill(f.hosts[1].ip)
			})
			before := f.targets[0].Stats().Arrived
			a := f.do(t.Context(), f.hosts[2], method, "/s/till/x", nil)
			is.Equal(a.code(), refusal.CodePeerUnreachable)
			if f.targets[0].Stats().Arrived > before {
				is.Equal(a.outcome(), refusal.Unknown)
			} else {
				is.Equal(a.outcome(), refusal.NotRun) // no peer is left
			}
		}
		is.Equal(f.targets[0].Stats().Arrived, 1)
	})
}

// plain is a target whose handler the test gives.
func plain(t *testing.T, f *fleet, h http.HandlerFunc) {
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
		plain(t, f, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			w.Header().Set("Trailer", "X-Sum")
			w.Header().Set("Gypsum-Outcome", "notRun") // A target cannot say this.
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			b, _ := io.ReadAll(r.Body)
			got = r.Trailer.Clone()
			_, _ = w.Write(b)
			w.Header().Set("X-Sum", "answer")
		})
		f.hosts[1].steer.toWest()
		for _, h := range f.hosts {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+h.ip+":80/s/till/x", nil)
			is.NoErr(err)
			pr, pw := io.Pipe()
			r.Body = pr
			r.Trailer = http.Header{"X-Sum": nil, "Authorization": nil}
			r.Header.Set("Authorization", "Bearer "+goodKey)
			tr := f.transport()
			resp, err := tr.RoundTrip(r) // The head comes while the body is still being sent.
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

// A chunked answer that its target cuts must not look whole, here or relayed.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, "west", "east")
		plain(t, f, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "the first half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		f.hosts[1].steer.toWest()
		for _, h := range f.hosts {
			a := f.do(t.Context(), h, "GET", "/s/till/x", nil)
			is.True(a.err != nil)
		}
		f.stop()
		f.net.Kill("10.0.1.1")
	})
}

// An answer that ends with the connection could be cut without a sign of it.
func TestAnswerWithoutAnEndIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0, "west")
		runs := 0
		plain(t, f, func(w http.ResponseWriter, _ *http.Request) {
			runs++
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\nthe first half")
			_ = c.Close()
		})
		a := f.do(t.Context(), f.hosts[0], "GET", "/s/till/x", nil)
		is.Equal(a.code(), refusal.CodeTargetAnswer)
		is.Equal(a.outcome(), refusal.Ran)
		a = f.pay(t.Context(), f.hosts[0], f.hosts[0].key("order"), "blazer")
		is.Equal(a.outcome(), refusal.Ran)
		a = f.pay(t.Context(), f.hosts[0], f.hosts[0].key("order"), "blazer")
		is.Equal(a.outcome(), refusal.Ran)
		is.Equal(runs, 2) // the payment ran once
		f.stop()
		f.net.Kill("10.0.1.1")
	})
}

// A long body that one target has seen a part of cannot go to another.
func TestLongBodyIsNotSentTwice(t *testing.T) {
	run(t, 2, func(t *testing.T, is *is.I, f *fleet) {
		for _, tg := range f.targets {
			tg.Set(func(b *target.Behaviour) { b.FailAt, b.FailNext = target.StageMidBody, 1 })
		}
		for range 4 {
			body := io.MultiReader(strings.NewReader(strings.Repeat("b", 200<<10))) // Of unknown length.
			a := f.do(t.Context(), f.hosts[0], "PUT", "/s/till/x", body)
			is.True(a.err != nil || a.status != 200 || strings.Contains(a.body, "204800"))
		}
	})
}

// A graceful stop cuts no request, nor a payment whose caller has left.
func TestDrainWaitsForRequests(t *testing.T) {
	run(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		f.targets[0].Set(func(b *target.Behaviour) { b.SlowBy = 100 })
		key := h.key("order")
		var a answer
		done := make(chan struct{})
		go func() {
			defer close(done)
			a = f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("x"))
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_ = f.pay(ctx, h, key, "blazer")
		is.NoErr(h.server.Drain(t.Context()))
		h.handler.Wait()
		<-done
		is.Equal(a.status, 200)
		is.Equal(f.runsOf(key), 1)
		is.Equal(f.targets[0].Stats().Cancelled, 0)
	})
}

// What a target of this region cut goes to another region only if it may run
// twice, and its outcome stays unknown if that one refuses.
func TestCutRequestsGoElsewhereOnlyIfTheyMayRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, "east", "west")
		defer f.stop()
		h := f.hosts[0]
		h.steer.other = "west"
		cut := func() {
			f.targets[0].Set(func(b *target.Behaviour) { b.FailAt, b.FailNext = target.StageBeforeAnswer, 2 })
		}
		cut()
		a := f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(a.status, 200) // The first and the repeat were cut here, the third one ran there.
		is.Equal(f.targets[0].Stats().Arrived, 3)
		cut()
		a = f.do(t.Context(), h, "POST", "/s/till/x", nil)
		is.Equal(a.status, 502)
		is.Equal(a.outcome(), refusal.Unknown)
		is.Equal(f.targets[0].Stats().Arrived, 4)
		f.targets[0].Set(func(b *target.Behaviour) { b.FailAt, b.FailNext = target.StageBeforeAnswer, 0 })
		f.hosts[1].steer.capped = true
		a = f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(a.outcome(), refusal.Unknown) // it ran here, whatever the other region says
	})
}

// A host that steers a request to a region whose targets fail serves it itself,
// as far as the cap lets it.
func TestRequestComesBackFromARegionWhoseTargetsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, "east", "west")
		defer f.stop()
		h := f.hosts[0]
		h.steer.to = "west"
		f.hosts[1].dispatch.broken.Store(true)
		a := f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("blazer"))
		is.Equal(a.status, 200)
		is.Equal(f.targets[0].Stats().Arrived, 1)
		is.Equal(a.body != "", true)
		a = f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("blazer"), "Gypsum-Region", "west")
		is.Equal(a.status, 200)
		is.Equal(h.steer.accepted, 1) // counted once under the shift cap
		is.Equal(f.targets[0].Stats().Arrived, 2)
		h.steer.capped = true
		a = f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("blazer"), "Gypsum-Region", "west")
		is.Equal(a.code(), refusal.CodeNoTarget)
		is.Equal(a.outcome(), refusal.NotRun)
		is.Equal(f.targets[0].Stats().Arrived, 2)
	})
}

package callers_test

import (
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
)

// withFleet runs a test on the virtual clock with a fleet of two entry hosts in the
// west, where the targets are, and one in the east.
func withFleet(t *testing.T, nTargets int, test func(t *testing.T, is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, nTargets, "west", "west", "east")
		defer f.stop()
		test(t, is.New(t), f)
	})
}

func TestLookup(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		resp := f.do(t.Context(), h, "GET", "/v1/lookup?service=till&region=east", nil)
		is.Equal(resp.status, 200)
		is.Equal(resp.header.Get("Cache-Control"), "private, max-age=5") // 5.9 s, rounded down
		resp = f.do(t.Context(), h, "GET", "/v1/lookup?service=none", nil)
		is.Equal(resp.status, 404)
		is.Equal(resp.code(), refusal.CodeUnknownService)
		is.Equal(resp.header.Get("Content-Type"), "application/problem+json")
		h.lease.lost.Store(true)
		resp = f.do(t.Context(), h, "GET", "/v1/lookup?service=till", nil)
		is.Equal(resp.status, 503)
		is.Equal(resp.code(), refusal.CodeNotServing)
		is.Equal(resp.header.Get("Retry-After"), "1")
	})
}

func TestKeyReachesNoTarget(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		encoded := strings.ReplaceAll(goodKey, "-", "%2d")
		for _, h := range f.hosts { // the third relays to the region west
			f.hosts[2].steerer.routeToWest()
			resp := f.do(t.Context(), h, "GET", "/s/till/x?a=1&k="+goodKey+"&e="+encoded+"&b=2", nil,
				"X-Api-Key", goodKey, "X-Custom", "v="+goodKey, "Cookie", "a=1; k="+goodKey+"; b=2",
				"Proxy-Authorization", "Bearer "+goodKey, "Gypsum-Workspace", "club", "Connection", "X-Hop", "X-Hop", "1")
			is.Equal(resp.status, 200)
			is.Equal(resp.outcome(), refusal.Ran)
		}
		st := f.targets[0].Stats()
		is.Equal(st.SecretsSeen, 0)
		is.Equal(len(st.Seen), len(f.hosts))
		for _, seen := range st.Seen {
			is.Equal(seen.Header.Values("Gypsum-Workspace"), []string{"school"})
			is.Equal(seen.Header.Get("Cookie"), "a=1; b=2")
			is.Equal(seen.Header.Get("X-Hop"), "")
			is.Equal(seen.Header.Get("Authorization"), "")
			is.Equal(seen.Query.Encode(), "a=1&b=2")
		}
	})
}

func TestKeys(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		for _, c := range []struct {
			path, authorization string
			status              int
			code                refusal.Code
		}{
			{"/s/till/x", "Bearer nobody", 401, refusal.CodeKeyUnknown},
			{"/s/till/x", "Basic " + goodKey, 401, refusal.CodeKeyMissing},
			{"/s/till/x", "", 401, refusal.CodeKeyMissing},
			{"/s/till/openly", "", 401, refusal.CodeKeyMissing},
			{"/s/till/open/x", "", 200, ""},
			{"/s/till/open/x", "Bearer nobody", 200, ""},
			{"/s/till/x", "bearer " + goodKey, 200, ""},
			{"/s/till/x/" + goodKey, "Bearer " + goodKey, 400, refusal.CodeBadRequest},
		} {
			resp := f.do(t.Context(), h, "GET", c.path, nil, "Authorization", c.authorization)
			is.Equal(resp.status, c.status)
			is.Equal(resp.code(), c.code)
			is.True(!strings.Contains(resp.body, goodKey)) // no response contains a key
		}
		is.Equal(f.targets[0].Stats().Ran, 3)
		doc := document()
		doc.Workspaces[0].Keys = nil
		f.conf.set(config.NewSnapshot(2, doc))
		resp := f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(resp.code(), refusal.CodeKeyUnknown) // the key was withdrawn
	})
}

func TestAmbiguousPathsAreRefused(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		for _, path := range []string{
			"/s/till/open/../pay", "/s/till/open/%2e%2e/pay", "/s/till/open/%2E./pay", "/s/till/open%2f..%2fpay",
			"/s/till/open/%252e%252e/pay", "/s/till/open//pay", "/s/till/open\\..\\pay", "/s/till/open;/../pay",
			"/s/till/open%3bx", "/s/till/./pay", "/s//till/x", "/s/till%2fx/y", "/s/%74ill/x", "/s/../v1/lookup", "/s/",
			"/s/till/%00", "/s/till/a%0d%0ab",
		} {
			got := f.raw(t, f.hosts[0], "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			is.Equal(len(got), 1)
			is.Equal(got[0].status, 400)
			is.Equal(got[0].outcome(), refusal.NotRun)
		}
		is.Equal(f.targets[0].Stats().Arrived, 0)
		// An encoded letter must not hide an at-most-once route.
		resp := f.do(t.Context(), f.hosts[0], "POST", "/s/till/p%61y", nil)
		is.Equal(resp.code(), refusal.CodeIdempotencyKeyMissing)
		resp = f.do(t.Context(), f.hosts[0], "GET", "/s/till/a%20b/%C3%A9?q=a%2Fb", nil)
		is.Equal(resp.status, 200)
		is.Equal(f.targets[0].Stats().Seen[0].Path, "/a%20b/%C3%A9")
	})
}

func TestRequestSmuggling(t *testing.T) {
	const auth = "Authorization: Bearer " + goodKey + "\r\n"
	inner := "GET /s/till/smuggled HTTP/1.1\r\nHost: h\r\n" + auth + "\r\n"
	for _, c := range []struct {
		name, text string
		first      int
	}{
		{"two lengths", "POST /s/till/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 5\r\n" + auth + "\r\n" + inner, 400},
		{"signed length", "POST /s/till/x HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n" + auth + "\r\n" + inner, 400},
		{"unknown encoding", "POST /s/till/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n" + auth + "\r\n0\r\n\r\n" + inner, 501},
		{"misspelt encoding", "POST /s/till/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n" + auth + "\r\n0\r\n\r\n" + inner, 501},
		{"two encodings", "POST /s/till/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + auth + "\r\n0\r\n\r\n" + inner, 501},
		{"space before the colon", "POST /s/till/x HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n" + auth + "\r\n" + inner, 400},
		{"bad chunk", "POST /s/till/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n" + auth + "\r\nzz\r\n" + inner, 502},
		{"connect", "CONNECT /s/till/x HTTP/1.1\r\nHost: h\r\n" + auth + "\r\n", 405},
		{"trace", "TRACE /s/till/x HTTP/1.1\r\nHost: h\r\n" + auth + "\r\n", 405},
		{"upgrade", "GET /s/till/x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" + auth + "\r\n", 501},
		{"HTTP/1.0", "GET /s/till/x HTTP/1.0\r\nHost: h\r\n" + auth + "\r\n", 505},
		{"no host", "GET /s/till/x HTTP/1.1\r\n" + auth + "\r\n", 400},
		{"large header", "GET /s/till/x HTTP/1.1\r\nHost: h\r\nX-Big: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", 431},
		{"asterisk form", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 404},
		{"key twice", "GET /s/till/x HTTP/1.1\r\nHost: h\r\n" + auth + auth + "\r\n", 401},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
				got := f.raw(t, f.hosts[0], c.text)
				is.True(len(got) > 0)
				is.Equal(got[0].status, c.first)
				is.True(got[0].outcome() != "") // also in net/http's own responses
				is.True(got[0].outcome() != refusal.Ran)
				for _, seen := range f.targets[0].Stats().Seen {
					is.True(seen.Path != "/smuggled")
				}
			})
		})
	}
}

// Unusual requests that net/http parses unambiguously must reach the target as exactly
// one request, in canonical form.
func TestUnusualRequestsReachTheTargetOnce(t *testing.T) {
	const auth = "Authorization: Bearer " + goodKey + "\r\n"
	for _, c := range []struct{ name, text string }{
		{"length and encoding", "POST /s/till/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n" + auth + "\r\n0\r\n\r\nGET /s/till/smuggled HTTP/1.1\r\nHost: h\r\n" + auth + "\r\n"},
		{"bare line feeds", strings.ReplaceAll("GET /s/till/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"+auth+"\r\n", "\r\n", "\n")},
		{"folded field", "GET /s/till/x HTTP/1.1\r\nHost: h\r\nX-Fold: a\r\n b\r\nConnection: close\r\n" + auth + "\r\n"},
		{"absolute form", "GET http://other/s/till/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + auth + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
				got := f.raw(t, f.hosts[0], c.text)
				is.Equal(len(got), 1)
				is.Equal(got[0].status, 200)
				st := f.targets[0].Stats()
				is.Equal(len(st.Seen), 1)
				is.Equal(st.Seen[0].Path, "/x")
			})
		})
	}
}

func TestBodies(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		resp := f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader(strings.Repeat("a", 2<<20)))
		is.NoErr(resp.err)
		is.Equal(resp.status, 413)
		is.Equal(resp.outcome(), refusal.NotRun)
		is.Equal(f.targets[0].Stats().Arrived, 0)
		resp = f.do(t.Context(), h, "POST", "/s/till/x", io.MultiReader(strings.NewReader(strings.Repeat("a", 2<<20)))) // chunked
		is.NoErr(resp.err)
		is.Equal(resp.status, 413)
		is.Equal(resp.outcome(), refusal.Unknown)
		is.Equal(f.targets[0].Stats().Ran, 0)
		for _, h := range f.hosts {
			f.hosts[2].steerer.routeToWest()
			resp = f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader(strings.Repeat("a", 1<<20)), "Expect", "100-continue")
			is.Equal(resp.status, 200)
			is.True(strings.Contains(resp.body, "1048576")) // the target got the whole body
		}
		time.Sleep(time.Second)
		is.Equal(h.dispatcher.inUse.Load(), int64(0))
	})
}

func TestSlowCallerIsCutOff(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		c, err := f.net.Dialer(callerHost)(t.Context(), f.hosts[0].ip+":80")
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		start := time.Now()
		_, err = io.WriteString(c, "GET /s/till/x HTTP/1.1\r\nHost: h\r\n")
		is.NoErr(err)
		_, _ = io.ReadAll(c)
		is.True(time.Since(start) <= 11*time.Second) // the timeout of the header is 10 s
	})
}

// TestOutcomes makes the target fail at each stage of a request and compares the
// reported outcome with the target's own records.
func TestOutcomes(t *testing.T) {
	for _, stage := range []target.Stage{
		target.StageBeforeReading, target.StageMidBody, target.StageBeforeResponse, target.StageMidResponse, target.StageAfterResponse,
	} {
		for host := range 3 {
			withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
				f.hosts[2].steerer.routeToWest()
				f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.FailAt = stage })
				resp := f.do(t.Context(), f.hosts[host], "POST", "/s/till/x", strings.NewReader(strings.Repeat("a", 100<<10)))
				ran := f.targets[0].Stats().Ran
				is.True(ran <= 1)
				if resp.err != nil {
					is.Equal(stage, target.StageMidResponse) // a truncated response aborts the connection
					return
				}
				is.True(resp.outcome() != refusal.NotRun) // bytes were sent
				if resp.outcome() == refusal.Ran {
					is.Equal(ran, 1)
				}
				is.Equal(resp.status == 200, stage == target.StageAfterResponse)
			})
		}
	}
}

func TestRetries(t *testing.T) {
	withFleet(t, 2, func(t *testing.T, is *is.I, f *fleet) {
		h := f.hosts[0]
		f.targets[0].Crash()
		for range 4 { // on a refused connection nothing ran: any method is retried
			resp := f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("small"))
			is.Equal(resp.status, 200)
		}
		f.targets[1].SetBehaviour(func(b *target.Behaviour) { b.FailAt = target.StageBeforeResponse })
		before := f.targets[1].Stats().Ran
		resp := f.do(t.Context(), h, "POST", "/s/till/x", strings.NewReader("small"))
		is.Equal(resp.code(), refusal.CodeTargetFailed)
		is.Equal(resp.outcome(), refusal.Unknown)
		is.Equal(f.targets[1].Stats().Ran, before+1) // not retried: it may have run
		f.targets[1].SetBehaviour(func(b *target.Behaviour) { *b = target.Behaviour{ShedShare: 1} })
		resp = f.do(t.Context(), h, "GET", "/s/till/x", nil)
		is.Equal(resp.status/100, 5)
		is.Equal(resp.outcome(), refusal.NotRun) // one target refused the connection and the other shed the request
		is.True(resp.header.Get("Retry-After") != "")
	})
}

func TestDeadlineAndCancellationReachTheTarget(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		f.hosts[2].steerer.routeToWest()
		f.targets[0].SetBehaviour(func(b *target.Behaviour) { b.SlowFactor = 1000 })
		for _, h := range f.hosts {
			start := time.Now()
			resp := f.do(t.Context(), h, "GET", "/s/till/x", nil, "Gypsum-Timeout-Ms", "300")
			is.Equal(resp.status, 504)
			is.Equal(resp.outcome(), refusal.Unknown)
			is.True(time.Since(start) < 600*time.Millisecond)
		}
		time.Sleep(time.Second)
		st := f.targets[0].Stats()
		is.Equal(st.Busy, 0)
		is.Equal(len(st.Seen), 3)
		is.Equal(f.hosts[0].dispatcher.inUse.Load(), int64(0))
		resp := f.do(t.Context(), f.hosts[0], "GET", "/s/till/x", nil, "Gypsum-Timeout-Ms", "soon")
		is.Equal(resp.status, 400)
	})
}

func TestRelayRefusals(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, is *is.I, f *fleet) {
		east := f.hosts[2]
		east.steerer.routeToWest()
		for _, h := range f.hosts[:2] {
			h.steerer.mu.Lock()
			h.steerer.capped = true
			h.steerer.mu.Unlock()
		}
		resp := f.do(t.Context(), east, "GET", "/s/till/x", nil)
		is.Equal(resp.code(), refusal.CodeShiftCap)
		is.Equal(resp.outcome(), refusal.NotRun)
		for _, h := range f.hosts[:2] {
			f.net.Kill(h.ip)
		}
		resp = f.do(t.Context(), east, "GET", "/s/till/x", nil)
		is.Equal(resp.code(), refusal.CodePeerUnreachable)
		is.True(resp.status >= http.StatusInternalServerError)
		is.Equal(f.targets[0].Stats().Arrived, 0)
	})
}

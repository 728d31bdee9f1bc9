package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/memnet"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// fakeHosts is a set of entry hosts whose responses the test sets.
type fakeHosts struct {
	net     memnet.Network
	mu      sync.Mutex
	lookups int
	// seen lists "host method key" of each request.
	seen []string
	// serve handles a request at a host.
	serve func(host int, w http.ResponseWriter, r *http.Request)
}

const hostCount = 3

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }

func prefix(i int) string { return fmt.Sprintf("%016d-1", i) }

func (h *fakeHosts) handler(i int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		lookup := strings.HasPrefix(r.URL.Path, "/v1/")
		if lookup {
			h.lookups++
		} else {
			h.seen = append(h.seen, fmt.Sprint(i, " ", r.Method, " ", r.Header.Get("Idempotency-Key")))
		}
		h.mu.Unlock()
		if !lookup {
			h.serve(i, w, r)
			return
		}
		a := callers.LookupResponse{TTLMs: 5000}
		for j := range hostCount {
			a.EntryHosts = append(a.EntryHosts, callers.EntryHost{Address: address(j), Weight: float64(j), IdempotencyPrefix: prefix(j)})
		}
		_ = json.NewEncoder(w).Encode(a)
	}
}

func withClient(t *testing.T, test func(t *testing.T, is *is.I, h *fakeHosts, c *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &fakeHosts{}
		var servers []*http.Server
		for i := range hostCount {
			l, err := h.net.Listen(address(i))
			if err != nil {
				t.Fatal(err)
			}
			s := &http.Server{Handler: h.handler(i)}
			servers = append(servers, s)
			go func() { _ = s.Serve(l) }()
		}
		tr := &http.Transport{DialContext: func(ctx context.Context, _, a string) (net.Conn, error) {
			return h.net.Dialer("10.9.0.1")(ctx, a)
		}}
		test(t, is.New(t), h, New(Config{EntryHosts: []string{address(0), address(1)}, WorkspaceKey: "k", Transport: tr}))
		tr.CloseIdleConnections()
		for _, s := range servers {
			_ = s.Close()
		}
	})
}

func refuse(w http.ResponseWriter, code refusal.Code, outcome refusal.Outcome, wait time.Duration) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set(refusal.HeaderOutcome, string(outcome))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintf(w, `{"code":%q,"retryAfterMs":%d}`, code, wait.Milliseconds())
}

func ran(w http.ResponseWriter) {
	w.Header().Set(refusal.HeaderOutcome, string(refusal.Ran))
	_, _ = io.WriteString(w, "done")
}

func TestLookupIsCachedForItsTTL(t *testing.T) {
	withClient(t, func(t *testing.T, is *is.I, h *fakeHosts, c *Client) {
		h.serve = func(_ int, w http.ResponseWriter, _ *http.Request) { ran(w) }
		for range 20 {
			resp, err := c.Do(t.Context(), Request{Service: "till", Method: "GET", Path: "/x"})
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
		}
		is.Equal(h.lookups, 1)
		for _, s := range h.seen {
			is.True(s[0] != '0') // the host of weight zero
		}
		time.Sleep(5 * time.Second)
		h.net.Kill("10.0.0.1")
		resp, err := c.Do(t.Context(), Request{Service: "till", Method: "GET", Path: "/x"})
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(h.lookups, 2)
	})
}

func TestRetryAtNextHostOnlyIfSafe(t *testing.T) {
	for _, c := range []struct {
		name, method string
		outcome      refusal.Outcome
		wait         time.Duration
		sends        int
	}{
		{"not run", "POST", refusal.NotRun, time.Second, 2},
		{"unknown", "POST", refusal.Unknown, time.Second, 1},
		{"unknown but idempotent", "GET", refusal.Unknown, time.Second, 2},
		{"waiting does not help", "GET", refusal.NotRun, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			withClient(t, func(t *testing.T, is *is.I, h *fakeHosts, cl *Client) {
				h.serve = func(_ int, w http.ResponseWriter, _ *http.Request) {
					if len(h.seen) > 1 {
						ran(w)
						return
					}
					refuse(w, refusal.CodeNotServing, c.outcome, c.wait)
				}
				resp, err := cl.Do(t.Context(), Request{Service: "till", Method: c.method, Path: "/x"})
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				is.Equal(len(h.seen), c.sends)
				is.True(len(h.seen) == 1 || h.seen[0][0] != h.seen[1][0]) // never the same host
			})
		})
	}
}

func TestRetryAfterIsHonoured(t *testing.T) {
	withClient(t, func(t *testing.T, is *is.I, h *fakeHosts, c *Client) {
		h.serve = func(_ int, w http.ResponseWriter, _ *http.Request) {
			refuse(w, refusal.CodeRateExceeded, refusal.NotRun, 700*time.Millisecond)
		}
		begun := time.Now()
		resp, err := c.Do(t.Context(), Request{Service: "till", Method: "POST", Path: "/x"})
		is.NoErr(err)
		is.Equal(resp.Code, refusal.CodeRateExceeded)
		is.Equal(len(h.seen), 3)
		is.Equal(time.Since(begun), 1400*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		begun = time.Now()
		resp, err = c.Do(ctx, Request{Service: "till", Method: "POST", Path: "/x"})
		is.NoErr(err)
		is.Equal(resp.Outcome, refusal.NotRun)
		is.Equal(time.Since(begun), time.Duration(0)) // it does not wait beyond the deadline
	})
}

func TestRetriesKeepIdempotencyKey(t *testing.T) {
	withClient(t, func(t *testing.T, is *is.I, h *fakeHosts, c *Client) {
		h.serve = func(_ int, _ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
		_, err := c.Do(t.Context(), Request{Service: "till", Method: "POST", Path: "/pay", Once: true, Body: []byte("x")})
		var unknown *ErrUnknownOutcome
		is.True(errors.As(err, &unknown))
		first, key, _ := strings.Cut(h.seen[0], " POST ")
		is.Equal(key, unknown.IdempotencyKey)
		is.True(strings.HasPrefix(key, prefix(int(first[0]-'0'))+".")) // the first host owns the key
		for _, s := range h.seen {
			is.True(strings.HasSuffix(s, key))
		}
		h.serve = func(_ int, w http.ResponseWriter, _ *http.Request) { ran(w) }
		resp, err := c.Do(t.Context(), Request{Service: "till", Method: "POST", Path: "/pay", Once: true, Body: []byte("x"), IdempotencyKey: key})
		is.NoErr(err)
		is.Equal(resp.Outcome, refusal.Ran)
		is.Equal(h.seen[len(h.seen)-1], h.seen[0]) // sent to the owner again
	})
}

func TestPostIsNotRetriedWithoutResponse(t *testing.T) {
	withClient(t, func(t *testing.T, is *is.I, h *fakeHosts, c *Client) {
		h.serve = func(_ int, _ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
		_, err := c.Do(t.Context(), Request{Service: "till", Method: "POST", Path: "/x", Body: []byte("x")})
		var unknown *ErrUnknownOutcome
		is.True(errors.As(err, &unknown))
		is.Equal(len(h.seen), 1)
	})
}

func TestKeyOfDeadHostIsReplacedIfNothingRan(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is the outcome that a host reports before it crashes.
		first refusal.Outcome
		keys  int
	}{
		{"dead from the start", "", 1},
		{"dead after it refused", refusal.NotRun, 2},
		{"dead when it may have run", refusal.Unknown, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			withClient(t, func(t *testing.T, is *is.I, h *fakeHosts, cl *Client) {
				keys := make(map[string]bool)
				h.serve = func(host int, w http.ResponseWriter, r *http.Request) {
					keys[r.Header.Get(callers.HeaderIdempotencyKey)] = true
					if host != owner(r) {
						refuse(w, refusal.CodePeerUnreachable, refusal.Unknown, time.Second)
						return
					}
					if c.first != "" && len(keys) == 1 {
						refuse(w, refusal.CodeRateExceeded, c.first, time.Second)
						time.AfterFunc(time.Millisecond, func() { h.net.Kill(fmt.Sprintf("10.0.0.%d", host+1)) })
						return
					}
					ran(w)
				}
				if c.first == "" {
					resp, err := cl.Do(t.Context(), Request{Service: "till", Method: "GET", Path: "/x"})
					is.NoErr(err) // the look-up is cached
					is.NoErr(resp.Body.Close())
					clear(keys)
					h.net.Kill("10.0.0.2")
					h.net.Kill("10.0.0.3")
					synctest.Wait() // until the transport has noticed that its idle connections broke
				}
				resp, err := cl.Do(t.Context(), Request{Service: "till", Method: "POST", Path: "/x", Once: true})
				is.NoErr(err)
				want := refusal.Ran
				if c.first == refusal.Unknown {
					want = refusal.Unknown // the key is kept
				}
				is.Equal(resp.Outcome, want)
				is.NoErr(resp.Body.Close())
				is.Equal(len(keys), c.keys)
			})
		})
	}
}

// owner returns the host that owns a request's key, or -1 if it has none.
func owner(r *http.Request) int {
	var n int
	if _, err := fmt.Sscanf(r.Header.Get(callers.HeaderIdempotencyKey), "%016d-1", &n); err != nil {
		return -1
	}
	return n
}

func TestKeyIsKeptIfReusedConnectionBreaksBeforeDialFails(t *testing.T) {
	withClient(t, func(t *testing.T, is *is.I, h *fakeHosts, cl *Client) {
		keys := make(map[string]bool)
		h.serve = func(host int, w http.ResponseWriter, r *http.Request) {
			switch key := r.Header.Get(callers.HeaderIdempotencyKey); {
			case key == "":
				ran(w)
			case host == owner(r):
				keys[key] = true // The request runs, and its host crashes before it responds.
				h.net.Kill(fmt.Sprintf("10.0.0.%d", host+1))
				panic(http.ErrAbortHandler)
			default:
				refuse(w, refusal.CodePeerUnreachable, refusal.Unknown, 0)
			}
		}
		for range 20 { // Opens connections to all hosts.
			resp, err := cl.Do(t.Context(), Request{Service: "till", Method: "GET", Path: "/x"})
			is.NoErr(err)
			_, err = io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
		}
		resp, err := cl.Do(t.Context(), Request{Service: "till", Method: "POST", Path: "/x", Once: true})
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.Outcome, refusal.Unknown) // the other hosts cannot know
		is.Equal(len(keys), 1)                  // it ran under one key only
		is.True(keys[resp.IdempotencyKey])      // and the caller has that key
	})
}

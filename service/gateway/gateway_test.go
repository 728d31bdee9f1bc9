package gateway_test

import (
	"context"
	"errors"
	"io"
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

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/hedger"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/retrier"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// testCodec is a gateway.HeaderCodec with simple header fields.
type testCodec struct{}

func (testCodec) ReadRequest(h http.Header) gateway.RequestInfo {
	ms, err := strconv.Atoi(h.Get("Timeout"))
	if err != nil {
		ms = 1000
	}
	return gateway.RequestInfo{
		ID: h.Get("Id"), Object: h.Get("Object"), Key: h.Get("Key"), Timeout: time.Duration(ms) * time.Millisecond,
	}
}

func (testCodec) ReadHealth(http.Header) gateway.HealthInfo { return gateway.HealthInfo{} }

func (testCodec) WriteRelay(h http.Header, timeout time.Duration) {
	h.Set("Timeout", strconv.FormatInt(timeout.Milliseconds(), 10))
}

func (testCodec) WriteForward(h http.Header, s gateway.ForwardInfo) {
	h.Del("Key")
	h.Set("Workspace", string(s.Workspace))
	h.Set("Target", string(s.Target))
	h.Set("Remaining", strconv.FormatInt(s.Timeout.Milliseconds(), 10))
}

func (testCodec) ReadResponse(status int, h http.Header, id string) gateway.ResponseInfo {
	return gateway.ResponseInfo{
		NotRun: h.Get("Shed") != "" || status == http.StatusMisdirectedRequest, AddressReused: status == http.StatusMisdirectedRequest,
		Stamped: h.Get("Stamp") != "", IDMismatch: h.Get("Id") != "" && h.Get("Id") != id, IDMatch: h.Get("Id") == id,
	}
}

// reply produces the result of one send.
type reply func(ctx context.Context, r *http.Request) (*http.Response, bool, error)

// fakeSender responds with its replies in order, and repeats the last one. It may be called
// concurrently.
type fakeSender struct {
	replies []reply
	mu      sync.Mutex
	sends   []*http.Request
	bodies  []string
}

func (s *fakeSender) Refuses(context.Context, string) bool { return false }

func (s *fakeSender) Do(ctx context.Context, _ string, r *http.Request) (*http.Response, bool, error) {
	s.mu.Lock()
	n := min(len(s.sends), len(s.replies)-1)
	s.sends = append(s.sends, r)
	s.mu.Unlock()
	if r.Body != nil {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, true, err
		}
		s.mu.Lock()
		s.bodies = append(s.bodies, string(text))
		s.mu.Unlock()
	}
	return s.replies[n](ctx, r)
}

func respond(status int, body string, fields ...string) reply {
	return func(_ context.Context, r *http.Request) (*http.Response, bool, error) {
		h := http.Header{"Stamp": {"s"}, "Id": {r.Header.Get("Id")}}
		for i := 0; i < len(fields); i += 2 {
			h.Set(fields[i], fields[i+1])
		}
		return &http.Response{
			StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)),
		}, true, nil
	}
}

func connectionLost(sent bool) reply {
	return func(context.Context, *http.Request) (*http.Response, bool, error) {
		return nil, sent, errors.New("connection reset")
	}
}

func hang() reply {
	return func(ctx context.Context, _ *http.Request) (*http.Response, bool, error) {
		<-ctx.Done()
		return nil, true, ctx.Err()
	}
}

// truncated is a response that breaks off in the middle of its body.
func truncated() reply {
	return func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
		resp, sent, err := respond(http.StatusOK, "")(ctx, r)
		resp.ContentLength = 100
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), errReader{}))
		return resp, sent, err
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// environment implements the dependencies of a Handler.
type environment struct {
	router   atomic.Pointer[router.Router]
	age      time.Duration
	overRate bool
	records  []*gateway.Record
	sender   *fakeSender
	links    links
	hosts    fakeRelayer
	// silent is set if records are not kept, as requests run at once.
	silent   bool
	balancer *balancer.Balancer
	isolator isolator.Isolator
	budget   retrier.Budget
	// retryRatio is the share of requests that may be retried, and Hedger allows
	// no hedges by default.
	retryRatio float64
	gateway.Hedger
}

func (env *environment) Router() *router.Router     { return env.router.Load() }
func (env *environment) Age() (time.Duration, bool) { return env.age, true }
func (env *environment) Record(r *gateway.Record) {
	if !env.silent {
		env.records = append(env.records, r)
	}
}
func (env *environment) RecordCrash(*gateway.Crash) {}
func (env *environment) Admit(*router.Workspace) (time.Duration, bool) {
	return 250 * time.Millisecond, !env.overRate
}
func (env *environment) WouldAdmit(*router.Workspace) (admits, known bool) {
	return !env.overRate, true
}

// maxConfirmationAge is the maximum age of a confirmation.
const maxConfirmationAge = 4 * time.Second

func document() router.Document {
	share := []router.Share{{Service: "a", Weight: 1}}
	return router.Document{
		Version: 1,
		Routes: []*router.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Shares: share, MaxAttempts: 2, Timeout: 500 * time.Millisecond},
			{Name: "pay", Host: "h", Prefix: "/pay/", Kind: router.NonIdempotent, Shares: share, MaxAttempts: 2},
			{Name: "open", Host: "h", Prefix: "/open/", Shares: share, MaxAttempts: 1, Open: true},
			{Name: "slashes", Host: "h", Prefix: "//", Shares: share, MaxAttempts: 1},
			{Name: "home", Host: "h", Prefix: "/home/", Shares: share, MaxAttempts: 2, HomeRegions: []ids.Region{"west"}},
		},
		Workspaces: []router.Workspace{{Name: "school", Keys: []string{"k"}}},
		Limits:     router.Limits{MaxBodyBytes: 1000},
	}
}

// withHandler calls f on the virtual clock with a handler for four targets, three in
// the east and one in the west, that respond with replies in order.
func withHandler(t *testing.T, replies []reply, f func(env *environment, h *gateway.Handler)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		env := &environment{sender: &fakeSender{replies: replies}, retryRatio: 1, Hedger: &hedger.Hedger{}}
		env.router.Store(router.New(document()))
		lb := balancer.New(balancer.Config{Zone: "e1", Regions: map[ids.Zone]ids.Region{"e1": "east", "w1": "west"}})
		lb.SetTargets([]registrar.Target{
			{ID: "one", Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: 4},
			{ID: "two", Service: "a", Address: "10.0.0.2:1", Zone: "e1", Slots: 4},
			{ID: "three", Service: "a", Address: "10.0.0.3:1", Zone: "e1", Slots: 4},
			{ID: "west", Service: "a", Address: "10.1.0.1:1", Zone: "w1", Slots: 4},
		})
		env.balancer = lb
		f(env, gateway.New(gateway.Config{
			Isolator: &env.isolator, Hedger: env,
			HeaderCodec: testCodec{}, RouterSource: env, Confirmer: env, Balancer: lb, RateLimiter: env, Sender: env.sender,
			RetryBudget: &env.budget, Recorder: env, Watchdog: &env.links, Relayer: &env.hosts,
			MaxConfirmationAge: func() time.Duration { return maxConfirmationAge },
			Outdated:           func() bool { return false },
			RetryRatio:         func() float64 { return env.retryRatio },
		}))
	})
}

// call sends one request. fields are names and values of header fields.
func call(h http.Handler, method, path, body string, fields ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if body == "" {
		r.Body, r.ContentLength = http.NoBody, 0
	}
	r.Host = "h"
	r.Header.Set("Id", "id-1")
	r.Header.Set("Key", "k")
	for i := 0; i < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, r)
	return rec
}

func TestResponseIsPassedOnUnchanged(t *testing.T) {
	withHandler(t, []reply{respond(http.StatusCreated, "bytes", "Extra", "x", "Connection", "X-Hop", "X-Hop", "1")},
		func(env *environment, h *gateway.Handler) {
			is := is.New(t)
			rec := call(h, http.MethodPost, "/pay/a%2Fb?q=%20x&y", "order", "Workspace", "forged", "Connection", "X-Mine", "X-Mine", "1")
			is.Equal(rec.Code, http.StatusCreated)
			is.Equal(rec.Body.String(), "bytes")
			is.Equal(rec.Header().Get("Extra"), "x")
			is.Equal(rec.Header().Get("X-Hop"), "")
			sent := env.sender.sends[0]
			is.Equal(sent.URL.Opaque, "/pay/a%2Fb?q=%20x&y")
			is.Equal(sent.Header.Get("Workspace"), "school")
			is.Equal(sent.Header.Get("Key"), "")
			is.Equal(sent.Header.Get("X-Mine"), "")
			is.Equal(env.sender.bodies[0], "order")
		})
}

// A non-idempotent request that may have run must not be sent again, and the response
// must not say that it did not run.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	for name, first := range map[string]reply{
		"connectionLost": connectionLost(true), "truncated": truncated(), "otherID": respond(http.StatusOK, "x", "Id", "other"),
		"unstamped": respond(http.StatusOK, "x", "Stamp", ""), "bare503": respond(http.StatusServiceUnavailable, ""),
		"encoded": respond(http.StatusOK, "x", "Content-Encoding", "gzip"), "hangs": hang(),
		"status000": respond(0, "x"), "status600": respond(600, "x"),
	} {
		t.Run(name, func(t *testing.T) {
			withHandler(t, []reply{first, respond(http.StatusOK, "second")}, func(env *environment, h *gateway.Handler) {
				is := is.New(t)
				rec := call(h, http.MethodPost, "/pay/1", "order")
				is.Equal(len(env.sender.sends), 1)
				is.True(rec.Code == http.StatusBadGateway || rec.Code == http.StatusGatewayTimeout)
				is.Equal(rec.Header().Get("Stamp"), "")
				is.Equal(rec.Header().Get("Retry-After"), "")
			})
		})
	}
}

// An idempotent request whose first response is unusable must be sent to another
// target.
func TestIdempotentRequestIsSentAgain(t *testing.T) {
	for name, first := range map[string]reply{
		"connectionLost": connectionLost(true), "unreachable": connectionLost(false), "truncated": truncated(),
		"otherID": respond(http.StatusOK, "x", "Id", "other"), "failed": respond(http.StatusInternalServerError, ""),
		"shed": respond(http.StatusServiceUnavailable, "", "Shed", "1"), "replaced": respond(http.StatusMisdirectedRequest, ""),
		"status000": respond(0, "x"), "status600": respond(600, "x"),
	} {
		t.Run(name, func(t *testing.T) {
			withHandler(t, []reply{first, respond(http.StatusOK, "second")}, func(env *environment, h *gateway.Handler) {
				is := is.New(t)
				rec := call(h, http.MethodGet, "/read/1", "")
				is.Equal(rec.Code, http.StatusOK)
				is.Equal(rec.Body.String(), "second")
				is.Equal(len(env.sender.sends), 2)
				is.True(env.sender.sends[0].Header.Get("Target") != env.sender.sends[1].Header.Get("Target"))
			})
		})
	}
}

// A request that a target shed may go to another target with its whole body, also if it
// is not idempotent. If all targets shed it, the response must say that it did not run,
// and when to retry.
func TestShedRequestDidNotRun(t *testing.T) {
	shed := respond(http.StatusServiceUnavailable, "", "Shed", "1")
	withHandler(t, []reply{shed, respond(http.StatusOK, "second")}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, http.StatusOK)
		is.Equal(env.sender.bodies, []string{"order", "order"})
	})
	withHandler(t, []reply{shed}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		rec := call(h, http.MethodPost, "/pay/1", "order")
		is.Equal(rec.Code, http.StatusServiceUnavailable)
		is.True(rec.Header().Get("Retry-After") != "")
		is.Equal(len(env.sender.sends), 2) // the route's MaxAttempts
	})
}

func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		change    func(*environment)
		want      int
	}{
		"noRoute":     {"/none/", "k", nil, http.StatusNotFound},
		"keyUnknown":  {"/pay/", "other", nil, http.StatusUnauthorized},
		"openRoute":   {"/open/", "other", nil, http.StatusOK},
		"overRate":    {"/pay/", "k", func(env *environment) { env.overRate = true }, http.StatusTooManyRequests},
		"unconfirmed": {"/pay/", "k", func(env *environment) { env.age = maxConfirmationAge }, http.StatusServiceUnavailable},
		"noRouter":    {"/pay/", "k", func(env *environment) { env.router.Store(nil) }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			withHandler(t, []reply{respond(http.StatusOK, "x")}, func(env *environment, h *gateway.Handler) {
				is := is.New(t)
				if c.change != nil {
					c.change(env)
				}
				is.Equal(call(h, http.MethodPost, c.path, "", "Key", c.key).Code, c.want)
				if c.want != http.StatusOK {
					is.Equal(len(env.sender.sends), 0)
				}
			})
		})
	}
}

// If a key is withdrawn during a failing first attempt, there must be no second one.
func TestWithdrawnKeyPreventsRetry(t *testing.T) {
	withHandler(t, nil, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		env.sender.replies = []reply{func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
			d := document()
			d.Workspaces[0].Keys = nil
			env.router.Store(router.New(d))
			return respond(http.StatusServiceUnavailable, "", "Shed", "1")(ctx, r)
		}}
		is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, http.StatusServiceUnavailable)
		is.Equal(len(env.sender.sends), 1)
	})
}

// A request whose route has home regions must not run in another region.
func TestHomeRegionsAreEnforced(t *testing.T) {
	withHandler(t, []reply{connectionLost(false)}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		is.Equal(call(h, http.MethodGet, "/home/1", "").Code, http.StatusServiceUnavailable)
		is.Equal(len(env.sender.sends), 1)
		is.Equal(env.sender.sends[0].Header.Get("Target"), "west")
	})
}

// The route's timeout must end a request to which the target does not respond, also if
// the caller would wait longer.
func TestTimeoutOfTheRoute(t *testing.T) {
	withHandler(t, []reply{hang()}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		start := time.Now()
		rec := call(h, http.MethodGet, "/read/1", "", "Timeout", "5000")
		is.Equal(rec.Code, http.StatusGatewayTimeout)
		is.True(time.Since(start) <= 500*time.Millisecond)
		remaining, err := strconv.Atoi(env.sender.sends[0].Header.Get("Remaining"))
		is.NoErr(err)
		is.True(remaining <= 500)
	})
}

func TestBodyOverLimit(t *testing.T) {
	withHandler(t, []reply{respond(http.StatusOK, "x")}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		is.Equal(call(h, http.MethodPost, "/pay/1", strings.Repeat("x", 1001)).Code, http.StatusRequestEntityTooLarge)
		is.Equal(len(env.sender.sends), 0)
	})
}

// A draining host finally rejects requests, and says that they did not run. The server closes the
// connections: TestStoppingHostClosesConnections of service/gatewayhost.
func TestDrainingHostRejectsRequests(t *testing.T) {
	withHandler(t, []reply{respond(http.StatusOK, "x")}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		is.Equal(call(h, http.MethodGet, "/read/1", "").Code, http.StatusOK)
		h.RejectRequests()
		rec := call(h, http.MethodGet, "/read/1", "")
		is.Equal(rec.Code, http.StatusServiceUnavailable)
		is.Equal(rec.Header().Get("Retry-After"), "0.3")
		is.Equal(len(env.sender.sends), 1)
	})
}

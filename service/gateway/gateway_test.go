package gateway_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/retrier"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// plainHeaders is a simple form of the fields between callers and targets.
type plainHeaders struct{}

func (plainHeaders) ReadRequest(h http.Header) gateway.RequestInfo {
	ms, err := strconv.Atoi(h.Get("Patience"))
	if err != nil {
		ms = 1000
	}
	return gateway.RequestInfo{
		ID: h.Get("Id"), Object: h.Get("Object"), Key: h.Get("Key"), Timeout: time.Duration(ms) * time.Millisecond,
	}
}

func (plainHeaders) WriteForward(h http.Header, s gateway.ForwardInfo) {
	h.Del("Key")
	h.Set("Workspace", string(s.Workspace))
	h.Set("Target", string(s.Target))
	h.Set("Left", strconv.FormatInt(s.Timeout.Milliseconds(), 10))
}

func (plainHeaders) ReadResponse(status int, h http.Header, id string) gateway.ResponseInfo {
	return gateway.ResponseInfo{
		NotRun: h.Get("Shed") != "" || status == http.StatusMisdirectedRequest, Replaced: status == http.StatusMisdirectedRequest,
		Stamped: h.Get("Stamp") != "", IDMismatch: h.Get("Id") != "" && h.Get("Id") != id, IDMatch: h.Get("Id") == id,
	}
}

// reply is how the targets answer one send.
type reply func(ctx context.Context, r *http.Request) (*http.Response, bool, error)

// targets answers sends one after the other; the last reply repeats.
type targets struct {
	replies []reply
	sends   []*http.Request
	bodies  []string
}

func (s *targets) Do(ctx context.Context, _ string, r *http.Request) (*http.Response, bool, error) {
	n := min(len(s.sends), len(s.replies)-1)
	s.sends = append(s.sends, r)
	if r.Body != nil {
		text, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, true, err
		}
		s.bodies = append(s.bodies, string(text))
	}
	return s.replies[n](ctx, r)
}

func answer(status int, body string, fields ...string) reply {
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

func lost(sent bool) reply {
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

// cutShort breaks off in the middle of its body.
func cutShort() reply {
	return func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
		resp, sent, err := answer(http.StatusOK, "")(ctx, r)
		resp.ContentLength = 100
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), errReader{}))
		return resp, sent, err
	}
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// world is what the handler gets to know.
type world struct {
	router  atomic.Pointer[router.Router]
	age     time.Duration
	over    bool
	records []*gateway.Record
	targets *targets
}

func (w *world) Router() *router.Router     { return w.router.Load() }
func (w *world) Age() (time.Duration, bool) { return w.age, true }
func (w *world) Record(r *gateway.Record)   { w.records = append(w.records, r) }
func (w *world) Admit(*router.Workspace) (time.Duration, bool) {
	return 250 * time.Millisecond, !w.over
}

// keyBound is how old the proof may be that a key is in force.
const keyBound = 4 * time.Second

func document() router.Document {
	share := []router.Share{{Service: "a", Weight: 1}}
	return router.Document{
		Version: 1,
		Routes: []*router.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Shares: share, MaxAttempts: 2, Timeout: 500 * time.Millisecond},
			{Name: "pay", Host: "h", Prefix: "/pay/", Kind: router.NonIdempotent, Shares: share, MaxAttempts: 2},
			{Name: "open", Host: "h", Prefix: "/open/", Shares: share, MaxAttempts: 1, Open: true},
			{Name: "home", Host: "h", Prefix: "/home/", Shares: share, MaxAttempts: 2, HomeRegions: []ids.Region{"west"}},
		},
		Workspaces: []router.Workspace{{Name: "school", Keys: []string{"k"}}},
		Limits:     router.Limits{MaxBodyBytes: 1000},
	}
}

// withHandler calls f on the virtual clock with a handler whose targets, three
// in the east and one in the west, answer with replies.
func withHandler(t *testing.T, replies []reply, f func(w *world, h *gateway.Handler)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		w := &world{targets: &targets{replies: replies}}
		w.router.Store(router.New(document()))
		p := balancer.New(balancer.Config{Zone: "e1", Regions: map[ids.Zone]ids.Region{"e1": "east", "w1": "west"}})
		p.SetTargets([]registrar.Target{
			{ID: "one", Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: 4},
			{ID: "two", Service: "a", Address: "10.0.0.2:1", Zone: "e1", Slots: 4},
			{ID: "three", Service: "a", Address: "10.0.0.3:1", Zone: "e1", Slots: 4},
			{ID: "west", Service: "a", Address: "10.1.0.1:1", Zone: "w1", Slots: 4},
		})
		f(w, gateway.New(gateway.Config{
			HeaderCodec: plainHeaders{}, RouterSource: w, Confirmer: w, Placer: p, RateLimiter: w, Sender: w.targets,
			RetryBudget: &retrier.Budget{}, Recorder: w,
			MaxConfirmationAge: func() time.Duration { return keyBound },
			RetryRatio:         func() float64 { return 1 },
		}))
	})
}

// call sends one request. Fields are names and values of header fields.
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

func TestAnswerIsPassedOnUnchanged(t *testing.T) {
	withHandler(t, []reply{answer(http.StatusCreated, "bytes", "Extra", "x", "Connection", "X-Hop", "X-Hop", "1")},
		func(w *world, h *gateway.Handler) {
			is := is.New(t)
			rec := call(h, http.MethodPost, "/pay/a%2Fb?q=%20x&y", "order", "Workspace", "forged", "Connection", "X-Mine", "X-Mine", "1")
			is.Equal(rec.Code, http.StatusCreated)
			is.Equal(rec.Body.String(), "bytes")
			is.Equal(rec.Header().Get("Extra"), "x")
			is.Equal(rec.Header().Get("X-Hop"), "")
			sent := w.targets.sends[0]
			is.Equal(sent.URL.Opaque, "/pay/a%2Fb?q=%20x&y")
			is.Equal(sent.Header.Get("Workspace"), "school")
			is.Equal(sent.Header.Get("Key"), "")
			is.Equal(sent.Header.Get("X-Mine"), "")
			is.Equal(w.targets.bodies[0], "order")
		})
}

// A request that may have run is never sent again, nor said not to have run.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	for name, first := range map[string]reply{
		"lost": lost(true), "cutShort": cutShort(), "foreign": answer(http.StatusOK, "x", "Id", "other"),
		"unsigned": answer(http.StatusOK, "x", "Stamp", ""), "falsePromise": answer(http.StatusServiceUnavailable, ""),
		"encoded": answer(http.StatusOK, "x", "Content-Encoding", "gzip"), "hangs": hang(),
	} {
		t.Run(name, func(t *testing.T) {
			withHandler(t, []reply{first, answer(http.StatusOK, "second")}, func(w *world, h *gateway.Handler) {
				is := is.New(t)
				rec := call(h, http.MethodPost, "/pay/1", "order")
				is.Equal(len(w.targets.sends), 1)
				is.True(rec.Code == http.StatusBadGateway || rec.Code == http.StatusGatewayTimeout)
				is.Equal(rec.Header().Get("Stamp"), "")
				is.Equal(rec.Header().Get("Retry-After"), "")
			})
		})
	}
}

// An idempotent request whose first answer is no use is sent to another target.
func TestIdempotentRequestIsSentAgain(t *testing.T) {
	for name, first := range map[string]reply{
		"lost": lost(true), "unreachable": lost(false), "cutShort": cutShort(),
		"foreign": answer(http.StatusOK, "x", "Id", "other"), "failed": answer(http.StatusInternalServerError, ""),
		"shed": answer(http.StatusServiceUnavailable, "", "Shed", "1"), "replaced": answer(http.StatusMisdirectedRequest, ""),
	} {
		t.Run(name, func(t *testing.T) {
			withHandler(t, []reply{first, answer(http.StatusOK, "second")}, func(w *world, h *gateway.Handler) {
				is := is.New(t)
				rec := call(h, http.MethodGet, "/read/1", "")
				is.Equal(rec.Code, http.StatusOK)
				is.Equal(rec.Body.String(), "second")
				is.Equal(len(w.targets.sends), 2)
				is.True(w.targets.sends[0].Header.Get("Target") != w.targets.sends[1].Header.Get("Target"))
			})
		})
	}
}

// What no target ran may go to another one, whatever its kind, with its whole
// body; if none takes it, the caller is told that it did not run, and when to
// come back.
func TestShedRequestDidNotRun(t *testing.T) {
	shed := answer(http.StatusServiceUnavailable, "", "Shed", "1")
	withHandler(t, []reply{shed, answer(http.StatusOK, "second")}, func(w *world, h *gateway.Handler) {
		is := is.New(t)
		is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, http.StatusOK)
		is.Equal(w.targets.bodies, []string{"order", "order"})
	})
	withHandler(t, []reply{shed}, func(w *world, h *gateway.Handler) {
		is := is.New(t)
		rec := call(h, http.MethodPost, "/pay/1", "order")
		is.Equal(rec.Code, http.StatusServiceUnavailable)
		is.True(rec.Header().Get("Retry-After") != "")
		is.Equal(len(w.targets.sends), 2) // the route's attempts
	})
}

func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		path, key string
		change    func(*world)
		want      int
	}{
		"noRoute":     {"/none/", "k", nil, http.StatusNotFound},
		"keyUnknown":  {"/pay/", "other", nil, http.StatusUnauthorized},
		"openRoute":   {"/open/", "other", nil, http.StatusOK},
		"overRate":    {"/pay/", "k", func(w *world) { w.over = true }, http.StatusTooManyRequests},
		"unconfirmed": {"/pay/", "k", func(w *world) { w.age = keyBound }, http.StatusServiceUnavailable},
		"noRouter":    {"/pay/", "k", func(w *world) { w.router.Store(nil) }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			withHandler(t, []reply{answer(http.StatusOK, "x")}, func(w *world, h *gateway.Handler) {
				is := is.New(t)
				if c.change != nil {
					c.change(w)
				}
				is.Equal(call(h, http.MethodPost, c.path, "", "Key", c.key).Code, c.want)
				if c.want != http.StatusOK {
					is.Equal(len(w.targets.sends), 0)
				}
			})
		})
	}
}

// A key that is withdrawn while a first send fails is not used for a second one.
func TestWithdrawnKeyStopsTheSecondSend(t *testing.T) {
	withHandler(t, nil, func(w *world, h *gateway.Handler) {
		is := is.New(t)
		w.targets.replies = []reply{func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
			d := document()
			d.Workspaces[0].Keys = nil
			w.router.Store(router.New(d))
			return answer(http.StatusServiceUnavailable, "", "Shed", "1")(ctx, r)
		}}
		is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, http.StatusServiceUnavailable)
		is.Equal(len(w.targets.sends), 1)
	})
}

// A request whose route has homes runs in no other region.
func TestHomesAreKept(t *testing.T) {
	withHandler(t, []reply{lost(false)}, func(w *world, h *gateway.Handler) {
		is := is.New(t)
		is.Equal(call(h, http.MethodGet, "/home/1", "").Code, http.StatusServiceUnavailable)
		is.Equal(len(w.targets.sends), 1)
		is.Equal(w.targets.sends[0].Header.Get("Target"), "west")
	})
}

// The operator's bound ends a request that its target holds.
func TestTimeoutOfTheRoute(t *testing.T) {
	withHandler(t, []reply{hang()}, func(w *world, h *gateway.Handler) {
		is := is.New(t)
		begun := time.Now()
		rec := call(h, http.MethodGet, "/read/1", "", "Patience", "5000")
		is.Equal(rec.Code, http.StatusGatewayTimeout)
		is.True(time.Since(begun) <= 500*time.Millisecond)
		left, err := strconv.Atoi(w.targets.sends[0].Header.Get("Left"))
		is.NoErr(err)
		is.True(left <= 500)
	})
}

func TestBodyOverItsBound(t *testing.T) {
	withHandler(t, []reply{answer(http.StatusOK, "x")}, func(w *world, h *gateway.Handler) {
		is := is.New(t)
		is.Equal(call(h, http.MethodPost, "/pay/1", strings.Repeat("x", 1001)).Code, http.StatusRequestEntityTooLarge)
		is.Equal(len(w.targets.sends), 0)
	})
}

// A leaving host closes connections with its answers, and at its end refuses.
func TestLeavingHostClosesConnections(t *testing.T) {
	withHandler(t, []reply{answer(http.StatusOK, "x")}, func(_ *world, h *gateway.Handler) {
		is := is.New(t)
		h.DisableKeepAlives()
		rec := call(h, http.MethodGet, "/read/1", "")
		is.Equal(rec.Code, http.StatusOK)
		is.Equal(rec.Header().Get("Connection"), "close")
		h.RejectRequests()
		rec = call(h, http.MethodGet, "/read/1", "")
		is.Equal(rec.Code, http.StatusServiceUnavailable)
		is.Equal(rec.Header().Get("Connection"), "close")
	})
}

package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// links implements gateway.Watchdog.
type links struct {
	cutOff atomic.Bool
	lost   chan struct{}
}

func (l *links) CutOff() bool                           { return l.cutOff.Load() }
func (l *links) Suspicious() bool                       { return l.cutOff.Load() }
func (l *links) Lost() <-chan struct{}                  { return l.lost }
func (l *links) Begin(string) (end func(answered bool)) { return func(bool) {} }

// lose makes the links be found lost.
func (l *links) lose() {
	l.cutOff.Store(true)
	close(l.lost)
}

// fakeRelayer implements gateway.Relayer with hosts that respond like the replies of its
// sender.
type fakeRelayer struct {
	fakeSender
	addresses []string
	homes     [][]ids.Region
}

func (f *fakeRelayer) Hosts(homes [][]ids.Region) []string {
	f.homes = homes
	return f.addresses
}

// refusedByHost is the response of a host that is cut off itself.
func refusedByHost() reply {
	return respond(http.StatusServiceUnavailable, "", "Gypsum-Relay-Refused", "1")
}

// withCutOffHandler is like withHandler, with a host that is cut off from the targets and three
// other ones that respond with replies.
func withCutOffHandler(t *testing.T, replies []reply, f func(env *environment, h *gateway.Handler)) {
	t.Helper()
	withHandler(t, []reply{connectionLost(false)}, func(env *environment, h *gateway.Handler) {
		env.links.cutOff.Store(true)
		env.hosts = fakeRelayer{fakeSender{replies: replies}, []string{"h1", "h2", "h3"}, nil}
		f(env, h)
	})
}

// A host that is cut off from the targets passes requests on whole, with the time that is
// left, and leaves the rate limit to the host that serves them.
func TestCutOffHostRelays(t *testing.T) {
	withCutOffHandler(t, []reply{respond(http.StatusOK, "bytes", "Extra", "x")}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		env.overRate = true
		rec := call(h, http.MethodPost, "/pay/a%2Fb?q=1", "order", "Timeout", "900")
		is.Equal(rec.Code, http.StatusOK)
		is.Equal(rec.Body.String(), "bytes")
		is.Equal(rec.Header().Get("Extra"), "x")
		is.Equal(len(env.sender.sends), 0)
		sent := env.hosts.sends[0]
		is.Equal(sent.URL.Opaque, "/pay/a%2Fb?q=1")
		is.Equal(env.hosts.bodies[0], "order")
		is.Equal(sent.Header.Get("Key"), "k")
		is.Equal(sent.Header.Get("Timeout"), "880")
		is.Equal(sent.Header.Get(gateway.HeaderRelay), "2")
	})
}

// The next host is tried only if the request certainly did not run at the one before.
func TestRelayIsRepeatedOnlyIfNotRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []reply
		sends   int
		status  int
	}{
		{"not reached", []reply{connectionLost(false), respond(http.StatusOK, "")}, 2, http.StatusOK},
		{"cut off too", []reply{refusedByHost(), respond(http.StatusOK, "")}, 2, http.StatusOK},
		{"all cut off", []reply{refusedByHost()}, 3, http.StatusServiceUnavailable},
		{"may have run", []reply{connectionLost(true), respond(http.StatusOK, "")}, 1, http.StatusBadGateway},
		{"refused by the target", []reply{respond(http.StatusServiceUnavailable, "", "Retry-After", "0.3")}, 1, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCutOffHandler(t, c.replies, func(env *environment, h *gateway.Handler) {
				is := is.New(t)
				is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, c.status)
				is.Equal(len(env.hosts.sends), c.sends)
			})
		})
	}
}

// Requests with homes may only go to hosts there.
func TestRelayedRequestStaysAtHome(t *testing.T) {
	withCutOffHandler(t, []reply{respond(http.StatusOK, "")}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		is.Equal(call(h, http.MethodGet, "/home/1", "").Code, http.StatusOK)
		is.Equal(env.hosts.homes[0], []ids.Region{"west"})
	})
}

// A relayed request is never passed on further, and the host that refuses it says that another
// one may serve it.
func TestRelayedRequestGoesNoFurther(t *testing.T) {
	withCutOffHandler(t, []reply{respond(http.StatusOK, "")}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		rec := call(h.RelayedHandler(), http.MethodGet, "/read/1", "", gateway.HeaderRelay, "1")
		is.Equal(rec.Code, http.StatusServiceUnavailable)
		is.Equal(len(env.hosts.sends), 0)
		is.Equal(len(env.sender.sends), 1) // no more targets than it may be sent to
		h.RejectRequests()
		rec = call(h.RelayedHandler(), http.MethodGet, "/read/1", "", gateway.HeaderRelay, "1")
		is.Equal(rec.Header().Get("Gypsum-Relay-Refused"), "1")
	})
}

// A host whose state goes stale while a relayed request runs must not say that it did not run.
func TestStaleHostTellsWhetherRelayedRequestRan(t *testing.T) {
	withHandler(t, []reply{connectionLost(true)}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		env.sender.replies[0] = func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
			env.age = maxConfirmationAge
			return connectionLost(true)(ctx, r)
		}
		rec := call(h.RelayedHandler(), http.MethodGet, "/read/1", "", gateway.HeaderRelay, "2")
		is.Equal(rec.Code, http.StatusBadGateway)
		is.Equal(rec.Header().Get("Gypsum-Relay-Refused"), "")
	})
}

// An idempotent request whose target hangs is passed on as soon as the links are found lost.
// Another one waits, as it may have run.
func TestLostLinkEndsWaiting(t *testing.T) {
	for path, status := range map[string]int{"/read/1": http.StatusOK, "/pay/1": http.StatusGatewayTimeout} {
		withHandler(t, []reply{hang()}, func(env *environment, h *gateway.Handler) {
			is := is.New(t)
			env.links.lost = make(chan struct{})
			env.hosts = fakeRelayer{fakeSender{replies: []reply{respond(http.StatusOK, "")}}, []string{"h1"}, nil}
			time.AfterFunc(100*time.Millisecond, env.links.lose)
			start := time.Now()
			is.Equal(call(h, http.MethodGet, path, "").Code, status)
			is.Equal(time.Since(start) < 200*time.Millisecond, status == http.StatusOK)
		})
	}
}

// A draining host waits for the requests of other hosts too.
func TestDrainWaitsForRelayedRequests(t *testing.T) {
	withHandler(t, []reply{hang()}, func(_ *environment, h *gateway.Handler) {
		is := is.New(t)
		r := httptest.NewRequest(http.MethodGet, "/read/1", strings.NewReader(""))
		r.Host = "h"
		r.Header = http.Header{"Id": {"1"}, "Key": {"k"}, "Timeout": {"300"}, gateway.HeaderRelay: {"1"}}
		start := time.Now()
		go h.RelayedHandler().ServeHTTP(httptest.NewRecorder(), r)
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.NoErr(h.DrainRelayed(ctx))
		is.True(time.Since(start) >= 280*time.Millisecond)
	})
}

// closeRecorder records that a body is closed.
type closeRecorder struct {
	io.Reader
	closed bool
}

func (c *closeRecorder) Close() error {
	c.closed = true
	return nil
}

// The body of a long refusal of another host that can't be passed on, as the request may have
// run before, is closed.
func TestRefusalThatIsReplacedIsClosed(t *testing.T) {
	withHandler(t, nil, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		body := &closeRecorder{Reader: strings.NewReader(strings.Repeat("x", 100<<10))}
		env.sender.replies = []reply{func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
			env.links.cutOff.Store(true)
			return connectionLost(true)(ctx, r)
		}}
		env.hosts = fakeRelayer{fakeSender{replies: []reply{func(context.Context, *http.Request) (*http.Response, bool, error) {
			return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{}, Body: body, ContentLength: 100 << 10}, true, nil
		}}}, []string{"h1"}, nil}
		is.Equal(call(h, http.MethodGet, "/read/1", "").Code, http.StatusBadGateway)
		is.True(body.closed)
	})
}

package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
	"gypsumbeam.example/gypsumbeam/pkg/retrier"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// healthBound is how long the health checks of one request may take, and healthPath the path of
// service a.
const (
	healthBound = 50 * time.Millisecond
	healthPath  = "/alive"
)

// healthCodec reads health checks, too.
type healthCodec struct{ testCodec }

func (healthCodec) ReadHealth(h http.Header) gateway.HealthInfo {
	return gateway.HealthInfo{Target: ids.Target(h.Get("Instance")), LoadReport: balancer.LoadReport{HasLoad: true, Slowdown: 2}}
}

// checkingBalancer asks for a health check of target one as often as asked.
type checkingBalancer struct {
	*balancer.Balancer
	asked    int
	observed []ids.Target
	wanted   []balancer.Request
}

func (b *checkingBalancer) CheckFirst(balancer.Request) (balancer.HealthCheck, bool) {
	b.asked++
	return balancer.HealthCheck{Target: "one", Address: "10.0.0.1:1"}, true
}

func (b *checkingBalancer) ObserveHealth(id ids.Target, _ balancer.LoadReport) {
	b.observed = append(b.observed, id)
}

func (b *checkingBalancer) Pick(r balancer.Request) (*balancer.Choice, error) {
	b.wanted = append(b.wanted, r)
	return b.Balancer.Pick(r)
}

// healthSender responds to health checks, and with status 200 to all other requests.
type healthSender struct {
	health reply
	checks []*http.Request
	sends  int
}

func (s *healthSender) Refuses(context.Context, string) bool { return false }

func (s *healthSender) Do(ctx context.Context, _ string, r *http.Request) (*http.Response, bool, error) {
	if r.URL.Path == healthPath {
		s.checks = append(s.checks, r)
		return s.health(ctx, r)
	}
	s.sends++
	return respond(http.StatusOK, "answer")(ctx, r)
}

// withChecks sends a request through a handler whose balancer asks for health checks, and
// returns how long it took.
func withChecks(t *testing.T, health reply, f func(is *is.I, b *checkingBalancer, s *healthSender, took time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := &environment{}
		d := document()
		d.Services = []router.Service{{Name: "a", HealthPath: healthPath}}
		env.router.Store(router.New(d))
		b := &checkingBalancer{Balancer: balancer.New(balancer.Config{Zone: "e1", Regions: map[ids.Zone]ids.Region{"e1": "east"}})}
		b.SetTargets([]registrar.Target{{ID: "one", Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: 4}})
		s := &healthSender{health: health}
		h := gateway.New(gateway.Config{
			Isolator: &isolator.Isolator{}, HeaderCodec: healthCodec{}, RouterSource: env, Confirmer: env, Balancer: b, RateLimiter: env,
			Sender: s, RetryBudget: &retrier.Budget{}, Recorder: env, Watchdog: &env.links, Relayer: &env.hosts,
			MaxConfirmationAge: func() time.Duration { return maxConfirmationAge },
			Outdated:           func() bool { return false },
			RetryRatio:         func() float64 { return 1 },
		})
		begun := time.Now()
		rec := call(h, http.MethodPost, "/pay/1", "order")
		took := time.Since(begun)
		is.Equal(rec.Code, http.StatusOK)
		is.Equal(rec.Body.String(), "answer")
		is.Equal(s.sends, 1)
		f(is, b, s, took)
	})
}

// after delays a reply.
func after(d time.Duration, r reply) reply {
	return func(ctx context.Context, req *http.Request) (*http.Response, bool, error) {
		select {
		case <-time.After(d):
			return r(ctx, req)
		case <-ctx.Done():
			return nil, true, ctx.Err()
		}
	}
}

// blockedBody is a response body of which nothing comes until the request ends.
type blockedBody struct{ ctx context.Context }

func (b blockedBody) Read([]byte) (int, error) { <-b.ctx.Done(); return 0, b.ctx.Err() }
func (blockedBody) Close() error               { return nil }

// Guards against a health check that makes a request fail, changes what is known of the target
// although it failed or came from another process, or delays the request for long.
func TestFailedHealthCheckChangesNothing(t *testing.T) {
	for name, health := range map[string]reply{
		"refused": connectionLost(false), "connectionLost": connectionLost(true), "hangs": hang(),
		"otherInstance": respond(http.StatusOK, "ok", "Instance", "two"), "noInstance": respond(http.StatusOK, "ok"),
		"late":      after(healthBound, respond(http.StatusOK, "ok", "Instance", "one")),
		"unhealthy": respond(http.StatusServiceUnavailable, "", "Instance", "one"),
	} {
		t.Run(name, func(t *testing.T) {
			withChecks(t, health, func(is *is.I, b *checkingBalancer, s *healthSender, took time.Duration) {
				is.Equal(len(b.observed), 0)
				is.Equal(len(s.checks), 1) // no further one after a failure
				is.True(took <= healthBound)
			})
		})
	}
}

// Guards against endless checks, and against a slow body or slow responses that add up.
func TestHealthChecksAreBounded(t *testing.T) {
	for name, health := range map[string]reply{
		"atOnce": respond(http.StatusOK, "ok", "Instance", "one"),
		"slow":   after(20*time.Millisecond, respond(http.StatusOK, "ok", "Instance", "one")),
		"slowBody": func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
			resp, sent, err := respond(http.StatusOK, "", "Instance", "one")(ctx, r)
			resp.Body = blockedBody{ctx}
			return resp, sent, err
		},
		"longBody": respond(http.StatusOK, strings.Repeat("x", 1<<20), "Instance", "one"),
	} {
		t.Run(name, func(t *testing.T) {
			withChecks(t, health, func(is *is.I, b *checkingBalancer, s *healthSender, took time.Duration) {
				is.Equal(b.observed, []ids.Target{"one", "one"})
				is.Equal(len(s.checks), 2)
				is.True(took <= healthBound)
				check := s.checks[0]
				is.Equal(check.Method, http.MethodGet)
				is.Equal(check.Header.Get("Key"), "") // nothing of the caller's request
				is.Equal(check.Header.Get("Id"), "")
			})
		})
	}
}

// Guards against a request that is admitted with time that the health checks have used up.
func TestHealthChecksCountTowardsTheDeadline(t *testing.T) {
	slow := after(20*time.Millisecond, respond(http.StatusOK, "ok", "Instance", "one"))
	withChecks(t, slow, func(is *is.I, b *checkingBalancer, _ *healthSender, took time.Duration) {
		is.Equal(took, 40*time.Millisecond)
		is.True(b.wanted[0].TimeLeft <= time.Second-took)
	})
}

// closingBody is a response body that tells whether its connection was closed.
type closingBody struct {
	io.Reader
	closed *bool
}

func (closingBody) Close() error       { return nil }
func (b closingBody) CloseConnection() { *b.closed = true }

// Load: a target wrote an earlier response twice. Guards against a connection that is used again
// and on which the health check's own response would be taken for that of the next request.
func TestConnectionIsClosedAfterAnotherResponse(t *testing.T) {
	for instance, want := range map[string]bool{"": true, "two": true, "one": false} {
		closed := false
		health := func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
			resp, sent, err := respond(http.StatusOK, "earlier", "Instance", instance)(ctx, r)
			resp.Body = closingBody{strings.NewReader("earlier"), &closed}
			return resp, sent, err
		}
		withChecks(t, health, func(is *is.I, _ *checkingBalancer, _ *healthSender, _ time.Duration) {
			is.Equal(closed, want)
		})
	}
}

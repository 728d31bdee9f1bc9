package gateway_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// Guards against explanations that differ from what the handler does at each step before a
// target is chosen, and after.
func TestExplanationFollowsTheStepsOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := &environment{sender: &fakeSender{replies: []reply{respond(http.StatusOK, "ok")}}}
		d := document()
		d.Routes = append(d.Routes, &router.Route{
			Name: "split", Host: "h", Prefix: "/split/", MaxAttempts: 1, Shares: []router.Share{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}},
		})
		d.Workspaces[0].Priority, d.Workspaces[0].HasPriority = 3, true
		h, lb := newSendingHandler(env, d, env.sender, 4, &env.hosts)
		explain := func(path string) *gateway.Explanation {
			e, err := h.Explain(gateway.Query{Method: http.MethodGet, Host: "h:80", Path: path, Workspace: "school", Timeout: 2 * time.Second})
			is.NoErr(err)
			return e
		}
		e := explain("/read/1?x=%20y")
		is.Equal(e.Status, 0)
		is.Equal(e.Route, "read")
		is.True(e.Idempotent)
		is.Equal(e.Priority, 3)
		is.Equal(e.MaxAttempts, 2)
		is.Equal(e.TimeLeftMs, balancer.Millis(480))
		is.Equal(*e.WithinRate, true)
		is.Equal(len(e.Services), 1)
		is.Equal(e.Services[0].Outcome, "send")
		is.Equal(e.Services[0].Target, ids.Target("one"))

		split := explain("/split/1").Services
		is.Equal(len(split), 2)
		is.Equal(split[0].Weight, 9.0)
		is.Equal(split[1].Outcome, "noTarget")

		rejected := func(path string, status int, reason string) {
			t.Helper()
			e := explain(path)
			is.Equal(e.Status, status)
			is.Equal(e.Reason, reason)
			is.Equal(len(e.Services), 0)
			rec := call(h, http.MethodGet, path, "")
			is.Equal(rec.Code, status)
			is.Equal(rec.Body.String(), reason+"\n")
		}
		rejected("/nowhere", http.StatusNotFound, "noRoute")
		env.overRate = true
		rejected("/read/1", http.StatusTooManyRequests, "overRate")
		env.overRate = false
		unknown, err := h.Explain(gateway.Query{Method: http.MethodGet, Host: "h", Path: "/read/1", Workspace: "none"})
		is.NoErr(err)
		is.True(unknown.UnknownWorkspace)
		is.Equal(unknown.Reason, "keyUnknown")
		is.Equal(unknown.Status, http.StatusUnauthorized)

		lb.SetEvacuatedZones(map[ids.Zone]bool{"e1": true})
		s := explain("/read/1").Services[0]
		is.Equal(s.Outcome, "noTarget")
		is.Equal(s.Excluded[0].Reason, "evacuated")
		lb.SetEvacuatedZones(nil)
		for err := error(nil); err == nil; {
			_, err = lb.Pick(balancer.Request{Service: "a", Class: "read", TimeLeft: time.Second, Objective: time.Millisecond})
		}
		is.Equal(explain("/read/1").Services[0].Outcome, "busy")
		is.Equal(call(h, http.MethodGet, "/read/1", "").Body.String(), "busy\n")

		env.links.cutOff.Store(true)
		is.Equal(explain("/read/1").Reason, "cutOff") // no other host reaches targets
		env.hosts.addresses = []string{"10.0.1.1:1"}
		is.Equal(explain("/read/1").RelayHosts, env.hosts.addresses)
		env.age = maxConfirmationAge
		rejected("/read/1", http.StatusServiceUnavailable, "unconfirmed")
		is.Equal(*explain("/read/1").ConfirmedAgoMs, balancer.ToMillis(maxConfirmationAge))
		env.router.Store(nil)
		rejected("/read/1", http.StatusServiceUnavailable, "noConfiguration")
		is.Equal(len(env.sender.sends), 0)
		is.Equal(len(env.hosts.sends), 0)
	})
}

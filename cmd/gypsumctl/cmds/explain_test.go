package cmds_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/cmd/gypsumctl/cmds"
	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// explanation is that of a service with one busy target, and one that is not eligible.
var explanation = gateway.Explanation{
	Instance: "gw-1", Zone: "east-a", ConfigVersion: 7, ConfirmedAgoMs: new(balancer.Millis(120)), Route: "orders", MaxAttempts: 2,
	Services: []gateway.ExplainedService{{Service: "shop", Weight: 9, Explanation: balancer.Explanation{
		Outcome: "busy", RetryAfterMs: 150,
		Considered: []balancer.ScoredTarget{{
			Target: "t-1", Role: "candidate", Order: new(0), Slots: 6, Backlog: 8, Best: true, ScoreMs: 410.25, Slowdown: new(balancer.Slowdown(2.5)),
			SlowdownAgeMs: new(balancer.Millis(90)),
		}},
		Excluded: []balancer.ExcludedTarget{{Target: "t-2", Reason: "draining"}},
	}}},
}

// Guards against a command that asks for another request than it is told, leaves out what
// decided, or ends with a code that scripts take for another.
func TestExplainAsksOneHost(t *testing.T) {
	is := is.New(t)
	var asked url.Values
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/explain" {
			t.Errorf("asked for %s %s", r.Method, r.URL)
		}
		asked = r.URL.Query()
		if asked.Get("name") == "old.example" {
			_, _ = w.Write([]byte("requests.status.200 1\n")) // the metrics of a host without explanations
			return
		}
		is.NoErr(json.NewEncoder(w).Encode(explanation))
	}))
	address := srv.Listener.Addr().String()
	code, out, diag := run(t, "explain", "--host", address, "--name", "shop.example", "--path", "/orders/1?x=1", "--object", "o/1",
		"--workspace", "oak", "--timeout", "2s")
	is.Equal(diag, "")
	is.Equal(code, cmds.ExitOK)
	is.Equal(asked, url.Values{
		"name": {"shop.example"}, "path": {"/orders/1?x=1"}, "method": {"GET"}, "object": {"o/1"}, "workspace": {"oak"}, "timeout": {"2s"},
	})
	for _, text := range []string{
		"configuration version 7, confirmed 120ms ago", "service shop (weight 9): busy, retry after 150ms", "not eligible: 1 draining, such as t-2\n",
		"candidate 0  false  8.0 of 6  unknown   2.50, 90ms ago", "410.3ms  best\n", "rate limit unknown",
	} {
		is.True(strings.Contains(out, text)) // the output has the text
	}
	code, out, _ = run(t, "explain", "--host", address, "--name", "shop.example", "--path", "/orders/1", "--json")
	is.Equal(code, cmds.ExitOK)
	var got gateway.Explanation
	is.NoErr(json.Unmarshal([]byte(out), &got))
	is.Equal(got, explanation)

	code, _, diag = run(t, "explain", "--host", address, "--name", "old.example", "--path", "/")
	is.Equal(code, cmds.ExitRefused)
	is.True(strings.Contains(diag, "earlier build"))
	t.Setenv("GYPSUM_HOST", address) // names operators' addresses
	code, _, _ = run(t, "explain", "--name", "shop.example", "--path", "/")
	is.Equal(code, cmds.ExitUsage)
	code, _, _ = run(t, "explain", "--host", address, "--name", "shop.example", "--path", "orders")
	is.Equal(code, cmds.ExitUsage)
	srv.Close()
	code, _, diag = run(t, "explain", "--host", address, "--name", "shop.example", "--path", "/")
	is.Equal(code, cmds.ExitUnreachable)
	is.True(strings.Contains(diag, "no answer from ["+address+"]"))
}

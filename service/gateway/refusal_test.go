package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// wayOut is one way in which a send can end, and whether the request ran then.
type wayOut struct {
	name  string
	reply reply
	ran   bool
	// before, if set, changes the host's state while the request is on its way.
	before func(env *environment)
}

// targetWays are the ways in which a send to a target can end.
func targetWays() []wayOut {
	return []wayOut{
		{"not reached", connectionLost(false), false, nil},
		{"refused", respond(http.StatusServiceUnavailable, "", "Shed", "1"), false, nil},
		{"limited", respond(http.StatusTooManyRequests, "", "Shed", "1"), false, nil},
		{"address reused", respond(http.StatusMisdirectedRequest, "", "Shed", "1"), false, nil},
		{"refused, without ID", respond(http.StatusServiceUnavailable, "", "Shed", "1", "Id", ""), true, nil},
		{"refused another", respond(http.StatusServiceUnavailable, "", "Shed", "1", "Id", "other"), true, nil},
		{"address reused, without ID", respond(http.StatusMisdirectedRequest, "", "Id", ""), true, nil},
		{"bare 503", respond(http.StatusServiceUnavailable, ""), true, nil},
		{"bare 429", respond(http.StatusTooManyRequests, ""), true, nil},
		{"bare 408", respond(http.StatusRequestTimeout, ""), true, nil},
		{"lost", connectionLost(true), true, nil},
		{"truncated", truncated(), true, nil},
		{"failed", respond(http.StatusInternalServerError, "x"), true, nil},
		{"answered", respond(http.StatusOK, "x", "Gypsum-Relay-Refused", "1"), true, nil},
		{"answer of another", respond(http.StatusOK, "x", "Id", "other"), true, nil},
		{"hangs", hang(), true, nil},
		{"lost, host stale", connectionLost(true), true, func(env *environment) { env.age = maxConfirmationAge }},
		{"refused, host stale", respond(http.StatusServiceUnavailable, "", "Shed", "1"), false, func(env *environment) { env.age = maxConfirmationAge }},
		{"lost, host cut off", connectionLost(true), true, func(env *environment) { env.links.cutOff.Store(true) }},
		{"not reached, host cut off", connectionLost(false), false, func(env *environment) { env.links.cutOff.Store(true) }},
		{"failed, host cut off", respond(http.StatusInternalServerError, "x"), true, func(env *environment) { env.links.cutOff.Store(true) }},
	}
}

// hostWays are the ways in which a send to another host can end.
func hostWays() []wayOut {
	const refused = "Gypsum-Relay-Refused"
	return []wayOut{
		{"host not reached", connectionLost(false), false, nil},
		{"host refuses", refusedByHost(), false, nil},
		{"host says 503", respond(http.StatusServiceUnavailable, ""), false, nil},
		{"host says 429", respond(http.StatusTooManyRequests, ""), false, nil},
		{"host says 502", respond(http.StatusBadGateway, ""), true, nil},
		{"host refuses with 502", respond(http.StatusBadGateway, "", refused, "1"), true, nil},
		{"host refuses with 504", respond(http.StatusGatewayTimeout, "", refused, "1"), true, nil},
		{"host passes a field on", respond(http.StatusOK, "x", refused, "1"), true, nil},
		{"host lost", connectionLost(true), true, nil},
		{"host truncated", truncated(), true, nil},
		{"host answers", respond(http.StatusOK, "x"), true, nil},
		{"host hangs", hang(), true, nil},
	}
}

// ledger records whether a request ran.
type ledger struct{ ran bool }

// replies returns the replies of ways, which are recorded.
func (l *ledger) replies(env *environment, ways []wayOut) []reply {
	var all []reply
	for _, w := range ways {
		all = append(all, func(ctx context.Context, r *http.Request) (*http.Response, bool, error) {
			l.ran = l.ran || w.ran
			if w.before != nil {
				w.before(env)
			}
			return w.reply(ctx, r)
		})
	}
	return all
}

// checkWays sends one request whose sends end in the given ways, and reports an error if it
// was refused though it ran.
func checkWays(t *testing.T, path string, cutOff, fromHost bool, own, hosts []wayOut) {
	t.Helper()
	withHandler(t, nil, func(env *environment, h *gateway.Handler) {
		l := &ledger{}
		env.sender.replies = l.replies(env, own)
		env.hosts = fakeRelayer{fakeSender{replies: l.replies(env, hosts)}, []string{"h1", "h2", "h3"}, nil}
		env.links.cutOff.Store(cutOff)
		handler, fields := http.Handler(h), []string(nil)
		if fromHost {
			handler, fields = h.RelayedHandler(), []string{gateway.HeaderRelay, "2"}
		}
		rec := call(handler, http.MethodPost, path, "order", fields...)
		refused := promisesNotRun(rec.Code) || fromHost && rec.Header().Get("Gypsum-Relay-Refused") != ""
		if refused && l.ran {
			var names []string
			for _, w := range append(own, hosts...) {
				names = append(names, w.name)
			}
			t.Errorf("%s, cut off %v, from a host %v, %s: status %d, but it ran", path, cutOff, fromHost, strings.Join(names, " / "), rec.Code)
		}
	})
}

// promisesNotRun reports whether a status promises that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// A request that ran is never refused with 408, 421, 429 or 503, whatever became of its sends
// to targets and to other hosts, in any order.
func TestNoRefusalOfRequestThatRan(t *testing.T) {
	for _, path := range []string{"/read/1", "/pay/1"} {
		for _, first := range targetWays() {
			for _, second := range targetWays() {
				for _, fromHost := range []bool{false, true} {
					checkWays(t, path, false, fromHost, []wayOut{first, second}, hostWays()[:1])
				}
			}
			for _, relayed := range hostWays() {
				checkWays(t, path, false, false, []wayOut{first}, []wayOut{relayed})
			}
		}
		for _, first := range hostWays() {
			for _, second := range hostWays() {
				checkWays(t, path, true, false, targetWays()[:1], []wayOut{first, second})
			}
		}
	}
}

// A request that comes once more with its ID, as HTTP clients send it whose connection broke,
// is neither refused nor run again if the first copy may have run.
func TestSecondCopyIsNeitherRefusedNorRun(t *testing.T) {
	for _, w := range targetWays() {
		t.Run(w.name, func(t *testing.T) {
			withHandler(t, nil, func(env *environment, h *gateway.Handler) {
				l := &ledger{}
				env.sender.replies = l.replies(env, []wayOut{w})
				call(h, http.MethodPost, "/pay/1", "order")
				sends, ran := len(env.sender.sends), l.ran
				env.overRate = true
				rec := call(h, http.MethodPost, "/pay/1", "order")
				if ran && rec.Code != http.StatusBadGateway {
					t.Errorf("the second copy got status %d", rec.Code)
				}
				env.overRate, env.age = false, 0
				env.links.cutOff.Store(false)
				call(h, http.MethodPost, "/pay/1", "order")
				if again := len(env.sender.sends) > sends; again == ran {
					t.Errorf("a copy was sent again: %v", again)
				}
			})
		})
	}
}

// A refusal that a target writes once more on a kept connection must not be believed for a
// request with the same ID, which ran.
func TestRefusalIsBelievedOnceOnConnection(t *testing.T) {
	for name, status := range map[string]string{"refused": "503 Service Unavailable", "address reused": "421 Misdirected Request"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &repeatingTarget{refusal: fmt.Sprintf("HTTP/1.1 %s\r\nShed: 1\r\nId: id-1\r\nContent-Length: 0\r\n\r\n", status)}
			h, _, closeAll := newSingleTargetHandler(d.dial)
			defer closeAll()
			is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, http.StatusServiceUnavailable)
			is.Equal(d.runs.Load(), int64(0))
			is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, http.StatusBadGateway)
			is.Equal(d.runs.Load(), int64(1))
		})
	}
}

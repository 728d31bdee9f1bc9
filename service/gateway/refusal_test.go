package gateway_test

import (
	"context"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/attestor"
	"gypsumbeam.example/gypsumbeam/pkg/registrar"
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
		refused := attestor.PromisesNotRun(rec.Code) || fromHost && rec.Header().Get("Gypsum-Relay-Refused") != ""
		if refused && l.ran {
			var names []string
			for _, w := range append(own, hosts...) {
				names = append(names, w.name)
			}
			t.Errorf("%s, cut off %v, from a host %v, %s: status %d, but it ran", path, cutOff, fromHost, strings.Join(names, " / "), rec.Code)
		}
	})
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
	is := is.New(t)
	d := &repeatingTarget{refusal: "HTTP/1.1 503 Service Unavailable\r\nShed: 1\r\nId: id-1\r\nContent-Length: 0\r\n\r\n"}
	h, _, closeAll := newSingleTargetHandler(d.dial)
	defer closeAll()
	is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, http.StatusServiceUnavailable)
	is.Equal(d.runs.Load(), int64(0))
	is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, http.StatusBadGateway)
	is.Equal(d.runs.Load(), int64(1))
}

// A target at the address of one that refused with 421 is asked on the same connection: that
// refusal, written once more, must not be believed for the second send.
func TestRefusalIsBelievedOnceAtAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &repeatingTarget{refusal: "HTTP/1.1 421 Misdirected Request\r\nShed: 1\r\nId: id-1\r\nContent-Length: 0\r\n\r\n"}
		h, lb, closeAll := newSingleTargetHandler(d.dial)
		defer closeAll()
		lb.SetTargets([]registrar.Target{
			{ID: "one", Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: 4},
			{ID: "two", Service: "a", Address: "10.0.0.1:1", Zone: "e1", Slots: 4},
		})
		is.Equal(call(h, http.MethodPost, "/pay/1", "order").Code, http.StatusBadGateway)
		is.Equal(d.runs.Load(), int64(1))
	})
}

// refusingPlaces are the functions of the module that name a status that promises that a request
// did not run, each with what the promise rests on.
var refusingPlaces = map[string]string{
	"pkg/attestor PromisesNotRun":      "decides on all responses of this package",
	"service/gateway prepare":          "nothing is sent yet; attestor",
	"service/gateway admit":            "nothing is sent yet; attestor",
	"service/gateway explain":          "tells an operator: no request of a caller",
	"service/gateway reserveBody":      "nothing is sent yet; attestor",
	"service/gateway isOfHost":         "reads the status that attestor left",
	"service/gateway giveUp":           "attestor",
	"service/gateway relayExchange":    "reads another host's status; attestor",
	"pkg/pipeliner status":             "408 for a head that did not come whole: no handler knows of it",
	"platform/translator ReadResponse": "reads a target's status",
	"platform/mirror rejectStale":      "a call of another host for the copy of the store: no request of a caller",
	"platform/mirror serveWatch":       "as rejectStale",
	"platform/mirror changesAfter":     "as rejectStale",
	"platform/responder serveLookup":   "a look-up: no request of a caller",
	"platform/responder Readiness":     "a readiness check: no request of a caller",
	"platform/kvstore watch":           "the stand-in of the store",
	"service/operators abandon":        "a call of an operator, own mode",
	"service/operators ready":          "as abandon",
	"service/operators applyProblem":   "as abandon",
	"service/callers wasShed":          "own mode: reads a target's status",
	"service/callers closed":           "own mode: nothing is sent yet; docs/design/requests-and-truth.md",
	"pkg/refusal RateExceeded":         "own mode: as closed",
	"pkg/refusal Unavailable":          "own mode: as closed",
}

// The promise that a request did not run is made in few places. A further one that serves
// callers' requests must be added to TestNoRefusalOfRequestThatRan.
func TestPlacesThatRefuse(t *testing.T) {
	is := is.New(t)
	got := make(map[string]bool)
	for _, top := range []string{"pkg", "platform", "service"} {
		is.NoErr(filepath.WalkDir(filepath.Join("../..", top), func(file string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(file, ".go") || strings.HasSuffix(file, "_test.go") {
				return err
			}
			folder := filepath.ToSlash(strings.TrimPrefix(filepath.Dir(file), "../../"))
			for _, name := range refusers(t, file) {
				got[folder+" "+name] = true
			}
			return nil
		}))
	}
	for place := range got {
		if refusingPlaces[place] == "" {
			t.Errorf("%s refuses requests, and is not listed", place)
		}
	}
	is.Equal(len(got), len(refusingPlaces)) // a listed place is gone
}

// refusers returns the functions of a file that name a status that promises that a request did
// not run.
func refusers(t *testing.T, file string) []string {
	is := is.New(t)
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	is.NoErr(err)
	var all []string
	for _, d := range parsed.Decls {
		ast.Inspect(d, func(n ast.Node) bool {
			name := ""
			switch n := n.(type) {
			case *ast.SelectorExpr:
				name = n.Sel.Name
			case *ast.BasicLit:
				name = n.Value
			}
			switch name {
			case "StatusRequestTimeout", "StatusMisdirectedRequest", "StatusTooManyRequests", "StatusServiceUnavailable", "408", "421", "429", "503":
				f, ok := d.(*ast.FuncDecl)
				is.True(ok) // a status outside a function
				all = append(all, f.Name.Name)
			}
			return true
		})
	}
	return all
}

package cmds_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/cmd/gypsumctl/cmds"
	"gypsumbeam.example/gypsumbeam/internal/standin/store"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/meter"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/roller"
	"gypsumbeam.example/gypsumbeam/pkg/seater"
	"gypsumbeam.example/gypsumbeam/service/callers"
	"gypsumbeam.example/gypsumbeam/service/operators"
	"gypsumbeam.example/gypsumbeam/service/peers/peerpb"
)

const document = `{
  // Kept over every change.
  "fleet": "tests",
  "regions": [{"name": "east", "zones": ["east-a"], "seats": 1}, {"name": "west", "zones": ["west-a"], "seats": 1}],
  "services": [{"name": "shop", "slots": 3, "upstreams": [
    {"name": "shop-1", "region": "east", "zone": "east-a", "address": "127.0.0.1:9001"},
  ]}],
  "workspaces": [{"name": "oak", "rate": 10, "burst": 4}],
  "presets": [{"name": "ordinary"}, {"name": "peak", "rates": [{"workspace": "oak", "rate": 20, "burst": 8}]}],
  "preset": "ordinary",
}
`

// host serves the operators' interface of an entry host with a real roller and the
// stand-in store. The host holds the only seat.
type host struct {
	*roller.Roller
	store *store.Store
	meter *meter.Meter
	state *peerpb.HostState
	// before is called before each Apply. If unconfirmed is set, Apply returns a result
	// that is not accepted on these hosts.
	before      func()
	unconfirmed []ids.Instance
}

func newHost(t *testing.T) *host {
	t.Helper()
	h := &host{store: &store.Store{}, meter: meter.New()}
	h.Roller = roller.New(roller.Config{
		Self: "a", Parse: parser.Parse, Serving: func() bool { return true }, Store: h.store,
	})
	seats, err := (&seater.Table{Revision: 1, Seats: []seater.Seat{{Region: "east", Holder: "a"}}}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.store.CompareAndSwap(t.Context(), roller.SeatsKey, 0, seats); err != nil {
		t.Fatal(err)
	}
	h.OnConfig(h.meter.Configure)
	srv := httptest.NewServer(operators.New(operators.Config{
		Host: h, Configuration: h, Applier: h, Reporter: h.meter}).Handler())
	t.Cleanup(srv.Close)
	h.state = &peerpb.HostState{Instance: "a", OperatorsAddress: srv.Listener.Addr().String(), Ready: true}
	t.Setenv("GYPSUM_HOST", h.state.GetOperatorsAddress())
	return h
}

func (h *host) Ready() *refusal.Refusal    { return nil }
func (h *host) LeaseUntil() time.Time      { return time.Now().Add(time.Minute) }
func (h *host) Self() *peerpb.HostState    { return h.state }
func (h *host) Hosts() []*peerpb.HostState { return nil }

func (h *host) Apply(ctx context.Context, text []byte, base ids.Revision) (roller.ApplyResult, error) {
	if h.before != nil {
		h.before()
	}
	result, err := h.Roller.Apply(ctx, text, base)
	if h.unconfirmed != nil {
		result.Accepted, result.Unconfirmed = false, h.unconfirmed
	}
	return result, err
}

// run runs gypsumctl with args.
func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, diag bytes.Buffer
	code = cmds.Run(t.Context(), args, strings.NewReader(""), &out, &diag)
	return code, out.String(), diag.String()
}

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.jsonc")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestCommandsChangeConfiguration(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	file := write(t, document)
	code, out, _ := run(t, "diff", file)
	is.Equal(code, cmds.ExitOK)
	is.True(strings.Contains(out, "against revision 0"))
	code, out, diag := run(t, "apply", file, "--base", "0")
	is.Equal(diag, "")
	is.Equal(code, cmds.ExitOK)
	is.Equal(out, "revision 1 accepted; in force on all 1 hosts\n")

	code, _, _ = run(t, "preset", "use", "peak")
	is.Equal(code, cmds.ExitOK)
	_, out, _ = run(t, "preset", "list")
	is.True(strings.Contains(out, "peak      revision 2"))
	_, out, _ = run(t, "workspace", "list")
	is.True(strings.Contains(out, "oak        20      8")) // the preset's rate

	code, key, diag := run(t, "key", "give", "oak")
	is.Equal(code, cmds.ExitOK)
	key = strings.TrimSpace(key)
	is.Equal(len(key), 64) // 256 bits
	ref, ok := h.Snapshot().Authenticate(key)
	is.True(ok)
	is.Equal(ref.Workspace, ids.Workspace("oak"))
	is.True(!strings.Contains(diag, key))
	entry, err := h.store.Get(t.Context(), roller.HeadKey)
	is.NoErr(err)
	is.True(!bytes.Contains(entry.Value, []byte(key))) // only its hash is stored
	_, out, _ = run(t, "workspace", "list")
	is.True(strings.Contains(out, string(ref.KeyID)))
	code, _, _ = run(t, "key", "withdraw", string(ref.KeyID))
	is.Equal(code, cmds.ExitOK)
	_, ok = h.Snapshot().Authenticate(key)
	is.True(!ok)

	for _, args := range [][]string{{"drain", "shop-1"}, {"undrain", "shop-1"}, {"drain", "west"}} {
		code, _, _ = run(t, args...)
		is.Equal(code, cmds.ExitOK)
	}
	is.True(h.Snapshot().RegionDrained("west"))
	_, out, _ = run(t, "get")
	is.True(strings.Contains(out, "// Kept over every change."))
	code, out, _ = run(t, "diff", file)
	is.Equal(code, cmds.ExitOK)
	is.True(strings.Contains(out, `~ preset: "peak" -> "ordinary"`))
}

func TestExitCodes(t *testing.T) {
	faulty := strings.Replace(document, `"slots": 3`, `"slots": 0`, 1)
	cases := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"no command", nil, cmds.ExitUsage, "a command is needed"},
		{"half a command", []string{"preset"}, cmds.ExitUsage, "a command is needed"},
		{"unknown command", []string{"raze"}, cmds.ExitUsage, "raze"},
		{"no base", []string{"apply", "FILE"}, cmds.ExitUsage, "base"},
		{"unknown format", []string{"status", "--output", "xml"}, cmds.ExitUsage, "xml"},
		{"check", []string{"check", "FILE"}, cmds.ExitOK, ""},
		{"check of faults", []string{"check", "FAULTY"}, cmds.ExitRefused, ":5:42: services[0].slots: "},
		{"apply of faults", []string{"apply", "FAULTY", "--base", "1"}, cmds.ExitRefused, "services[0].slots"},
		{"no such file", []string{"check", "none.jsonc"}, cmds.ExitRefused, "none.jsonc"},
		{"no such preset", []string{"preset", "use", "odd"}, cmds.ExitRefused, `no preset "odd"`},
		{"no such workspace", []string{"key", "give", "ash"}, cmds.ExitRefused, `no workspace "ash"`},
		{"no such key", []string{"key", "withdraw", "oak-9"}, cmds.ExitRefused, `no key "oak-9"`},
		{"no such target", []string{"drain", "shop-9"}, cmds.ExitRefused, "shop-9"},
		{"not drained", []string{"undrain", "shop-1"}, cmds.ExitRefused, "shop-1"},
		{"conflict", []string{"apply", "FILE", "--base", "7"}, cmds.ExitConflict, "revision 7, but revision 1"},
		{"no host answers", []string{"--host", "127.0.0.1:1", "preset", "use", "peak"}, cmds.ExitUnreachable, "no answer"},
		{"one host answers", []string{"status", "--host", "127.0.0.1:1", "--host", "HOST"}, cmds.ExitUnreachable, "127.0.0.1:1"},
		{"status", []string{"status"}, cmds.ExitOK, ""},
		{"report", []string{"report", "--output", "json"}, cmds.ExitOK, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHost(t)
			file := write(t, document)
			code, _, _ := run(t, "apply", file, "--base", "0")
			is.Equal(code, cmds.ExitOK)
			args := append([]string{}, c.args...)
			for i, a := range args {
				args[i] = strings.NewReplacer("FILE", file, "FAULTY", write(t, faulty),
					"HOST", h.state.GetOperatorsAddress()).Replace(a)
			}
			code, _, diag := run(t, args...)
			is.Equal(code, c.code)
			is.True(strings.Contains(diag, c.says)) // stderr contains the reason
		})
	}
}

func TestMissingHostIsUsageError(t *testing.T) {
	is := is.New(t)
	t.Setenv("GYPSUM_HOST", "")
	code, _, diag := run(t, "status")
	is.Equal(code, cmds.ExitUsage)
	is.True(strings.Contains(diag, "GYPSUM_HOST"))
}

func TestConcurrentChangeIsConflict(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	code, _, _ := run(t, "apply", write(t, document), "--base", "0")
	is.Equal(code, cmds.ExitOK)
	h.before = func() {
		h.before = nil
		other, _, _ := run(t, "preset", "use", "peak")
		is.Equal(other, cmds.ExitOK)
	}
	code, out, diag := run(t, "key", "give", "oak")
	is.Equal(code, cmds.ExitConflict)
	is.Equal(out, "") // no key is printed
	is.True(strings.Contains(diag, "revision 1, but revision 2 is stored"))
	is.Equal(len(h.Snapshot().Document.Workspaces[0].Keys), 0)
	is.Equal(h.Snapshot().Document.Preset, ids.Preset("peak"))
}

func TestLostStoreResponseIsResolved(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.before = func() { h.store.LoseResponses(1) }
	code, out, _ := run(t, "apply", write(t, document), "--base", "0")
	is.Equal(code, cmds.ExitOK)
	is.True(strings.HasPrefix(out, "revision 1 accepted"))
	h.store.SetDown(true)
	h.before = nil
	code, _, diag := run(t, "preset", "use", "peak")
	is.Equal(code, cmds.ExitUnreachable)
	is.True(strings.Contains(diag, "not stored"))
}

func TestStoredButNotInForce(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	code, _, _ := run(t, "apply", write(t, document), "--base", "0")
	is.Equal(code, cmds.ExitOK)
	h.unconfirmed = []ids.Instance{"b", "c"}
	code, out, diag := run(t, "key", "give", "oak", "--output", "json")
	is.Equal(code, cmds.ExitNotInForce)
	is.True(strings.Contains(diag, "revision 2 stored, not yet in force on b, c"))
	var given struct {
		Key      string
		Accepted bool
		NotYet   []string
	}
	is.NoErr(json.Unmarshal([]byte(out), &given))
	is.Equal(len(given.Key), 64) // the key is stored, so it is printed
	is.Equal(given.NotYet, []string{"b", "c"})
	is.True(!given.Accepted)
}

// lossyHandler breaks the connection of each PUT after the document was stored.
type lossyHandler struct {
	next http.Handler
}

func (l *lossyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPut {
		l.next.ServeHTTP(w, r)
		return
	}
	l.next.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func TestBrokenConnectionIsReadBack(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	srv := httptest.NewServer(&lossyHandler{operators.New(operators.Config{
		Host: h, Configuration: h, Applier: h, Reporter: h.meter}).Handler()})
	defer srv.Close()
	h.state.OperatorsAddress = srv.Listener.Addr().String()
	t.Setenv("GYPSUM_HOST", h.state.GetOperatorsAddress())
	h.OnConfig(func(s *config.Snapshot) { h.state.ConfigRevision = uint64(s.Revision) })
	code, out, _ := run(t, "apply", write(t, document), "--base", "0")
	is.Equal(code, cmds.ExitOK)
	is.Equal(out, "revision 1 accepted; in force on all 1 hosts\n")
}

func TestReportAndStatusTables(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	code, _, _ := run(t, "apply", write(t, document), "--base", "0")
	is.Equal(code, cmds.ExitOK)
	h.meter.Record(callers.Record{Service: "shop", Workspace: "oak", Region: "east",
		Outcome: refusal.Ran, Elapsed: 7 * time.Millisecond})
	h.meter.Record(callers.Record{Service: "shop", Workspace: "oak", Outcome: refusal.NotRun,
		Code: refusal.CodeRateExceeded})
	code, out, _ := run(t, "report")
	is.Equal(code, cmds.ExitOK)
	for _, line := range []string{
		"oak        shop     east    ran                       1",
		"oak        shop     (none)  notRun   rateExceeded     1",
		"oak        1         7ms  7ms",
		"1 hosts answered, 0 did not",
	} {
		is.True(strings.Contains(out, line)) // the report contains the line
	}
	h.state.Targets = []*peerpb.TargetReport{{Target: "shop-2"}, {Target: "shop-1", Healthy: true}}
	code, out, _ = run(t, "status")
	is.Equal(code, cmds.ExitOK)
	is.True(strings.Contains(out, "1 of 2 healthy  ready"))
	is.True(strings.Contains(out, "shop-2  unhealthy  "+h.state.GetOperatorsAddress()))
}

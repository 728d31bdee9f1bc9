package operators_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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

// fakeHost is a host that stores its document in memory.
type fakeHost struct {
	mu       sync.Mutex
	self     *peerpb.HostState
	peers    []*peerpb.HostState
	table    *seater.Table
	notReady *refusal.Refusal
	revision ids.Revision
	text     string
	result   roller.ApplyResult
	fail     error
	meter    *meter.Meter
}

func newFakeHost(name string) *fakeHost {
	m := meter.New()
	m.Configure(config.NewSnapshot(1, &config.Document{Workspaces: []config.Workspace{{Name: "oak"}}}))
	m.Record(callers.Record{Workspace: "oak", Outcome: refusal.Ran, Elapsed: time.Millisecond})
	return &fakeHost{meter: m, self: &peerpb.HostState{
		Instance: name, Region: "east", ConfigRevision: 1, Ready: true, Seats: []uint32{0}}}
}

func (h *fakeHost) Ready() *refusal.Refusal     { return h.notReady }
func (h *fakeHost) LeaseUntil() time.Time       { return time.Now().Add(time.Minute) }
func (h *fakeHost) Self() *peerpb.HostState     { return h.self }
func (h *fakeHost) Hosts() []*peerpb.HostState  { return h.peers }
func (h *fakeHost) Snapshot() *config.Snapshot  { return nil }
func (h *fakeHost) StoredTable() *seater.Table  { return h.table }
func (h *fakeHost) Report() meter.Report        { return h.meter.Report() }
func (h *fakeHost) WriteJSON(w io.Writer) error { return h.meter.WriteJSON(w) }
func (h *fakeHost) server() *operators.Server {
	return operators.New(operators.Config{Host: h, Configuration: h, Applier: h, Reporter: h})
}

func (h *fakeHost) Fetch(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.revision == 0 {
		return &peerpb.FetchReply{}, nil
	}
	return &peerpb.FetchReply{Config: &peerpb.ConfigHead{Revision: uint64(h.revision), Document: []byte(h.text)}}, nil
}

func (h *fakeHost) Apply(_ context.Context, document []byte, base ids.Revision) (roller.ApplyResult, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fail != nil {
		return roller.ApplyResult{}, h.fail
	}
	if base != h.revision {
		return roller.ApplyResult{}, &roller.ErrConflict{Base: base, Current: h.revision}
	}
	h.revision, h.text = base+1, string(document)
	h.self.ConfigRevision = uint64(h.revision)
	h.result.Revision = h.revision
	return h.result, nil
}

// serve starts the host's server and returns its address.
func (h *fakeHost) serve(t *testing.T) string {
	t.Helper()
	srv := httptest.NewServer(h.server().Handler())
	t.Cleanup(srv.Close)
	h.self.OperatorsAddress = srv.Listener.Addr().String()
	return h.self.OperatorsAddress
}

func TestApplyMapsErrorsToProblems(t *testing.T) {
	faults := &parser.ErrFaults{Faults: []parser.Fault{
		{Line: 3, Column: 1, Path: "services[0].slots", Message: "must be from 1"},
		{Line: 9, Column: 2, Path: "preset", Message: "there is no preset"},
	}}
	cases := []struct {
		name     string
		fail     error
		status   int
		code     string
		contains []string
	}{
		{"faults", faults, 422, operators.CodeFaults, []string{`"line":3`, `"path":"services[0].slots"`, `"line":9`}},
		{"conflict", &roller.ErrConflict{Base: 4, Current: 7}, 409, operators.CodeConflict, []string{`"base":4`, `"current":7`}},
		{"unresolved", &roller.ErrUnresolved{Revision: 5, WriteID: "abc", Cause: io.EOF}, 504, operators.CodeUnresolved, []string{`"writeId":"abc"`}},
		{"store down", &roller.ErrNotStored{Cause: io.EOF}, 503, operators.CodeNotStored, []string{"not stored"}},
		{"else", io.ErrUnexpectedEOF, 500, operators.CodeInternal, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newFakeHost("a")
			h.fail = c.fail
			w := httptest.NewRecorder()
			h.server().Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/config?base=4", strings.NewReader("{}")))
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
			for _, part := range append(c.contains, `"code":"`+c.code+`"`) {
				is.True(strings.Contains(w.Body.String(), part)) // the problem names it
			}
		})
	}
}

func TestApplyRequiresBaseAndLimitsBody(t *testing.T) {
	is := is.New(t)
	h := newFakeHost("a")
	w := httptest.NewRecorder()
	h.server().Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/config", strings.NewReader("{}")))
	is.Equal(w.Code, http.StatusPreconditionRequired)
	w = httptest.NewRecorder()
	large := strings.NewReader(strings.Repeat(" ", parser.MaxDocumentBytes+1))
	h.server().Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/config?base=0", large))
	is.Equal(w.Code, http.StatusRequestEntityTooLarge)
	w = httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPut, "/v1/config", strings.NewReader("{}"))
	r.Header.Set("If-Match", `"0"`)
	h.result = roller.ApplyResult{Unconfirmed: []ids.Instance{"b"}}
	h.server().Handler().ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusAccepted) // stored, but not yet accepted
	is.Equal(h.revision, ids.Revision(1))
}

func TestReadyzReturnsReason(t *testing.T) {
	is := is.New(t)
	h := newFakeHost("a")
	w := httptest.NewRecorder()
	h.server().Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
	is.Equal(w.Code, http.StatusOK)
	h.notReady = refusal.Unavailable(refusal.CodeNotServing, "the serving lease has lapsed", 0)
	w = httptest.NewRecorder()
	h.server().Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(strings.Contains(w.Body.String(), "the serving lease has lapsed"))
}

func TestFleetListsUnreachableHosts(t *testing.T) {
	is := is.New(t)
	a, b := newFakeHost("a"), newFakeHost("b")
	address := a.serve(t)
	b.serve(t)
	dead := &peerpb.HostState{Instance: "c", Region: "west", OperatorsAddress: "127.0.0.1:1"}
	a.peers = []*peerpb.HostState{a.self, b.self, dead}
	a.table = &seater.Table{Seats: []seater.Seat{
		{Number: 0, Holder: "a"}, {Number: 1, Holder: "lost", Region: "west", OperatorsAddress: "127.0.0.1:2"},
	}}
	c := &operators.Client{Hosts: []string{address, "127.0.0.1:3"}}
	status, err := c.Status(t.Context())
	is.NoErr(err)
	is.Equal(len(status.Hosts), 2)
	is.Equal(len(status.Unreachable), 3) // the dead peer, the missing holder of a seat, and the given address
	is.Equal(status.Unreachable[0].Instance, ids.Instance("c"))
	is.Equal(status.Unreachable[1].Instance, ids.Instance("lost"))
	is.Equal(status.Unreachable[2].Address, "127.0.0.1:3")
	report, err := c.Report(t.Context())
	is.NoErr(err)
	is.Equal(report.Rows[0].Count, int64(2)) // one request at each host
	is.Equal(len(report.Answered), 2)
	is.Equal(len(report.Unreachable), 3)
	var unreachable *operators.ErrUnreachable
	_, err = (&operators.Client{Hosts: []string{"127.0.0.1:3"}}).Status(t.Context())
	is.True(errors.As(err, &unreachable))
}

// lossyTransport fails each PUT as a broken connection would, after the handler has
// run or, with before, without calling it.
type lossyTransport struct {
	next   http.Handler
	before bool
	after  func()
}

func (c *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPut && c.before {
		return nil, io.ErrUnexpectedEOF
	}
	w := httptest.NewRecorder()
	c.next.ServeHTTP(w, r)
	if r.Method == http.MethodPut {
		if c.after != nil {
			c.after()
		}
		return nil, io.ErrUnexpectedEOF
	}
	return w.Result(), nil
}

func TestApplyReadsBackAfterLostResponse(t *testing.T) {
	cases := []struct {
		name   string
		before bool
		after  func(h *fakeHost)
		check  func(is *is.I, applied operators.ApplyResult, err error)
	}{
		{"stored", false, nil, func(is *is.I, applied operators.ApplyResult, err error) {
			is.NoErr(err)
			is.Equal(applied.Revision, ids.Revision(4))
			is.True(applied.Accepted)
		}},
		{"stored, and a peer lags", false, func(h *fakeHost) {
			h.peers = []*peerpb.HostState{{Instance: "b", OperatorsAddress: "b", ConfigRevision: 3}}
		}, func(is *is.I, applied operators.ApplyResult, err error) {
			is.NoErr(err)
			is.True(!applied.Accepted)
			is.Equal(applied.Unconfirmed, []ids.Instance{"b"})
		}},
		{"another was stored", true, func(h *fakeHost) { h.revision, h.text = 4, "other" },
			func(is *is.I, _ operators.ApplyResult, err error) {
				var p *operators.Problem
				is.True(errors.As(err, &p))
				is.Equal(p.Code, operators.CodeConflict)
				is.Equal([]ids.Revision{p.Base, p.Current}, []ids.Revision{3, 4})
			}},
		{"stored and replaced", false, func(h *fakeHost) { h.revision, h.text = 5, "other" }, unresolved},
		{"nothing seen", true, nil, unresolved},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newFakeHost("a")
				h.revision, h.text = 3, "old"
				cut := &lossyTransport{next: h.server().Handler(), before: c.before}
				if c.after != nil && !c.before {
					cut.after = func() { c.after(h) }
				}
				if c.after != nil && c.before {
					time.AfterFunc(2*time.Second, func() {
						h.mu.Lock()
						defer h.mu.Unlock()
						c.after(h)
					})
				}
				client := &operators.Client{Hosts: []string{"a"}, HTTP: &http.Client{Transport: cut}}
				applied, err := client.Apply(t.Context(), []byte("new"), 3)
				c.check(is, applied, err)
			})
		})
	}
}

func unresolved(is *is.I, _ operators.ApplyResult, err error) {
	var u *operators.ErrUnresolved
	is.True(errors.As(err, &u))
	is.Equal(u.Base, ids.Revision(3))
}

func TestApplyTriesNextHostOnlyIfNothingWasSent(t *testing.T) {
	is := is.New(t)
	h := newFakeHost("a")
	address := h.serve(t)
	h.result = roller.ApplyResult{Accepted: true, InForce: []ids.Instance{"a"}}
	applied, err := (&operators.Client{Hosts: []string{"127.0.0.1:1", address}}).Apply(t.Context(), []byte("new"), 0)
	is.NoErr(err)
	is.Equal(applied.String(), "revision 1 accepted; in force on all 1 hosts")
	_, err = (&operators.Client{Hosts: []string{address}}).Apply(t.Context(), []byte("new"), 0)
	var p *operators.Problem
	is.True(errors.As(err, &p))
	is.Equal([]ids.Revision{p.Base, p.Current}, []ids.Revision{0, 1})
}

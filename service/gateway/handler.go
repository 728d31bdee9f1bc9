package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/replayer"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

const (
	// defaultPatience is how long a caller waits that does not say.
	defaultPatience = 30 * time.Second
	// timeoutMargin lets the answer of a request that ran out of time be out
	// before the caller, or the operator's bound, expects it.
	timeoutMargin = 20 * time.Millisecond
	// retryUnready is told while this host lacks what it needs.
	retryUnready = 300 * time.Millisecond
)

// Config holds what a Handler needs. All fields but Recorder are required.
type Config struct {
	HeaderCodec  HeaderCodec
	RouterSource RouterSource
	Confirmer    Confirmer
	Placer       Placer
	RateLimiter  RateLimiter
	Sender       Sender
	RetryBudget  RetryBudget
	Recorder     Recorder
	// KeyBound returns how old the proof may be that a key is in force.
	MaxConfirmationAge func() time.Duration
	// RetryRatio returns the share of a service's requests that may be sent
	// again.
	RetryRatio func() float64
}

// Handler serves requests. It implements http.Handler.
type Handler struct {
	cfg     Config
	leaving atomic.Bool
	closed  atomic.Bool
}

// New returns a Handler that is ready.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// Leave closes callers' connections with their next answers.
func (h *Handler) DisableKeepAlives() { h.leaving.Store(true) }

// Refuse refuses all requests that come from now on.
func (h *Handler) RejectRequests() { h.closed.Store(true) }

// request is one request on its way.
type request struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	call    RequestInfo
	router  *router.Router
	route   *router.Route
	ws      *router.Workspace
	service ids.Service
	begun   time.Time
	body    *replayer.Replayer
	record  Record
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{h: h, w: w, r: r, begun: time.Now(), call: h.cfg.HeaderCodec.ReadRequest(r.Header)}
	q.record = Record{ID: q.call.ID, Object: q.call.Object}
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if rf := q.take(); rf != nil {
		q.refuse(rf)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.begun.Add(q.record.Timeout))
	defer cancel()
	q.serve(ctx)
}

// rejection is an answer of this host's own.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// take finds out what the request is and whether it may run.
func (q *request) take() *rejection {
	if q.h.closed.Load() {
		return &rejection{http.StatusServiceUnavailable, "leaving", retryUnready}
	}
	q.router = q.h.cfg.RouterSource.Router()
	if q.router == nil {
		return &rejection{http.StatusServiceUnavailable, "noConfiguration", retryUnready}
	}
	q.record.ConfigVersion = q.router.Version
	q.record.ConfirmationAge, _ = q.h.cfg.Confirmer.Age()
	if !q.confirmed() {
		return &rejection{http.StatusServiceUnavailable, "unconfirmed", retryUnready}
	}
	if rf := q.checkShape(); rf != nil {
		return rf
	}
	q.route = q.router.Match(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return &rejection{status: http.StatusNotFound, reason: "noRoute"}
	}
	q.record.Route = q.route.Name
	if rf := q.authenticate(); rf != nil {
		return rf
	}
	q.service = q.route.Pick()
	q.record.Service = q.service
	q.setDeadline()
	q.body = replayer.New(q.r.Body, replayBytes, q.router.Limits.MaxBodyBytes)
	return q.admit()
}

// confirmed reports whether this host still knows that its configuration is the
// newest.
func (q *request) confirmed() bool {
	age, ok := q.h.cfg.Confirmer.Age()
	return ok && age < q.h.cfg.MaxConfirmationAge()
}

func (q *request) checkShape() *rejection {
	switch {
	case q.r.Method == http.MethodConnect, q.r.Method == http.MethodTrace, q.r.Header.Get("Upgrade") != "":
		return &rejection{status: http.StatusMethodNotAllowed, reason: "method"}
	case !q.r.ProtoAtLeast(1, 1):
		return &rejection{status: http.StatusHTTPVersionNotSupported, reason: "protocol"}
	case q.router.Limits.MaxBodyBytes > 0 && q.r.ContentLength > q.router.Limits.MaxBodyBytes:
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
	default:
		return nil
	}
}

// authenticate finds the workspace. A request on an open route may come from
// anyone, with any key.
func (q *request) authenticate() *rejection {
	if q.call.Key != "" {
		q.ws = q.router.WorkspaceByKey(q.call.Key)
	}
	if q.ws != nil {
		q.record.Workspace = q.ws.Name
		return nil
	}
	if q.route.Open || !q.router.RequiresKey() {
		return nil
	}
	return &rejection{status: http.StatusUnauthorized, reason: "keyUnknown"}
}

func (q *request) setDeadline() {
	left := q.call.Timeout
	if left <= 0 {
		left = defaultPatience
	}
	if q.route.Timeout > 0 {
		left = min(left, q.route.Timeout)
	}
	q.record.Timeout = max(left-timeoutMargin, time.Millisecond)
}

// admit takes the request from the workspace's rate.
func (q *request) admit() *rejection {
	if q.ws == nil {
		return nil
	}
	wait, ok := q.h.cfg.RateLimiter.Admit(q.ws)
	if !ok {
		return &rejection{http.StatusTooManyRequests, "overRate", wait}
	}
	return nil
}

// stillAllowed reports whether the request may be sent now: the key it came
// with is in force and proven to be so.
func (q *request) stillAllowed() bool {
	if !q.confirmed() {
		return false
	}
	now := q.h.cfg.RouterSource.Router()
	if now == q.router || q.ws == nil {
		return true
	}
	ws := now.WorkspaceByKey(q.call.Key)
	return ws != nil && ws.Name == q.ws.Name
}

// refuse answers a request that did not run.
func (q *request) refuse(rf *rejection) {
	if errors.Is(q.r.Context().Err(), context.Canceled) {
		q.record.CallerGone = true
	}
	head := q.w.Header()
	if rf.retryAfter > 0 {
		head.Set("Retry-After", formatSeconds(rf.retryAfter))
	}
	head.Set("Content-Type", "text/plain; charset=utf-8")
	text := rf.reason + "\n"
	head.Set("Content-Length", strconv.Itoa(len(text)))
	q.w.WriteHeader(rf.status)
	if _, err := q.w.Write([]byte(text)); err != nil {
		q.record.CallerGone = true
	}
	q.record.Status, q.record.Reason, q.record.RetryAfter = rf.status, rf.reason, rf.retryAfter
	q.tell()
}

// formatSeconds renders a time in seconds, to the millisecond.
func formatSeconds(d time.Duration) string {
	text := strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

func (q *request) tell() {
	q.record.Elapsed = time.Since(q.begun)
	if q.h.cfg.Recorder != nil {
		q.h.cfg.Recorder.Record(&q.record)
	}
}

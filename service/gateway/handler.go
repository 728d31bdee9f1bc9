package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/attestor"
	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/replayer"
	"gypsumbeam.example/gypsumbeam/pkg/reserver"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

const (
	// defaultTimeout applies to requests without a timeout.
	defaultTimeout = 30 * time.Second
	// timeoutMargin is subtracted from a request's timeout, so that the gateway-timeout
	// response reaches the caller before the caller's or the route's timeout expires.
	timeoutMargin = 20 * time.Millisecond
	// retryAfterNotReady is the Retry-After time of a host that is draining or has no
	// confirmed configuration.
	retryAfterNotReady = 300 * time.Millisecond
)

// Config holds the dependencies of a Handler. All fields except Hedger, Memory and Recorder are
// required.
type Config struct {
	HeaderCodec  HeaderCodec
	RouterSource RouterSource
	Confirmer    Confirmer
	Balancer     Balancer
	RateLimiter  RateLimiter
	Sender       Sender
	RetryBudget  RetryBudget
	Hedger       Hedger
	Isolator     Isolator
	Watchdog     Watchdog
	Relayer      Relayer
	Recorder     Recorder
	// Memory bounds what is buffered of requests and responses; nil means no limit.
	Memory *reserver.Reserver
	// MaxConfirmationAge returns how long the configuration may be used after its last
	// confirmation. Later, requests are rejected with status 503, as their keys may
	// have been withdrawn.
	MaxConfirmationAge func() time.Duration
	// Outdated reports whether changes of the configuration or of targets are known to be
	// missing that must be followed now. Requests are rejected with status 503 then.
	Outdated func() bool
	// RetryRatio returns the share of a service's requests that may be retried.
	RetryRatio func() float64
}

// Handler forwards callers' requests to targets. It implements http.Handler.
type Handler struct {
	cfg       Config
	rejecting atomic.Bool
	// relayed counts the requests from other hosts that are in progress.
	relayed  atomic.Int64
	attestor attestor.Attestor
	// targetBodies counts the request bodies that are in flight.
	targetBodies targetBodies
}

// New returns a Handler that is ready to serve.
func New(cfg Config) *Handler {
	if cfg.Memory == nil {
		cfg.Memory = &reserver.Reserver{}
	}
	return &Handler{cfg: cfg}
}

// RejectRequests makes the handler respond to all new requests with status 503. It may
// be called at any time.
func (h *Handler) RejectRequests() { h.rejecting.Store(true) }

// request is the state of one request.
type request struct {
	h       *Handler
	w       http.ResponseWriter
	r       *http.Request
	info    RequestInfo
	router  *router.Router
	route   *router.Route
	ws      *router.Workspace
	service ids.Service
	start   time.Time
	body    *replayer.Replayer
	// url is the URL to send the request to, without the address.
	url *url.URL
	// head is the hash of the request without its body, 0 if it was not needed yet.
	head fingerprinter.Hash
	// fromHost is set if another host relayed the request, with the number of targets that
	// it may still be sent to.
	fromHost bool
	maxSends int
	// evidence tells whether the request may have run.
	evidence attestor.Evidence
	// memory is what the request has reserved of the host's memory.
	memory holding
	record Record
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.handle(&request{h: h, w: w, r: r})
}

// handle serves a request, by another host if this one is cut off from the targets.
func (h *Handler) handle(q *request) {
	q.start, q.info = time.Now(), h.cfg.HeaderCodec.ReadRequest(q.r.Header)
	q.record = Record{ID: q.info.ID, Object: q.info.Object}
	q.evidence = h.attestor.Open(attestor.NewKey(q.info.ID, q.r.Method, q.r.RequestURI, q.info.Key))
	defer q.evidence.End()
	rej := q.prepare()
	if rej == nil {
		rej = q.assign()
	}
	if rej != nil {
		q.reject(rej)
		return
	}
	if !q.route.Kind.Idempotent() && !q.evidence.Begin() {
		q.reject(&rejection{status: http.StatusBadGateway, reason: reasonCopy})
		return
	}
	if rej := q.reserveBody(); rej != nil {
		q.reject(rej)
		return
	}
	defer q.memory.end()
	ctx, cancel := context.WithDeadline(q.r.Context(), q.start.Add(q.record.Timeout))
	defer cancel()
	if q.mayRelay() {
		q.relay(ctx, progress{})
		return
	}
	if rej := q.admit(); rej != nil { // the other host admits a relayed request
		q.reject(rej)
		return
	}
	q.serve(ctx)
}

// Reasons of this host's own state for which it refuses requests.
const (
	reasonLeaving         = "leaving"
	reasonNoConfiguration = "noConfiguration"
	reasonUnconfirmed     = "unconfirmed"
	reasonOutdated        = "outdated"
	reasonCutOff          = "cutOff"
)

// reasonLinkLost is the reason of an attempt that ended as the host was found to be cut off.
const reasonLinkLost = "linkLost"

// reasonOverRate is the reason of requests beyond the rate limit of their workspace.
const reasonOverRate = "overRate"

// reasonCopy is the reason of a request of which a copy is in progress or may have run.
const reasonCopy = "copy"

// rejection is a response that this host generates itself.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// isOfHost reports whether the request did not run because of this host's state, so that
// another one may serve it.
func (rej *rejection) isOfHost() bool {
	if rej.status != http.StatusServiceUnavailable {
		return false
	}
	switch rej.reason {
	case reasonLeaving, reasonNoConfiguration, reasonUnconfirmed, reasonOutdated, reasonCutOff, reasonNoMemory:
		return true
	default:
		return false
	}
}

// prepare finds the route of the request. It returns a rejection if there is none, or if this
// host cannot rely on what it knows.
func (q *request) prepare() *rejection {
	if q.h.rejecting.Load() {
		return &rejection{http.StatusServiceUnavailable, reasonLeaving, retryAfterNotReady}
	}
	q.router = q.h.cfg.RouterSource.Router()
	if q.router == nil {
		return &rejection{http.StatusServiceUnavailable, reasonNoConfiguration, retryAfterNotReady}
	}
	q.record.ConfigVersion = q.router.Version
	q.record.ConfirmationAge, _ = q.h.cfg.Confirmer.Age()
	if reason := q.staleness(); reason != "" {
		return &rejection{http.StatusServiceUnavailable, reason, retryAfterNotReady}
	}
	if rej := q.validate(); rej != nil {
		return rej
	}
	q.route = q.router.Match(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return &rejection{status: http.StatusNotFound, reason: "noRoute"}
	}
	q.record.Route = q.route.Name
	return nil
}

// assign authenticates the request and sets its service, time and body. It returns a rejection
// if the request may not run.
func (q *request) assign() *rejection {
	if rej := q.authenticate(); rej != nil {
		return rej
	}
	q.service = q.route.Pick()
	q.record.Service = q.service
	q.setTimeout()
	q.body = replayer.New(q.r.Body, maxReplayBytes, q.router.Limits.MaxBodyBytes)
	if !q.fromHost {
		q.maxSends = q.route.MaxAttempts
	}
	return nil
}

// staleness returns the reason why what this host knows cannot be relied on now, or an empty
// string if it can.
func (q *request) staleness() string {
	age, ok := q.h.cfg.Confirmer.Age()
	switch {
	case !ok || age >= q.h.cfg.MaxConfirmationAge():
		return reasonUnconfirmed
	case q.h.cfg.Outdated():
		return reasonOutdated
	default:
		return ""
	}
}

func (q *request) validate() *rejection {
	switch {
	case q.r.Method == http.MethodConnect, q.r.Method == http.MethodTrace, q.r.Header.Get("Upgrade") != "":
		return &rejection{status: http.StatusMethodNotAllowed, reason: "method"}
	case !q.setURL():
		return &rejection{status: http.StatusBadRequest, reason: "path"}
	case !q.r.ProtoAtLeast(1, 1):
		return &rejection{status: http.StatusHTTPVersionNotSupported, reason: "protocol"}
	case q.router.Limits.MaxBodyBytes > 0 && q.r.ContentLength > q.router.Limits.MaxBodyBytes:
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}
	default:
		return nil
	}
}

// setURL sets the URL to send the request to. It returns false if there is none that passes on
// the caller's request target unchanged.
func (q *request) setURL() (ok bool) {
	q.url, ok = targetURL(requestTarget(q.r.RequestURI))
	return ok
}

// authenticate sets the workspace that owns the key. Open routes accept requests
// without a key and with an unknown key.
func (q *request) authenticate() *rejection {
	if q.info.Key != "" {
		q.ws = q.router.WorkspaceByKey(q.info.Key)
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

func (q *request) setTimeout() {
	timeout := q.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	q.record.Timeout = max(timeout-timeoutMargin, time.Millisecond)
}

// admit applies the workspace's rate limit.
func (q *request) admit() *rejection {
	if q.ws == nil {
		return nil
	}
	wait, ok := q.h.cfg.RateLimiter.Admit(q.ws)
	if !ok {
		return &rejection{http.StatusTooManyRequests, reasonOverRate, wait}
	}
	return nil
}

// mayStillSend returns the reason why the request may not be sent any longer, or an empty
// string if it may: what this host knows can be relied on, and the key is valid in the
// current configuration.
func (q *request) mayStillSend() string {
	if reason := q.staleness(); reason != "" {
		return reason
	}
	current := q.h.cfg.RouterSource.Router()
	if current == q.router || q.ws == nil {
		return ""
	}
	if ws := current.WorkspaceByKey(q.info.Key); ws == nil || ws.Name != q.ws.Name {
		return reasonUnconfirmed
	}
	return ""
}

// reject writes a rejection to the caller and records it. One that promises that the request
// did not run is replaced unless that is certain.
func (q *request) reject(rej *rejection) {
	if status := q.evidence.Status(rej.status); status != rej.status {
		rej = &rejection{status: status, reason: rej.reason}
	}
	if errors.Is(context.Cause(q.r.Context()), context.Canceled) {
		q.record.CallerGone = true
	}
	header := q.w.Header()
	if q.fromHost && rej.isOfHost() {
		header.Set(headerRelayRefused, "1")
	}
	if rej.retryAfter > 0 {
		header.Set("Retry-After", formatSeconds(rej.retryAfter))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	text := rej.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	q.w.WriteHeader(rej.status)
	if _, err := q.w.Write([]byte(text)); err != nil {
		q.record.CallerGone = true
	}
	q.record.Status, q.record.Reason, q.record.RetryAfter = rej.status, rej.reason, rej.retryAfter
	q.emitRecord()
}

// formatSeconds formats a duration in seconds with up to three decimals. It rounds up, so
// that callers do not return too early.
func formatSeconds(d time.Duration) string {
	rounded := (d + time.Millisecond - 1).Truncate(time.Millisecond)
	text := strconv.FormatFloat(rounded.Seconds(), 'f', 3, 64)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

func (q *request) emitRecord() {
	q.record.Elapsed = time.Since(q.start)
	if q.h.cfg.Recorder != nil {
		q.h.cfg.Recorder.Record(&q.record)
	}
}

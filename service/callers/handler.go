package callers

import (
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-chi/chi/v5"

	"gypsumbeam.example/gypsumbeam/pkg/deduplicator"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/retrier"
)

// The defaults of Config.
const (
	DefaultMaxKeyedBodyBytes        = 1 << 20
	DefaultMaxRecordedResponseBytes = 256 << 10
	DefaultMaxHeldBodyBytes         = 64 << 20
)

// Config holds what a Handler needs. All interfaces must be set but Relayer,
// without which requests for other hosts are refused, and Recorder.
type Config struct {
	Self   ids.Instance
	Region ids.Region

	Lease        Lease
	ConfigSource ConfigSource
	RateLimiter  RateLimiter
	Dispatcher   Dispatcher
	Steerer      Steerer
	Relayer      Relayer
	Sender       Sender
	Meter        Meter
	// Idempotency remembers the outcomes of the keys that this host owns; nil
	// makes one with the defaults.
	Idempotency *deduplicator.Deduplicator

	// Backup keeps copies of outcomes at another host; nil keeps none.
	Backup Backup

	// MaxOnceBody and MaxOnceAnswer bound the body and the recorded answer of a
	// request that runs at most once, in bytes, and MaxOnceBodies all such
	// bodies that are held at a time.
	MaxKeyedBodyBytes        int64
	MaxRecordedResponseBytes int64
	MaxHeldBodyBytes         int64
}

// Handler serves callers over HTTP, and runs the requests that peers relay.
type Handler struct {
	cfg    Config
	router chi.Router
	budget retrier.Budget
	// onceBytes counts the bodies held for requests that run at most once.
	onceBytes atomic.Int64
	// runs counts the runs that go on without their callers.
	runs sync.WaitGroup
}

// New returns a Handler, ready to serve.
func New(cfg Config) *Handler {
	if cfg.Idempotency == nil {
		cfg.Idempotency = deduplicator.New(deduplicator.Config{Self: cfg.Self})
	}
	if cfg.MaxKeyedBodyBytes == 0 {
		cfg.MaxKeyedBodyBytes = DefaultMaxKeyedBodyBytes
	}
	if cfg.MaxRecordedResponseBytes == 0 {
		cfg.MaxRecordedResponseBytes = DefaultMaxRecordedResponseBytes
	}
	if cfg.MaxHeldBodyBytes == 0 {
		cfg.MaxHeldBodyBytes = DefaultMaxHeldBodyBytes
	}
	h := &Handler{cfg: cfg}
	h.router = chi.NewRouter()
	h.router.Get("/v1/lookup", h.serveLookup)
	h.router.HandleFunc("/s/*", h.serveRequest)
	h.router.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, refuse(http.StatusNotFound, refusal.CodeBadRequest,
			"there is nothing here; requests go to /s/{service}/ and look-ups to /v1/lookup"))
	})
	h.router.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		writeProblem(w, refuse(http.StatusMethodNotAllowed, refusal.CodeBadRequest, "this method is not served here"))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.router.ServeHTTP(w, r)
}

// Wait returns once no request runs on without its caller. Call it after the
// server has stopped taking requests.
func (h *Handler) Wait() { h.runs.Wait() }

// Prefix returns the prefix of new idempotency keys that this host owns.
func (h *Handler) IdempotencyPrefix() string { return h.cfg.Idempotency.KeyPrefix() }

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

// Defaults of the zero fields of a Config, in bytes.
const (
	DefaultMaxKeyedBodyBytes        = 1 << 20
	DefaultMaxRecordedResponseBytes = 256 << 10
	DefaultMaxHeldBodyBytes         = 64 << 20
)

// Config holds the settings and dependencies of a Handler. All interfaces are required
// except Relayer, without which requests for other hosts are refused, Meter and Backup.
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
	// Idempotency records the outcomes of the idempotency keys that this host owns; nil
	// creates one with the defaults.
	Idempotency *deduplicator.Deduplicator

	// Backup keeps copies of recorded outcomes at another host; nil means no copies.
	Backup Backup

	// MaxKeyedBodyBytes and MaxRecordedResponseBytes bound the body and the recorded
	// response of a request with an idempotency key. MaxHeldBodyBytes bounds the total
	// of all such bodies held at a time.
	MaxKeyedBodyBytes        int64
	MaxRecordedResponseBytes int64
	MaxHeldBodyBytes         int64
}

// Handler serves callers over HTTP and runs the requests that peers relay. Its methods
// may be called concurrently.
type Handler struct {
	cfg    Config
	router chi.Router
	budget retrier.Budget
	// heldBodyBytes is the total size of the bodies held for requests with idempotency
	// keys.
	heldBodyBytes atomic.Int64
	// detached counts the running requests that continue if their callers disconnect.
	detached sync.WaitGroup
}

// New returns a Handler that is ready to serve.
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

// Wait waits for the requests that still run after their callers disconnected. Call it
// after the server has stopped accepting requests.
func (h *Handler) Wait() { h.detached.Wait() }

// IdempotencyPrefix returns the prefix of new idempotency keys that this host owns.
func (h *Handler) IdempotencyPrefix() string { return h.cfg.Idempotency.KeyPrefix() }

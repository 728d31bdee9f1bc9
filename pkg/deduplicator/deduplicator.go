// Package recorder remembers the outcomes of idempotency keys, so that a
// request with such a key runs at most once.
package deduplicator

import (
	"context"
	"crypto/sha256"
	"fmt"
	"hash/maphash"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// The defaults of Config.
const (
	DefaultMaxBytes     = 64 << 20
	DefaultEpochLength  = 5 * time.Minute
	DefaultRetention    = 24 * time.Hour
	DefaultMinRetention = 15 * time.Minute
)

const (
	// shards is the number of locks.
	shards = 64
	// entryBytes is the memory of one entry without its texts.
	entryBytes = 512
)

// Config holds the settings of a Recorder. Zero fields take their defaults.
type Config struct {
	// Self is the instance whose keys the recorder runs.
	Self ids.Instance
	// MaxBytes bounds the memory of all outcomes.
	MaxBytes int64
	// EpochLength is the time after which look-ups give a new prefix.
	EpochLength time.Duration
	// Keep is how long an epoch's outcomes are kept after its end.
	Retention time.Duration
	// MinKeep is how long they are kept when the memory is short.
	MinRetention time.Duration
}

// Request is what makes two requests with one key the same request.
type Request struct {
	Service   ids.Service
	Workspace ids.Workspace
	Method    string
	// Path is the escaped path and query behind the service.
	Path string
	// Body is the hash of the whole body.
	Body [sha256.Size]byte
}

// Sum returns the hash of all that makes two requests the same.
func (q Request) Sum() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{string(q.Service), string(q.Workspace), q.Method, q.Path} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part) // A hash takes all.
	}
	h.Write(q.Body[:])
	return [sha256.Size]byte(h.Sum(nil))
}

// Outcome is how a request ended. Exactly one of Status and Refusal is set.
type Outcome struct {
	// Status, Header, Body and Trailer are the target's answer.
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
	// Dropped says that the answer was too large to keep: only Status is there.
	BodyDropped bool
	Target      ids.Target
	Region      ids.Region
	// Refusal is set when no whole answer came; its Outcome is never NotRun.
	Refusal *refusal.Refusal
}

// Recorder remembers the outcomes of the keys that its instance owns. All its
// methods may be called from any goroutine.
type Deduplicator struct {
	cfg   Config
	start time.Time
	// oldest is the first epoch that is not retired.
	oldest atomic.Uint64
	bytes  atomic.Int64
	shards [shards]shard

	retireMu sync.Mutex
}

type shard struct {
	mu     sync.Mutex
	epochs map[uint64]map[string]*entry
}

// entry is one key. Outcome is set before done is closed; a nil Outcome then
// means that the request provably did not run.
type entry struct {
	request Request
	bytes   int64
	done    chan struct{}
	outcome *Outcome
}

// seed spreads ids over shards.
var seed = maphash.MakeSeed()

// New returns a Recorder with no outcomes, in its first epoch.
func New(cfg Config) *Deduplicator {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.EpochLength == 0 {
		cfg.EpochLength = DefaultEpochLength
	}
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.MinRetention == 0 {
		cfg.MinRetention = min(DefaultMinRetention, cfg.Retention)
	}
	r := &Deduplicator{cfg: cfg, start: time.Now()}
	r.oldest.Store(1)
	return r
}

// Prefix returns the prefix of new keys, "<instance>-<epoch>".
func (r *Deduplicator) KeyPrefix() string {
	return prefixOf(r.cfg.Self, r.current())
}

// current returns the epoch of new keys.
func (r *Deduplicator) current() uint64 {
	return uint64(time.Since(r.start)/r.cfg.EpochLength) + 1
}

// Owns reports whether the recorder's instance owns the key.
func (r *Deduplicator) Owns(k Key) bool { return k.Owner == r.cfg.Self }

// MayHaveRun reports whether the key, which the instance owns, has run, runs
// now, or may have run in a retired epoch.
func (r *Deduplicator) MayHaveRun(k Key) bool {
	s := r.shard(k.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.Epoch < r.oldest.Load() {
		return true
	}
	_, ok := s.epochs[k.Epoch][k.ID]
	return ok
}

// Bytes returns the memory that the outcomes take.
func (r *Deduplicator) Bytes() int64 { return r.bytes.Load() }

// Run is the right to run one key, once. Exactly one of Finish and Forget must
// be called.
type Execution struct {
	r *Deduplicator
	k Key
	e *entry
}

// Begin returns the right to run the key, or the outcome of its first run, for
// which it waits until ctx ends. Its error is a *refusal.Refusal. Only the
// owner of the key may call it, and only while its serving lease is valid.
func (r *Deduplicator) Begin(ctx context.Context, k Key, q Request) (*Execution, *Outcome, error) {
	if !r.Owns(k) || k.Epoch > r.current() {
		return nil, nil, prefixInvalid()
	}
	r.retireExpired()
	for {
		run, e, err := r.claim(k, q)
		if err != nil || run != nil {
			return run, nil, err
		}
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, nil, stillRunning()
		}
		if e.outcome != nil {
			return nil, e.outcome, nil
		}
	}
}

// claim adds the key, or returns the entry that is there.
func (r *Deduplicator) claim(k Key, q Request) (*Execution, *entry, error) {
	need := int64(entryBytes + len(k.ID) + len(q.Path))
	if err := r.makeRoom(need); err != nil {
		if !r.MayHaveRun(k) {
			return nil, nil, err
		}
		need = 0
	}
	s := r.shard(k.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.Epoch < r.oldest.Load() {
		return nil, nil, retired()
	}
	if e, ok := s.epochs[k.Epoch][k.ID]; ok {
		if e.request != q {
			return nil, nil, KeyReused()
		}
		return nil, e, nil
	}
	e := &entry{request: q, bytes: need, done: make(chan struct{})}
	if s.epochs == nil {
		s.epochs = make(map[uint64]map[string]*entry)
	}
	if s.epochs[k.Epoch] == nil {
		s.epochs[k.Epoch] = make(map[string]*entry)
	}
	s.epochs[k.Epoch][k.ID] = e
	r.bytes.Add(need)
	return &Execution{r: r, k: k, e: e}, nil, nil
}

func (r *Deduplicator) shard(id string) *shard {
	return &r.shards[maphash.String(seed, id)%shards]
}

// Key returns the key.
func (u *Execution) Key() Key { return u.k }

// Request returns what the key runs.
func (u *Execution) Request() Request { return u.e.request }

// Finish records how the run ended and tells all who wait for it. An answer
// that does not fit into the memory is kept as its status only.
func (u *Execution) Complete(o Outcome) {
	size := outcomeBytes(&o)
	if size > 0 && u.r.makeRoom(size) != nil {
		o = Outcome{Status: o.Status, BodyDropped: true, Target: o.Target, Region: o.Region, Refusal: o.Refusal}
		size = 0
	}
	s := u.r.shard(u.k.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	u.e.outcome = &o
	if s.epochs[u.k.Epoch][u.k.ID] == u.e {
		u.e.bytes += size
		u.r.bytes.Add(size)
	}
	close(u.e.done)
}

// Forget says that the request provably did not run, so that it may be tried
// again with the same key.
func (u *Execution) Discard() {
	s := u.r.shard(u.k.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epochs[u.k.Epoch][u.k.ID] == u.e {
		delete(s.epochs[u.k.Epoch], u.k.ID)
		u.r.bytes.Add(-u.e.bytes)
	}
	close(u.e.done)
}

func outcomeBytes(o *Outcome) int64 {
	size := len(o.Body)
	for _, h := range []http.Header{o.Header, o.Trailer} {
		for name, values := range h {
			size += len(name)
			for _, v := range values {
				size += len(v)
			}
		}
	}
	return int64(size)
}

func prefixInvalid() *refusal.Refusal {
	return &refusal.Refusal{
		Status:  http.StatusBadRequest,
		Code:    refusal.CodeIdempotencyPrefix,
		Outcome: refusal.NotRun,
		Detail:  "the key's prefix was never given out; ask /v1/lookup for a prefix",
	}
}

func retired() *refusal.Refusal {
	return &refusal.Refusal{
		Status:  http.StatusConflict,
		Code:    refusal.CodeIdempotencyRetired,
		Outcome: refusal.Unknown,
		Detail:  "the outcomes of this key's prefix are no longer kept; the request will not run again",
	}
}

// Reused returns the refusal of a request whose key another request used.
func KeyReused() *refusal.Refusal {
	return &refusal.Refusal{
		Status:  http.StatusUnprocessableEntity,
		Code:    refusal.CodeIdempotencyReused,
		Outcome: refusal.NotRun,
		Detail:  "another request came with this idempotency key; this one did not run",
	}
}

func stillRunning() *refusal.Refusal {
	return &refusal.Refusal{
		Status:     http.StatusGatewayTimeout,
		Code:       refusal.CodeDeadline,
		Outcome:    refusal.Unknown,
		Detail:     "the first request with this idempotency key still runs; repeat it with the same key",
		RetryAfter: time.Second,
	}
}

func full(retryAfter time.Duration) *refusal.Refusal {
	return refusal.Unavailable(refusal.CodeIdempotencyFull,
		fmt.Sprintf("the memory for outcomes of idempotency keys is full; the next part of it is freed in %s", retryAfter.Round(time.Second)),
		retryAfter)
}

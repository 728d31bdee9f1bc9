// Package deduplicator stores the outcomes of requests by idempotency key, so that
// a request with such a key is executed at most once.
//
// A key belongs to one instance and to one of its epochs, of which a new one
// begins every Config.EpochLength. Outcomes are kept in memory and retired by whole
// epochs. The caller parses a key with ParseKey and passes it to Begin, which
// returns either an Execution, to be ended with Complete or Discard, or the outcome
// of an earlier request.
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

// Defaults of Config.
const (
	DefaultMaxBytes     = 64 << 20
	DefaultEpochLength  = 5 * time.Minute
	DefaultRetention    = 24 * time.Hour
	DefaultMinRetention = 15 * time.Minute
)

const (
	// shardCount is the number of separately locked parts of the stored outcomes.
	shardCount = 64
	// entryBytes is the memory use of one entry without its strings.
	entryBytes = 512
)

// Config holds the settings of a Deduplicator. Zero fields take their defaults;
// Self is required.
type Config struct {
	// Self is the instance whose keys the Deduplicator handles.
	Self ids.Instance
	// MaxBytes limits the memory use of all outcomes.
	MaxBytes int64
	// EpochLength is the time after which look-ups return a new prefix.
	EpochLength time.Duration
	// Retention is how long an epoch's outcomes are kept after its end.
	Retention time.Duration
	// MinRetention is how long they are kept at least when MaxBytes is reached.
	MinRetention time.Duration
}

// Request identifies a request. A repeated request must be equal to the first one
// with the same key.
type Request struct {
	Service   ids.Service
	Workspace ids.Workspace
	Method    string
	// Path is the escaped path after the service's name, with the query.
	Path string
	// Body is the SHA-256 hash of the whole body.
	Body [sha256.Size]byte
}

// Sum returns a SHA-256 hash of all fields.
func (q Request) Sum() [sha256.Size]byte {
	h := sha256.New()
	for _, part := range []string{string(q.Service), string(q.Workspace), q.Method, q.Path} {
		_, _ = fmt.Fprintf(h, "%d:%s", len(part), part) // Writing to a hash never fails.
	}
	h.Write(q.Body[:])
	return [sha256.Size]byte(h.Sum(nil))
}

// Outcome is the result of a request. Exactly one of Status and Refusal is set.
type Outcome struct {
	// Status, Header, Body and Trailer are the target's response.
	Status  int
	Header  http.Header
	Body    []byte
	Trailer http.Header
	// BodyDropped is set if the response was too large to keep; Header, Body and
	// Trailer are missing then.
	BodyDropped bool
	Target      ids.Target
	Region      ids.Region
	// Refusal is set if no complete response was received; its Outcome is never
	// NotRun.
	Refusal *refusal.Refusal
}

// Deduplicator stores the outcomes of the keys that its instance owns. Its methods
// may be called from several goroutines.
type Deduplicator struct {
	cfg   Config
	start time.Time
	// oldest is the oldest epoch that is not retired.
	oldest atomic.Uint64
	bytes  atomic.Int64
	shards [shardCount]shard

	retireMu sync.Mutex
}

type shard struct {
	mu     sync.Mutex
	epochs map[uint64]map[string]*entry
}

// entry holds the state of one key. outcome is set before done is closed; if it is
// nil then, the request provably did not run.
type entry struct {
	request Request
	bytes   int64
	done    chan struct{}
	outcome *Outcome
}

// shardSeed is the hash seed that assigns key IDs to shards.
var shardSeed = maphash.MakeSeed()

// New returns a Deduplicator without outcomes, in epoch 1.
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

// KeyPrefix returns the prefix of new keys, "<instance>-<epoch>".
func (d *Deduplicator) KeyPrefix() string {
	return prefixOf(d.cfg.Self, d.currentEpoch())
}

// currentEpoch returns the epoch of new keys.
func (d *Deduplicator) currentEpoch() uint64 {
	return uint64(time.Since(d.start)/d.cfg.EpochLength) + 1
}

// Owns reports whether the Deduplicator's instance owns the key.
func (d *Deduplicator) Owns(k Key) bool { return k.Owner == d.cfg.Self }

// MayHaveRun reports whether a request with the key, which the instance must own,
// has run, is running, or may have run in an epoch that is retired.
func (d *Deduplicator) MayHaveRun(k Key) bool {
	s := d.shard(k.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.Epoch < d.oldest.Load() {
		return true
	}
	_, ok := s.epochs[k.Epoch][k.ID]
	return ok
}

// Bytes returns the memory use of the outcomes.
func (d *Deduplicator) Bytes() int64 { return d.bytes.Load() }

// Execution is the permission to execute the request of one key, once. Exactly one
// of Complete and Discard must be called.
type Execution struct {
	deduplicator *Deduplicator
	key          Key
	entry        *entry
}

// Begin returns an Execution, or the outcome of the earlier request with the key.
// While that request is running, it waits for the outcome until ctx ends. It may be
// called only while the serving lease of this instance is valid. Its error is a
// *refusal.Refusal, also for a key that this instance does not own.
func (d *Deduplicator) Begin(ctx context.Context, k Key, q Request) (*Execution, *Outcome, error) {
	if !d.Owns(k) || k.Epoch > d.currentEpoch() {
		return nil, nil, prefixInvalid()
	}
	d.retireExpired()
	for {
		execution, e, err := d.claim(k, q)
		if err != nil || execution != nil {
			return execution, nil, err
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

// claim adds an entry for the key, or returns the existing one.
func (d *Deduplicator) claim(k Key, q Request) (*Execution, *entry, error) {
	size := int64(entryBytes + len(k.ID) + len(q.Path))
	if err := d.makeRoom(size); err != nil {
		if !d.MayHaveRun(k) {
			return nil, nil, err
		}
		size = 0
	}
	s := d.shard(k.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if k.Epoch < d.oldest.Load() {
		return nil, nil, keyRetired()
	}
	if e, ok := s.epochs[k.Epoch][k.ID]; ok {
		if e.request != q {
			return nil, nil, KeyReused()
		}
		return nil, e, nil
	}
	e := &entry{request: q, bytes: size, done: make(chan struct{})}
	if s.epochs == nil {
		s.epochs = make(map[uint64]map[string]*entry)
	}
	if s.epochs[k.Epoch] == nil {
		s.epochs[k.Epoch] = make(map[string]*entry)
	}
	s.epochs[k.Epoch][k.ID] = e
	d.bytes.Add(size)
	return &Execution{deduplicator: d, key: k, entry: e}, nil, nil
}

func (d *Deduplicator) shard(id string) *shard {
	return &d.shards[maphash.String(shardSeed, id)%shardCount]
}

// Key returns the key of the request.
func (e *Execution) Key() Key { return e.key }

// Request returns the request to execute.
func (e *Execution) Request() Request { return e.entry.request }

// Complete stores the outcome and passes it to all waiting requests. Of a response
// that does not fit into the memory only the status is kept.
func (e *Execution) Complete(o Outcome) {
	size := outcomeBytes(&o)
	if size > 0 && e.deduplicator.makeRoom(size) != nil {
		o = Outcome{Status: o.Status, BodyDropped: true, Target: o.Target, Region: o.Region, Refusal: o.Refusal}
		size = 0
	}
	s := e.deduplicator.shard(e.key.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.entry.outcome = &o
	if s.epochs[e.key.Epoch][e.key.ID] == e.entry {
		e.entry.bytes += size
		e.deduplicator.bytes.Add(size)
	}
	close(e.entry.done)
}

// Discard removes the key because the request provably did not run. It may be
// executed later with the same key.
func (e *Execution) Discard() {
	s := e.deduplicator.shard(e.key.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epochs[e.key.Epoch][e.key.ID] == e.entry {
		delete(s.epochs[e.key.Epoch], e.key.ID)
		e.deduplicator.bytes.Add(-e.entry.bytes)
	}
	close(e.entry.done)
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
		Code:    refusal.CodeIdempotencyPrefixInvalid,
		Outcome: refusal.NotRun,
		Detail:  "the key's prefix was never given out; ask /v1/lookup for a prefix",
	}
}

func keyRetired() *refusal.Refusal {
	return &refusal.Refusal{
		Status:  http.StatusConflict,
		Code:    refusal.CodeIdempotencyEpochRetired,
		Outcome: refusal.Unknown,
		Detail:  "the outcomes of this key's prefix are no longer kept; the request will not run again",
	}
}

// KeyReused returns the refusal of a request whose key was used for a different
// request.
func KeyReused() *refusal.Refusal {
	return &refusal.Refusal{
		Status:  http.StatusUnprocessableEntity,
		Code:    refusal.CodeIdempotencyKeyReused,
		Outcome: refusal.NotRun,
		Detail:  "another request came with this idempotency key; this one did not run",
	}
}

func stillRunning() *refusal.Refusal {
	return &refusal.Refusal{
		Status:     http.StatusGatewayTimeout,
		Code:       refusal.CodeDeadlineExceeded,
		Outcome:    refusal.Unknown,
		Detail:     "the first request with this idempotency key still runs; repeat it with the same key",
		RetryAfter: time.Second,
	}
}

func memoryFull(retryAfter time.Duration) *refusal.Refusal {
	return refusal.Unavailable(refusal.CodeIdempotencyMemoryFull,
		fmt.Sprintf("the memory for outcomes of idempotency keys is full; the next part of it is freed in %s", retryAfter.Round(time.Second)),
		retryAfter)
}

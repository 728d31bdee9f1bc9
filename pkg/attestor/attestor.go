// Package attestor decides whether a response may say that a request did not run. An Attestor
// remembers for a host which requests may have run, so that a copy of one, with the same key,
// is neither run nor refused. The Evidence of one request collects what is known about it.
//
// A handler calls Open when a request arrives, Begin before it does anything for a request
// that may run only once, Add after each send, Status for each response, and End at last.
package attestor

import (
	"hash/maphash"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// retention is the least time for which a request that may have run is remembered,
	// counted from its end. It exceeds the time after which HTTP clients send a request
	// again by themselves.
	retention = 30 * time.Second
	// shardCount is the number of parts of the memory, which have a lock each, and
	// maxPerShard bounds the requests that each of them remembers in one generation.
	shardCount  = 16
	maxPerShard = 8192
)

// Key identifies a request and its copies. The zero Key stands for none, and is not
// remembered.
type Key uint64

// seed makes keys differ from process to process.
var seed = maphash.MakeSeed()

// NewKey returns the key of a request with an ID and the given parts of its content. It returns
// the zero Key if id is empty.
func NewKey(id string, parts ...string) Key {
	if id == "" {
		return 0
	}
	var h maphash.Hash
	h.SetSeed(seed)
	_, _ = h.WriteString(id) // it never fails
	for _, p := range parts {
		_ = h.WriteByte(0)
		_, _ = h.WriteString(p)
	}
	return Key(max(h.Sum64(), 1))
}

// fate is what is remembered of a request.
type fate int

const (
	// refused means that a target has refused it.
	refused fate = iota + 1
	// mayHaveRun means that it is in progress, or that it may have run.
	mayHaveRun
)

// Attestor remembers requests. The zero value is ready for use, and its methods are safe for
// concurrent use.
type Attestor struct {
	shards [shardCount]shard
}

// shard remembers requests in two generations, of which the older one is forgotten when the
// newer one is full or retention old.
type shard struct {
	mu           sync.Mutex
	newer, older map[Key]fate
	began        time.Time
}

func (a *Attestor) shard(k Key) *shard { return &a.shards[uint64(k)%shardCount] }

// fate returns what is remembered of a request, or 0.
func (a *Attestor) fate(k Key) fate {
	s := a.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(k)
}

func (s *shard) get(k Key) fate {
	s.rotate()
	if f, ok := s.newer[k]; ok {
		return f
	}
	return s.older[k]
}

// set remembers a request, or forgets it if f is 0.
func (s *shard) set(k Key, f fate) {
	s.rotate()
	delete(s.older, k)
	if f == 0 {
		delete(s.newer, k)
		return
	}
	if s.newer == nil {
		s.newer, s.began = make(map[Key]fate), time.Now()
	}
	s.newer[k] = f
}

// rotate begins a generation if it is time.
func (s *shard) rotate() {
	age := time.Since(s.began)
	if len(s.newer) < maxPerShard && age < retention {
		return
	}
	s.older, s.newer = s.newer, nil
	if age >= 2*retention {
		s.older = nil
	}
	s.began = time.Now()
}

// Open returns the evidence about a request that has arrived, of which nothing was sent yet.
func (a *Attestor) Open(k Key) Evidence { return Evidence{attestor: a, key: k} }

// Evidence is what is known about whether one request ran. It is for one goroutine.
type Evidence struct {
	attestor *Attestor
	key      Key
	// begun is set if this request is remembered, rather than an earlier copy of it.
	begun bool
	// ran is set once it may have run.
	ran bool
	// copied is set if a target refused an earlier copy of it.
	copied bool
	// refusedBy are the addresses of the targets that refused it.
	refusedBy []string
}

// Begin remembers the request, which may run only once. It returns false if a copy of it is in
// progress or may have run: it must not be sent then.
func (e *Evidence) Begin() bool {
	if e.key == 0 {
		return true
	}
	s := e.attestor.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.get(e.key)
	if known == mayHaveRun {
		return false
	}
	e.begun, e.copied = true, known == refused
	s.set(e.key, mayHaveRun)
	return true
}

// End must be called once nothing more is sent.
func (e *Evidence) End() {
	if !e.begun {
		return
	}
	outcome := fate(0)
	switch {
	case e.ran:
		outcome = mayHaveRun
	case e.copied || len(e.refusedBy) > 0:
		outcome = refused
	}
	s := e.attestor.shard(e.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(e.key, outcome)
}

// Add takes in the outcome of a send: whether the request certainly did not run by it.
func (e *Evidence) Add(notRun bool) { e.ran = e.ran || !notRun }

// Believe takes in that a response from an address refuses the request, and reports whether
// that may be believed. A refusal may be written once more in place of the response to a copy
// that is sent to the same target, so it counts only the first time.
func (e *Evidence) Believe(address string) bool {
	first := !e.copied && !slices.Contains(e.refusedBy, address)
	e.refusedBy = append(e.refusedBy, address)
	return first
}

// NotRun reports whether the request certainly did not run, and neither did a copy of it that
// this host remembers.
func (e *Evidence) NotRun() bool {
	return !e.ran && (e.begun || e.key == 0 || e.attestor.fate(e.key) != mayHaveRun)
}

// Status returns the status with which the request may be answered in place of the given one:
// 502 instead of one that promises that it did not run, unless that is certain.
func (e *Evidence) Status(status int) int {
	if PromisesNotRun(status) && !e.NotRun() {
		return http.StatusBadGateway
	}
	return status
}

// PromisesNotRun reports whether a status tells the caller that the request did not run and
// never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

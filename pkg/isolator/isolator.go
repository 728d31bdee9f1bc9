// Package isolator recognises requests that crash the targets that run them, so that they
// are not sent to target after target. Callers repeat such a request at any entry host, so
// the hosts tell each other of crashes.
//
// A target that crashes ends all requests that it has, and most of them are innocent. A
// request is isolated once it was there at several crashes one after the other, each time
// sent after the previous crash, and was not answered meanwhile: an innocent request that
// comes often is answered in between, and one that comes seldom is not there again. If it
// was there at several crashes at about the same time, it comes at many hosts at once. Then,
// and when its isolation is over, one host at a time tries it, each for a turn, until it is
// answered or isolated.
//
// The caller passes crashes to RecordCrash and answers to RecordAnswer, asks Admit before
// each send, and passes what other hosts sent to Observe and the result of Due to them in
// every round of messages. As all hosts may be restarted at once, it writes what Unsaved
// returns to the platform's store, and passes what the store contains to SetStored.
package isolator

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
	"gypsumbeam.example/gypsumbeam/pkg/hasher"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/reconciler"
)

const (
	// minCrashes is the number of successive crashes from which on a request is isolated.
	// It is then isolated for isolationTime, and after each further crash for
	// isolationFactor times as long as before: it may be harmless by then.
	minCrashes      = 3
	isolationTime   = 20 * time.Second
	isolationFactor = 4
	// maxCrashes bounds the crashes that are kept of a request.
	maxCrashes = 8
	// minGap is the time after a crash from which on a request counts as sent after it.
	// Times that other hosts tell are later by the time that messages take. A second
	// crash of the same run of a target counts only after sameRunGap, as it may be the
	// first one, told by another host.
	minGap     = 100 * time.Millisecond
	sameRunGap = 2 * time.Second
	// trialInterval is the time between two trials of a request, and trialTurn the time
	// for which one host tries it.
	trialInterval = 400 * time.Millisecond
	trialTurn     = 2 * time.Second
	// maxEntries bounds the requests that are remembered.
	maxEntries = 1024
	// suspicionTime is how long a crash is remembered, and clearedTime how long an answer
	// is that cleared a request.
	suspicionTime = time.Hour
	clearedTime   = 10 * time.Second
)

// Verdict tells what to do with a request.
type Verdict int

// A request is Allowed; or it is Deferred, as another host tries it; or it is Isolated: it
// is known to crash targets.
const (
	Allowed Verdict = iota
	Deferred
	Isolated
)

// Crash is a crash of a target that had the request.
type Crash struct {
	// Run is the run of the target's process that crashed.
	Run reconciler.RunHash
	// SentAt is when the request was sent to it, and CrashedAt when it crashed.
	SentAt, CrashedAt time.Time
}

// Observation is what is known of one request.
type Observation struct {
	Fingerprint fingerprinter.Fingerprint
	// Crashes holds crashes, the successive ones first.
	Crashes []Crash
	// ClearedAt is when an answer showed that the request is innocent, zero if none did.
	ClearedAt time.Time
}

// Isolator holds the requests that are suspected or isolated. The zero value is empty and
// ready for use, and its methods are safe for concurrent use.
type Isolator struct {
	// Self is this host, and Hosts returns all hosts that accept callers. Nil means that
	// there are no others.
	Self  ids.Instance
	Hosts func() []ids.Instance

	// count is the number of entries, which is read without the lock: mostly there are
	// none.
	count atomic.Int64

	mu      sync.Mutex
	entries map[fingerprinter.Fingerprint]*entry
	// heads counts the entries of each head.
	heads map[fingerprinter.Hash]int
	// repeated lists the entries that are still to be sent in turn though they did not
	// change.
	repeated []fingerprinter.Fingerprint
}

// Suspects reports whether a request with this head may be suspected.
func (s *Isolator) Suspects(head fingerprinter.Hash) bool {
	if s.Empty() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heads[head] > 0
}

// Empty reports whether no request is suspected.
func (s *Isolator) Empty() bool { return s.count.Load() == 0 }

// Admit returns whether the request may be sent now. If it may not, it returns the time
// after which it may come again. An allowed request that is on trial counts as tried.
func (s *Isolator) Admit(f fingerprinter.Fingerprint) (Verdict, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[f]
	if e == nil {
		return Allowed, 0
	}
	now := time.Now()
	if until := e.isolatedUntil(); now.Before(until) {
		return Isolated, until.Sub(now)
	}
	if !e.onTrial() {
		return Allowed, 0
	}
	if now.Before(e.nextTrial) || !s.hasTurn(e, now) {
		return Deferred, trialInterval
	}
	e.nextTrial = now.Add(trialInterval)
	return Allowed, 0
}

// hasTurn reports whether it is this host that tries the request now. All hosts compute
// alike whose turn it is.
func (s *Isolator) hasTurn(e *entry, now time.Time) bool {
	if s.Hosts == nil {
		return true
	}
	turn := fmt.Sprintf("%s/%d/", e.Fingerprint, now.Sub(e.suspectedSince())/trialTurn)
	own := hasher.Sum32(turn + string(s.Self))
	return !slices.ContainsFunc(s.Hosts(), func(o ids.Instance) bool { return hasher.Sum32(turn+string(o)) > own })
}

// RecordCrash records that a target crashed that had the request.
func (s *Isolator) RecordCrash(f fingerprinter.Fingerprint, c Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(Observation{Fingerprint: f, Crashes: []Crash{c}})
	s.entries[f].local = true
}

// RecordAnswer records that a target ran the request and answered it.
func (s *Isolator) RecordAnswer(f fingerprinter.Fingerprint) {
	s.Observe(Observation{Fingerprint: f, ClearedAt: time.Now()})
}

// Observe takes in what another host knows.
func (s *Isolator) Observe(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(o)
}

// observe takes in an observation. The caller holds the lock.
func (s *Isolator) observe(o Observation) {
	now := time.Now()
	e := s.entries[o.Fingerprint]
	if e == nil {
		if len(o.Crashes) == 0 {
			return
		}
		e = s.add(o.Fingerprint, now)
	}
	if e.merge(o) {
		e.changedAt = now
	}
}

// add adds an entry, in place of the least important one if there are too many. The caller
// holds the lock.
func (s *Isolator) add(f fingerprinter.Fingerprint, now time.Time) *entry {
	if s.entries == nil {
		s.entries = make(map[fingerprinter.Fingerprint]*entry)
		s.heads = make(map[fingerprinter.Hash]int)
	}
	if len(s.entries) >= maxEntries {
		s.evict()
	}
	e := &entry{Observation: Observation{Fingerprint: f}, changedAt: now}
	s.entries[f] = e
	s.heads[f.Head]++
	s.count.Store(int64(len(s.entries)))
	return e
}

// evict removes the entry with the fewest crashes, the oldest of them. The caller holds
// the lock.
func (s *Isolator) evict() {
	var least *entry
	for _, e := range s.entries {
		if least == nil || e.lessImportant(least) {
			least = e
		}
	}
	s.remove(least)
}

// remove removes an entry. The caller holds the lock.
func (s *Isolator) remove(e *entry) {
	f := e.Fingerprint
	delete(s.entries, f)
	if s.heads[f.Head]--; s.heads[f.Head] == 0 {
		delete(s.heads, f.Head)
	}
	s.count.Store(int64(len(s.entries)))
}

// Age makes all that is known older, after this process was suspended for d.
func (s *Isolator) Age(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		e.age(d)
	}
}

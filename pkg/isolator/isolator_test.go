package isolator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/reconciler"
)

var deadly = fingerprinter.Fingerprint{Head: 1}

// crash lets the run crash now, under a request that was sent a time before.
func crash(s *isolator.Isolator, f fingerprinter.Fingerprint, run int, took time.Duration) {
	now := time.Now()
	s.RecordCrash(f, isolator.Crash{Run: reconciler.RunHash(run), SentAt: now.Add(-took), CrashedAt: now})
}

func verdict(s *isolator.Isolator, f fingerprinter.Fingerprint) isolator.Verdict {
	v, _ := s.Admit(f)
	return v
}

// Three crashes one after the other isolate a request, and no other one.
func TestSuccessiveCrashesIsolate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s isolator.Isolator
		for run := range 3 {
			is.Equal(verdict(&s, deadly), isolator.Allowed)
			time.Sleep(time.Second)
			crash(&s, deadly, run, 10*time.Millisecond)
		}
		v, wait := s.Admit(deadly)
		is.Equal(v, isolator.Isolated)
		is.True(wait > 10*time.Second)
		is.Equal(verdict(&s, fingerprinter.Fingerprint{Head: 1, Body: 1}), isolator.Allowed)
		is.True(s.Suspects(1))
		is.True(!s.Suspects(2))
	})
}

// A request that was in progress at several targets that crashed at the same time, or was
// answered since, is not isolated, and it is tried.
func TestInnocentRequestsAreNotIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s isolator.Isolator
		time.Sleep(time.Second)
		for run := range 9 {
			crash(&s, deadly, run, 500*time.Millisecond)
		}
		is.Equal(verdict(&s, deadly), isolator.Allowed)  // a trial
		is.Equal(verdict(&s, deadly), isolator.Deferred) // until it has ended
		s.RecordAnswer(deadly)
		is.Equal(verdict(&s, deadly), isolator.Allowed)
		for run := range 9 {
			time.Sleep(time.Second)
			crash(&s, deadly, 10+run, 10*time.Millisecond)
			s.RecordAnswer(deadly)
			is.Equal(verdict(&s, deadly), isolator.Allowed)
		}
	})
}

// The same crash, as several hosts tell it with slightly other times, counts once.
func TestToldCrashCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s isolator.Isolator
		crash(&s, deadly, 1, time.Millisecond)
		for range 10 {
			for _, o := range s.Due() {
				for i := range o.Crashes {
					o.Crashes[i].SentAt = o.Crashes[i].SentAt.Add(150 * time.Millisecond)
					o.Crashes[i].CrashedAt = o.Crashes[i].CrashedAt.Add(150 * time.Millisecond)
				}
				s.Observe(o)
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(len(s.Due()[0].Crashes), 1)
	})
}

// When its isolation is over, a request is tried; it is isolated for longer if a target
// crashes, and no longer at all if it is answered.
func TestIsolationEndsByTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s isolator.Isolator
		for run := range 3 {
			crash(&s, deadly, run, time.Millisecond)
			time.Sleep(time.Second)
		}
		_, first := s.Admit(deadly)
		time.Sleep(first)
		is.Equal(verdict(&s, deadly), isolator.Allowed)
		is.Equal(verdict(&s, deadly), isolator.Deferred)
		crash(&s, deadly, 3, time.Millisecond)
		v, second := s.Admit(deadly)
		is.Equal(v, isolator.Isolated)
		is.True(second > 2*first)
		time.Sleep(second)
		is.Equal(verdict(&s, deadly), isolator.Allowed)
		s.RecordAnswer(deadly)
		is.Equal(verdict(&s, deadly), isolator.Allowed)
		is.Equal(verdict(&s, deadly), isolator.Allowed)
	})
}

// However often a request that is tried crashes a target, it is isolated again, and for a
// bounded time.
func TestIsolationGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s isolator.Isolator
		for run := range 30 {
			crash(&s, deadly, run, time.Millisecond)
			time.Sleep(time.Second)
			v, wait := s.Admit(deadly)
			is.Equal(v == isolator.Isolated, run >= 2)
			is.True(wait < 24*time.Hour)
			time.Sleep(wait)
			is.Equal(len(s.Due()) > 0, true)
		}
	})
}

// Of many hosts, one at a time tries a suspected request, and others have their turns.
func TestOneHostTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var all []ids.Instance
		for i := range 50 {
			all = append(all, ids.Instance(fmt.Sprint("h", i)))
		}
		var hosts []*isolator.Isolator
		now := time.Now()
		for _, self := range all {
			s := &isolator.Isolator{Self: self, Hosts: func() []ids.Instance { return all }}
			for run := range 3 {
				s.RecordCrash(deadly, isolator.Crash{Run: reconciler.RunHash(run), SentAt: now.Add(-time.Second), CrashedAt: now})
			}
			hosts = append(hosts, s)
		}
		tried := make(map[int]bool)
		for range 5 {
			allowed := 0
			for i, s := range hosts {
				if verdict(s, deadly) == isolator.Allowed {
					allowed++
					tried[i] = true
				}
			}
			is.Equal(allowed, 1)
			time.Sleep(2 * time.Second)
		}
		is.True(len(tried) > 1)
	})
}

// However many requests are suspected, few are remembered, isolated ones rather than
// others, and a round of messages is short.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s isolator.Isolator
		for run := range 3 {
			crash(&s, deadly, run, time.Millisecond)
			time.Sleep(time.Second)
		}
		for i := range 5000 {
			crash(&s, fingerprinter.Fingerprint{Head: fingerprinter.Hash(100 + i)}, 4, time.Millisecond)
		}
		is.Equal(verdict(&s, deadly), isolator.Isolated)
		is.True(!s.Suspects(100))
		is.True(s.Suspects(5099))
		is.True(len(s.Due()) <= 20)
		time.Sleep(3 * time.Hour)
		s.Due()
		is.True(s.Empty())
	})
}

// A host that has just started isolates what the store contains, for a while; then it
// tries it, and an answer counts more than the store.
func TestStoredRequestsAreIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var old, started isolator.Isolator
		is.Equal(len(old.Unsaved()), 0)
		for run := range 3 {
			crash(&old, deadly, run, time.Millisecond)
			time.Sleep(time.Second)
		}
		stored := old.Unsaved()
		is.Equal(stored, []fingerprinter.Fingerprint{deadly})
		is.Equal(len(old.Unsaved()), 0) // it is being written
		started.SetStored(stored)
		started.Age(time.Nanosecond)
		v, wait := started.Admit(deadly)
		is.Equal(v, isolator.Isolated)
		time.Sleep(wait)
		is.Equal(verdict(&started, deadly), isolator.Allowed)
		is.Equal(verdict(&started, deadly), isolator.Deferred)
		crash(&started, deadly, 9, time.Millisecond)
		v, second := started.Admit(deadly)
		is.Equal(v, isolator.Isolated)
		is.True(second > 2*wait)
		time.Sleep(second)
		is.Equal(verdict(&started, deadly), isolator.Allowed)
		started.RecordAnswer(deadly)
		started.SetStored(stored)
		is.Equal(verdict(&started, deadly), isolator.Allowed)
		started.SetStored(nil)
		time.Sleep(time.Minute)
		started.Due()
		is.True(started.Empty())
	})
}

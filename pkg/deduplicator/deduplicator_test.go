package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

const self = "0123456789abcdef"

func codeOf(err error) refusal.Code {
	var rf *refusal.Refusal
	if !errors.As(err, &rf) {
		return ""
	}
	return rf.Code
}

func mustKey(t *testing.T, r *Deduplicator, id string) Key {
	t.Helper()
	k, err := ParseKey(r.KeyPrefix() + "." + id)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestEpochsRotateAndRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Config{Self: self, EpochLength: time.Minute, Retention: 10 * time.Minute})
		k := mustKey(t, r, "a")
		run, _, err := r.Begin(t.Context(), k, Request{Path: "/p"})
		is.NoErr(err)
		run.Complete(Outcome{Status: http.StatusOK, Body: []byte("paid")})
		time.Sleep(time.Minute)
		is.Equal(r.KeyPrefix(), self+"-2")
		time.Sleep(9*time.Minute + 59*time.Second)
		_, o, err := r.Begin(t.Context(), k, Request{Path: "/p"})
		is.NoErr(err)
		is.Equal(string(o.Body), "paid")
		time.Sleep(time.Second)
		_, _, err = r.Begin(t.Context(), k, Request{Path: "/p"})
		is.Equal(codeOf(err), refusal.CodeIdempotencyRetired)
		is.True(r.MayHaveRun(k))
		is.Equal(r.Bytes(), int64(0))
		future := k
		future.Epoch = 1000
		_, _, err = r.Begin(t.Context(), future, Request{})
		is.Equal(codeOf(err), refusal.CodeIdempotencyPrefix)
	})
}

// A run that its epoch's end overtakes must not come back as a fresh key.
func TestRunOverItsEpochsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Config{Self: self, EpochLength: time.Minute, Retention: time.Minute})
		k := mustKey(t, r, "a")
		run, _, err := r.Begin(t.Context(), k, Request{})
		is.NoErr(err)
		time.Sleep(time.Hour)
		_, _, err = r.Begin(t.Context(), k, Request{})
		is.Equal(codeOf(err), refusal.CodeIdempotencyRetired)
		run.Discard()
		_, _, err = r.Begin(t.Context(), k, Request{})
		is.Equal(codeOf(err), refusal.CodeIdempotencyRetired)
		is.Equal(r.Bytes(), int64(0))
	})
}

func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 64 << 10
		r := New(Config{Self: self, MaxBytes: limit, EpochLength: time.Minute, Retention: time.Hour, MinRetention: 5 * time.Minute})
		refused := 0
		for i := range 200 {
			run, _, err := r.Begin(t.Context(), mustKey(t, r, fmt.Sprint(i)), Request{})
			if err != nil {
				is.Equal(codeOf(err), refusal.CodeIdempotencyFull)
				refused++
				continue
			}
			run.Complete(Outcome{Status: http.StatusOK, Body: make([]byte, 4<<10)})
			is.True(r.Bytes() <= limit)
		}
		is.True(refused > 0)
		// A key that is there is still replayed, if only with its status.
		_, o, err := r.Begin(t.Context(), mustKey(t, r, "0"), Request{})
		is.NoErr(err)
		is.Equal(o.Status, http.StatusOK)
		_, _, err = r.Begin(t.Context(), mustKey(t, r, "new"), Request{})
		var rf *refusal.Refusal
		is.True(errors.As(err, &rf))
		is.Equal(rf.Outcome, refusal.NotRun)
		time.Sleep(rf.RetryAfter) // The wait told is the one that helps.
		_, _, err = r.Begin(t.Context(), mustKey(t, r, "new"), Request{})
		is.NoErr(err)
	})
}

func TestWaitEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(Config{Self: self})
		k := mustKey(t, r, "a")
		_, _, err := r.Begin(t.Context(), k, Request{})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err = r.Begin(ctx, k, Request{})
		is.Equal(codeOf(err), refusal.CodeDeadline)
	})
}

// TestRandomisedRuns lets many arrivals of few keys race: at most one run at a
// time, none after a Finish, and all get what the run recorded.
func TestRandomisedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := seeds.Source(t)
		r := New(Config{Self: self, EpochLength: 10 * time.Second, Retention: 20 * time.Second})
		var mu sync.Mutex
		running := make(map[Key]bool)
		finished := make(map[Key]int)
		var wg sync.WaitGroup
		end := time.Now().Add(seeds.Length(5 * time.Minute))
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			k := mustKey(t, r, fmt.Sprint(rng.IntN(5)))
			k.Epoch -= min(k.Epoch-1, uint64(rng.IntN(4)))
			forget, work := rng.IntN(2) == 0, time.Duration(rng.IntN(3000))*time.Millisecond
			wg.Go(func() {
				run, o, err := r.Begin(t.Context(), k, Request{})
				if err != nil {
					return
				}
				mu.Lock()
				if o != nil && o.Status != finished[k] {
					t.Errorf("%v: replayed %d instead of %d", k, o.Status, finished[k])
				}
				if run != nil && (running[k] || finished[k] != 0) {
					t.Errorf("%v runs again", k)
				}
				if run != nil {
					running[k] = true
				}
				mu.Unlock()
				if run == nil {
					return
				}
				time.Sleep(work)
				mu.Lock()
				defer mu.Unlock()
				running[k] = false
				if forget {
					run.Discard()
					return
				}
				finished[k] = 200 + len(finished)
				run.Complete(Outcome{Status: finished[k]})
			})
		}
		wg.Wait()
		t.Logf("keys finished: %d", len(finished))
	})
}

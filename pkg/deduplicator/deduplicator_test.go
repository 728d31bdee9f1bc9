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

func mustKey(t *testing.T, d *Deduplicator, id string) Key {
	t.Helper()
	k, err := ParseKey(d.KeyPrefix() + "." + id)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func TestEpochsRotateAndRetire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New(Config{Self: self, EpochLength: time.Minute, Retention: 10 * time.Minute})
		k := mustKey(t, d, "a")
		execution, _, err := d.Begin(t.Context(), k, Request{Path: "/p"})
		is.NoErr(err)
		execution.Complete(Outcome{Status: http.StatusOK, Body: []byte("paid")})
		time.Sleep(time.Minute)
		is.Equal(d.KeyPrefix(), self+"-2")
		time.Sleep(9*time.Minute + 59*time.Second)
		_, o, err := d.Begin(t.Context(), k, Request{Path: "/p"})
		is.NoErr(err)
		is.Equal(string(o.Body), "paid")
		time.Sleep(time.Second)
		_, _, err = d.Begin(t.Context(), k, Request{Path: "/p"})
		is.Equal(codeOf(err), refusal.CodeIdempotencyEpochRetired)
		is.True(d.MayHaveRun(k))
		is.Equal(d.Bytes(), int64(0))
		future := k
		future.Epoch = 1000
		_, _, err = d.Begin(t.Context(), future, Request{})
		is.Equal(codeOf(err), refusal.CodeIdempotencyPrefixInvalid)
	})
}

// TestRequestThatOutlastsItsEpoch checks that a key stays retired if its request
// ends after its epoch is retired, even if the request is discarded.
func TestRequestThatOutlastsItsEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New(Config{Self: self, EpochLength: time.Minute, Retention: time.Minute})
		k := mustKey(t, d, "a")
		execution, _, err := d.Begin(t.Context(), k, Request{})
		is.NoErr(err)
		time.Sleep(time.Hour)
		_, _, err = d.Begin(t.Context(), k, Request{})
		is.Equal(codeOf(err), refusal.CodeIdempotencyEpochRetired)
		execution.Discard()
		_, _, err = d.Begin(t.Context(), k, Request{})
		is.Equal(codeOf(err), refusal.CodeIdempotencyEpochRetired)
		is.Equal(d.Bytes(), int64(0))
	})
}

func TestMemoryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const limit = 64 << 10
		d := New(Config{Self: self, MaxBytes: limit, EpochLength: time.Minute, Retention: time.Hour, MinRetention: 5 * time.Minute})
		refused := 0
		for i := range 200 {
			execution, _, err := d.Begin(t.Context(), mustKey(t, d, fmt.Sprint(i)), Request{})
			if err != nil {
				is.Equal(codeOf(err), refusal.CodeIdempotencyMemoryFull)
				refused++
				continue
			}
			execution.Complete(Outcome{Status: http.StatusOK, Body: make([]byte, 4<<10)})
			is.True(d.Bytes() <= limit)
		}
		is.True(refused > 0)
		// A known key is still replayed, if only with its status.
		_, o, err := d.Begin(t.Context(), mustKey(t, d, "0"), Request{})
		is.NoErr(err)
		is.Equal(o.Status, http.StatusOK)
		_, _, err = d.Begin(t.Context(), mustKey(t, d, "new"), Request{})
		var rf *refusal.Refusal
		is.True(errors.As(err, &rf))
		is.Equal(rf.Outcome, refusal.NotRun)
		time.Sleep(rf.RetryAfter) // The suggested wait suffices.
		_, _, err = d.Begin(t.Context(), mustKey(t, d, "new"), Request{})
		is.NoErr(err)
	})
}

func TestBeginReturnsWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := New(Config{Self: self})
		k := mustKey(t, d, "a")
		_, _, err := d.Begin(t.Context(), k, Request{})
		is.NoErr(err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err = d.Begin(ctx, k, Request{})
		is.Equal(codeOf(err), refusal.CodeDeadlineExceeded)
	})
}

// TestRandomisedRuns sends concurrent requests with few keys. It checks that at
// most one request of a key runs at a time, that none runs after Complete, and that
// all others get the stored outcome.
func TestRandomisedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := seeds.NewRand(t)
		d := New(Config{Self: self, EpochLength: 10 * time.Second, Retention: 20 * time.Second})
		var mu sync.Mutex
		running := make(map[Key]bool)
		completed := make(map[Key]int)
		var wg sync.WaitGroup
		end := time.Now().Add(seeds.VirtualDuration(5 * time.Minute))
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			k := mustKey(t, d, fmt.Sprint(rng.IntN(5)))
			k.Epoch -= min(k.Epoch-1, uint64(rng.IntN(4)))
			discard, work := rng.IntN(2) == 0, time.Duration(rng.IntN(3000))*time.Millisecond
			wg.Go(func() {
				execution, o, err := d.Begin(t.Context(), k, Request{})
				if err != nil {
					return
				}
				mu.Lock()
				if o != nil && o.Status != completed[k] {
					t.Errorf("%v: replayed status %d instead of %d", k, o.Status, completed[k])
				}
				if execution != nil && (running[k] || completed[k] != 0) {
					t.Errorf("%v was executed again while running or after it was completed", k)
				}
				if execution != nil {
					running[k] = true
				}
				mu.Unlock()
				if execution == nil {
					return
				}
				time.Sleep(work)
				mu.Lock()
				defer mu.Unlock()
				running[k] = false
				if discard {
					execution.Discard()
					return
				}
				completed[k] = 200 + len(completed)
				execution.Complete(Outcome{Status: completed[k]})
			})
		}
		wg.Wait()
		t.Logf("keys completed: %d", len(completed))
	})
}

//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"gypsumbeam.example/gypsumbeam/platform/kvstore"
)

const (
	// awayTime is how long the store is away before it comes back from the copy.
	awayTime     = time.Second
	keyKept      = "s989anu6wsjnbanfqasn"
	keyWithdrawn = "mgkcuyj8pjbvk9m68k7b"
)

func init() {
	cases["restored"] = restoredCase
}

// restoredCase: a key is withdrawn. Later the store is away for a moment and comes back
// from a copy that is some seconds old, and what the operator wrote is written again two
// seconds later. One host is restarted as planned work, and starts while the store is away.
func restoredCase(w *world) (bool, error) {
	var ranLate atomic.Int64
	var withdrawnAt atomic.Pointer[time.Time]
	onRun := func(r *http.Request) {
		var ns int64
		if _, err := fmt.Sscanf(r.Header.Get("Request-Id"), "late-%d", &ns); err != nil {
			return // its key is valid
		}
		sent := time.Unix(0, ns)
		at := withdrawnAt.Load()
		if at == nil {
			return
		}
		age := sent.Sub(*at)
		w.logf("run: request %s with the withdrawn key, sent %.3f s after the acknowledgement", r.Header.Get("Request-Id"), age.Seconds())
		if age > revokeBound {
			ranLate.Add(1)
		}
	}
	for i := range 6 {
		if err := w.startTarget(fmt.Sprintf("i-%d", i), i%3, onRun); err != nil {
			return false, err
		}
	}
	both := []tenant{{"school", []string{keyKept, keyWithdrawn}}}
	w.putConfig(12, both)
	var hosts []*host
	for i, name := range []string{"a", "b", "c"} {
		h, err := w.newHost(name, i, w.address)
		if err != nil {
			return false, err
		}
		if err := h.start(); err != nil {
			return false, err
		}
		hosts = append(hosts, h)
	}
	if err := waitReady(hosts...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var calling sync.WaitGroup
	for _, h := range hosts {
		calling.Go(func() { w.callWithKey(h, keyKept, "kept", stop) })
		calling.Go(func() { w.callWithKey(h, keyWithdrawn, "late", stop) })
	}
	time.Sleep(5 * time.Second)
	backup := w.store.Backup()
	w.logf("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	w.putConfig(13, []tenant{{"school", []string{keyKept}}})
	at := time.Now()
	withdrawnAt.Store(&at)
	time.Sleep(3 * time.Second)
	b := hosts[1]
	b.signal(syscall.SIGTERM)
	<-b.done
	var lost []kvstore.LostWrite
	if w.trouble {
		w.store.SetFaults(kvstore.Faults{RefuseStatus: http.StatusServiceUnavailable})
		w.logf("the store is away")
	}
	time.Sleep(awayTime / 2)
	if err := b.start(); err != nil {
		return false, err
	}
	time.Sleep(awayTime / 2)
	if w.trouble {
		lost = w.store.Restore(backup)
		w.store.SetFaults(kvstore.Faults{})
		w.logf("the store is back from the copy, era %d", w.store.Era())
	}
	time.Sleep(2 * time.Second)
	for _, l := range lost {
		w.store.Redo(l)
	}
	w.logf("what was lost is written again: %d keys", len(lost))
	time.Sleep(6 * time.Second)
	close(stop)
	calling.Wait()
	w.logf("requests with the withdrawn key that were sent later than %v after the acknowledgement and ran: %d", revokeBound, ranLate.Load())
	return ranLate.Load() == 0, nil
}

// callWithKey sends requests to one host until stop is closed.
func (w *world) callWithKey(h *host, key, kind string, stop <-chan struct{}) {
	c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	last := ""
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", kind, time.Now().UnixNano())
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.callers+"/look/"+id, nil)
		if err != nil {
			return
		}
		r.Host = routeHost
		r.Header.Set("Request-Id", id)
		r.Header.Set("Deadline-Ms", "2000")
		r.Header.Set("Authorization", "Bearer "+key)
		result := "no answer"
		if resp, err := c.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			result = resp.Status
		}
		if result != last {
			w.logf("answer: host %s, key %s, from request %s on: %s", h.name, kind, id, result)
			last = result
		}
	}
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/platform/kvstore"
)

// document returns a configuration with one route and one tenant that holds the keys.
func document(version int, keys ...string) string {
	text, err := json.Marshal(map[string]any{
		"version":  fmt.Sprintf("r%d", version),
		"services": []map[string]any{{"name": "till", "healthPath": "/health", "maxConns": 360, "coldStart": "3s", "coldPerS": 7.6}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "5s", "idleTimeout": "30s"},
		"tenants":  []map[string]any{{"name": "school", "apiKeys": keys, "ratePerS": 0, "burst": 0}},
		"hosts": []map[string]any{{"host": "shop.example", "paths": []map[string]any{{
			"name": "order", "prefix": "/order/", "kind": "unsafe", "timeout": "4s", "targetLatency": "600ms", "priority": 1,
			"service": "till", "maxAttempts": 2,
		}}}},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// playDrill withdraws a key. In a drill the store comes back from a copy from before that, and a
// machine is added just after its return. The key must not run anything later than revokeBound
// after its withdrawal was acknowledged. Without the drill, the machine is added all the same.
func playDrill(rec *recorder, trouble bool) error {
	const (
		withdrawn, kept = "key-withdrawn", "key-kept"
		// copyBefore is how long before the withdrawal the copy is taken.
		copyBefore = 500 * time.Millisecond
		// awayAt is when the store goes away, after the withdrawal, and awayFor for how long.
		awayAt, awayFor = 4800 * time.Millisecond, 700 * time.Millisecond
		// addAfter is when the machine is added, after the store's return.
		addAfter = 100 * time.Millisecond
		// rewriteAfter is when the operator writes again what the store has lost, after its return.
		rewriteAfter = 1500 * time.Millisecond
		playFor      = 12 * time.Second
	)
	f, err := newFleet(rec, 4)
	if err != nil {
		return err
	}
	defer f.close()
	f.store.Put("op/config", document(1, withdrawn, kept))
	var targets []*target
	for i := range 6 {
		t, err := f.newTarget(fmt.Sprintf("i-till%d", i), "till", zones[i%len(zones)], 20*time.Millisecond)
		if err != nil {
			return err
		}
		targets = append(targets, t)
	}
	added := f.hosts[3]
	if err := f.startAll(f.hosts[:3]...); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	backup := f.store.Backup()
	time.Sleep(copyBefore)
	f.store.Put("op/config", document(2, kept))
	acknowledged := time.Now()
	rec.note("the store acknowledges version r2, which takes %s away", withdrawn)
	var work sync.WaitGroup
	work.Go(func() {
		time.Sleep(time.Until(acknowledged.Add(awayAt + awayFor + addAfter)))
		if err := f.start(added); err != nil {
			rec.note("%v", err)
		}
	})
	if trouble {
		work.Go(func() {
			time.Sleep(time.Until(acknowledged.Add(awayAt)))
			rec.note("drill: the store is away")
			f.setStoreFaults(kvstore.Faults{RefuseStatus: http.StatusServiceUnavailable})
			time.Sleep(awayFor)
			lost := f.store.Restore(backup)
			f.setStoreFaults(kvstore.Faults{})
			rec.note("drill: the store is back from a copy of %v before the withdrawal, %d writes are lost", copyBefore, len(lost))
			time.Sleep(rewriteAfter)
			for _, l := range lost {
				f.store.Redo(l)
			}
			rec.note("the operator has written version r2 again")
		})
	}
	c := &calls{rec: rec}
	for n := 0; time.Since(acknowledged) < playFor; n++ {
		for _, o := range f.hosts {
			if !o.ready() {
				continue
			}
			for _, key := range []string{withdrawn, kept} {
				path := fmt.Sprintf("/order/%d", n)
				work.Go(func() { c.send(o, http.MethodPost, path, key, []byte("one blazer"), 4*time.Second) })
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	work.Wait()
	return checkWithdrawn(rec, c.all, allRuns(targets), withdrawn, acknowledged)
}

// checkWithdrawn checks that no request with a key ran that was sent later than revokeBound after
// the acknowledgement of its withdrawal. Requests with other keys must have run at the end.
func checkWithdrawn(rec *recorder, all []call, runs []run, key string, acknowledged time.Time) error {
	ran := make(map[string]bool)
	for _, r := range runs {
		ran[r.id] = true
	}
	broken, others := 0, 0
	for _, a := range all {
		late := a.sentAt.Sub(acknowledged) - revokeBound
		switch {
		case late <= 0 || !ran[a.id]:
		case a.key == key:
			broken++
			rec.note("broken: %s with %s, sent to %s %v after the bound, ran and got status %d", a.id, a.key, a.host, late.Round(time.Millisecond), a.status)
		default:
			others++
		}
	}
	rec.note("%d requests with the withdrawn key ran though sent after the bound; %d with the other key ran", broken, others)
	switch {
	case broken > 0:
		return errBroken
	case others == 0:
		return fmt.Errorf("no request with another key ran: the case says nothing")
	default:
		return nil
	}
}

//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// twoRoutes returns a configuration in which reads go to the shop, without a key, and all other
// paths go to the till, which needs one and runs each request once at most.
func twoRoutes() string {
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConns": 360, "coldStart": "3s", "coldPerS": 7.6}
	}
	text, err := json.Marshal(map[string]any{
		"version":  "r1",
		"services": []map[string]any{service("till"), service("shop")},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "5s", "idleTimeout": "30s"},
		"tenants":  []map[string]any{{"name": "school", "apiKeys": []string{"key"}, "ratePerS": 0, "burst": 0}},
		"hosts": []map[string]any{{"host": "shop.example", "paths": []map[string]any{
			{"name": "orders", "prefix": "/", "kind": "unsafe", "timeout": "4s", "targetLatency": "600ms", "priority": 1, "service": "till", "maxAttempts": 2},
			{"name": "looks", "prefix": "/look/", "kind": "safe", "timeout": "3s", "targetLatency": "400ms", "priority": 2, "service": "shop", "maxAttempts": 2, "anonymous": true},
		}}},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// playEncoded sends requests whose first path segment holds an encoded slash, or without the
// disruption a dash in its place. The prefix "/look/" begins neither path, so the till has to run
// them, and only those with a key.
func playEncoded(rec *recorder, trouble bool) error {
	const count = 40
	f, err := newFleet(rec)
	if err != nil {
		return err
	}
	defer f.close()
	f.store.Put("op/config", twoRoutes())
	var targets []*target
	for _, service := range []string{"till", "shop"} {
		for i := range 3 {
			t, err := f.newTarget(fmt.Sprintf("i-%s%d", service, i), service, zones[i%len(zones)], 20*time.Millisecond)
			if err != nil {
				return err
			}
			targets = append(targets, t)
		}
	}
	if err := f.startAll(f.hosts...); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	c := &calls{rec: rec}
	separator := "%2F"
	if !trouble {
		separator = "-"
	}
	for n := range count {
		h, key := f.hosts[n%len(f.hosts)], "key"
		if n%2 == 0 {
			key = "key-of-nobody"
		}
		c.send(h, http.MethodPost, fmt.Sprintf("/look%s%d", separator, n), key, []byte("one blazer"), 4*time.Second)
	}
	for n := range count {
		c.send(f.hosts[n%len(f.hosts)], http.MethodGet, fmt.Sprintf("/look/%d", n), "key", nil, 3*time.Second)
	}
	return checkServices(rec, c.all, targets)
}

// checkServices checks that the shop ran reads only, and nothing ran without a key but those.
func checkServices(rec *recorder, all []call, targets []*target) error {
	read, keyless := make(map[string]bool), make(map[string]bool)
	for _, a := range all {
		read[a.id] = a.body != "" && len(a.path) > len("/look/") && a.path[:len("/look/")] == "/look/"
		keyless[a.id] = a.key != "key"
	}
	broken, ran := 0, 0
	for _, t := range targets {
		for _, r := range allRuns([]*target{t}) {
			ran++
			if t.service == "shop" && !read[r.id] || t.service == "till" && keyless[r.id] {
				broken++
				rec.note("broken: %s, which no configuration lets go to %s, ran at %s (with the key of a tenant: %v)", r.id, t.service, t.id, !keyless[r.id])
			}
		}
	}
	rec.note("%d of %d requests that ran were run by a service that they may not go to", broken, ran)
	switch {
	case broken > 0:
		return errBroken
	case ran < len(all)/2:
		return fmt.Errorf("only %d of %d requests ran: the case says nothing", ran, len(all))
	default:
		return nil
	}
}

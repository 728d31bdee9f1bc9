//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
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

// safeDocument returns a configuration like document's, whose route may be repeated.
func safeDocument() string {
	return strings.ReplaceAll(document(1, "key"), `"kind":"unsafe"`, `"kind":"safe"`)
}

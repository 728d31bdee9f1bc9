//go:build review

package main

import (
	"fmt"
	"strings"
)

// routeHost is the host of all routes.
const routeHost = "shop.example"

// key is the key of the only tenant.
const key = "s989anu6wsjnbanfqasn"

// document is a version of the operator's configuration.
type document struct {
	version int
	keys    []string
	// timeoutMs is the time-out of all routes.
	timeoutMs int
}

// publish writes a version of the configuration. The store's answer is the acknowledgement.
func (s *stage) publish(d document) {
	if len(d.keys) == 0 {
		d.keys = []string{key}
	}
	if d.timeoutMs == 0 {
		d.timeoutMs = 3000
	}
	quoted := make([]string, len(d.keys))
	for i, k := range d.keys {
		quoted[i] = fmt.Sprintf("%q", k)
	}
	route := func(name, kind, service string) string {
		return fmt.Sprintf(`{"name":%q,"prefix":"/%s/","kind":%q,"timeout":"%dms","targetLatency":"400ms","priority":1,"service":%q,`+
			`"maxAttempts":2,"anonymous":false,"affinity":true,"homeRegions":[]}`, name, name, kind, d.timeoutMs, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":7.6}`, name)
	}
	s.store.Put("op/config", fmt.Sprintf(`{"version":"r%d","services":[%s,%s,%s],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},`+
		`"tenants":[{"name":"cuka620","apiKeys":[%s],"priority":1,"ratePerS":0,"burst":0,"homeRegions":[]}],`+
		`"baseVersion":"r1","hosts":[{"host":%q,"paths":[%s,%s,%s]}]}`,
		d.version, service("stitch"), service("till"), service("intake"), strings.Join(quoted, ","), routeHost,
		route("sheet", "safe", "stitch"), route("order", "unsafe", "till"), route("file", "upload", "intake")))
	s.note("configuration r%d acknowledged", d.version)
}

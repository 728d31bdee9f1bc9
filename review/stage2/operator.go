//go:build review

package main

import "fmt"

// routeHost is the host of all routes.
const routeHost = "shop.example"

// key is the key of the only tenant.
const key = "s989anu6wsjnbanfqasn"

// publish writes a version of the configuration. The store's answer is the acknowledgement.
func (s *stage) publish(version int) {
	route := func(name, kind, service string) string {
		return fmt.Sprintf(`{"name":%q,"prefix":"/%s/","kind":%q,"timeout":"3000ms","targetLatency":"400ms","priority":1,"service":%q,`+
			`"maxAttempts":2,"anonymous":false,"affinity":true,"homeRegions":[]}`, name, name, kind, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,"coldStart":"3s","coldPerS":7.6}`, name)
	}
	s.store.Put("op/config", fmt.Sprintf(`{"version":"r%d","services":[%s],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},`+
		`"tenants":[{"name":"cuka620","apiKeys":[%q],"priority":1,"ratePerS":0,"burst":0,"homeRegions":[]}],`+
		`"baseVersion":"r1","hosts":[{"host":%q,"paths":[%s]}]}`,
		version, service("stitch"), key, routeHost, route("sheet", "safe", "stitch")))
	s.note("configuration r%d acknowledged", version)
}

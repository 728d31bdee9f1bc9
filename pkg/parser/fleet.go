package parser

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

func (c *documentCheck) checkRegions() {
	if len(c.doc.Regions) == 0 {
		c.addFault("regions", "at least one region is needed")
	}
	zonePaths := make(map[ids.Zone]string)
	for i := range c.doc.Regions {
		r := &c.doc.Regions[i]
		path := fmt.Sprintf("regions[%d]", i)
		checkUnique(c, c.regions, path+".name", r.Name)
		checkRange(c, path+".seats", r.Seats, 1, maxSeats)
		checkRange(c, path+".linkMbitPerSecond", r.LinkMbitPerSecond, 0, maxLinkMbitPerSecond)
		if len(r.Zones) == 0 {
			c.addFault(path+".zones", "at least one availability zone is needed")
		}
		for j, z := range r.Zones {
			checkUnique(c, zonePaths, fmt.Sprintf("%s.zones[%d]", path, j), z)
			if _, ok := c.zones[z]; !ok {
				c.zones[z] = r.Name
			}
		}
	}
}

func (c *documentCheck) checkServices() {
	if len(c.doc.Services) == 0 {
		c.addFault("services", "at least one service is needed")
	}
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		checkUnique(c, c.services, path+".name", s.Name)
		c.checkServiceBounds(path, s)
		c.checkRoutes(path, s)
		if len(s.Upstreams) == 0 {
			c.addFault(path+".upstreams", "at least one upstream is needed")
		}
		for j := range s.Upstreams {
			c.checkUpstream(fmt.Sprintf("%s.upstreams[%d]", path, j), &s.Upstreams[j])
		}
	}
}

func (c *documentCheck) checkServiceBounds(path string, s *config.Service) {
	checkRange(c, path+".slots", s.Slots, 1, maxSlots)
	checkRange(c, path+".connections", s.Connections, 0, maxConnections)
	checkRange(c, path+".timeoutMs", s.TimeoutMs, 0, int(config.MaxTimeout.Milliseconds()))
	checkRange(c, path+".maxBodyBytes", s.MaxBodyBytes, 0, maxBodyBytes)
	checkRange(c, path+".queueLength", s.QueueLength, 0, maxQueueLength)
	if s.HealthPath != "" {
		c.checkPath(path+".healthPath", s.HealthPath)
	}
	if s.LoadPath != "" {
		c.checkPath(path+".loadPath", s.LoadPath)
	}
}

// checkPath checks the path part of a URL.
func (c *documentCheck) checkPath(path, p string) {
	switch {
	case !strings.HasPrefix(p, "/"):
		c.addFault(path, "%q must start with /", p)
	case strings.ContainsAny(p, "?# \t\r\n") || strings.ContainsFunc(p, isControl):
		c.addFault(path, "%q must be a path without query, fragment and spaces", p)
	}
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// methods lists the methods that a route may name.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// routeKey identifies the requests of a route. An empty method means all methods.
type routeKey struct {
	prefix, method string
}

func (c *documentCheck) checkRoutes(servicePath string, s *config.Service) {
	seen := make(map[routeKey]int)
	prefixes := make(map[string]int)
	for j, r := range s.Routes {
		path := fmt.Sprintf("%s.routes[%d]", servicePath, j)
		c.checkPath(path+".prefix", r.Prefix)
		c.checkMethods(path, r.Methods)
		first, overlaps := findOverlap(seen, prefixes, r)
		if overlaps {
			c.addFault(path, "routes[%d] holds the same prefix and method already", first)
		}
		addRoute(seen, prefixes, r, j)
	}
}

// findOverlap returns the index of an earlier route with the same prefix that
// matches some of the same methods as r.
func findOverlap(seen map[routeKey]int, prefixes map[string]int, r config.Route) (int, bool) {
	if len(r.Methods) == 0 {
		first, ok := prefixes[r.Prefix]
		return first, ok
	}
	for _, m := range append([]string{""}, r.Methods...) {
		if first, ok := seen[routeKey{r.Prefix, m}]; ok {
			return first, true
		}
	}
	return 0, false
}

func addRoute(seen map[routeKey]int, prefixes map[string]int, r config.Route, j int) {
	if _, ok := prefixes[r.Prefix]; !ok {
		prefixes[r.Prefix] = j
	}
	all := r.Methods
	if len(all) == 0 {
		all = []string{""}
	}
	for _, m := range all {
		if _, ok := seen[routeKey{r.Prefix, m}]; !ok {
			seen[routeKey{r.Prefix, m}] = j
		}
	}
}

func (c *documentCheck) checkMethods(path string, all []string) {
	seen := make(map[string]bool)
	for k, m := range all {
		methodPath := fmt.Sprintf("%s.methods[%d]", path, k)
		if !slices.Contains(methods, m) {
			c.addFault(methodPath, "unknown method %q; known are %s", m, strings.Join(methods, ", "))
		}
		if seen[m] {
			c.addFault(methodPath, "the method %q stands here for the second time", m)
		}
		seen[m] = true
	}
}

func (c *documentCheck) checkUpstream(path string, u *config.Upstream) {
	checkUnique(c, c.targets, path+".name", u.Name)
	if _, ok := c.regions[ids.Region(u.Name)]; ok {
		c.addFault(path+".name", "%q is the name of a region; drains tell targets and regions by name", u.Name)
	}
	if checkDeclared(c, c.regions, path+".region", "region", u.Region) {
		c.checkZone(path+".zone", u)
	}
	a, err := netip.ParseAddrPort(u.Address)
	switch {
	case err != nil || a.Port() == 0 || a.Addr().IsUnspecified():
		c.addFault(path+".address", "%q is no IP number and port such as \"10.1.2.3:8080\"", u.Address)
	case c.addresses[a] != "":
		c.addFault(path+".address", "%s stands at %s already", a, c.addresses[a])
	default:
		c.addresses[a] = path + ".address"
	}
}

func (c *documentCheck) checkZone(path string, u *config.Upstream) {
	region, ok := c.zones[u.Zone]
	switch {
	case !ok:
		c.addFault(path, "there is no availability zone %q", u.Zone)
	case region != u.Region:
		c.addFault(path, "the availability zone %q belongs to region %q, not %q", u.Zone, region, u.Region)
	}
}

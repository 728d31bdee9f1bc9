// Package router maps a request to its route and service, and a key to its workspace. A
// Router is built with New from one version of the configuration document and is
// immutable.
package router

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Kind tells whether the requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload requests are NonIdempotent ones with large bodies.
	Upload
)

// Idempotent reports whether a request may run more than once.
func (k Kind) Idempotent() bool { return k == Idempotent }

// Share is a service's share of a route's requests.
type Share struct {
	Service ids.Service
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route defines how requests to a host and path prefix are served.
type Route struct {
	Name string
	// Host and Prefix select the route. Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until a caller gets an answer; 0 means none.
	Timeout time.Duration
	// Objective is the latency up to which an answer has its full value.
	Objective time.Duration
	// Priority is 0 for the most urgent routes.
	Priority int
	// Shares has at least one element.
	Shares []Share
	// MaxAttempts is the maximum number of targets that a request is sent to.
	MaxAttempts int
	// Open routes need no workspace key.
	Open bool
	// Affinity means that targets serve an object faster if they served it recently.
	Affinity bool
	// HomeRegions are the only regions in which requests may run; empty means all.
	HomeRegions []ids.Region

	// picks counts the calls of Pick on routes with several shares.
	picks atomic.Uint64
}

// goldenRatio is the fractional part of the golden ratio. Its multiples modulo 1 are
// evenly distributed.
const goldenRatio = 0.6180339887498949

// Pick returns the service for the next request. Any run of consecutive picks is close
// to the weights. It is safe for concurrent use.
func (r *Route) Pick() ids.Service {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	x := float64(r.picks.Add(1)) * goldenRatio
	x = (x - float64(uint64(x))) * total
	for _, s := range r.Shares {
		if x < s.Weight {
			return s.Service
		}
		x -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service describes a service that targets run.
type Service struct {
	Name ids.Service
	// HealthPath is the path that a healthy target answers with status 200.
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all hosts
	// together.
	MaxConnections int
	// ColdStart is how long a target is cold after its start.
	ColdStart time.Duration
	// ColdRate is the rate that a cold target accepts, in requests per second.
	ColdRate float64
}

// Workspace describes a tenant.
type Workspace struct {
	Name ids.Workspace
	Keys []string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, in requests per second, and Burst apply to all hosts together. Rate 0 means
	// unlimited.
	Rate, Burst float64
	// HomeRegions are the only regions in which requests may run; empty means all.
	HomeRegions []ids.Region
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read a request header, and IdleTimeout the time
	// between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version    uint64
	Routes     []*Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Router answers look-ups in a Document. Its methods are safe for concurrent use.
type Router struct {
	Document
	byHost map[string][]*Route
	byKey  map[[sha256.Size]byte]*Workspace
}

// New returns a Router for d, which must not be modified afterwards.
func New(d Document) *Router {
	r := &Router{
		Document: d,
		byHost:   make(map[string][]*Route),
		byKey:    make(map[[sha256.Size]byte]*Workspace),
	}
	for _, route := range d.Routes {
		host := strings.ToLower(route.Host)
		r.byHost[host] = append(r.byHost[host], route)
	}
	for _, routes := range r.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Workspaces {
		w := &r.Workspaces[i]
		for _, k := range w.Keys {
			r.byKey[sha256.Sum256([]byte(k))] = w
		}
	}
	return r
}

// Match returns the route for host with the longest prefix of path, or nil. A port in
// host is ignored.
func (r *Router) Match(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, route := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that a key belongs to, or nil. Keys are looked
// up by their SHA-256 digest, so that the time taken reveals nothing about them.
func (r *Router) WorkspaceByKey(key string) *Workspace {
	return r.byKey[sha256.Sum256([]byte(key))]
}

// HealthPath returns the path of the health checks of a service's targets.
func (r *Router) HealthPath(name ids.Service) string {
	for i := range r.Services {
		if r.Services[i].Name == name {
			return r.Services[i].HealthPath
		}
	}
	return "/"
}

// RequiresKey reports whether routes that are not open need a workspace key.
func (r *Router) RequiresKey() bool { return len(r.Workspaces) > 0 }

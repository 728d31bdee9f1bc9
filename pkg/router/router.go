// Package router finds the route of a request, the services that it may go to,
// and the workspace that holds a key. A Router is built from one version of the
// operators' document and never changes.
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

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Unsafe requests run at most once.
	NonIdempotent
	// Upload requests are Unsafe ones with large bodies.
	Upload
)

// Repeatable reports whether a request may run more than once.
func (k Kind) Idempotent() bool { return k == Idempotent }

// Share is a service's part of a route's requests.
type Share struct {
	Service ids.Service
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route says how requests below one prefix of a host are served.
type Route struct {
	Name string
	// Host and Prefix select the route; Prefix begins and ends with a slash.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a caller is kept waiting; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration
	// Priority is the rank, 0 being the most urgent.
	Priority int
	// Shares holds at least one service.
	Shares []Share
	// MaxAttempts bounds the targets that see one request.
	MaxAttempts int
	// Open routes need no workspace key.
	Open bool
	// Affinity says that targets serve an object that they served lately faster.
	Affinity bool
	// Homes are the only regions in which requests may run; empty means all.
	HomeRegions []ids.Region

	// picks counts the requests that were given to a share.
	picks atomic.Uint64
}

// goldenRatio spreads consecutive numbers evenly over [0, 1).
const goldenRatio = 0.6180339887498949

// Pick returns the service of the next request. Any run of consecutive picks is
// close to the weights.
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

// Service is a service that targets run.
type Service struct {
	Name ids.Service
	// HealthPath answers 200 at a healthy target.
	HealthPath string
	// MaxConnections is what one target accepts of all hosts together.
	MaxConnections int
	// ColdStart is how long a target is cold after its start.
	ColdStart time.Duration
	// ColdRate is what a cold target bears, in requests a second.
	ColdRate float64
}

// Workspace is a tenant.
type Workspace struct {
	Name ids.Workspace
	Keys []string
	// Priority outranks the route's where it is set.
	Priority    int
	HasPriority bool
	// Rate, in requests a second, and Burst hold over all hosts; Rate 0 means
	// no limit.
	Rate, Burst float64
	// Homes are the only regions in which requests may run; empty means all.
	HomeRegions []ids.Region
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the reading of a head, IdleTimeout the time between
	// two requests of a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is one version of what the operators declared.
type Document struct {
	Version    uint64
	Routes     []*Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Router answers look-ups in one Document. Its methods may be called from
// several goroutines.
type Router struct {
	Document
	byHost map[string][]*Route
	byKey  map[[sha256.Size]byte]*Workspace
}

// New returns a Router for d, which must not be changed afterwards.
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

// Match returns the route with the longest prefix that begins path, or nil. A
// port in host is left out.
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

// Workspace returns the workspace that holds a key, or nil. Keys are compared
// by their digest, so that the time taken tells nothing of them.
func (r *Router) WorkspaceByKey(key string) *Workspace {
	return r.byKey[sha256.Sum256([]byte(key))]
}

// Keyed reports whether requests need keys at all.
func (r *Router) RequiresKey() bool { return len(r.Workspaces) > 0 }

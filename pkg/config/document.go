// Package config holds the operators' configuration document as plain types,
// and the compiled form that decisions read.
package config

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Document is the whole configuration of a fleet, as operators write it.
type Document struct {
	// Fleet names the deployment.
	Fleet string `json:"fleet"`
	// Regions lists the regions with their availability zones and seats.
	Regions []Region `json:"regions"`
	// Services lists the services and their upstreams.
	Services []Service `json:"services"`
	// Workspaces lists the tenants.
	Workspaces []Workspace `json:"workspaces"`
	// Presets lists the presets; exactly one is in force.
	Presets []Preset `json:"presets"`
	// Preset names the preset in force.
	Preset ids.Preset `json:"preset"`
	// Limits holds fleet-wide bounds; a zero field takes its default.
	Limits Limits `json:"limits"`
	// Drains lists what takes no new work.
	Drains Drains `json:"drains"`
	// ClientBlocks maps callers' addresses to regions, longest prefix first.
	ClientBlocks []ClientBlock `json:"clientBlocks,omitempty"`
}

// Region is one region of the fleet.
type Region struct {
	Name ids.Region `json:"name"`
	// Zones lists the availability zones.
	Zones []ids.Zone `json:"zones"`
	// Seats is the number of seats of entry hosts in this region.
	Seats int `json:"seats"`
	// LinkMbitPerSecond bounds the traffic relayed out of this region, in
	// 10^6 bits a second. Zero takes the default.
	LinkMbitPerSecond int `json:"linkMbitPerSecond,omitempty"`
}

// Service is one service and its upstreams.
type Service struct {
	Name ids.Service `json:"name"`
	// Slots is the number of requests that one upstream takes at a time.
	Slots int `json:"slots"`
	// Connections bounds the connections to one upstream from the whole fleet.
	Connections int `json:"connections,omitempty"`
	// TimeoutMs bounds one request, in milliseconds. Zero takes the default.
	TimeoutMs int `json:"timeoutMs,omitempty"`
	// MaxBodyBytes bounds a request's body. Zero takes the default.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// QueueLength bounds the requests that wait on one host. Zero takes the default.
	QueueLength int `json:"queueLength,omitempty"`
	// HealthPath and LoadPath are the targets' endpoints for probes.
	HealthPath string `json:"healthPath,omitempty"`
	LoadPath   string `json:"loadPath,omitempty"`
	// NoCopies keeps the outcomes of requests that run at most once at their
	// owner alone: after its death, repeats of them get no answer.
	NoCopies bool `json:"noCopies,omitempty"`
	// Routes gives paths their properties; the longest prefix that matches wins.
	Routes []Route `json:"routes,omitempty"`
	// Upstreams lists the targets.
	Upstreams []Upstream `json:"upstreams"`
}

// Route gives the paths under a prefix their properties.
type Route struct {
	// Prefix is matched against the path behind /s/{service}; it starts with "/".
	Prefix string `json:"prefix"`
	// Methods limits the route to these methods; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Open lets requests without a workspace key in.
	Open bool `json:"open,omitempty"`
	// Once marks non-idempotent requests, which run at most once.
	Once bool `json:"once,omitempty"`
}

// Upstream is one target of a service.
type Upstream struct {
	Name   ids.Target `json:"name"`
	Region ids.Region `json:"region"`
	Zone   ids.Zone   `json:"zone"`
	// Address is the IP number and port, such as "127.0.0.1:9000".
	Address string `json:"address"`
}

// Workspace is one tenant.
type Workspace struct {
	Name ids.Workspace `json:"name"`
	// Rate is the number of requests a second that the whole fleet admits.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may come at once.
	Burst int `json:"burst"`
	// Weight is the share of slots when they are short. Zero takes the rate.
	Weight float64 `json:"weight,omitempty"`
	// Keys lists the keys in force, by hash.
	Keys []Key `json:"keys,omitempty"`
}

// Key is one workspace key. The key itself is never kept.
type Key struct {
	ID ids.KeyID `json:"id"`
	// SHA256 is the hash of the key as 64 hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Preset is a named set of changes over the ordinary configuration.
type Preset struct {
	Name ids.Preset `json:"name"`
	// Weights sets how a caller's region is divided over serving regions. A
	// caller region without an entry is served by its own region.
	Weights []RegionWeight `json:"weights,omitempty"`
	// Rates replaces the rate and burst of workspaces.
	Rates []PresetRate `json:"rates,omitempty"`
	// Closed lists services that refuse all requests.
	Closed []ids.Service `json:"closed,omitempty"`
}

// RegionWeight is the share of a caller region's traffic that one region serves.
type RegionWeight struct {
	// Service limits the weight to one service; empty means every service.
	Service ids.Service `json:"service,omitempty"`
	// From is the callers' region and To the serving one.
	From ids.Region `json:"from"`
	To   ids.Region `json:"to"`
	// Weight is relative to the other weights of the same From and Service.
	Weight float64 `json:"weight"`
}

// PresetRate replaces one workspace's rate and burst.
type PresetRate struct {
	Workspace ids.Workspace `json:"workspace"`
	Rate      float64       `json:"rate"`
	Burst     int           `json:"burst"`
}

// Drains lists what takes no new work.
type Drains struct {
	Regions []ids.Region `json:"regions,omitempty"`
	Targets []ids.Target `json:"targets,omitempty"`
}

// ClientBlock maps a prefix of callers' addresses to the region they are near.
type ClientBlock struct {
	// Prefix is in CIDR notation, such as "10.1.0.0/16".
	Prefix string     `json:"prefix"`
	Region ids.Region `json:"region"`
	// Site names a location inside the region; empty means any.
	Site string `json:"site,omitempty"`
}

// Limits holds fleet-wide bounds. A zero field takes its default.
type Limits struct {
	// LookupTTLMs is how long callers may keep a look-up's answer, in milliseconds.
	LookupTTLMs int `json:"lookupTtlMs,omitempty"`
	// ShiftPerMinute is the share of a receiving region's capacity by which
	// traffic may move to it in a minute, from 0 to 1.
	ShiftPerMinute float64 `json:"shiftPerMinute,omitempty"`
	// RetryShare is the number of retries per request, from 0 to 1.
	RetryShare float64 `json:"retryShare,omitempty"`
	// LimitWaitMs is how long a request may wait for tokens of other hosts.
	LimitWaitMs int `json:"limitWaitMs,omitempty"`
}

// The defaults of the document's optional fields.
const (
	DefaultTimeout        = 10 * time.Second
	DefaultMaxBodyBytes   = 64 << 20
	DefaultQueueLength    = 256
	DefaultConnections    = 360
	DefaultLinkMbit       = 4000
	DefaultLookupTTL      = 5 * time.Second
	DefaultShiftPerMinute = 0.25
	DefaultRetryShare     = 0.1
	DefaultLimitWait      = 100 * time.Millisecond
	DefaultHealthPath     = "/healthz"
	DefaultLoadPath       = "/load"
)

// MaxTimeout bounds the time-out of every service, and so the time for which
// a request of a lost host can hold a slot of a target.
const MaxTimeout = 60 * time.Second

// Timeout returns the bound on one request.
func (s *Service) Timeout() time.Duration {
	if s.TimeoutMs == 0 {
		return DefaultTimeout
	}
	return time.Duration(s.TimeoutMs) * time.Millisecond
}

// BodyLimit returns the bound on a request's body, in bytes.
func (s *Service) BodyLimit() int64 {
	if s.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return s.MaxBodyBytes
}

// QueueLimit returns the number of requests that may wait on one host.
func (s *Service) QueueLimit() int {
	if s.QueueLength == 0 {
		return DefaultQueueLength
	}
	return s.QueueLength
}

// ConnectionLimit returns the bound on connections to one upstream.
func (s *Service) ConnectionLimit() int {
	if s.Connections == 0 {
		return DefaultConnections
	}
	return s.Connections
}

// HealthEndpoint returns the path that probes of health ask.
func (s *Service) HealthEndpoint() string {
	if s.HealthPath == "" {
		return DefaultHealthPath
	}
	return s.HealthPath
}

// LoadEndpoint returns the path that probes of load ask.
func (s *Service) LoadEndpoint() string {
	if s.LoadPath == "" {
		return DefaultLoadPath
	}
	return s.LoadPath
}

// LookupTTL returns how long callers may keep a look-up's answer.
func (l *Limits) LookupTTL() time.Duration {
	if l.LookupTTLMs == 0 {
		return DefaultLookupTTL
	}
	return time.Duration(l.LookupTTLMs) * time.Millisecond
}

// ShiftShare returns the share of a region's capacity that may move to it in a minute.
func (l *Limits) ShiftShare() float64 {
	if l.ShiftPerMinute == 0 {
		return DefaultShiftPerMinute
	}
	return l.ShiftPerMinute
}

// RetryRatio returns the number of retries allowed per request.
func (l *Limits) RetryRatio() float64 {
	if l.RetryShare == 0 {
		return DefaultRetryShare
	}
	return l.RetryShare
}

// LimitWait returns how long a request may wait for tokens of other hosts.
func (l *Limits) LimitWait() time.Duration {
	if l.LimitWaitMs == 0 {
		return DefaultLimitWait
	}
	return time.Duration(l.LimitWaitMs) * time.Millisecond
}

// LinkBytesPerSecond returns the bound on traffic relayed out of the region.
func (r *Region) LinkBytesPerSecond() int64 {
	const bitsPerByte = 8
	mbit := r.LinkMbitPerSecond
	if mbit == 0 {
		mbit = DefaultLinkMbit
	}
	return int64(mbit) * 1_000_000 / bitsPerByte
}

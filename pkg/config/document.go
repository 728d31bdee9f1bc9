// Package config defines the operators' configuration document, and Snapshot, the
// compiled form that an entry host reads for each request. Package parser decodes
// and validates a document; NewSnapshot compiles it.
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
	// Presets lists the presets, of which exactly one is in force.
	Presets []Preset `json:"presets"`
	// Preset names the preset in force.
	Preset ids.Preset `json:"preset"`
	// Limits holds fleet-wide bounds.
	Limits Limits `json:"limits"`
	// Drains lists the drained regions and targets.
	Drains Drains `json:"drains"`
	// ClientBlocks maps callers' addresses to regions. The longest matching prefix
	// applies.
	ClientBlocks []ClientBlock `json:"clientBlocks,omitempty"`
}

// Region is one region of the fleet.
type Region struct {
	Name ids.Region `json:"name"`
	// Zones lists the availability zones.
	Zones []ids.Zone `json:"zones"`
	// Seats is the number of seats for entry hosts in this region.
	Seats int `json:"seats"`
	// LinkMbitPerSecond bounds the traffic relayed out of this region, in Mbit/s
	// (10^6 bits per second). Zero means the default.
	LinkMbitPerSecond int `json:"linkMbitPerSecond,omitempty"`
}

// Service is one service and its upstreams.
type Service struct {
	Name ids.Service `json:"name"`
	// Slots is the number of concurrent requests that one upstream takes.
	Slots int `json:"slots"`
	// Connections bounds the connections to one upstream from the whole fleet. Zero
	// means the default.
	Connections int `json:"connections,omitempty"`
	// TimeoutMs bounds the duration of one request. Zero means the default.
	TimeoutMs int `json:"timeoutMs,omitempty"`
	// MaxBodyBytes bounds a request's body. Zero means the default.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// QueueLength bounds the requests that wait for a slot on one host. Zero means
	// the default.
	QueueLength int `json:"queueLength,omitempty"`
	// HealthPath and LoadPath are the paths of the targets that probes request.
	// Empty ones mean the defaults.
	HealthPath string `json:"healthPath,omitempty"`
	LoadPath   string `json:"loadPath,omitempty"`
	// NoCopies turns off the replication of outcomes stored by idempotency key.
	// After the host that owns a key has crashed, retries with it get no stored
	// answer.
	NoCopies bool `json:"noCopies,omitempty"`
	// Routes sets the properties of paths. The route with the longest matching
	// prefix applies.
	Routes []Route `json:"routes,omitempty"`
	// Upstreams lists the targets.
	Upstreams []Upstream `json:"upstreams"`
}

// Route sets the properties of the paths under a prefix.
type Route struct {
	// Prefix is matched against the path after /s/{service}, by whole segments. It
	// starts with "/".
	Prefix string `json:"prefix"`
	// Methods limits the route to these methods; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Open admits requests without a workspace key.
	Open bool `json:"open,omitempty"`
	// Once marks non-idempotent requests: they need an idempotency key and run at
	// most once.
	Once bool `json:"once,omitempty"`
}

// Upstream is one target of a service.
type Upstream struct {
	Name   ids.Target `json:"name"`
	Region ids.Region `json:"region"`
	Zone   ids.Zone   `json:"zone"`
	// Address is the IP address and port, such as "127.0.0.1:9000".
	Address string `json:"address"`
}

// Workspace is one tenant.
type Workspace struct {
	Name ids.Workspace `json:"name"`
	// Rate is the number of requests per second that the whole fleet admits.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that the fleet admits at once.
	Burst int `json:"burst"`
	// Weight sets the workspace's share of the slots while requests wait for them.
	// Zero means the value of Rate.
	Weight float64 `json:"weight,omitempty"`
	// Keys lists the valid keys.
	Keys []Key `json:"keys,omitempty"`
}

// Key is one workspace key. Only its hash is stored.
type Key struct {
	ID ids.KeyID `json:"id"`
	// SHA256 is the hash of the key as 64 hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Preset is a named set of overrides of the document.
type Preset struct {
	Name ids.Preset `json:"name"`
	// Weights splits the traffic of callers' regions over serving regions. A
	// callers' region without an entry is served by itself.
	Weights []RegionWeight `json:"weights,omitempty"`
	// Rates replaces the rate and burst of workspaces.
	Rates []PresetRate `json:"rates,omitempty"`
	// Closed lists the services that refuse all requests.
	Closed []ids.Service `json:"closed,omitempty"`
}

// RegionWeight is the share of one region's callers that another region serves.
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

// Drains lists the regions and targets that take no new requests.
type Drains struct {
	Regions []ids.Region `json:"regions,omitempty"`
	Targets []ids.Target `json:"targets,omitempty"`
}

// ClientBlock maps a prefix of callers' addresses to the region nearest to them.
type ClientBlock struct {
	// Prefix is in CIDR notation, such as "10.1.0.0/16".
	Prefix string     `json:"prefix"`
	Region ids.Region `json:"region"`
	// Site names a location inside the region; empty means any.
	Site string `json:"site,omitempty"`
}

// Limits holds fleet-wide bounds. A zero field means its default.
type Limits struct {
	// LookupTTLMs is how long callers may cache the answer to a look-up.
	LookupTTLMs int `json:"lookupTtlMs,omitempty"`
	// ShiftPerMinute is the share of a receiving region's capacity by which
	// traffic may move to it in a minute, from 0 to 1.
	ShiftPerMinute float64 `json:"shiftPerMinute,omitempty"`
	// RetryShare is the number of retries allowed per request, from 0 to 1.
	RetryShare float64 `json:"retryShare,omitempty"`
	// LimitWaitMs is how long a request over its host's share of a rate limit may
	// wait for tokens from other hosts.
	LimitWaitMs int `json:"limitWaitMs,omitempty"`
}

// Defaults of the document's optional fields.
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

// MaxTimeout is the largest timeout of a service, and so the longest time for which
// a request of a crashed host can occupy a slot of a target.
const MaxTimeout = 60 * time.Second

// Timeout returns the bound on the duration of one request.
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

// QueueLimit returns the number of requests that may wait for a slot on one host.
func (s *Service) QueueLimit() int {
	if s.QueueLength == 0 {
		return DefaultQueueLength
	}
	return s.QueueLength
}

// ConnectionLimit returns the bound on the connections to one upstream from the
// whole fleet.
func (s *Service) ConnectionLimit() int {
	if s.Connections == 0 {
		return DefaultConnections
	}
	return s.Connections
}

// HealthEndpoint returns the path of health probes.
func (s *Service) HealthEndpoint() string {
	if s.HealthPath == "" {
		return DefaultHealthPath
	}
	return s.HealthPath
}

// LoadEndpoint returns the path of load probes.
func (s *Service) LoadEndpoint() string {
	if s.LoadPath == "" {
		return DefaultLoadPath
	}
	return s.LoadPath
}

// LookupTTL returns how long callers may cache the answer to a look-up.
func (l *Limits) LookupTTL() time.Duration {
	if l.LookupTTLMs == 0 {
		return DefaultLookupTTL
	}
	return time.Duration(l.LookupTTLMs) * time.Millisecond
}

// ShiftShare returns the share of a region's capacity by which traffic may move to
// it in a minute, from 0 to 1.
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

// LimitWait returns how long a request may wait for tokens from other hosts.
func (l *Limits) LimitWait() time.Duration {
	if l.LimitWaitMs == 0 {
		return DefaultLimitWait
	}
	return time.Duration(l.LimitWaitMs) * time.Millisecond
}

// LinkBytesPerSecond returns the bound on the traffic relayed out of the region.
func (r *Region) LinkBytesPerSecond() int64 {
	const bitsPerByte = 8
	mbit := r.LinkMbitPerSecond
	if mbit == 0 {
		mbit = DefaultLinkMbit
	}
	return int64(mbit) * 1_000_000 / bitsPerByte
}

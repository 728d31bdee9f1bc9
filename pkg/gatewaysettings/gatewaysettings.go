// Package gatewaysettings decodes and validates the settings file of a gateway host,
// which is JSON with comments. Callers use Parse. The settings of the other entry
// hosts are in package settings.
package gatewaysettings

import (
	"fmt"
	"net/netip"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Settings holds the settings of one gateway host.
type Settings struct {
	Name   string     `json:"name"`
	Zone   ids.Zone   `json:"zone"`
	Region ids.Region `json:"region"`
	Listen Addresses  `json:"listen"`
	// Store is the IP address and port of the platform's store.
	Store string `json:"store"`
	// Zones lists all availability zones with their regions.
	Zones []Zone `json:"zones"`
	// Metrics is the address at which the host serves its metrics; empty means that
	// it serves none.
	Metrics string `json:"metrics,omitempty"`
	// Machine describes the host's resources, by which the hosts of a zone are
	// ranked.
	Machine Machine `json:"machine"`
	Bounds  Bounds  `json:"bounds"`
	Hedging Hedging `json:"hedging"`
}

// Addresses holds the IP address and port that the host binds for each kind of client.
type Addresses struct {
	Callers   string `json:"callers"`
	Lookups   string `json:"lookups"`
	Readiness string `json:"readiness"`
	Siblings  string `json:"siblings"`
}

// Machine describes the resources that the host may use. Zero means unknown.
type Machine struct {
	// Cores is the number of processor cores, which may be fractional.
	Cores float64 `json:"cores"`
	// LinkMbps is the bandwidth of the network link in Mbit/s.
	LinkMbps float64 `json:"linkMbps"`
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB float64 `json:"memoryMb"`
}

// memoryShare is the part of the memory that the heap and its overhead may take. The rest is
// for what was received and not read, and for stacks of the system.
const memoryShare = 0.7

// MemoryLimit returns the bytes beyond which the process should collect garbage, or 0 if the
// memory is unknown.
func (m Machine) MemoryLimit() int64 { return int64(m.MemoryMB * memoryShare * (1 << 20)) }

// bufferShare is the part of the memory that buffered parts of requests and responses may
// take. Most of the rest is for connections, goroutines and garbage.
const bufferShare = 0.25

// BufferLimit returns the bytes that buffered parts of requests and responses may take, or 0
// if the memory is unknown.
func (m Machine) BufferLimit() int64 { return int64(m.MemoryMB * bufferShare * (1 << 20)) }

// Capacity returns a number that ranks hosts by their resources, the product of cores
// and bandwidth.
func (m Machine) Capacity() float64 { return m.Cores * m.LinkMbps }

// Zone is an availability zone with its region.
type Zone struct {
	Zone   ids.Zone   `json:"zone"`
	Region ids.Region `json:"region"`
}

// Bounds holds the operators' requirements. Durations are strings such as "1500ms";
// empty ones mean the default. Its methods return the parsed values.
type Bounds struct {
	// Revoke is the time within which a revoked key must stop working.
	Revoke string `json:"revoke"`
	// Drain is the time after which a target that leaves must get no more requests, and
	// Apply the time within which a new version of the document must be in force.
	Drain string `json:"drain"`
	Apply string `json:"apply"`
	// Grace is the time from the stop signal until the process is killed.
	Grace string `json:"grace"`
	// LookupTTL is the longest time that callers cache the answer to a look-up.
	LookupTTL string `json:"lookupTtl"`
	// RetryRatio is the share of a service's requests that may be retried; zero means
	// the default.
	RetryRatio float64 `json:"retryRatio"`
	// In any RateWindow a workspace's admitted requests may exceed its limit by the
	// fraction RateExcess of the limit plus RateSlack requests.
	RateWindow string  `json:"rateWindow"`
	RateExcess float64 `json:"rateExcess"`
	RateSlack  float64 `json:"rateSlack"`
}

// Hedging allows that slow idempotent requests are sent to a second target while the first one
// still has them.
type Hedging struct {
	// Share is the share of a service's requests that may be sent a second time, at most
	// maxHedgingShare; zero means none.
	Share float64 `json:"share"`
}

// maxHedgingShare is the greatest share of hedges. Together with retries, sends beyond the first
// of each request must stay below this share of the requests.
const maxHedgingShare = 0.2

// Defaults of Bounds.
const (
	defaultRevoke     = 5 * time.Second
	defaultFollow     = 3 * time.Second
	defaultGrace      = 6 * time.Second
	defaultLookupTTL  = 2 * time.Second
	defaultRetryRatio = 0.1
)

// Parse decodes and validates a settings file. The error is a *decoder.ErrFaults with
// all faults.
func Parse(b []byte) (*Settings, error) {
	d := decoder.New(b)
	s := &Settings{}
	if d.Decode(s) {
		s.check(d)
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) check(d *decoder.Decoder) {
	if s.Region == "" {
		d.AddFault("region", "the host's region is required")
	}
	if s.Zone == "" {
		d.AddFault("zone", "the host's availability zone is required")
	}
	for _, a := range []struct{ path, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.lookups", s.Listen.Lookups},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.siblings", s.Listen.Siblings},
		{"store", s.Store},
	} {
		if p, err := netip.ParseAddrPort(a.address); err != nil || p.Port() == 0 {
			d.AddFault(a.path, fmt.Sprintf("%q is not an IP address and port such as \"10.1.2.3:8080\"", a.address))
		}
	}
	for _, m := range []struct {
		path  string
		value float64
	}{{"machine.cores", s.Machine.Cores}, {"machine.linkMbps", s.Machine.LinkMbps}, {"machine.memoryMb", s.Machine.MemoryMB}, {"bounds.rateExcess", s.Bounds.RateExcess}, {"bounds.rateSlack", s.Bounds.RateSlack}} {
		if m.value < 0 {
			d.AddFault(m.path, fmt.Sprintf("must not be negative, but is %v", m.value))
		}
	}
	if v := s.Hedging.Share; v < 0 || v > maxHedgingShare {
		d.AddFault("hedging.share", fmt.Sprintf("must be between 0 and %v, but is %v", maxHedgingShare, v))
	}
	for _, t := range []struct{ path, text string }{
		{"bounds.revoke", s.Bounds.Revoke},
		{"bounds.grace", s.Bounds.Grace},
		{"bounds.lookupTtl", s.Bounds.LookupTTL},
		{"bounds.rateWindow", s.Bounds.RateWindow},
	} {
		if v, err := time.ParseDuration(t.text); t.text != "" && (err != nil || v <= 0) {
			d.AddFault(t.path, fmt.Sprintf("%q is not a positive duration such as \"1500ms\"", t.text))
		}
	}
}

// durationOr returns the duration in text, or fallback if text is empty.
func durationOr(text string, fallback time.Duration) time.Duration {
	if v, err := time.ParseDuration(text); err == nil && v > 0 {
		return v
	}
	return fallback
}

// RevocationTime returns the time within which a revoked key must stop working.
func (b Bounds) RevocationTime() time.Duration { return durationOr(b.Revoke, defaultRevoke) }

// FollowTime returns the time within which hosts must follow targets that leave and new
// versions of the document.
func (b Bounds) FollowTime() time.Duration {
	return min(durationOr(b.Drain, defaultFollow), durationOr(b.Apply, defaultFollow))
}

// GracePeriod returns the time from the stop signal until the process is killed.
func (b Bounds) GracePeriod() time.Duration { return durationOr(b.Grace, defaultGrace) }

// MaxLookupTTL returns the longest time that callers may cache the answer to a
// look-up.
func (b Bounds) MaxLookupTTL() time.Duration { return durationOr(b.LookupTTL, defaultLookupTTL) }

// RateWindowDuration returns the length of the window over which rates are checked, 0
// if none is set.
func (b Bounds) RateWindowDuration() time.Duration { return durationOr(b.RateWindow, 0) }

// MaxRetryRatio returns the share of a service's requests that may be retried.
func (b Bounds) MaxRetryRatio() float64 {
	if b.RetryRatio > 0 {
		return b.RetryRatio
	}
	return defaultRetryRatio
}

// Regions returns the region of each availability zone, that of the host included.
func (s *Settings) Regions() map[ids.Zone]ids.Region {
	m := make(map[ids.Zone]ids.Region, len(s.Zones))
	for _, z := range s.Zones {
		m[z.Zone] = z.Region
	}
	m[s.Zone] = s.Region
	return m
}

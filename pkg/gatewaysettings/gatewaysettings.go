// Package gatewaysettings reads the settings file of a gateway host, which is
// JSON with comments.
package gatewaysettings

import (
	"fmt"
	"net/netip"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Settings is what one gateway host has to know to start.
type Settings struct {
	Name   string     `json:"name"`
	Zone   ids.Zone   `json:"zone"`
	Region ids.Region `json:"region"`
	Listen Addresses  `json:"listen"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// Zones holds every availability zone with its region.
	Zones []Zone `json:"zones"`
	// Metrics is the address at which the host serves its metrics; empty means
	// that it does not.
	Metrics string `json:"metrics,omitempty"`
	// Machine tells what the host has, by which hosts of a zone are ranked.
	Machine Machine `json:"machine"`
	Bounds  Bounds  `json:"bounds"`
}

// Addresses holds an address for each kind of peer, as IP number and port.
type Addresses struct {
	Callers   string `json:"callers"`
	Lookups   string `json:"lookups"`
	Readiness string `json:"readiness"`
	Siblings  string `json:"siblings"`
}

// Machine is what the host may use. Zero means that it is not known.
type Machine struct {
	// Cores is the share of processor cores.
	Cores float64 `json:"cores"`
	// LinkMbps is the bandwidth of its link in Mbit/s.
	LinkMbps float64 `json:"linkMbps"`
}

// Capacity ranks hosts by what they can do for others.
func (m Machine) Capacity() float64 { return m.Cores * m.LinkMbps }

// Zone is an availability zone.
type Zone struct {
	Zone   ids.Zone   `json:"zone"`
	Region ids.Region `json:"region"`
}

// Bounds are what the operators demand. Times are texts such as "1500ms".
type Bounds struct {
	// Revoke is the time in which a key that was taken away stops working.
	Revoke string `json:"revoke"`
	// Grace is the time from the signal to stop until the process is killed.
	Grace string `json:"grace"`
	// LookupTTL is the longest that callers keep the answer of a look-up.
	LookupTTL string `json:"lookupTtl"`
	// RetryRatio is the share of a service's requests that may be sent again.
	RetryRatio float64 `json:"retryRatio"`
	// In any RateWindow a workspace may be admitted the part RateExcess of its limit,
	// and RateSlack requests, over the limit.
	RateWindow string  `json:"rateWindow"`
	RateExcess float64 `json:"rateExcess"`
	RateSlack  float64 `json:"rateSlack"`
}

// The defaults of empty bounds.
const (
	defaultRevoke     = 5 * time.Second
	defaultGrace      = 6 * time.Second
	defaultLookupTTL  = 2 * time.Second
	defaultRetryRatio = 0.1
)

// Parse reads and checks a settings file. Its error is a *decoder.ErrFaults
// with all faults at once.
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
		d.AddFault("region", "the host's region is needed")
	}
	if s.Zone == "" {
		d.AddFault("zone", "the host's availability zone is needed")
	}
	for _, a := range []struct{ path, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.lookups", s.Listen.Lookups},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.siblings", s.Listen.Siblings},
		{"store", s.Store},
	} {
		if p, err := netip.ParseAddrPort(a.address); err != nil || p.Port() == 0 {
			d.AddFault(a.path, fmt.Sprintf("%q is no IP number and port such as \"10.1.2.3:8080\"", a.address))
		}
	}
	for _, m := range []struct {
		path  string
		value float64
	}{{"machine.cores", s.Machine.Cores}, {"machine.linkMbps", s.Machine.LinkMbps}, {"bounds.rateExcess", s.Bounds.RateExcess}, {"bounds.rateSlack", s.Bounds.RateSlack}} {
		if m.value < 0 {
			d.AddFault(m.path, fmt.Sprintf("%v is less than nothing", m.value))
		}
	}
	for _, t := range []struct{ path, text string }{
		{"bounds.revoke", s.Bounds.Revoke},
		{"bounds.grace", s.Bounds.Grace},
		{"bounds.lookupTtl", s.Bounds.LookupTTL},
		{"bounds.rateWindow", s.Bounds.RateWindow},
	} {
		if v, err := time.ParseDuration(t.text); t.text != "" && (err != nil || v <= 0) {
			d.AddFault(t.path, fmt.Sprintf("%q is no time such as \"1500ms\"", t.text))
		}
	}
}

// duration returns a checked time, or its default.
func duration(text string, other time.Duration) time.Duration {
	if v, err := time.ParseDuration(text); err == nil && v > 0 {
		return v
	}
	return other
}

// RevokeTime returns the time in which a withdrawn key stops working.
func (b Bounds) RevocationTime() time.Duration { return duration(b.Revoke, defaultRevoke) }

// GraceTime returns the time that a graceful stop may take.
func (b Bounds) GracePeriod() time.Duration { return duration(b.Grace, defaultGrace) }

// LookupTime returns how long callers may keep the answer of a look-up.
func (b Bounds) MaxLookupTTL() time.Duration { return duration(b.LookupTTL, defaultLookupTTL) }

// RateWindowTime returns the time over which rates are judged.
func (b Bounds) RateWindowDuration() time.Duration { return duration(b.RateWindow, 0) }

// Ratio returns the share of requests that may be sent again.
func (b Bounds) MaxRetryRatio() float64 {
	if b.RetryRatio > 0 {
		return b.RetryRatio
	}
	return defaultRetryRatio
}

// Regions returns the region of each availability zone.
func (s *Settings) Regions() map[ids.Zone]ids.Region {
	m := make(map[ids.Zone]ids.Region, len(s.Zones))
	for _, z := range s.Zones {
		m[z.Zone] = z.Region
	}
	m[s.Zone] = s.Region
	return m
}

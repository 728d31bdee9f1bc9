// Package settings decodes and validates the settings file of an entry host, which is
// JSON with comments. Callers use Parse. The settings of a gateway host are in
// package gatewaysettings.
package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/service/entryhost"
)

// MaxStopTime is the largest value of DrainLimitMs and NoticeMs.
const MaxStopTime = time.Hour

// Settings holds the settings of one entry host.
type Settings struct {
	// Region and Zone are the region and availability zone of the host.
	Region ids.Region `json:"region"`
	Zone   ids.Zone   `json:"zone"`
	// Listen holds the addresses that the host binds.
	Listen Addresses `json:"listen"`
	// Advertised holds the addresses at which others reach the host. An empty one
	// defaults to that in Listen.
	Advertised Addresses `json:"advertised"`
	// PlatformURL is the base URL of the platform's service, which holds the store
	// and the host list.
	PlatformURL string `json:"platformUrl"`
	// Seeds lists the peers' addresses of other hosts, which are asked while the
	// store is down.
	Seeds []string `json:"seeds,omitempty"`
	// DrainLimitMs bounds the whole graceful stop. NoticeMs is how long a leaving
	// host still accepts requests. Zero means the default.
	DrainLimitMs int `json:"drainLimitMs,omitempty"`
	NoticeMs     int `json:"noticeMs,omitempty"`
	Log          Log `json:"log"`
}

// Addresses holds an IP address and port for each kind of client.
type Addresses struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Log selects what is logged.
type Log struct {
	// On enables logging.
	On bool `json:"on"`
	// Output is a comma-separated list of subsystems; empty means all.
	Output string `json:"output,omitempty"`
}

// Parse decodes and validates a settings file, and fills in Advertised from Listen.
// The error is a *decoder.ErrFaults with all faults.
func Parse(b []byte) (*Settings, error) {
	d := decoder.New(b)
	s := &Settings{}
	if d.Decode(s) {
		s.check(d)
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	s.fillAdvertised()
	return s, nil
}

func (s *Settings) fillAdvertised() {
	for _, p := range s.addressPairs() {
		if *p.advertised == "" {
			*p.advertised = p.listen
		}
	}
}

// addressPair holds the address that the host binds and the one that it advertises to
// one kind of client.
type addressPair struct {
	name       string
	listen     string
	advertised *string
}

func (s *Settings) addressPairs() []addressPair {
	return []addressPair{
		{"callers", s.Listen.Callers, &s.Advertised.Callers},
		{"peers", s.Listen.Peers, &s.Advertised.Peers},
		{"operators", s.Listen.Operators, &s.Advertised.Operators},
	}
}

func (s *Settings) check(d *decoder.Decoder) {
	if s.Region == "" {
		d.AddFault("region", "the host's region is required")
	}
	if s.Zone == "" {
		d.AddFault("zone", "the host's availability zone is required")
	}
	s.checkAddresses(d)
	checkURL(d, s.PlatformURL)
	for i, seed := range s.Seeds {
		if !isReachable(seed) {
			d.AddFault(fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%q is not an IP address and port", seed))
		}
	}
	checkStopTime(d, "drainLimitMs", s.DrainLimitMs)
	checkStopTime(d, "noticeMs", s.NoticeMs)
	s.checkStopTimes(d)
	s.checkLog(d)
}

func (s *Settings) checkAddresses(d *decoder.Decoder) {
	listenPaths := make(map[netip.AddrPort]string)
	advertisedPaths := make(map[string]string)
	for _, p := range s.addressPairs() {
		path := "listen." + p.name
		a, err := netip.ParseAddrPort(p.listen)
		switch {
		case err != nil || a.Port() == 0:
			d.AddFault(path, fmt.Sprintf("%q is not an IP address and port such as \"10.1.2.3:8080\"", p.listen))
		case listenPaths[a] != "":
			d.AddFault(path, fmt.Sprintf("%s is already used at %s", a, listenPaths[a]))
		case a.Addr().IsUnspecified() && *p.advertised == "":
			d.AddFault("advertised."+p.name, fmt.Sprintf("is required, since others cannot connect to %s", a))
		}
		listenPaths[a] = path
		checkAdvertised(d, advertisedPaths, p)
	}
}

// checkAdvertised checks an advertised address. advertisedPaths holds the path of each
// one checked before.
func checkAdvertised(d *decoder.Decoder, advertisedPaths map[string]string, p addressPair) {
	path := "advertised." + p.name
	address := *p.advertised
	if address == "" {
		return
	}
	switch {
	case !isReachable(address):
		d.AddFault(path, fmt.Sprintf("%q is not an IP address and port that others can connect to", address))
	case advertisedPaths[address] != "":
		d.AddFault(path, fmt.Sprintf("%s is already used at %s", address, advertisedPaths[address]))
	}
	advertisedPaths[address] = path
}

// isReachable reports whether an address is an IP address and port that others can
// connect to.
func isReachable(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func checkURL(d *decoder.Decoder, base string) {
	u, err := url.Parse(base)
	switch {
	case err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "":
		d.AddFault("platformUrl", fmt.Sprintf("%q is not a URL such as \"http://10.0.0.1:7000\"", base))
	case u.RawQuery != "" || u.Fragment != "" || u.User != nil || strings.HasSuffix(u.Path, "/"):
		d.AddFault("platformUrl", "must not have a user, query, fragment or trailing /")
	}
}

// checkStopTimes checks that the notice time is below the drain limit, with defaults
// for zero values.
func (s *Settings) checkStopTimes(d *decoder.Decoder) {
	noticeTime := cmp.Or(s.NoticeTime(), entryhost.DefaultNoticeTime)
	limit := cmp.Or(s.DrainLimit(), entryhost.DefaultDrainLimit)
	if noticeTime < limit {
		return
	}
	path := "noticeMs"
	if s.NoticeMs == 0 {
		path = "drainLimitMs"
	}
	d.AddFault(path, fmt.Sprintf("the notice time of %v must be less than the drain limit of %v", noticeTime, limit))
}

func checkStopTime(d *decoder.Decoder, path string, ms int) {
	if ms < 0 || ms > int(MaxStopTime.Milliseconds()) {
		d.AddFault(path, fmt.Sprintf("must be from 0 to %d, not %d", MaxStopTime.Milliseconds(), ms))
	}
}

func (s *Settings) checkLog(d *decoder.Decoder) {
	if s.Log.Output == "" {
		return
	}
	if !s.Log.On {
		d.AddFault("log.output", "requires log.on")
	}
	for name := range strings.SplitSeq(s.Log.Output, ",") {
		if !logflags.Known(logflags.Subsystem(strings.TrimSpace(name))) {
			d.AddFault("log.output", fmt.Sprintf("unknown subsystem %q; the known ones are %v", name, logflags.Subsystems()))
		}
	}
}

// DrainLimit returns the bound on the whole graceful stop, or 0 for the default.
func (s *Settings) DrainLimit() time.Duration {
	return time.Duration(s.DrainLimitMs) * time.Millisecond
}

// NoticeTime returns how long a leaving host still accepts requests, or 0 for the
// default.
func (s *Settings) NoticeTime() time.Duration {
	return time.Duration(s.NoticeMs) * time.Millisecond
}

// ListenAddress returns the address that the host binds for an advertised address, or
// the advertised address itself if it is none of the host's.
func (s *Settings) ListenAddress(advertised string) string {
	for _, p := range s.addressPairs() {
		if *p.advertised == advertised {
			return p.listen
		}
	}
	return advertised
}

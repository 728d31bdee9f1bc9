// Package settings reads the settings file of one entry host, which is JSON
// with comments.
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

// MaxStopTime bounds the times of a graceful stop.
const MaxStopTime = time.Hour

// Settings is what one entry host has to know to start.
type Settings struct {
	// Region and Zone are where the host is.
	Region ids.Region `json:"region"`
	Zone   ids.Zone   `json:"zone"`
	// Listen holds the IP numbers and ports that the host binds.
	Listen Addresses `json:"listen"`
	// Advertised holds those at which others reach the host. An empty one is
	// the same as in Listen.
	Advertised Addresses `json:"advertised"`
	// PlatformURL is the base of the platform's service, which holds the store
	// and the host list.
	PlatformURL string `json:"platformUrl"`
	// Seeds are peers' addresses of other hosts, asked when the store is down.
	Seeds []string `json:"seeds,omitempty"`
	// DrainLimitMs bounds a graceful stop and NoticeMs is how long a leaving
	// host still takes requests, in milliseconds. Zero takes the default.
	DrainLimitMs int `json:"drainLimitMs,omitempty"`
	NoticeMs     int `json:"noticeMs,omitempty"`
	Log          Log `json:"log"`
}

// Addresses holds an address for each kind of peer.
type Addresses struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// Log chooses what is logged.
type Log struct {
	// On turns logging on.
	On bool `json:"on"`
	// Output lists the subsystems, with commas; empty means all.
	Output string `json:"output,omitempty"`
}

// Parse reads and checks a settings file. Its error is a *decoder.ErrFaults
// with all faults at once. Advertised is filled in from Listen.
func Parse(b []byte) (*Settings, error) {
	d := decoder.New(b)
	s := &Settings{}
	if d.Decode(s) {
		s.check(d)
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	s.advertise()
	return s, nil
}

func (s *Settings) advertise() {
	for _, p := range s.pairs() {
		if *p.advertised == "" {
			*p.advertised = p.listen
		}
	}
}

// pair is what the host binds and what others use, for one kind of peer.
type pair struct {
	name       string
	listen     string
	advertised *string
}

func (s *Settings) pairs() []pair {
	return []pair{
		{"callers", s.Listen.Callers, &s.Advertised.Callers},
		{"peers", s.Listen.Peers, &s.Advertised.Peers},
		{"operators", s.Listen.Operators, &s.Advertised.Operators},
	}
}

func (s *Settings) check(d *decoder.Decoder) {
	if s.Region == "" {
		d.AddFault("region", "the host's region is needed")
	}
	if s.Zone == "" {
		d.AddFault("zone", "the host's availability zone is needed")
	}
	s.checkAddresses(d)
	checkURL(d, s.PlatformURL)
	for i, seed := range s.Seeds {
		if !reachable(seed) {
			d.AddFault(fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%q is no IP number and port", seed))
		}
	}
	checkTime(d, "drainLimitMs", s.DrainLimitMs)
	checkTime(d, "noticeMs", s.NoticeMs)
	s.checkStop(d)
	s.checkLog(d)
}

func (s *Settings) checkAddresses(d *decoder.Decoder) {
	bound := make(map[netip.AddrPort]string)
	told := make(map[string]string)
	for _, p := range s.pairs() {
		path := "listen." + p.name
		a, err := netip.ParseAddrPort(p.listen)
		switch {
		case err != nil || a.Port() == 0:
			d.AddFault(path, fmt.Sprintf("%q is no IP number and port such as \"10.1.2.3:8080\"", p.listen))
		case bound[a] != "":
			d.AddFault(path, fmt.Sprintf("%s stands at %s already", a, bound[a]))
		case a.Addr().IsUnspecified() && *p.advertised == "":
			d.AddFault("advertised."+p.name, fmt.Sprintf("is needed, since others cannot reach %s", a))
		}
		bound[a] = path
		checkAdvertised(d, told, p)
	}
}

// checkAdvertised checks what others are told; told holds the path of each one.
func checkAdvertised(d *decoder.Decoder, told map[string]string, p pair) {
	path := "advertised." + p.name
	address := *p.advertised
	if address == "" {
		return
	}
	switch {
	case !reachable(address):
		d.AddFault(path, fmt.Sprintf("%q is no IP number and port that others can reach", address))
	case told[address] != "":
		d.AddFault(path, fmt.Sprintf("%s stands at %s already", address, told[address]))
	}
	told[address] = path
}

// reachable reports whether an address is one that others can connect to.
func reachable(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified()
}

func checkURL(d *decoder.Decoder, base string) {
	u, err := url.Parse(base)
	switch {
	case err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "":
		d.AddFault("platformUrl", fmt.Sprintf("%q is no URL such as \"http://10.0.0.1:7000\"", base))
	case u.RawQuery != "" || u.Fragment != "" || u.User != nil || strings.HasSuffix(u.Path, "/"):
		d.AddFault("platformUrl", "must have no user, query, fragment and no / at its end")
	}
}

// checkStop checks the times of a graceful stop, defaults included.
func (s *Settings) checkStop(d *decoder.Decoder) {
	notice := cmp.Or(s.NoticeTime(), entryhost.DefaultNoticeTime)
	limit := cmp.Or(s.DrainLimit(), entryhost.DefaultDrainLimit)
	if notice < limit {
		return
	}
	path := "noticeMs"
	if s.NoticeMs == 0 {
		path = "drainLimitMs"
	}
	d.AddFault(path, fmt.Sprintf("the notice of %v must be below the limit of the whole stop, %v", notice, limit))
}

func checkTime(d *decoder.Decoder, path string, ms int) {
	if ms < 0 || ms > int(MaxStopTime.Milliseconds()) {
		d.AddFault(path, fmt.Sprintf("must be from 0 to %d, not %d", MaxStopTime.Milliseconds(), ms))
	}
}

func (s *Settings) checkLog(d *decoder.Decoder) {
	if s.Log.Output == "" {
		return
	}
	if !s.Log.On {
		d.AddFault("log.output", "needs log.on")
	}
	for name := range strings.SplitSeq(s.Log.Output, ",") {
		if !logflags.Known(logflags.Subsystem(strings.TrimSpace(name))) {
			d.AddFault("log.output", fmt.Sprintf("unknown subsystem %q; known are %v", name, logflags.Subsystems()))
		}
	}
}

// DrainLimit returns the bound on a graceful stop, or 0 for the default.
func (s *Settings) DrainLimit() time.Duration {
	return time.Duration(s.DrainLimitMs) * time.Millisecond
}

// Notice returns how long a leaving host still takes requests, or 0 for the
// default.
func (s *Settings) NoticeTime() time.Duration {
	return time.Duration(s.NoticeMs) * time.Millisecond
}

// ListenAddress returns what the host binds for an advertised address.
func (s *Settings) ListenAddress(advertised string) string {
	for _, p := range s.pairs() {
		if *p.advertised == advertised {
			return p.listen
		}
	}
	return advertised
}

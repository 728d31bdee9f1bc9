package parser

import (
	"fmt"
	"math"
	"net/netip"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// The bounds of a document's values. They keep sums and products of a whole
// fleet well inside 64 bits.
const (
	maxNameLength  = 63
	maxRate        = 1e6
	maxBurst       = 1_000_000
	maxWeight      = 1e9
	maxSeats       = 10_000
	maxSlots       = 100_000
	maxConnections = 1_000_000
	maxQueueLength = 1_000_000
	maxBodyBytes   = 1 << 40
	maxLinkMbit    = 10_000_000
	maxLookupTTLMs = 300_000
)

// check walks one document and adds its faults to the decoder. The sets hold
// the path at which each name stands first.
type check struct {
	d   *decoder.Decoder
	doc *config.Document

	regions    map[ids.Region]string
	zones      map[ids.Zone]ids.Region
	services   map[ids.Service]string
	targets    map[ids.Target]string
	addresses  map[netip.AddrPort]string
	workspaces map[ids.Workspace]string
	presets    map[ids.Preset]string
	keys       map[ids.KeyID]string
	hashes     map[string]string
}

func newCheck(d *decoder.Decoder, doc *config.Document) *check {
	return &check{
		d:          d,
		doc:        doc,
		regions:    make(map[ids.Region]string),
		zones:      make(map[ids.Zone]ids.Region),
		services:   make(map[ids.Service]string),
		targets:    make(map[ids.Target]string),
		addresses:  make(map[netip.AddrPort]string),
		workspaces: make(map[ids.Workspace]string),
		presets:    make(map[ids.Preset]string),
		keys:       make(map[ids.KeyID]string),
		hashes:     make(map[string]string),
	}
}

// run checks names first where others refer to them.
func (c *check) run() {
	checkName(c, "fleet", c.doc.Fleet)
	c.checkRegions()
	c.checkServices()
	c.checkWorkspaces()
	c.checkPresets()
	c.checkLimits()
	c.checkDrains()
	c.checkClientBlocks()
}

func (c *check) fault(path, format string, args ...any) {
	if !c.d.Full() {
		c.d.AddFault(path, fmt.Sprintf(format, args...))
	}
}

// checkName checks a name's form.
func checkName[T ~string](c *check, path string, name T) {
	switch {
	case name == "":
		c.fault(path, "a name is needed")
	case len(name) > maxNameLength:
		c.fault(path, "the name has %d characters; at most %d are allowed", len(name), maxNameLength)
	case !validName(string(name)):
		c.fault(path, "the name %q may hold only a-z, 0-9 and -, and must not start with -", name)
	}
}

func validName(s string) bool {
	for _, r := range s {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return false
		}
	}
	return s[0] != '-'
}

// declare checks a name's form and that it stands first here.
func declare[T ~string](c *check, seen map[T]string, path string, name T) {
	checkName(c, path, name)
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		c.fault(path, "%q stands at %s already", name, first)
		return
	}
	seen[name] = path
}

// refer checks that a name was declared.
func refer[T ~string](c *check, seen map[T]string, path, kind string, name T) bool {
	if _, ok := seen[name]; ok {
		return true
	}
	c.fault(path, "there is no %s %q", kind, name)
	return false
}

// within checks a whole number's bounds.
func within[T ~int | ~int64](c *check, path string, n, low, high T) {
	if n < low || n > high {
		c.fault(path, "must be from %d to %d, not %d", low, high, n)
	}
}

// checkRate checks a rate and burst.
func (c *check) checkRate(path string, rate float64, burst int) {
	if !(rate > 0 && rate <= maxRate) || math.IsInf(rate, 0) {
		c.fault(path+".rate", "must be above 0 and at most %g requests a second, not %g", maxRate, rate)
	}
	within(c, path+".burst", burst, 1, maxBurst)
}

// checkShare checks a share; zero takes the default.
func (c *check) checkShare(path string, share float64) {
	if !(share >= 0 && share <= 1) {
		c.fault(path, "must be above 0 and at most 1, not %g", share)
	}
}

func (c *check) checkLimits() {
	l := c.doc.Limits
	within(c, "limits.lookupTtlMs", l.LookupTTLMs, 0, maxLookupTTLMs)
	within(c, "limits.limitWaitMs", l.LimitWaitMs, 0, int(config.MaxTimeout.Milliseconds()))
	c.checkShare("limits.shiftPerMinute", l.ShiftPerMinute)
	c.checkShare("limits.retryShare", l.RetryShare)
}

func (c *check) checkDrains() {
	regions := make(map[ids.Region]string)
	for i, r := range c.doc.Drains.Regions {
		path := fmt.Sprintf("drains.regions[%d]", i)
		if refer(c, c.regions, path, "region", r) {
			declare(c, regions, path, r)
		}
	}
	if len(regions) > 0 && len(regions) == len(c.regions) {
		c.fault("drains.regions", "every region is drained; at least one must serve")
	}
	targets := make(map[ids.Target]string)
	for i, t := range c.doc.Drains.Targets {
		path := fmt.Sprintf("drains.targets[%d]", i)
		if refer(c, c.targets, path, "target", t) {
			declare(c, targets, path, t)
		}
	}
}

func (c *check) checkClientBlocks() {
	seen := make(map[netip.Prefix]string)
	for i, b := range c.doc.ClientBlocks {
		path := fmt.Sprintf("clientBlocks[%d]", i)
		refer(c, c.regions, path+".region", "region", b.Region)
		if b.Site != "" {
			checkName(c, path+".site", b.Site)
		}
		p, err := netip.ParsePrefix(b.Prefix)
		switch {
		case err != nil:
			c.fault(path+".prefix", "%q is no prefix such as \"10.1.0.0/16\"", b.Prefix)
		case p != p.Masked():
			c.fault(path+".prefix", "%s has bits set behind its length; write %s", p, p.Masked())
		case seen[p] != "":
			c.fault(path+".prefix", "%s stands at %s already", p, seen[p])
		default:
			seen[p] = path + ".prefix"
		}
	}
}

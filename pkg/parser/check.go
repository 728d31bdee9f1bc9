package parser

import (
	"fmt"
	"math"
	"net/netip"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/decoder"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Bounds of a document's values. They keep sums and products over a whole fleet
// well within 64 bits.
const (
	maxNameLength        = 63
	maxRate              = 1e6
	maxBurst             = 1_000_000
	maxWeight            = 1e9
	maxSeats             = 10_000
	maxSlots             = 100_000
	maxConnections       = 1_000_000
	maxQueueLength       = 1_000_000
	maxBodyBytes         = 1 << 40
	maxLinkMbitPerSecond = 10_000_000
	maxLookupTTLMs       = 300_000
)

// documentCheck validates one document and adds its faults to the decoder. The maps
// hold the path at which each name, address or hash was first seen, and zones the
// region of each availability zone.
type documentCheck struct {
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
	keyHashes  map[string]string
}

func newDocumentCheck(d *decoder.Decoder, doc *config.Document) *documentCheck {
	return &documentCheck{
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
		keyHashes:  make(map[string]string),
	}
}

// run validates the document, names before the fields that refer to them.
func (c *documentCheck) run() {
	checkName(c, "fleet", c.doc.Fleet)
	c.checkRegions()
	c.checkServices()
	c.checkWorkspaces()
	c.checkPresets()
	c.checkLimits()
	c.checkDrains()
	c.checkClientBlocks()
}

func (c *documentCheck) addFault(path, format string, args ...any) {
	if !c.d.Full() {
		c.d.AddFault(path, fmt.Sprintf(format, args...))
	}
}

// checkName checks the syntax of a name.
func checkName[T ~string](c *documentCheck, path string, name T) {
	switch {
	case name == "":
		c.addFault(path, "a name is needed")
	case len(name) > maxNameLength:
		c.addFault(path, "the name has %d characters; at most %d are allowed", len(name), maxNameLength)
	case !validName(string(name)):
		c.addFault(path, "the name %q may hold only a-z, 0-9 and -, and must not start with -", name)
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

// checkUnique checks the syntax of a name and that it is not in seen, and adds it.
func checkUnique[T ~string](c *documentCheck, seen map[T]string, path string, name T) {
	checkName(c, path, name)
	if name == "" {
		return
	}
	if first, ok := seen[name]; ok {
		c.addFault(path, "%q stands at %s already", name, first)
		return
	}
	seen[name] = path
}

// checkDeclared checks that a name is in seen.
func checkDeclared[T ~string](c *documentCheck, seen map[T]string, path, kind string, name T) bool {
	if _, ok := seen[name]; ok {
		return true
	}
	c.addFault(path, "there is no %s %q", kind, name)
	return false
}

// checkRange checks the bounds of a whole number.
func checkRange[T ~int | ~int64](c *documentCheck, path string, n, low, high T) {
	if n < low || n > high {
		c.addFault(path, "must be from %d to %d, not %d", low, high, n)
	}
}

// checkRate checks the fields rate and burst under path.
func (c *documentCheck) checkRate(path string, rate float64, burst int) {
	if !(rate > 0 && rate <= maxRate) || math.IsInf(rate, 0) {
		c.addFault(path+".rate", "must be above 0 and at most %g requests a second, not %g", maxRate, rate)
	}
	checkRange(c, path+".burst", burst, 1, maxBurst)
}

// checkShare checks a share. Zero is valid and means the default.
func (c *documentCheck) checkShare(path string, share float64) {
	if !(share >= 0 && share <= 1) {
		c.addFault(path, "must be above 0 and at most 1, not %g", share)
	}
}

func (c *documentCheck) checkLimits() {
	l := c.doc.Limits
	checkRange(c, "limits.lookupTtlMs", l.LookupTTLMs, 0, maxLookupTTLMs)
	checkRange(c, "limits.limitWaitMs", l.LimitWaitMs, 0, int(config.MaxTimeout.Milliseconds()))
	c.checkShare("limits.shiftPerMinute", l.ShiftPerMinute)
	c.checkShare("limits.retryShare", l.RetryShare)
}

func (c *documentCheck) checkDrains() {
	regions := make(map[ids.Region]string)
	for i, r := range c.doc.Drains.Regions {
		path := fmt.Sprintf("drains.regions[%d]", i)
		if checkDeclared(c, c.regions, path, "region", r) {
			checkUnique(c, regions, path, r)
		}
	}
	if len(regions) > 0 && len(regions) == len(c.regions) {
		c.addFault("drains.regions", "every region is drained; at least one must serve")
	}
	targets := make(map[ids.Target]string)
	for i, t := range c.doc.Drains.Targets {
		path := fmt.Sprintf("drains.targets[%d]", i)
		if checkDeclared(c, c.targets, path, "target", t) {
			checkUnique(c, targets, path, t)
		}
	}
}

func (c *documentCheck) checkClientBlocks() {
	seen := make(map[netip.Prefix]string)
	for i, b := range c.doc.ClientBlocks {
		path := fmt.Sprintf("clientBlocks[%d]", i)
		checkDeclared(c, c.regions, path+".region", "region", b.Region)
		if b.Site != "" {
			checkName(c, path+".site", b.Site)
		}
		p, err := netip.ParsePrefix(b.Prefix)
		switch {
		case err != nil:
			c.addFault(path+".prefix", "%q is no prefix such as \"10.1.0.0/16\"", b.Prefix)
		case p != p.Masked():
			c.addFault(path+".prefix", "%s has bits set behind its length; write %s", p, p.Masked())
		case seen[p] != "":
			c.addFault(path+".prefix", "%s stands at %s already", p, seen[p])
		default:
			seen[p] = path + ".prefix"
		}
	}
}

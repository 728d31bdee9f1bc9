package config

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/locator"
)

// Snapshot is one revision of the configuration, indexed for lookups. It is
// immutable and safe for concurrent use. Callers must not modify what its methods
// return.
type Snapshot struct {
	// Revision is the document's revision.
	Revision ids.Revision
	// Document is the configuration without the preset applied.
	Document *Document

	services       map[ids.Service]*Service
	targets        map[ids.Target]TargetRef
	workspaces     map[ids.Workspace]*Workspace
	regions        map[ids.Region]*Region
	keys           map[[sha256.Size]byte]KeyRef
	preset         *Preset
	closedServices map[ids.Service]bool
	drainedTargets map[ids.Target]bool
	drainedRegions map[ids.Region]bool
	seatRegions    []ids.Region
	blockLocator   *locator.Locator
	blockIndexes   []int
}

// TargetRef is one upstream with its service.
type TargetRef struct {
	Service  *Service
	Upstream *Upstream
}

// KeyRef identifies a workspace key and its workspace.
type KeyRef struct {
	Workspace ids.Workspace
	KeyID     ids.KeyID
}

// NewSnapshot compiles doc, which must come from parser.Parse, and applies the
// preset in force. doc must not be modified afterwards.
func NewSnapshot(rev ids.Revision, doc *Document) *Snapshot {
	s := &Snapshot{
		Revision:       rev,
		Document:       doc,
		services:       make(map[ids.Service]*Service),
		targets:        make(map[ids.Target]TargetRef),
		workspaces:     make(map[ids.Workspace]*Workspace),
		regions:        make(map[ids.Region]*Region),
		keys:           make(map[[sha256.Size]byte]KeyRef),
		closedServices: make(map[ids.Service]bool),
		drainedTargets: make(map[ids.Target]bool),
		drainedRegions: make(map[ids.Region]bool),
	}
	s.indexRegions()
	s.indexServices()
	s.indexWorkspaces()
	s.applyPreset()
	s.indexClientBlocks()
	return s
}

func (s *Snapshot) indexClientBlocks() {
	prefixes := make([]netip.Prefix, 0, len(s.Document.ClientBlocks))
	for i, b := range s.Document.ClientBlocks {
		p, err := netip.ParsePrefix(b.Prefix)
		if err != nil {
			continue // The parser rejects such a document.
		}
		prefixes = append(prefixes, p)
		s.blockIndexes = append(s.blockIndexes, i)
	}
	s.blockLocator = locator.New(prefixes)
}

// ClientBlock returns the client block with the longest prefix that contains an IP
// address. The address may have a port.
func (s *Snapshot) ClientBlock(address string) (*ClientBlock, bool) {
	a, err := parseAddress(address)
	if err != nil {
		return nil, false
	}
	i := s.blockLocator.Find(a.Unmap())
	if i == locator.NotFound {
		return nil, false
	}
	return &s.Document.ClientBlocks[s.blockIndexes[i]], true
}

func parseAddress(address string) (netip.Addr, error) {
	if ap, err := netip.ParseAddrPort(address); err == nil {
		return ap.Addr(), nil
	}
	return netip.ParseAddr(address)
}

func (s *Snapshot) indexRegions() {
	for i := range s.Document.Regions {
		r := &s.Document.Regions[i]
		s.regions[r.Name] = r
		for range r.Seats {
			s.seatRegions = append(s.seatRegions, r.Name)
		}
	}
	for _, r := range s.Document.Drains.Regions {
		s.drainedRegions[r] = true
	}
}

func (s *Snapshot) indexServices() {
	for i := range s.Document.Services {
		svc := &s.Document.Services[i]
		s.services[svc.Name] = svc
		for j := range svc.Upstreams {
			u := &svc.Upstreams[j]
			s.targets[u.Name] = TargetRef{Service: svc, Upstream: u}
		}
	}
	for _, t := range s.Document.Drains.Targets {
		s.drainedTargets[t] = true
	}
}

func (s *Snapshot) indexWorkspaces() {
	for i := range s.Document.Workspaces {
		w := s.Document.Workspaces[i]
		s.workspaces[w.Name] = &w
		for _, k := range w.Keys {
			var sum [sha256.Size]byte
			if _, err := hex.Decode(sum[:], []byte(k.SHA256)); err != nil {
				continue // The parser rejects such a document.
			}
			s.keys[sum] = KeyRef{Workspace: w.Name, KeyID: k.ID}
		}
	}
}

func (s *Snapshot) applyPreset() {
	for i := range s.Document.Presets {
		if s.Document.Presets[i].Name == s.Document.Preset {
			s.preset = &s.Document.Presets[i]
		}
	}
	if s.preset == nil {
		s.preset = &Preset{Name: s.Document.Preset}
	}
	for _, r := range s.preset.Rates {
		if w, ok := s.workspaces[r.Workspace]; ok {
			w.Rate = r.Rate
			w.Burst = r.Burst
		}
	}
	for _, svc := range s.preset.Closed {
		s.closedServices[svc] = true
	}
}

// Service returns a service by name.
func (s *Snapshot) Service(name ids.Service) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Target returns a target by name, with its service.
func (s *Snapshot) Target(name ids.Target) (TargetRef, bool) {
	t, ok := s.targets[name]
	return t, ok
}

// Workspace returns a workspace by name, with the preset's rate and burst if it
// sets them.
func (s *Snapshot) Workspace(name ids.Workspace) (*Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// Region returns a region by name.
func (s *Snapshot) Region(name ids.Region) (*Region, bool) {
	r, ok := s.regions[name]
	return r, ok
}

// Preset returns the preset in force; it is never nil.
func (s *Snapshot) Preset() *Preset { return s.preset }

// Closed reports whether the preset in force refuses all requests of svc.
func (s *Snapshot) Closed(svc ids.Service) bool { return s.closedServices[svc] }

// TargetDrained reports whether the target is drained.
func (s *Snapshot) TargetDrained(t ids.Target) bool { return s.drainedTargets[t] }

// RegionDrained reports whether the region is drained. Its targets stay in use
// until its traffic has moved to other regions within the shift cap.
func (s *Snapshot) RegionDrained(r ids.Region) bool { return s.drainedRegions[r] }

// SeatRegions returns the region of each seat, by seat number.
func (s *Snapshot) SeatRegions() []ids.Region { return s.seatRegions }

// Authenticate returns the workspace and ID of a key, or false if no such key is
// valid. It looks up the key's hash, so that its run time reveals nothing about
// valid keys.
func (s *Snapshot) Authenticate(key string) (KeyRef, bool) {
	ref, ok := s.keys[sha256.Sum256([]byte(key))]
	return ref, ok
}

// Route returns the route of a method and a path after /s/{service}, or the zero
// Route if none matches.
func (s *Service) Route(method, path string) Route {
	var best Route
	for _, r := range s.Routes {
		if !matchesPrefix(path, r.Prefix) || len(r.Prefix) < len(best.Prefix) {
			continue
		}
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		best = r
	}
	return best
}

// matchesPrefix reports whether path is prefix or lies below it, by whole segments.
func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

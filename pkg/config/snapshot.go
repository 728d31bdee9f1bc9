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

// Snapshot is one revision of the configuration, compiled for decisions. It is
// immutable: share it between goroutines and never write to it.
type Snapshot struct {
	// Revision is the snapshot's revision.
	Revision ids.Revision
	// Document is the configuration as written.
	Document *Document

	services   map[ids.Service]*Service
	targets    map[ids.Target]TargetRef
	workspaces map[ids.Workspace]*Workspace
	regions    map[ids.Region]*Region
	keys       map[[sha256.Size]byte]KeyRef
	preset     *Preset
	closed     map[ids.Service]bool
	drained    map[ids.Target]bool
	drainedReg map[ids.Region]bool
	seatRegion []ids.Region
	blocks     *locator.Locator
	blockOf    []int
}

// TargetRef is one upstream with its service.
type TargetRef struct {
	Service  *Service
	Upstream *Upstream
}

// KeyRef tells whose a key is.
type KeyRef struct {
	Workspace ids.Workspace
	KeyID     ids.KeyID
}

// NewSnapshot compiles doc, which must have passed the parser's checks. The
// preset in force is applied to the workspaces' rates.
func NewSnapshot(rev ids.Revision, doc *Document) *Snapshot {
	s := &Snapshot{
		Revision:   rev,
		Document:   doc,
		services:   make(map[ids.Service]*Service),
		targets:    make(map[ids.Target]TargetRef),
		workspaces: make(map[ids.Workspace]*Workspace),
		regions:    make(map[ids.Region]*Region),
		keys:       make(map[[sha256.Size]byte]KeyRef),
		closed:     make(map[ids.Service]bool),
		drained:    make(map[ids.Target]bool),
		drainedReg: make(map[ids.Region]bool),
	}
	s.indexRegions()
	s.indexServices()
	s.indexWorkspaces()
	s.applyPreset()
	s.indexBlocks()
	return s
}

func (s *Snapshot) indexBlocks() {
	prefixes := make([]netip.Prefix, 0, len(s.Document.ClientBlocks))
	for i, b := range s.Document.ClientBlocks {
		p, err := netip.ParsePrefix(b.Prefix)
		if err != nil {
			continue // The parser refuses such a document before it gets here.
		}
		prefixes = append(prefixes, p)
		s.blockOf = append(s.blockOf, i)
	}
	s.blocks = locator.New(prefixes)
}

// Block returns the longest client block that holds an IP number, which may
// come with a port.
func (s *Snapshot) ClientBlock(address string) (*ClientBlock, bool) {
	a, err := parseAddress(address)
	if err != nil {
		return nil, false
	}
	i := s.blocks.Find(a.Unmap())
	if i == locator.NotFound {
		return nil, false
	}
	return &s.Document.ClientBlocks[s.blockOf[i]], true
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
			s.seatRegion = append(s.seatRegion, r.Name)
		}
	}
	for _, r := range s.Document.Drains.Regions {
		s.drainedReg[r] = true
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
		s.drained[t] = true
	}
}

func (s *Snapshot) indexWorkspaces() {
	for i := range s.Document.Workspaces {
		w := s.Document.Workspaces[i]
		s.workspaces[w.Name] = &w
		for _, k := range w.Keys {
			var sum [sha256.Size]byte
			if _, err := hex.Decode(sum[:], []byte(k.SHA256)); err != nil {
				continue // The parser refuses such a document before it gets here.
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
		s.closed[svc] = true
	}
}

// Service returns the named service.
func (s *Snapshot) Service(name ids.Service) (*Service, bool) {
	svc, ok := s.services[name]
	return svc, ok
}

// Target returns the named target with its service.
func (s *Snapshot) Target(name ids.Target) (TargetRef, bool) {
	t, ok := s.targets[name]
	return t, ok
}

// Workspace returns the named workspace with the preset's rate and burst.
func (s *Snapshot) Workspace(name ids.Workspace) (*Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// Region returns the named region.
func (s *Snapshot) Region(name ids.Region) (*Region, bool) {
	r, ok := s.regions[name]
	return r, ok
}

// Preset returns the preset in force; it is never nil.
func (s *Snapshot) Preset() *Preset { return s.preset }

// Closed reports whether the preset in force refuses all requests of svc.
func (s *Snapshot) Closed(svc ids.Service) bool { return s.closed[svc] }

// TargetDrained reports whether an operator drains the target.
func (s *Snapshot) TargetDrained(t ids.Target) bool { return s.drained[t] }

// RegionDrained reports whether an operator drains the region. Its targets
// stay in use until its traffic has moved away under the shift cap.
func (s *Snapshot) RegionDrained(r ids.Region) bool { return s.drainedReg[r] }

// SeatRegions returns the region of each seat, by seat number. The caller must
// not write to it.
func (s *Snapshot) SeatRegions() []ids.Region { return s.seatRegion }

// Authenticate returns the workspace whose key was given. Only hashes are
// compared, so the time it takes tells nothing about a key in force.
func (s *Snapshot) Authenticate(key string) (KeyRef, bool) {
	ref, ok := s.keys[sha256.Sum256([]byte(key))]
	return ref, ok
}

// Route returns the properties of a path behind /s/{service}, which are the
// zero Route where none matches.
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

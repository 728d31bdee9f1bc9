package parser

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

func (c *documentCheck) checkWorkspaces() {
	for i := range c.doc.Workspaces {
		w := &c.doc.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		checkUnique(c, c.workspaces, path+".name", w.Name)
		c.checkRate(path, w.Rate, w.Burst)
		c.checkWeight(path+".weight", w.Weight)
		for j, k := range w.Keys {
			c.checkKey(fmt.Sprintf("%s.keys[%d]", path, j), k)
		}
	}
}

func (c *documentCheck) checkWeight(path string, w float64) {
	if !(w >= 0 && w <= maxWeight) {
		c.addFault(path, "must be from 0 to %g, not %g", maxWeight, w)
	}
}

func (c *documentCheck) checkKey(path string, k config.Key) {
	checkUnique(c, c.keys, path+".id", k.ID)
	// The value is not printed, since an operator may have entered the key itself.
	if !validHash(k.SHA256) {
		c.addFault(path+".sha256", "must be the key's SHA-256 as 64 digits of 0-9 and a-f")
		return
	}
	if first, ok := c.keyHashes[k.SHA256]; ok {
		c.addFault(path+".sha256", "the same key stands at %s already", first)
		return
	}
	c.keyHashes[k.SHA256] = path + ".sha256"
}

func validHash(s string) bool {
	if len(s) != hex.EncodedLen(sha256.Size) || strings.ToLower(s) != s {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil
}

func (c *documentCheck) checkPresets() {
	for i := range c.doc.Presets {
		p := &c.doc.Presets[i]
		path := fmt.Sprintf("presets[%d]", i)
		checkUnique(c, c.presets, path+".name", p.Name)
		c.checkWeights(path, p)
		c.checkPresetRates(path, p)
		c.checkClosed(path, p)
	}
	if len(c.doc.Presets) == 0 {
		c.addFault("presets", "at least one preset is needed")
		return
	}
	checkDeclared(c, c.presets, "preset", "preset", c.doc.Preset)
}

// weightGroup identifies the weights that are relative to each other.
type weightGroup struct {
	service ids.Service
	from    ids.Region
}

func (c *documentCheck) checkWeights(presetPath string, p *config.Preset) {
	type pair struct {
		weightGroup
		to ids.Region
	}
	seen := make(map[pair]int)
	sums := make(map[weightGroup]float64)
	first := make(map[weightGroup]int)
	for i, w := range p.Weights {
		path := fmt.Sprintf("%s.weights[%d]", presetPath, i)
		if w.Service != "" {
			checkDeclared(c, c.services, path+".service", "service", w.Service)
		}
		checkDeclared(c, c.regions, path+".from", "region", w.From)
		checkDeclared(c, c.regions, path+".to", "region", w.To)
		c.checkWeight(path+".weight", w.Weight)
		group := weightGroup{service: w.Service, from: w.From}
		if j, ok := seen[pair{group, w.To}]; ok {
			c.addFault(path, "weights[%d] holds the same service, from and to already", j)
		}
		seen[pair{group, w.To}] = i
		sums[group] += w.Weight
		if _, ok := first[group]; !ok {
			first[group] = i
		}
	}
	for group, sum := range sums {
		if sum == 0 {
			c.addFault(fmt.Sprintf("%s.weights[%d]", presetPath, first[group]), "all weights from region %q are 0", group.from)
		}
	}
}

func (c *documentCheck) checkPresetRates(presetPath string, p *config.Preset) {
	seen := make(map[ids.Workspace]string)
	for i, r := range p.Rates {
		path := fmt.Sprintf("%s.rates[%d]", presetPath, i)
		if checkDeclared(c, c.workspaces, path+".workspace", "workspace", r.Workspace) {
			checkUnique(c, seen, path+".workspace", r.Workspace)
		}
		c.checkRate(path, r.Rate, r.Burst)
	}
}

func (c *documentCheck) checkClosed(presetPath string, p *config.Preset) {
	seen := make(map[ids.Service]string)
	for i, s := range p.Closed {
		path := fmt.Sprintf("%s.closed[%d]", presetPath, i)
		if checkDeclared(c, c.services, path, "service", s) {
			checkUnique(c, seen, path, s)
		}
	}
}

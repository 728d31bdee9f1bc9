// Package editor changes single values in the text of a configuration document and
// keeps the operators' comments and layout. Callers create an Editor with New, make
// changes with its methods, and read the result with Text.
package editor

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
)

// ErrNotFound is returned if the document has no entry with the given name.
type ErrNotFound struct {
	// Kind is the kind of entry, such as "workspace".
	Kind string
	Name string
}

// Error implements error.
func (e *ErrNotFound) Error() string {
	return fmt.Sprintf("there is no %s %q", e.Kind, e.Name)
}

// Editor holds the text of one valid document. A change that would make it invalid
// changes nothing and returns the *parser.ErrFaults of the result. An Editor is not
// safe for concurrent use.
type Editor struct {
	text []byte
	doc  *config.Document
}

// New returns an Editor of a document. The error is that of parser.Parse.
func New(text []byte) (*Editor, error) {
	doc, err := parser.Parse(text)
	if err != nil {
		return nil, err
	}
	return &Editor{text: slices.Clone(text), doc: doc}, nil
}

// Text returns the document's text. The caller must not modify it.
func (e *Editor) Text() []byte { return e.text }

// Document returns the decoded document. The caller must not modify it.
func (e *Editor) Document() *config.Document { return e.doc }

// SetPreset puts a preset in force. It returns an *ErrNotFound if there is no such
// preset.
func (e *Editor) SetPreset(name ids.Preset) error {
	if !slices.ContainsFunc(e.doc.Presets, func(p config.Preset) bool { return p.Name == name }) {
		return &ErrNotFound{Kind: "preset", Name: string(name)}
	}
	root, err := e.parseRoot()
	if err != nil {
		return err
	}
	v := root.member("preset")
	return e.apply(replacement{v.StartOffset, v.EndOffset, strconv.Quote(string(name))})
}

// AddKey adds a key to a workspace. It returns an *ErrNotFound if there is no such
// workspace.
func (e *Editor) AddKey(ws ids.Workspace, k config.Key) error {
	i := slices.IndexFunc(e.doc.Workspaces, func(w config.Workspace) bool { return w.Name == ws })
	if i < 0 {
		return &ErrNotFound{Kind: "workspace", Name: string(ws)}
	}
	root, err := e.parseRoot()
	if err != nil {
		return err
	}
	key := fmt.Sprintf(`{"id": %q, "sha256": %q}`, k.ID, k.SHA256)
	return e.appendElement(root.member("workspaces").element(i), "keys", key)
}

// RemoveKey removes a key from its workspace. It returns an *ErrNotFound if there is
// no such key.
func (e *Editor) RemoveKey(id ids.KeyID) error {
	for i, w := range e.doc.Workspaces {
		j := slices.IndexFunc(w.Keys, func(k config.Key) bool { return k.ID == id })
		if j < 0 {
			continue
		}
		root, err := e.parseRoot()
		if err != nil {
			return err
		}
		keys := root.member("workspaces").element(i).member("keys")
		return e.apply(keys.removeItem(e.text, j)...)
	}
	return &ErrNotFound{Kind: "key", Name: string(id)}
}

// Drain marks a target or region as drained. It returns an *ErrNotFound if there is
// none of that name.
func (e *Editor) Drain(name string) error {
	var list string
	switch {
	case e.isRegion(name):
		list = "regions"
	case e.isTarget(name):
		list = "targets"
	default:
		return &ErrNotFound{Kind: "target or region", Name: name}
	}
	root, err := e.parseRoot()
	if err != nil {
		return err
	}
	if drains := root.member("drains"); drains != nil {
		return e.appendElement(drains, list, strconv.Quote(name))
	}
	return e.apply(root.appendItem(e.text, fmt.Sprintf(`"drains": {%q: [%q]}`, list, name))...)
}

func (e *Editor) isRegion(name string) bool {
	return slices.ContainsFunc(e.doc.Regions, func(r config.Region) bool { return string(r.Name) == name })
}

func (e *Editor) isTarget(name string) bool {
	for _, s := range e.doc.Services {
		if slices.ContainsFunc(s.Upstreams, func(u config.Upstream) bool { return string(u.Name) == name }) {
			return true
		}
	}
	return false
}

// Undrain removes the mark of a drained target or region. It returns an *ErrNotFound
// if none of that name is drained.
func (e *Editor) Undrain(name string) error {
	list := "regions"
	i := slices.Index(e.doc.Drains.Regions, ids.Region(name))
	if i < 0 {
		list = "targets"
		i = slices.Index(e.doc.Drains.Targets, ids.Target(name))
	}
	if i < 0 {
		return &ErrNotFound{Kind: "drained target or region", Name: name}
	}
	root, err := e.parseRoot()
	if err != nil {
		return err
	}
	return e.apply(root.member("drains").member(list).removeItem(e.text, i)...)
}

func (e *Editor) parseRoot() (*node, error) {
	v, err := hujson.Parse(e.text)
	if err != nil {
		return nil, errs.New("parse the document: %v", err)
	}
	return &node{v}, nil
}

// appendElement appends an element to an array that is a member of object, and adds
// the array if it is missing.
func (e *Editor) appendElement(object *node, array, element string) error {
	if a := object.member(array); a != nil {
		return e.apply(a.appendItem(e.text, element)...)
	}
	return e.apply(object.appendItem(e.text, fmt.Sprintf("%q: [%s]", array, element))...)
}

// replacement replaces the bytes of a text from start to end.
type replacement struct {
	start, end int
	text       string
}

// apply makes the replacements if the resulting document is valid.
func (e *Editor) apply(replacements ...replacement) error {
	slices.SortStableFunc(replacements, func(a, b replacement) int { return a.start - b.start })
	var text []byte
	offset := 0
	for _, r := range replacements {
		text = append(text, e.text[offset:r.start]...)
		text = append(text, r.text...)
		offset = r.end
	}
	text = append(text, e.text[offset:]...)
	doc, err := parser.Parse(text)
	if err != nil {
		return err
	}
	e.text, e.doc = text, doc
	return nil
}

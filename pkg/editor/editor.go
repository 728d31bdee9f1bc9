// Package editor changes single values of a configuration document in its
// text, so that the operators' comments and layout stay as they are.
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

// ErrNotFound says that the document does not hold the thing to change.
type ErrNotFound struct {
	// Kind is what was looked for, such as "workspace".
	Kind string
	Name string
}

// Error names the kind and the name.
func (e *ErrNotFound) Error() string {
	return fmt.Sprintf("there is no %s %q", e.Kind, e.Name)
}

// Editor holds the text of one valid document. Each change leaves a valid
// document or changes nothing. It is not safe for use by several goroutines.
type Editor struct {
	text []byte
	doc  *config.Document
}

// New returns an Editor of a text that passes the parser's checks; its error
// is the parser's.
func New(text []byte) (*Editor, error) {
	doc, err := parser.Parse(text)
	if err != nil {
		return nil, err
	}
	return &Editor{text: slices.Clone(text), doc: doc}, nil
}

// Text returns the document's text. The caller must not write to it.
func (e *Editor) Text() []byte { return e.text }

// Document returns the document. The caller must not write to it.
func (e *Editor) Document() *config.Document { return e.doc }

// SetPreset puts a preset in force.
func (e *Editor) SetPreset(name ids.Preset) error {
	if !slices.ContainsFunc(e.doc.Presets, func(p config.Preset) bool { return p.Name == name }) {
		return &ErrNotFound{Kind: "preset", Name: string(name)}
	}
	root, err := e.root()
	if err != nil {
		return err
	}
	v := root.member("preset")
	return e.apply(cut{v.StartOffset, v.EndOffset, strconv.Quote(string(name))})
}

// AddKey gives a workspace one more key.
func (e *Editor) AddKey(ws ids.Workspace, k config.Key) error {
	i := slices.IndexFunc(e.doc.Workspaces, func(w config.Workspace) bool { return w.Name == ws })
	if i < 0 {
		return &ErrNotFound{Kind: "workspace", Name: string(ws)}
	}
	root, err := e.root()
	if err != nil {
		return err
	}
	key := fmt.Sprintf(`{"id": %q, "sha256": %q}`, k.ID, k.SHA256)
	return e.append(root.member("workspaces").element(i), "keys", key)
}

// RemoveKey withdraws a key from its workspace.
func (e *Editor) RemoveKey(id ids.KeyID) error {
	for i, w := range e.doc.Workspaces {
		j := slices.IndexFunc(w.Keys, func(k config.Key) bool { return k.ID == id })
		if j < 0 {
			continue
		}
		root, err := e.root()
		if err != nil {
			return err
		}
		keys := root.member("workspaces").element(i).member("keys")
		return e.apply(keys.without(e.text, j)...)
	}
	return &ErrNotFound{Kind: "key", Name: string(id)}
}

// Drain gives the target or region of that name no new work.
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
	root, err := e.root()
	if err != nil {
		return err
	}
	if drains := root.member("drains"); drains != nil {
		return e.append(drains, list, strconv.Quote(name))
	}
	return e.apply(root.with(e.text, fmt.Sprintf(`"drains": {%q: [%q]}`, list, name))...)
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

// Undrain lets a drained target or region take work again.
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
	root, err := e.root()
	if err != nil {
		return err
	}
	return e.apply(root.member("drains").member(list).without(e.text, i)...)
}

func (e *Editor) root() (*node, error) {
	v, err := hujson.Parse(e.text)
	if err != nil {
		return nil, errs.New("read the document: %v", err)
	}
	return &node{v}, nil
}

// append adds an element to the array that is a member of object, and the
// array itself where it is missing.
func (e *Editor) append(object *node, array, element string) error {
	if a := object.member(array); a != nil {
		return e.apply(a.with(e.text, element)...)
	}
	return e.apply(object.with(e.text, fmt.Sprintf("%q: [%s]", array, element))...)
}

// cut replaces the text from start to end.
type cut struct {
	start, end int
	text       string
}

// apply makes the cuts and checks the document that results.
func (e *Editor) apply(cuts ...cut) error {
	slices.SortStableFunc(cuts, func(a, b cut) int { return a.start - b.start })
	var text []byte
	at := 0
	for _, c := range cuts {
		text = append(text, e.text[at:c.start]...)
		text = append(text, c.text...)
		at = c.end
	}
	text = append(text, e.text[at:]...)
	doc, err := parser.Parse(text)
	if err != nil {
		return err
	}
	e.text, e.doc = text, doc
	return nil
}

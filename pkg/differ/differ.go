// Package differ compares two configuration documents by the names of their entries,
// not by the lines of their texts. Callers use Diff.
package differ

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/config"
)

// Change is one difference. Before and After are JSON values; Before is empty if the
// value was added, After if it was removed.
type Change struct {
	// Path identifies the value, such as "services[till].slots".
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change as one line, which starts with +, - or ~ for an added,
// removed or changed value.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns the changes from before to after, sorted by path. A nil document
// counts as empty.
func Diff(before, after *config.Document) ([]Change, error) {
	b, err := toGeneric(before)
	if err != nil {
		return nil, err
	}
	a, err := toGeneric(after)
	if err != nil {
		return nil, err
	}
	return compare(nil, "", b, a), nil
}

// toGeneric converts a document to the maps, slices and scalars of encoding/json.
func toGeneric(doc *config.Document) (any, error) {
	if doc == nil {
		return map[string]any{}, nil
	}
	b, err := json.Marshal(doc)
	if err != nil {
		return nil, errs.New("encode a configuration to compare: %v", err)
	}
	var v any
	if err := json.Unmarshal(b, &v); err != nil {
		return nil, errs.New("decode a configuration to compare: %v", err)
	}
	return v, nil
}

func compare(changes []Change, path string, before, after any) []Change {
	if b, ok := before.(map[string]any); ok {
		if a, ok := after.(map[string]any); ok {
			return compareMembers(changes, path, b, a, ".%s")
		}
	}
	b, beforeIsList := namedElements(before)
	a, afterIsList := namedElements(after)
	if beforeIsList && afterIsList && (len(b.names) > 0 || len(a.names) > 0) {
		return compareLists(changes, path, b, a)
	}
	return compareScalars(changes, path, before, after)
}

func compareScalars(changes []Change, path string, before, after any) []Change {
	b, a := encodeValue(before), encodeValue(after)
	if b == a {
		return changes
	}
	return append(changes, Change{Path: strings.TrimPrefix(path, "."), Before: b, After: a})
}

// encodeValue returns a value in JSON, or "" for a missing or empty one.
func encodeValue(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil || string(b) == "[]" || string(b) == "{}" {
		return ""
	}
	return string(b)
}

func compareMembers(changes []Change, path string, before, after map[string]any, format string) []Change {
	all := slices.Collect(maps.Keys(before))
	for name := range after {
		if _, ok := before[name]; !ok {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	for _, name := range all {
		changes = compare(changes, path+fmt.Sprintf(format, name), before[name], after[name])
	}
	return changes
}

// namedList is a list whose elements have distinct names.
type namedList struct {
	names  []string
	values map[string]any
}

// compareLists compares elements by name. It also compares the order of the elements
// in both lists, since the order of the regions determines the seat numbers.
func compareLists(changes []Change, path string, before, after namedList) []Change {
	commonNames := func(names []string, other namedList) string {
		var common []string
		for _, k := range names {
			if _, ok := other.values[k]; ok {
				common = append(common, k)
			}
		}
		return strings.Join(common, ", ")
	}
	changes = compareMembers(changes, path, before.values, after.values, "[%s]")
	b, a := commonNames(before.names, after), commonNames(after.names, before)
	if b != a {
		changes = append(changes, Change{Path: strings.TrimPrefix(path, ".") + " (order)", Before: b, After: a})
	}
	return changes
}

// namedElements returns the elements of a list by name. It reports false if v is not
// a list, or if its elements do not have distinct names. A missing list is empty.
func namedElements(v any) (namedList, bool) {
	l := namedList{values: make(map[string]any)}
	if v == nil {
		return l, true
	}
	all, ok := v.([]any)
	if !ok {
		return l, false
	}
	for _, e := range all {
		name := elementName(e)
		if _, duplicate := l.values[name]; name == "" || duplicate {
			return l, false
		}
		l.names = append(l.names, name)
		l.values[name] = e
	}
	return l, true
}

// elementName returns the name that identifies an element within its list, or "".
func elementName(e any) string {
	m, ok := e.(map[string]any)
	if !ok {
		return ""
	}
	for _, field := range []string{"name", "id", "workspace"} {
		if s, ok := m[field].(string); ok {
			return s
		}
	}
	if prefix, ok := m["prefix"].(string); ok {
		methods, _ := m["methods"].([]any)
		return strings.TrimSpace(strings.Trim(fmt.Sprint(methods), "[]") + " " + prefix)
	}
	if from, ok := m["from"].(string); ok {
		service, _ := m["service"].(string)
		return strings.TrimSpace(service + " " + from + " to " + fmt.Sprint(m["to"]))
	}
	return ""
}

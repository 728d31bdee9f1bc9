package editor_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gypsumbeam.example/gypsumbeam/internal/seeds"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/editor"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// documentGenerator generates documents with comments and whitespace at random
// positions.
type documentGenerator struct {
	rng      *rand.Rand
	comments int
}

// randomGap returns random whitespace, sometimes with a numbered comment.
func (l *documentGenerator) randomGap() string {
	switch l.rng.IntN(8) {
	case 0:
		l.comments++
		return fmt.Sprintf(" /*c%d.*/ ", l.comments)
	case 1:
		l.comments++
		return fmt.Sprintf(" // c%d.\n\t", l.comments)
	case 2:
		return "\n    "
	case 3:
		return "\n"
	default:
		return ""
	}
}

// list joins elements, at random with or without a trailing comma.
func (l *documentGenerator) list(open, end string, elements ...string) string {
	var b strings.Builder
	b.WriteString(open)
	for i, e := range elements {
		b.WriteString(l.randomGap() + e + l.randomGap())
		if i < len(elements)-1 || l.rng.IntN(2) == 0 {
			b.WriteString(",")
		}
	}
	b.WriteString(l.randomGap() + end)
	return b.String()
}

func (l *documentGenerator) member(name, value string) string {
	return `"` + name + `"` + l.randomGap() + ":" + l.randomGap() + value
}

func (l *documentGenerator) document() string {
	keys := l.list("[", "]", key("a"), key("b"), key("c"))
	members := []string{
		l.member("fleet", `"tests"`),
		l.member("regions", `[{"name": "east", "zones": ["e"], "seats": 1}, {"name": "west", "zones": ["w"], "seats": 1}]`),
		l.member("services", `[{"name": "shop", "slots": 1, "upstreams": [
			{"name": "shop-1", "region": "east", "zone": "e", "address": "127.0.0.1:9001"}]}]`),
		l.member("workspaces", l.list("[", "]",
			l.list("{", "}", l.member("name", `"oak"`), `"rate": 1`, `"burst": 1`, l.member("keys", keys)),
			l.list("{", "}", l.member("name", `"elm"`), `"rate": 1`, `"burst": 1`))),
		l.member("presets", l.list("[", "]", `{"name": "x"}`, `{"name": "y"}`)),
		l.member("preset", `"x"`),
	}
	if l.rng.IntN(2) == 0 {
		members = append(members, l.member("drains", l.list("{", "}", l.member("targets", l.list("[", "]")))))
	}
	l.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return l.list("{", "}", members...)
}

func key(id string) string {
	return fmt.Sprintf(`{"id": %q, "sha256": "%064x"}`, id, id)
}

// expectation is the expected content of the document after the changes.
type expectation struct {
	keys   map[ids.Workspace][]ids.KeyID
	drains []string
	preset ids.Preset
}

// step makes one random change to the document and to the expectation.
func (m *expectation) step(rng *rand.Rand, e *editor.Editor, n int) error {
	ws := []ids.Workspace{"oak", "elm"}[rng.IntN(2)]
	switch rng.IntN(5) {
	case 0:
		m.preset = []ids.Preset{"x", "y"}[rng.IntN(2)]
		return e.SetPreset(m.preset)
	case 1, 2:
		id := ids.KeyID(fmt.Sprint("k", n))
		m.keys[ws] = append(m.keys[ws], id)
		return e.AddKey(ws, config.Key{ID: id, SHA256: fmt.Sprintf("%064x", id)})
	case 3:
		if len(m.keys[ws]) == 0 {
			return nil
		}
		i := rng.IntN(len(m.keys[ws]))
		id := m.keys[ws][i]
		m.keys[ws] = slices.Delete(m.keys[ws], i, i+1)
		return e.RemoveKey(id)
	default:
		name := []string{"west", "shop-1"}[rng.IntN(2)]
		if i := slices.Index(m.drains, name); i >= 0 {
			m.drains = slices.Delete(m.drains, i, i+1)
			return e.Undrain(name)
		}
		m.drains = append(m.drains, name)
		return e.Drain(name)
	}
}

func (m *expectation) check(doc *config.Document) error {
	for _, w := range doc.Workspaces {
		var got []ids.KeyID
		for _, k := range w.Keys {
			got = append(got, k.ID)
		}
		if !slices.Equal(got, m.keys[w.Name]) {
			return fmt.Errorf("%s has the keys %v, not %v", w.Name, got, m.keys[w.Name])
		}
	}
	var drains []string
	for _, r := range doc.Drains.Regions {
		drains = append(drains, string(r))
	}
	for _, t := range doc.Drains.Targets {
		drains = append(drains, string(t))
	}
	slices.Sort(drains)
	if want := slices.Sorted(slices.Values(m.drains)); !slices.Equal(drains, want) {
		return fmt.Errorf("drained are %v, not %v", drains, want)
	}
	if doc.Preset != m.preset {
		return fmt.Errorf("the preset is %s, not %s", doc.Preset, m.preset)
	}
	return nil
}

func TestRandomisedChangesKeepEveryComment(t *testing.T) {
	rng := seeds.NewRand(t)
	const documents, changes = 60, 25
	for range documents {
		l := &documentGenerator{rng: rng}
		before := l.document()
		e, err := editor.New([]byte(before))
		if err != nil {
			t.Fatalf("%v\n%s", err, before)
		}
		m := &expectation{keys: map[ids.Workspace][]ids.KeyID{"oak": {"a", "b", "c"}}, preset: "x"}
		for n := range changes {
			last := string(e.Text())
			err := m.step(rng, e, n)
			if err == nil {
				err = m.check(e.Document())
			}
			for c := 1; c <= l.comments && err == nil; c++ {
				if !strings.Contains(string(e.Text()), fmt.Sprintf("c%d.", c)) {
					err = fmt.Errorf("comment %d is lost", c)
				}
			}
			if err != nil {
				t.Fatalf("%v\nbefore:\n%s\nafter:\n%s", err, last, e.Text())
			}
		}
	}
}

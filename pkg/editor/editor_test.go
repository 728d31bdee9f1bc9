package editor_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/editor"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
)

const hash = "00000000000000000000000000000000000000000000000000000000000000"

const text = `{
  "fleet": "tests", // The name.
  "regions": [
    {"name": "east", "zones": ["east-a"], "seats": 1},
    {"name": "west", "zones": ["west-a"], "seats": 1},
  ],
  "services": [
    {"name": "shop", "slots": 3, "upstreams": [
      {"name": "shop-1", "region": "east", "zone": "east-a", "address": "127.0.0.1:9001"},
    ]},
  ],
  "workspaces": [
    {
      "name": "oak", "rate": 10, "burst": 4,
      "keys": [
        // Asked for by Anne.
        {"id": "oak-1", "sha256": "` + hash + `01"}, // the app
        {"id": "oak-2", "sha256": "` + hash + `02"}  // the web site
      ],
    },
    {"name": "elm", "rate": 1, "burst": 1}, // no key yet
  ],
  "presets": [{"name": "ordinary"}, {"name": "peak"}],
  "preset": /* in force */ "ordinary", // since May
}
`

func edit(t *testing.T, change func(e *editor.Editor) error) string {
	t.Helper()
	e, err := editor.New([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if err := change(e); err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse(e.Text()); err != nil {
		t.Fatal(err)
	}
	return string(e.Text())
}

// withReplaced returns the text with its only occurrence of before replaced.
func withReplaced(t *testing.T, before, after string) string {
	t.Helper()
	if strings.Count(text, before) != 1 {
		t.Fatalf("%q does not occur exactly once in the text", before)
	}
	return strings.Replace(text, before, after, 1)
}

func TestChangesKeepRestOfText(t *testing.T) {
	key := config.Key{ID: "new", SHA256: hash + "0f"}
	added := `{"id": "new", "sha256": "` + hash + `0f"}`
	cases := []struct {
		name   string
		change func(e *editor.Editor) error
		want   string
	}{
		{"preset", func(e *editor.Editor) error { return e.SetPreset("peak") },
			withReplaced(t, `"ordinary", // since`, `"peak", // since`)},
		{"key behind others", func(e *editor.Editor) error { return e.AddKey("oak", key) },
			withReplaced(t, `02"}  // the web site`, "02\"},  // the web site\n        "+added)},
		{"first key", func(e *editor.Editor) error { return e.AddKey("elm", key) },
			withReplaced(t, `"burst": 1}`, `"burst": 1, "keys": [`+added+`]}`)},
		{"first of two keys goes", func(e *editor.Editor) error { return e.RemoveKey("oak-1") },
			withReplaced(t, `{"id": "oak-1", "sha256": "`+hash+`01"}, // the app`, `// the app`)},
		{"last of two keys goes", func(e *editor.Editor) error { return e.RemoveKey("oak-2") },
			withReplaced(t, `, // the app
        {"id": "oak-2", "sha256": "`+hash+`02"}  // the web`, ` // the app
          // the web`)},
		{"drain of a region", func(e *editor.Editor) error { return e.Drain("west") },
			withReplaced(t, "// since May\n", "// since May\n  \"drains\": {\"regions\": [\"west\"]},\n")},
		{"drain of both kinds, and back", func(e *editor.Editor) error {
			return errors.Join(e.Drain("west"), e.Drain("shop-1"), e.Undrain("west"))
		}, withReplaced(t, "// since May\n", "// since May\n  \"drains\": {\"regions\": [], \"targets\": [\"shop-1\"]},\n")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := edit(t, c.change); got != c.want {
				t.Errorf("got:\n%s\nwant:\n%s", got, c.want)
			}
		})
	}
}

func TestRemovalFromSingleLineArray(t *testing.T) {
	is := is.New(t)
	got := edit(t, func(e *editor.Editor) error {
		return errors.Join(e.Drain("shop-1"), e.AddKey("elm", config.Key{ID: "a", SHA256: hash + "0a"}),
			e.AddKey("elm", config.Key{ID: "b", SHA256: hash + "0b"}), e.RemoveKey("a"), e.Undrain("shop-1"))
	})
	is.True(strings.Contains(got, `"keys": [{"id": "b", "sha256": "`+hash+`0b"}]}, // no key yet`))
	is.True(strings.Contains(got, `"drains": {"targets": []},`))
}

func TestFailedChangesKeepText(t *testing.T) {
	is := is.New(t)
	e, err := editor.New([]byte(text))
	is.NoErr(err)
	notFound := &editor.ErrNotFound{}
	is.True(errors.As(e.SetPreset("odd"), &notFound))
	is.True(errors.As(e.AddKey("ash", config.Key{}), &notFound))
	is.True(errors.As(e.RemoveKey("oak-9"), &notFound))
	is.True(errors.As(e.Drain("north"), &notFound))
	is.True(errors.As(e.Undrain("west"), &notFound))
	faults := &parser.ErrFaults{}
	is.True(errors.As(e.AddKey("oak", config.Key{ID: "oak-1", SHA256: hash + "0f"}), &faults)) // the ID is in use
	is.Equal(string(e.Text()), text)
	is.NoErr(e.Drain("west"))
	is.True(errors.As(e.Drain("east"), &faults)) // the last region
	is.True(errors.As(e.Drain("west"), &faults)) // already drained
}

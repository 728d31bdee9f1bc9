package parser_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/parser"
)

const validDocument = `{
  // The fleet of the tests.
  "fleet": "tests",
  "regions": [
    {"name": "east", "zones": ["east-a", "east-b"], "seats": 2},
    {"name": "west", "zones": ["west-a"], "seats": 1},
  ],
  "services": [
    {"name": "shop", "slots": 3, "timeoutMs": 5000,
     "routes": [{"prefix": "/pay", "methods": ["POST"], "once": true}],
     "upstreams": [
       {"name": "shop-1", "region": "east", "zone": "east-a", "address": "127.0.0.1:9001"},
       {"name": "shop-2", "region": "west", "zone": "west-a", "address": "127.0.0.1:9002"},
     ]},
  ],
  "workspaces": [
    {"name": "oak", "rate": 10.5, "burst": 4,
     "keys": [{"id": "oak-1", "sha256": "0000000000000000000000000000000000000000000000000000000000000001"}]},
    {"name": "elm", "rate": 1, "burst": 1},
  ],
  "presets": [
    {"name": "ordinary"},
    {"name": "peak", "weights": [{"from": "east", "to": "west", "weight": 1}],
     "rates": [{"workspace": "oak", "rate": 20, "burst": 8}], "closed": ["shop"]},
  ],
  "preset": "ordinary",
  "limits": {"shiftPerMinute": 0.5},
  "drains": {"regions": ["west"], "targets": ["shop-1"]},
  "clientBlocks": [{"prefix": "10.1.0.0/16", "region": "east"}],
}
`

func TestParseAcceptsCommentsAndTrailingCommas(t *testing.T) {
	is := is.New(t)
	doc, err := parser.Parse([]byte(validDocument))
	is.NoErr(err)
	is.Equal(doc.Workspaces[0].Rate, 10.5)
	is.Equal(doc.Services[0].Upstreams[1].Address, "127.0.0.1:9002")
	is.True(doc.Services[0].Routes[0].Once)
}

func TestParseReportsFaultsWithLineAndPath(t *testing.T) {
	cases := []struct {
		name, old, new string
		line           int
		path, message  string
	}{
		{"syntax", `"preset": "ordinary",`, `"preset" "ordinary",`, 26, "", "invalid character"},
		{"unknown field", `"slots": 3`, `"slots": 3, "slotts": 4`, 9, "services[0].slotts", "unknown field"},
		{"other case", `"slots": 3`, `"Slots": 3`, 9, "services[0].Slots", "unknown field"},
		{"field twice", `"slots": 3`, `"slots": 3, "slots": 4`, 9, "services[0].slots", "second time"},
		{"null", `"slots": 3`, `"slots": null`, 9, "services[0].slots", "not null"},
		{"wrong type", `"rate": 1,`, `"rate": "1",`, 19, "workspaces[1].rate", "must be a number"},
		{"fraction", `"slots": 3`, `"slots": 3.5`, 9, "services[0].slots", "whole number"},
		{"number too large", `"rate": 1,`, `"rate": 1e999,`, 19, "workspaces[1].rate", "finite"},
		{"slots", `"slots": 3`, `"slots": 0`, 9, "services[0].slots", "from 1"},
		{"missing slots", `"slots": 3, `, ``, 9, "services[0].slots", "from 1"},
		{"seats", `"seats": 1`, `"seats": 0`, 6, "regions[1].seats", "from 1"},
		{"too many seats", `"seats": 1`, `"seats": 9000000000000000000`, 6, "regions[1].seats", "from 1"},
		{"rate", `"rate": 1,`, `"rate": 0,`, 19, "workspaces[1].rate", "above 0"},
		{"burst", `"burst": 1}`, `"burst": 0}`, 19, "workspaces[1].burst", "from 1"},
		{"empty name", `"elm"`, `""`, 19, "workspaces[1].name", "needed"},
		{"long name", `"elm"`, `"` + strings.Repeat("e", 64) + `"`, 19, "workspaces[1].name", "64 characters"},
		{"name's form", `"elm"`, `"Elm"`, 19, "workspaces[1].name", "a-z"},
		{"option as name", `"elm"`, `"-elm"`, 19, "workspaces[1].name", "start with -"},
		{"workspace twice", `"elm"`, `"oak"`, 19, "workspaces[1].name", "workspaces[0].name"},
		{"region twice", `"name": "west", "zones"`, `"name": "east", "zones"`, 6, "regions[1].name", "regions[0].name"},
		{"zone twice", `["west-a"]`, `["east-a"]`, 6, "regions[1].zones[0]", "already"},
		{"preset twice", `{"name": "peak"`, `{"name": "ordinary"`, 23, "presets[1].name", "already"},
		{"target twice", `"shop-2"`, `"shop-1"`, 13, "services[0].upstreams[1].name", "already"},
		{"target named as region", `"shop-2"`, `"west"`, 13, "services[0].upstreams[1].name", "region"},
		{"no such region", `"region": "west", "zone"`, `"region": "north", "zone"`, 13, "services[0].upstreams[1].region", "no region"},
		{"zone elsewhere", `"zone": "west-a"`, `"zone": "east-b"`, 13, "services[0].upstreams[1].zone", "belongs to"},
		{"no such zone", `"zone": "west-a"`, `"zone": "west-z"`, 13, "services[0].upstreams[1].zone", "no availability zone"},
		{"host name as address", `127.0.0.1:9002`, `localhost:9002`, 13, "services[0].upstreams[1].address", "IP number"},
		{"address twice", `127.0.0.1:9002`, `127.0.0.1:9001`, 13, "services[0].upstreams[1].address", "already"},
		{"time-out", `"timeoutMs": 5000`, `"timeoutMs": 60001`, 9, "services[0].timeoutMs", "60000"},
		{"negative time-out", `"timeoutMs": 5000`, `"timeoutMs": -1`, 9, "services[0].timeoutMs", "from 0"},
		{"prefix of a route", `"/pay"`, `"pay"`, 10, "services[0].routes[0].prefix", "start with /"},
		{"method", `"POST"`, `"post"`, 10, "services[0].routes[0].methods[0]", "unknown method"},
		{"route twice", `"routes": [`, `"routes": [{"prefix": "/pay"}, `, 10, "services[0].routes[1]", "already"},
		{"route twice for all methods", `"once": true}]`, `"once": true}, {"prefix": "/pay", "open": true}]`, 10, "services[0].routes[1]", "routes[0]"},
		{"method twice", `["POST"]`, `["POST", "POST"]`, 10, "services[0].routes[0].methods[1]", "second time"},
		{"hash", `0001"}`, `000G"}`, 18, "workspaces[0].keys[0].sha256", "64 digits"},
		{"share", `0.5}`, `1.5}`, 27, "limits.shiftPerMinute", "at most 1"},
		{"preset in force", `"preset": "ordinary"`, `"preset": "odd"`, 26, "preset", "no preset"},
		{"no preset in force", `"preset": "ordinary",`, ``, 1, "preset", "no preset"},
		{"drained region", `"regions": ["west"]`, `"regions": ["north"]`, 28, "drains.regions[0]", "no region"},
		{"drained target", `"targets": ["shop-1"]`, `"targets": ["shop-9"]`, 28, "drains.targets[0]", "no target"},
		{"all drained", `"regions": ["west"]`, `"regions": ["west", "east"]`, 28, "drains.regions", "every region"},
		{"prefix", `10.1.0.0/16`, `10.1.0.0`, 29, "clientBlocks[0].prefix", "no prefix"},
		{"bits behind the prefix", `10.1.0.0/16`, `10.1.0.1/16`, 29, "clientBlocks[0].prefix", "10.1.0.0/16"},
		{"weights of nothing", `"weight": 1}`, `"weight": 0}`, 23, "presets[1].weights[0]", "are 0"},
		{"negative weight", `"weight": 1}`, `"weight": -1}`, 23, "presets[1].weights[0].weight", "from 0"},
		{"preset's workspace", `"workspace": "oak"`, `"workspace": "ash"`, 24, "presets[1].rates[0].workspace", "no workspace"},
		{"closed service", `"closed": ["shop"]`, `"closed": ["till"]`, 24, "presets[1].closed[0]", "no service"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(strings.Count(validDocument, c.old), 1) // the case changes exactly one place
			_, err := parser.Parse([]byte(strings.Replace(validDocument, c.old, c.new, 1)))
			faults := &parser.ErrFaults{}
			is.True(errors.As(err, &faults))
			for _, f := range faults.Faults {
				if f.Line == c.line && f.Path == c.path && strings.Contains(f.Message, c.message) {
					return
				}
			}
			t.Errorf("no fault at line %d, path %q with %q in:\n%v", c.line, c.path, c.message, err)
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`"slots": 3`, `"slots": 0`, `"elm"`, `"oak"`, `"seats": 1`, `"seats": "1"`).Replace(validDocument)
	_, err := parser.Parse([]byte(text))
	faults := &parser.ErrFaults{}
	is.True(errors.As(err, &faults))
	is.Equal(len(faults.Faults), 3) // in the order of their lines
	is.Equal(faults.Faults[0].Path, "regions[1].seats")
	is.Equal(faults.Faults[1].Path, "services[0].slots")
	is.Equal(faults.Faults[2].Path, "workspaces[1].name")
}

func TestParseDoesNotPrintKeyInPlaceOfHash(t *testing.T) {
	is := is.New(t)
	const secret = "the-key-itself-put-here-by-mistake"
	text := strings.Replace(validDocument, "0000000000000000000000000000000000000000000000000000000000000001", secret, 1)
	_, err := parser.Parse([]byte(text))
	is.True(err != nil)
	is.True(!strings.Contains(err.Error(), secret))
}

func TestParseLimitsSizeAndDepth(t *testing.T) {
	is := is.New(t)
	_, err := parser.Parse([]byte(validDocument + strings.Repeat(" ", parser.MaxDocumentBytes)))
	is.True(err != nil)
	_, err = parser.Parse([]byte(strings.Repeat("[", parser.MaxDocumentBytes)))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "nest deeper"))
	_, err = parser.Parse([]byte("{\"fleet\": \"\xff\"}"))
	is.True(strings.Contains(err.Error(), "UTF-8"))
}

// TestParseTimeGrowsWithSize guards against parse times that grow with the square of
// the document's size, since hosts parse whatever operators send. It compares times
// within one run, since machines differ.
func TestParseTimeGrowsWithSize(t *testing.T) {
	const growth = 16
	const large = parser.MaxDocumentBytes / 4
	// Quadratic time would grow by growth*growth.
	const bound = growth * growth / 3
	fill := func(size int, open, element, end string) []byte {
		var b strings.Builder
		b.WriteString(open)
		for i := 0; b.Len() < size; i++ {
			fmt.Fprintf(&b, element, i)
		}
		return []byte(b.String() + end)
	}
	parse := func(name string, text []byte) time.Duration {
		start := time.Now()
		if _, err := parser.Parse(text); err == nil {
			t.Errorf("%s: no fault", name)
		}
		return time.Since(start)
	}
	for name, parts := range map[string][3]string{
		"comments": {"{", "/**/ // %d\n", "}"},
		"faults":   {`{"workspaces":[`, "%d,", "]}"},
		"routes":   {`{"services":[{"routes":[`, `{"prefix":"/%d"},`, "]}]}"},
		"methods":  {`{"services":[{"routes":[{"methods":[`, `"%d",`, "]}]}]}"},
		"fields":   {"{", `"%d":1,`, "}"},
	} {
		small := parse(name, fill(large/growth, parts[0], parts[1], parts[2]))
		for range 2 {
			small = min(small, parse(name, fill(large/growth, parts[0], parts[1], parts[2])))
		}
		took := parse(name, fill(large, parts[0], parts[1], parts[2]))
		if ratio := float64(took) / float64(small); ratio > bound {
			t.Errorf("%s: %d times the bytes took %.0f times as long, over %d", name, growth, ratio, bound)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"fleet": 1, "regions": [null, {}], "services": [{"upstreams": [{}]}], "workspaces": [{"keys": [{}]}]}`))
	f.Add([]byte("{/*"))
	f.Add([]byte(`"\`))
	f.Fuzz(func(t *testing.T, b []byte) {
		doc, err := parser.Parse(b)
		if (doc == nil) == (err == nil) {
			t.Fatal("either a document or an error is due")
		}
		faults := &parser.ErrFaults{}
		if err != nil && (!errors.As(err, &faults) || len(faults.Faults) == 0) {
			t.Fatalf("no faults in %v", err)
		}
	})
}

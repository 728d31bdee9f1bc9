// Package examples_test checks that the example deployments have the sizes of the
// two users' deployments.
package examples_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
	"gypsumbeam.example/gypsumbeam/pkg/settings"
)

// serviceSize is the number of a service's upstreams and of the slots of each.
type serviceSize struct {
	service          ids.Service
	upstreams, slots int
}

type deployment struct {
	dir         string
	regions     []ids.Region
	connections int
	hosts       int
	services    []serviceSize
	onceRoutes  map[ids.Service]string
}

var deployments = []deployment{
	{
		dir: "crested-thread", regions: []ids.Region{"connacht", "leinster", "munster"}, connections: 360, hosts: 11,
		services:   []serviceSize{{"uniform-shop", 16, 6}, {"till", 12, 5}, {"crest-intake", 12, 3}, {"stitch-room", 12, 3}},
		onceRoutes: map[ids.Service]string{"till": "/payments", "stitch-room": "/approvals"},
	},
	{
		dir: "halvorsen", regions: []ids.Region{"sask", "alta", "mani"}, connections: 390, hosts: 10,
		services:   []serviceSize{{"slotview", 18, 9}, {"ledger", 12, 7}, {"drawdesk", 12, 3}, {"coachboard", 12, 3}},
		onceRoutes: map[ids.Service]string{"ledger": "/bookings"},
	},
}

func load(t *testing.T, d deployment) *config.Document {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(d.dir, "config.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	doc, err := parser.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func TestDocumentsMatchUsersSizes(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.dir, func(t *testing.T) {
			is := is.New(t)
			doc := load(t, d)
			var seats int
			for i, r := range doc.Regions {
				is.Equal(r.Name, d.regions[i])
				is.Equal(len(r.Zones), 2)
				is.Equal(r.LinkMbitPerSecond, 4000)
				seats += r.Seats
			}
			is.Equal(len(doc.Regions), 3)
			is.Equal(seats, 12)
			is.Equal(len(doc.Services), len(d.services))
			for i, want := range d.services {
				s := &doc.Services[i]
				is.Equal(serviceSize{s.Name, len(s.Upstreams), s.Slots}, want)
				is.Equal(s.ConnectionLimit(), d.connections)
				zones := make(map[ids.Zone]bool)
				for _, u := range s.Upstreams {
					zones[u.Zone] = true
				}
				is.Equal(len(zones), 6) // the upstreams are spread over all zones
				if path, ok := d.onceRoutes[s.Name]; ok {
					is.True(s.Route("POST", path).Once)
				}
			}
			is.Equal(len(doc.Workspaces), 8)
			names := []ids.Preset{}
			for _, p := range doc.Presets {
				names = append(names, p.Name)
			}
			is.Equal(names, []ids.Preset{"ordinary", "peak", "maintenance"})
			is.Equal(doc.Preset, ids.Preset("ordinary"))
		})
	}
}

// The rates of the presets ordinary and peak must fit into the slots if a request
// holds a slot for 100 ms.
func TestRatesFitIntoTheSlots(t *testing.T) {
	const held = 100 * time.Millisecond
	for _, d := range deployments {
		doc := load(t, d)
		slots := 0
		for _, s := range doc.Services {
			slots += s.Slots * len(s.Upstreams)
		}
		for _, preset := range []ids.Preset{"ordinary", "peak"} {
			doc.Preset = preset
			snapshot := config.NewSnapshot(1, doc)
			rate := 0.0
			for _, w := range doc.Workspaces {
				inForce, _ := snapshot.Workspace(w.Name)
				rate += inForce.Rate
			}
			if rate*held.Seconds() >= float64(slots) {
				t.Errorf("%s, %s: %g requests a second do not fit into %d slots", d.dir, preset, rate, slots)
			}
		}
	}
}

func TestHostSettingsMatchDocument(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.dir, func(t *testing.T) {
			is := is.New(t)
			doc := load(t, d)
			used := make(map[string]string)
			for _, s := range doc.Services {
				for _, u := range s.Upstreams {
					used[u.Address] = string(u.Name)
				}
			}
			seats := make(map[ids.Region]int)
			zones := make(map[ids.Zone]ids.Region)
			for _, r := range doc.Regions {
				seats[r.Name] = r.Seats
				for _, z := range r.Zones {
					zones[z] = r.Name
				}
			}
			files, err := filepath.Glob(filepath.Join(d.dir, "hosts", "*.jsonc"))
			is.NoErr(err)
			is.Equal(len(files), d.hosts)
			for _, file := range files {
				text, err := os.ReadFile(file)
				is.NoErr(err)
				s, err := settings.Parse(text)
				is.NoErr(err)
				is.Equal(zones[s.Zone], s.Region)
				seats[s.Region]--
				is.True(seats[s.Region] >= 0) // there is a seat for every host
				for _, a := range []string{s.Listen.Callers, s.Listen.Peers, s.Listen.Operators} {
					is.Equal(used[a], "") // no address is used twice
					used[a] = file
				}
			}
		})
	}
}

package fleetmeasure

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/examples"
	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/parser"
)

// Deployment is one of the examples, with the delays of its network.
type Deployment struct {
	Name                                string
	ZoneDelay, RegionDelay, ClientDelay time.Duration
	HostsPerRegion                      []int
	// Open is the path of an open route of the service that is measured, and
	// OpenTime the mean time of its requests at a target.
	Service  ids.Service
	Open     string
	OpenTime time.Duration
	// Once is the service whose requests run at most once, at OncePath.
	Once     ids.Service
	OncePath string
	OnceTime time.Duration
}

// Deployments are the examples.
var Deployments = []Deployment{
	{
		Name: "crested-thread", ZoneDelay: 1500 * time.Microsecond, RegionDelay: 12 * time.Millisecond,
		ClientDelay: time.Millisecond, HostsPerRegion: []int{4, 4, 3},
		Service: "uniform-shop", Open: "/sizes/blazer", OpenTime: 80 * time.Millisecond,
		Once: "till", OncePath: "/payments", OnceTime: 120 * time.Millisecond,
	},
	{
		Name: "halvorsen", ZoneDelay: 500 * time.Microsecond, RegionDelay: 20 * time.Millisecond,
		ClientDelay: 8 * time.Millisecond, HostsPerRegion: []int{4, 4, 3},
		Service: "slotview", Open: "/courts/open", OpenTime: 80 * time.Millisecond,
		Once: "ledger", OncePath: "/bookings", OnceTime: 100 * time.Millisecond,
	},
}

// Document returns the deployment's configuration document.
func (d *Deployment) Document() (*config.Document, error) {
	text, err := examples.Document(d.Name)
	if err != nil {
		return nil, err
	}
	return parser.Parse(text)
}

// Work is a time at which a target had a request.
type Work struct {
	Target         ids.Target
	Arrived, Ended time.Time
}

// Works collects when targets had which request.
type Works struct {
	mu   sync.Mutex
	byID map[string]Work
}

// add is a target's Observe.
func (w *Works) add(one target.RequestRecord) {
	if !one.Ran {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = make(map[string]Work)
	}
	w.byID[one.RequestID] = Work{Target: ids.Target(one.Target), Arrived: one.Arrived, Ended: one.Ended}
}

// At returns when a target had which requests, unordered.
func (w *Works) At(t ids.Target) []Work {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Work
	for _, one := range w.byID {
		if one.Target == t {
			out = append(out, one)
		}
	}
	return out
}

// Of returns when a target had the request.
func (w *Works) Of(id string) (Work, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, ok := w.byID[id]
	return one, ok
}

// Fleet makes a fleet of the deployment with a document. Requests take from a
// half to one and a half times their service's mean.
func (d *Deployment) Fleet(doc *config.Document, works *Works) (*fleet.Fleet, error) {
	f, err := fleet.New(fleet.Config{
		Document: doc, HostsPerRegion: d.HostsPerRegion,
		ZoneDelay: d.ZoneDelay, RegionDelay: d.RegionDelay, ClientDelay: d.ClientDelay,
		ConfigureTarget: func(svc *config.Service, cfg *target.Config) {
			mean := d.OpenTime
			if svc.Name != d.Service {
				mean = d.OnceTime
			}
			cfg.ServiceTime = func(rng *rand.Rand) time.Duration {
				return mean/2 + time.Duration(rng.Float64()*float64(mean))
			}
			cfg.OnRequestDone = works.add
		},
	})
	if err != nil {
		return nil, errs.New("fleet of %s: %v", d.Name, err)
	}
	return f, nil
}

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

// Deployment is an example configuration and the parameters of its measurement. The
// delays are one-way.
type Deployment struct {
	Name                                string
	ZoneDelay, RegionDelay, ClientDelay time.Duration
	HostsPerRegion                      []int
	// OpenPath is the path of an open route of Service, and OpenTime the mean time of
	// Service's requests at a target.
	Service  ids.Service
	OpenPath string
	OpenTime time.Duration
	// OnceService has an at-most-once route at OncePath. OnceTime is the mean time at a
	// target of the requests of all services but Service.
	OnceService ids.Service
	OncePath    string
	OnceTime    time.Duration
}

// Deployments are the deployments that are measured.
var Deployments = []Deployment{
	{
		Name: "crested-thread", ZoneDelay: 1500 * time.Microsecond, RegionDelay: 12 * time.Millisecond,
		ClientDelay: time.Millisecond, HostsPerRegion: []int{4, 4, 3},
		Service: "uniform-shop", OpenPath: "/sizes/blazer", OpenTime: 80 * time.Millisecond,
		OnceService: "till", OncePath: "/payments", OnceTime: 120 * time.Millisecond,
	},
	{
		Name: "halvorsen", ZoneDelay: 500 * time.Microsecond, RegionDelay: 20 * time.Millisecond,
		ClientDelay: 8 * time.Millisecond, HostsPerRegion: []int{4, 4, 3},
		Service: "slotview", OpenPath: "/courts/open", OpenTime: 80 * time.Millisecond,
		OnceService: "ledger", OncePath: "/bookings", OnceTime: 100 * time.Millisecond,
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

// Execution is the time during which a request was at a target.
type Execution struct {
	Target         ids.Target
	Arrived, Ended time.Time
}

// Executions collects the executions of all requests. Its methods may be called
// concurrently.
type Executions struct {
	mu   sync.Mutex
	byID map[string]Execution
}

// record is the OnRequestDone of all targets.
func (w *Executions) record(r target.RequestRecord) {
	if !r.Ran {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byID == nil {
		w.byID = make(map[string]Execution)
	}
	w.byID[r.RequestID] = Execution{Target: ids.Target(r.Target), Arrived: r.Arrived, Ended: r.Ended}
}

// AtTarget returns the executions at a target, in no order.
func (w *Executions) AtTarget(t ids.Target) []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Execution
	for _, e := range w.byID {
		if e.Target == t {
			out = append(out, e)
		}
	}
	return out
}

// ByID returns the last execution of a request.
func (w *Executions) ByID(id string) (Execution, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.byID[id]
	return e, ok
}

// NewFleet returns a fleet of the deployment that uses doc and records executions. The
// time of a request at a target is uniformly distributed from 0.5 to 1.5 times the
// mean of its service.
func (d *Deployment) NewFleet(doc *config.Document, executions *Executions) (*fleet.Fleet, error) {
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
			cfg.OnRequestDone = executions.record
		},
	})
	if err != nil {
		return nil, errs.New("fleet of %s: %v", d.Name, err)
	}
	return f, nil
}

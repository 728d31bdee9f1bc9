package fleetmeasure

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/internal/fleet"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// callerTimeout is how long callers wait.
const callerTimeout = 5 * time.Second

// Run is one fleet of a deployment under load. Start it on the virtual clock of
// a synctest bubble; Stop must be called.
type Run struct {
	Deployment *Deployment
	Random     *rand.Rand
	Fleet      *fleet.Fleet
	Works      Works
	Samples    Samples

	doc *config.Document
}

// Start starts the fleet and gives its hosts time to find each other.
func (r *Run) Start(ctx context.Context) error {
	doc, err := r.Deployment.Document()
	if err != nil {
		return err
	}
	r.doc = doc
	if r.Fleet, err = r.Deployment.Fleet(doc, &r.Works); err != nil {
		return err
	}
	if err := r.Fleet.Start(ctx); err != nil {
		r.Fleet.Stop()
		return err
	}
	time.Sleep(12 * time.Second)
	return nil
}

// Slots returns the slots of the measured service in a region, or in all.
func (r *Run) Slots(region ids.Region) int {
	n := 0
	for _, s := range r.doc.Services {
		for _, u := range s.Upstreams {
			if s.Name == r.Deployment.Service && (region == "" || u.Region == region) {
				n += s.Slots
			}
		}
	}
	return n
}

// Targets returns the names of the measured service's targets in a region.
func (r *Run) Targets(region ids.Region) []ids.Target {
	var all []ids.Target
	for _, s := range r.doc.Services {
		for _, u := range s.Upstreams {
			if s.Name == r.Deployment.Service && u.Region == region {
				all = append(all, u.Name)
			}
		}
	}
	return all
}

// Regions returns the deployment's regions.
func (r *Run) Regions() []ids.Region {
	var all []ids.Region
	for _, reg := range r.doc.Regions {
		all = append(all, reg.Name)
	}
	return all
}

// Workspaces returns the deployment's workspaces.
func (r *Run) Workspaces() []config.Workspace { return r.doc.Workspaces }

// Open sends open requests for a share of each region's slots until the
// returned function is called, which waits for their answers.
func (r *Run) Open(ctx context.Context, share float64) (end func()) {
	var all []*Caller
	for _, region := range r.Regions() {
		all = append(all, &Caller{
			Name: "open", Service: r.Deployment.Service, Method: http.MethodGet, Path: r.Deployment.Open, Region: region,
			Rate: share * float64(r.Slots(region)) / r.Deployment.OpenTime.Seconds(),
		})
	}
	return r.start(ctx, all)
}

// Keyed sends requests with a workspace's key from all regions, as Open does.
func (r *Run) Keyed(ctx context.Context, w ids.Workspace, rate float64) (end func()) {
	var all []*Caller
	for _, region := range r.Regions() {
		all = append(all, &Caller{
			Name: string(w), Service: r.Deployment.Service, Method: http.MethodGet, Path: "/lists", Workspace: w,
			Region: region, Rate: rate / float64(len(r.Regions())), Even: true,
		})
	}
	return r.start(ctx, all)
}

// Payments sends requests that run at most once from all regions, as Open does.
func (r *Run) Payments(ctx context.Context, rate float64) (end func()) {
	var all []*Caller
	for _, region := range r.Regions() {
		all = append(all, &Caller{
			Name: "pay", Service: r.Deployment.Once, Method: http.MethodPost, Path: r.Deployment.OncePath, Once: true,
			Workspace: r.doc.Workspaces[0].Name, Region: region, Rate: rate / float64(len(r.Regions())),
		})
	}
	return r.start(ctx, all)
}

func (r *Run) start(ctx context.Context, all []*Caller) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, c := range all {
		c.Fleet, c.Samples, c.Timeout = r.Fleet, &r.Samples, callerTimeout
		c.Random = rand.New(rand.NewPCG(r.Random.Uint64(), 1))
		wg.Go(func() { c.Run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// Change applies a change of the document through the operators' side.
func (r *Run) Change(ctx context.Context, edit func(doc *config.Document)) error {
	operator := r.Fleet.OperatorsClient()
	defer operator.HTTP.CloseIdleConnections()
	current, err := operator.Document(ctx)
	if err != nil {
		return err
	}
	var doc config.Document
	if err := json.Unmarshal(current.Text, &doc); err != nil {
		return errs.Wrap(err)
	}
	edit(&doc)
	text, err := json.Marshal(&doc)
	if err != nil {
		return errs.Wrap(err)
	}
	applied, err := operator.Apply(ctx, text, current.Revision)
	if err == nil && !applied.Accepted {
		return errs.New("the change was not taken: %v", applied)
	}
	return err
}

// Since returns the requests that were sent from a time on.
func (r *Run) Since(t time.Time) []Sample {
	return r.Samples.Where(func(s *Sample) bool { return !s.Sent.Before(t) })
}

// Failed returns the requests that got no answer of a target.
func Failed(all []Sample) []Sample {
	var out []Sample
	for _, s := range all {
		if s.Status != http.StatusOK {
			out = append(out, s)
		}
	}
	return out
}

// Last returns the time from t until the last request was sent, or zero.
func Last(all []Sample, t time.Time) time.Duration {
	var last time.Duration
	for _, s := range all {
		last = max(last, s.Sent.Sub(t))
	}
	return last
}

// Codes counts requests by their code, or "cut" without an answer.
func Codes(all []Sample) map[string]int {
	counts := make(map[string]int)
	for _, s := range all {
		switch {
		case s.Status == 0:
			counts["cut"]++
		case s.Code != "":
			counts[string(s.Code)]++
		}
	}
	return counts
}

// Added returns the time beside that at the target of the requests that ran.
func (r *Run) Added(all []Sample) (p50, p99 time.Duration) { return added(&r.Works, all) }

// Stop ends all processes.
func (r *Run) Stop() { r.Fleet.Stop() }

// TargetIP returns the IP number of a target.
func (r *Run) TargetIP(t ids.Target) string {
	for _, s := range r.doc.Services {
		for _, u := range s.Upstreams {
			if host, _, err := net.SplitHostPort(u.Address); err == nil && u.Name == t {
				return host
			}
		}
	}
	return ""
}

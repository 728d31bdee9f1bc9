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

// requestTimeout is the time limit of callers' requests.
const requestTimeout = 5 * time.Second

// Run is a fleet of a deployment under load. Deployment and Random are required. Start
// must be called in a synctest bubble, and Stop at the end.
type Run struct {
	Deployment *Deployment
	Random     *rand.Rand
	Fleet      *fleet.Fleet
	Executions Executions
	Samples    Samples

	doc *config.Document
}

// Start starts the fleet and waits until its hosts know each other.
func (r *Run) Start(ctx context.Context) error {
	doc, err := r.Deployment.Document()
	if err != nil {
		return err
	}
	r.doc = doc
	if r.Fleet, err = r.Deployment.NewFleet(doc, &r.Executions); err != nil {
		return err
	}
	if err := r.Fleet.Start(ctx); err != nil {
		r.Fleet.Stop()
		return err
	}
	time.Sleep(12 * time.Second)
	return nil
}

// Slots returns the number of slots of the measured service in a region, or in all
// regions if it is empty.
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

// Regions returns the names of the deployment's regions.
func (r *Run) Regions() []ids.Region {
	var all []ids.Region
	for _, reg := range r.doc.Regions {
		all = append(all, reg.Name)
	}
	return all
}

// Workspaces returns the deployment's workspaces.
func (r *Run) Workspaces() []config.Workspace { return r.doc.Workspaces }

// StartOpenLoad sends requests without a key that keep a share of each region's slots
// busy on average. The returned function stops them and waits for their responses.
func (r *Run) StartOpenLoad(ctx context.Context, share float64) (end func()) {
	var all []*Caller
	for _, region := range r.Regions() {
		all = append(all, &Caller{
			Name: "open", Service: r.Deployment.Service, Method: http.MethodGet, Path: r.Deployment.OpenPath, Region: region,
			Rate: share * float64(r.Slots(region)) / r.Deployment.OpenTime.Seconds(),
		})
	}
	return r.startCallers(ctx, all)
}

// StartKeyedLoad sends requests with a workspace's key at fixed intervals, rate per
// second from all regions together. The returned function is as for StartOpenLoad.
func (r *Run) StartKeyedLoad(ctx context.Context, w ids.Workspace, rate float64) (end func()) {
	var all []*Caller
	for _, region := range r.Regions() {
		all = append(all, &Caller{
			Name: string(w), Service: r.Deployment.Service, Method: http.MethodGet, Path: "/lists", Workspace: w,
			Region: region, Rate: rate / float64(len(r.Regions())), FixedInterval: true,
		})
	}
	return r.startCallers(ctx, all)
}

// StartPayments sends at-most-once requests, rate per second from all regions together.
// The returned function is as for StartOpenLoad.
func (r *Run) StartPayments(ctx context.Context, rate float64) (end func()) {
	var all []*Caller
	for _, region := range r.Regions() {
		all = append(all, &Caller{
			Name: "pay", Service: r.Deployment.OnceService, Method: http.MethodPost, Path: r.Deployment.OncePath, AtMostOnce: true,
			Workspace: r.doc.Workspaces[0].Name, Region: region, Rate: rate / float64(len(r.Regions())),
		})
	}
	return r.startCallers(ctx, all)
}

func (r *Run) startCallers(ctx context.Context, all []*Caller) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, c := range all {
		c.Fleet, c.Samples, c.Timeout = r.Fleet, &r.Samples, requestTimeout
		c.Random = rand.New(rand.NewPCG(r.Random.Uint64(), 1))
		wg.Go(func() { c.Run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// EditDocument applies edit to the newest document and waits until the entry hosts
// accept it. It returns an error if they do not.
func (r *Run) EditDocument(ctx context.Context, edit func(doc *config.Document)) error {
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
		return errs.New("the change was not accepted: %v", applied)
	}
	return err
}

// SamplesSince returns the requests sent at t or later.
func (r *Run) SamplesSince(t time.Time) []Sample {
	return r.Samples.Filter(func(s *Sample) bool { return !s.Sent.Before(t) })
}

// Failed returns the requests whose status is not 200.
func Failed(all []Sample) []Sample {
	var out []Sample
	for _, s := range all {
		if s.Status != http.StatusOK {
			out = append(out, s)
		}
	}
	return out
}

// LastSent returns the time from t until the last request was sent, or zero if none
// was sent after t.
func LastSent(all []Sample, t time.Time) time.Duration {
	var last time.Duration
	for _, s := range all {
		last = max(last, s.Sent.Sub(t))
	}
	return last
}

// CountByCode counts refused requests by their code, and as "cut" those without a
// complete response.
func CountByCode(all []Sample) map[string]int {
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

// AddedLatency returns percentiles of the latency minus the time at the target, of the
// requests that ran.
func (r *Run) AddedLatency(all []Sample) (p50, p99 time.Duration) {
	return addedLatency(&r.Executions, all)
}

// Stop ends the fleet.
func (r *Run) Stop() { r.Fleet.Stop() }

// TargetIP returns the IP address of a target, or an empty string for an unknown one.
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

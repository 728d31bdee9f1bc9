// Package meter counts finished and refused requests. It keeps latency histograms
// for each workspace and service, and request counts by workspace, service, region
// and outcome for the report.
//
// A caller configures a Meter, passes each request to Record, and reads the result
// with Report or WriteJSON.
package meter

import (
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
	"gypsumbeam.example/gypsumbeam/pkg/sampler"
	"gypsumbeam.example/gypsumbeam/service/callers"
)

// Names used where no configured name applies. Configured names cannot contain
// parentheses.
const (
	// None is the name for a missing workspace or serving region.
	None = "(none)"
	// Other is the name for all workspaces, services and regions that are not
	// configured.
	Other = "(other)"
)

// The limits of what a Meter keeps, since names come and go with configurations.
// Requests beyond them count under Other.
const (
	maxNames = 1024
	maxRows  = 65536
)

// Meter counts requests. It must be created with New. Its methods may be called
// concurrently.
type Meter struct {
	since    time.Time
	registry metrics.Registry
	snapshot atomic.Pointer[config.Snapshot]

	workspaces growingMap[ids.Workspace, *samplers]
	services   growingMap[ids.Service, *samplers]
	codes      growingMap[refusal.Code, metrics.Counter]
	rows       growingMap[rowKey, *atomic.Int64]
}

var _ callers.Meter = (*Meter)(nil)

// rowKey identifies one row of the report.
type rowKey struct {
	workspace ids.Workspace
	service   ids.Service
	region    ids.Region
	outcome   refusal.Outcome
	code      refusal.Code
}

// samplers holds the latency samples of one workspace or service.
type samplers struct {
	latency       *sampler.Sampler
	targetLatency *sampler.Sampler
	waited        *sampler.Sampler
}

// New returns a Meter that has no names: all requests count under Other until
// Configure is called.
func New() *Meter {
	return &Meter{since: time.Now(), registry: metrics.NewRegistry()}
}

// Configure sets the configuration whose names are counted. It may be called again
// for each new configuration.
func (m *Meter) Configure(s *config.Snapshot) { m.snapshot.Store(s) }

// Registry returns the metrics registry, in which other packages may register
// gauges and counters.
func (m *Meter) Registry() metrics.Registry { return m.registry }

// Record counts one finished or refused request. Latencies are recorded only for
// answered requests.
func (m *Meter) Record(r callers.Record) {
	key := m.rowKeyOf(r)
	m.rowCounter(key).Add(1)
	if r.Code != "" {
		m.refusalCounter(r.Code).Inc(1)
		return
	}
	m.workspaceSamplers(key.workspace).update(r)
	m.serviceSamplers(key.service).update(r)
}

// rowKeyOf returns the row of a record, where an empty workspace or region is
// None, and names that are not configured are Other.
func (m *Meter) rowKeyOf(r callers.Record) rowKey {
	key := rowKey{workspace: Other, service: Other, region: Other, outcome: r.Outcome, code: r.Code}
	if r.Workspace == "" {
		key.workspace = None
	}
	if r.Region == "" {
		key.region = None
	}
	s := m.snapshot.Load()
	if s == nil {
		return key
	}
	if _, ok := s.Workspace(r.Workspace); ok {
		key.workspace = r.Workspace
	}
	if _, ok := s.Service(r.Service); ok {
		key.service = r.Service
	}
	if _, ok := s.Region(r.Region); ok {
		key.region = r.Region
	}
	return key
}

func (m *Meter) rowCounter(key rowKey) *atomic.Int64 {
	n, ok := m.rows.get(key, maxRows, newRowCounter)
	if ok {
		return n
	}
	key = rowKey{workspace: Other, service: Other, region: Other, outcome: key.outcome, code: key.code}
	n, _ = m.rows.get(key, maxRows+maxNames, newRowCounter)
	return n
}

func newRowCounter() *atomic.Int64 { return new(atomic.Int64) }

// refusalCounter returns the counter of a refusal code. The codes are few and
// constant, so the limit is never reached.
func (m *Meter) refusalCounter(c refusal.Code) metrics.Counter {
	n, _ := m.codes.get(c, maxRows, func() metrics.Counter {
		return metrics.GetOrRegisterCounter("refusals."+string(c), m.registry)
	})
	return n
}

func (m *Meter) workspaceSamplers(name ids.Workspace) *samplers {
	s, ok := m.workspaces.get(name, maxNames, func() *samplers { return m.newSamplers("workspaces." + string(name)) })
	if !ok {
		s, _ = m.workspaces.get(Other, maxNames+1, func() *samplers { return m.newSamplers("workspaces." + Other) })
	}
	return s
}

func (m *Meter) serviceSamplers(name ids.Service) *samplers {
	s, ok := m.services.get(name, maxNames, func() *samplers { return m.newSamplers("services." + string(name)) })
	if !ok {
		s, _ = m.services.get(Other, maxNames+1, func() *samplers { return m.newSamplers("services." + Other) })
	}
	return s
}

func (m *Meter) newSamplers(name string) *samplers {
	s := &samplers{latency: &sampler.Sampler{}, targetLatency: &sampler.Sampler{}, waited: &sampler.Sampler{}}
	metrics.NewRegisteredHistogram(name+".latencyUs", m.registry, s.latency)
	metrics.NewRegisteredHistogram(name+".atTargetUs", m.registry, s.targetLatency)
	metrics.NewRegisteredHistogram(name+".waitedUs", m.registry, s.waited)
	return s
}

func (s *samplers) update(r callers.Record) {
	s.latency.Update(r.Elapsed.Microseconds())
	s.targetLatency.Update(r.TargetLatency.Microseconds())
	s.waited.Update(r.Waited.Microseconds())
}

// WriteJSON writes all metrics to w as a JSON object keyed by metric name. Times
// are in microseconds.
func (m *Meter) WriteJSON(w io.Writer) error {
	all := make(map[string]any)
	m.registry.Each(func(name string, metric any) { all[name] = metricValue(metric) })
	if err := json.NewEncoder(w).Encode(all); err != nil {
		return errs.New("write metrics as JSON: %v", err)
	}
	return nil
}

// histogram is the JSON form of a histogram.
type histogram struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   int64   `json:"max"`
}

// number is the JSON form of a counter or gauge.
type number[T int64 | float64] struct {
	Value T `json:"value"`
}

func metricValue(metric any) any {
	switch v := metric.(type) {
	case metrics.Histogram:
		p := v.Percentiles([]float64{0.5, 0.9, 0.99, 0.999})
		return histogram{Count: v.Count(), Mean: v.Mean(), P50: p[0], P90: p[1], P99: p[2], P999: p[3], Max: v.Max()}
	case metrics.Counter:
		return number[int64]{Value: v.Count()}
	case metrics.Gauge:
		return number[int64]{Value: v.Value()}
	case metrics.GaugeFloat64:
		return number[float64]{Value: v.Value()}
	default:
		return nil
	}
}

// Package meter counts what became of requests: histograms for each workspace
// and service, and the report of whose traffic went where.
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

// Names that stand where there is no name of the configuration. No
// configured name can hold a parenthesis.
const (
	// None stands for a request without workspace or serving region.
	None = "(none)"
	// Other stands for all names that the configuration does not know.
	Other = "(other)"
)

// The bounds of what one Meter keeps, since names come and go with the
// configuration. What does not fit counts under Other.
const (
	maxNames = 1024
	maxRows  = 65536
)

// Meter counts requests. Use New to make one; its methods may be called from
// several goroutines.
type Meter struct {
	since    time.Time
	registry metrics.Registry
	known    atomic.Pointer[config.Snapshot]

	workspaces table[ids.Workspace, *series]
	services   table[ids.Service, *series]
	codes      table[refusal.Code, metrics.Counter]
	rows       table[rowKey, *atomic.Int64]
}

var _ callers.Meter = (*Meter)(nil)

// rowKey names one row of the report.
type rowKey struct {
	workspace ids.Workspace
	service   ids.Service
	region    ids.Region
	outcome   refusal.Outcome
	code      refusal.Code
}

// series is what is measured of one workspace or service.
type series struct {
	latency  *sampler.Sampler
	atTarget *sampler.Sampler
	waited   *sampler.Sampler
}

// New returns a Meter that knows no name yet: until Configure has been called
// all requests count under Other.
func New() *Meter {
	return &Meter{since: time.Now(), registry: metrics.NewRegistry()}
}

// Configure takes the names of a configuration. It may be called many times.
func (m *Meter) Configure(s *config.Snapshot) { m.known.Store(s) }

// Registry returns the registry, for other parts' gauges and counters.
func (m *Meter) Registry() metrics.Registry { return m.registry }

// Record counts one finished or refused request. Times are taken of requests
// that were answered.
func (m *Meter) Record(r callers.Record) {
	key := m.fold(r)
	m.row(key).Add(1)
	if r.Code != "" {
		m.code(r.Code).Inc(1)
		return
	}
	m.workspace(key.workspace).update(r)
	m.service(key.service).update(r)
}

// fold returns the row of a record, with names that are bounded in number.
func (m *Meter) fold(r callers.Record) rowKey {
	key := rowKey{workspace: Other, service: Other, region: Other, outcome: r.Outcome, code: r.Code}
	if r.Workspace == "" {
		key.workspace = None
	}
	if r.Region == "" {
		key.region = None
	}
	s := m.known.Load()
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

func (m *Meter) row(key rowKey) *atomic.Int64 {
	n, ok := m.rows.get(key, maxRows, newRow)
	if ok {
		return n
	}
	key = rowKey{workspace: Other, service: Other, region: Other, outcome: key.outcome, code: key.code}
	n, _ = m.rows.get(key, maxRows+maxNames, newRow)
	return n
}

func newRow() *atomic.Int64 { return new(atomic.Int64) }

// code returns the counter of a code; the codes are few and constant.
func (m *Meter) code(c refusal.Code) metrics.Counter {
	n, _ := m.codes.get(c, maxRows, func() metrics.Counter {
		return metrics.GetOrRegisterCounter("refusals."+string(c), m.registry)
	})
	return n
}

func (m *Meter) workspace(name ids.Workspace) *series {
	s, ok := m.workspaces.get(name, maxNames, func() *series { return m.newSeries("workspaces." + string(name)) })
	if !ok {
		s, _ = m.workspaces.get(Other, maxNames+1, func() *series { return m.newSeries("workspaces." + Other) })
	}
	return s
}

func (m *Meter) service(name ids.Service) *series {
	s, ok := m.services.get(name, maxNames, func() *series { return m.newSeries("services." + string(name)) })
	if !ok {
		s, _ = m.services.get(Other, maxNames+1, func() *series { return m.newSeries("services." + Other) })
	}
	return s
}

func (m *Meter) newSeries(name string) *series {
	s := &series{latency: &sampler.Sampler{}, atTarget: &sampler.Sampler{}, waited: &sampler.Sampler{}}
	metrics.NewRegisteredHistogram(name+".latencyUs", m.registry, s.latency)
	metrics.NewRegisteredHistogram(name+".atTargetUs", m.registry, s.atTarget)
	metrics.NewRegisteredHistogram(name+".waitedUs", m.registry, s.waited)
	return s
}

func (s *series) update(r callers.Record) {
	s.latency.Update(r.Elapsed.Microseconds())
	s.atTarget.Update(r.TargetLatency.Microseconds())
	s.waited.Update(r.Waited.Microseconds())
}

// JSON writes all metrics as one JSON object by name. Times are in microseconds.
func (m *Meter) WriteJSON(w io.Writer) error {
	all := make(map[string]any)
	m.registry.Each(func(name string, metric any) { all[name] = describe(metric) })
	if err := json.NewEncoder(w).Encode(all); err != nil {
		return errs.New("write the metrics: %v", err)
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

func describe(metric any) any {
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

// Package slopes measures how the resources that entry hosts use grow with the size
// of a fleet. It runs fleets of different sizes in this process, over loopback
// addresses, and fits a straight line to each measured value.
//
// Run measures the series that a Config selects, prints a table of each and returns
// a Result. Args.Run does the same for the command line and can write JSON.
package slopes

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/zeebo/errs"
)

// Args are the arguments of the subcommand slopes.
type Args struct {
	// JSON is the name of a file for the result as JSON. Empty means none; "-" means
	// the writer of the tables, in their place.
	JSON string        `arg:"-"`
	Idle time.Duration `arg:"--idle" default:"3s" help:"how long each fleet is watched at rest"`
	Only []string      `arg:"--only,separate" placeholder:"SERIES" help:"measure only this series: hosts, workspaces, services, upstreams, lookups, steering, documents, blocks"`
}

// standardOutput is the file name that stands for the writer passed to Args.Run.
const standardOutput = "-"

// Run measures, prints the tables to w and writes the JSON if a.JSON names a file.
// If a.JSON is "-", it writes only the JSON to w.
func (a *Args) Run(ctx context.Context, w io.Writer) error {
	tables := w
	if a.JSON == standardOutput {
		tables = io.Discard
	}
	result, err := Run(ctx, Config{Idle: a.Idle, Only: a.Only}, tables)
	if err != nil || a.JSON == "" {
		return err
	}
	text, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return errs.New("slopes: encode the result: %v", err)
	}
	text = append(text, '\n')
	if a.JSON == standardOutput {
		_, err = w.Write(text)
	} else {
		err = os.WriteFile(a.JSON, text, 0o600)
	}
	if err != nil {
		return errs.New("slopes: write the result: %v", err)
	}
	return nil
}

// Config selects what to measure. The zero value measures all series.
type Config struct {
	// Idle is how long each fleet is measured without callers; 0 means defaultIdle.
	Idle time.Duration
	// Only lists the names of the series to measure; empty means all.
	Only []string

	// baseHeap is the live heap before the first fleet, in bytes.
	baseHeap uint64
}

// defaultIdle is longer than the renewal interval of each lease.
const defaultIdle = 3 * time.Second

// Result holds the measured series.
type Result struct {
	Series []Series `json:"series"`
}

// Series is the measurements for different values of one varied quantity x.
type Series struct {
	// Name identifies the series in Config.Only, and Varied describes x.
	Name   string  `json:"name"`
	Varied string  `json:"varied"`
	Points []Point `json:"points"`
	// Fits holds the line of each metric.
	Fits []Metric `json:"fits"`
}

// Point holds the values measured at one x, by the name of the metric.
type Point struct {
	X      float64            `json:"x"`
	Values map[string]float64 `json:"values"`
}

// Metric is the name of a metric with its fitted line.
type Metric struct {
	Name string `json:"name"`
	Fit
}

// Run measures each selected series and prints its table to w as soon as it is
// complete. It returns an error if a measurement fails or if no series is selected;
// the Result then holds the complete ones.
func Run(ctx context.Context, cfg Config, w io.Writer) (Result, error) {
	if cfg.Idle == 0 {
		cfg.Idle = defaultIdle
	}
	cfg.baseHeap = heapInUse()
	var result Result
	for _, s := range seriesPlans() {
		if !cfg.includes(s.name) {
			continue
		}
		series := Series{Name: s.name, Varied: s.varied}
		for _, x := range s.xs {
			values, err := s.measure(ctx, cfg, x)
			if err != nil {
				return result, errs.New("slopes: %s at %d: %v", s.name, x, err)
			}
			series.Points = append(series.Points, Point{X: float64(x), Values: values})
		}
		series.addFits(s.metrics)
		result.Series = append(result.Series, series)
		if err := series.writeTable(w); err != nil {
			return result, err
		}
	}
	if len(result.Series) == 0 {
		return result, errs.New("slopes: none of the series %v exists", cfg.Only)
	}
	return result, nil
}

func (c *Config) includes(name string) bool {
	for _, o := range c.Only {
		if o == name {
			return true
		}
	}
	return len(c.Only) == 0
}

// seriesPlan describes how one series is measured. measure returns the value of each
// metric for one x.
type seriesPlan struct {
	name    string
	varied  string
	xs      []int
	metrics []string
	measure func(ctx context.Context, cfg Config, x int) (map[string]float64, error)
}

func seriesPlans() []seriesPlan {
	return []seriesPlan{
		{"hosts", "entry hosts", []int{3, 6, 11, 24}, fleetMetrics(), measureFleet(func(s *fleetSize, x int) { s.hosts = x })},
		{"workspaces", "workspaces", []int{10, 60, 200}, fleetMetrics(), measureFleet(func(s *fleetSize, x int) { s.workspaces = x })},
		{"services", "services", []int{3, 12, 30}, fleetMetrics(), measureFleet(func(s *fleetSize, x int) { s.services, s.upstreams = x, 90 })},
		{"upstreams", "upstreams", []int{12, 36, 96}, fleetMetrics(), measureFleet(func(s *fleetSize, x int) { s.upstreams = x })},
		{"lookups", "look-ups a second", []int{500, 2000, 6000}, lookupMetrics(), measureLookups},
		{"steering", "known hosts", []int{3, 24, 147, 2200}, steeringMetrics(), measureSteering},
		{"documents", "client blocks in the document in force", []int{1000, 10_000, 40_000}, longDocumentMetrics(), measureLongDocument},
		{"blocks", "client blocks", []int{1000, 30_000, 120_000, 240_000}, blockMetrics(), measureBlocks},
	}
}

// addFits fits the line of each metric.
func (s *Series) addFits(metrics []string) {
	for _, m := range metrics {
		var xs, ys []float64
		for _, p := range s.Points {
			xs = append(xs, p.X)
			ys = append(ys, p.Values[m])
		}
		s.Fits = append(s.Fits, Metric{Name: m, Fit: NewFit(xs, ys)})
	}
}

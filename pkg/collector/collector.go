// Package collector collects counters, gauges and latency histograms, and serves
// them over HTTP as text: one line per metric with its name and value. Latencies
// are in milliseconds.
//
// The zero Collector is ready for use. Callers name a metric by parts, which are
// joined by dots.
package collector

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"gypsumbeam.example/gypsumbeam/pkg/sampler"
)

const (
	// maxMetrics bounds the number of metrics, since names of routes and workspaces
	// come and go with the configuration. Further ones are counted under the first
	// part of their name and overflowName.
	maxMetrics   = 4096
	overflowName = "other"
)

// Collector holds counters, gauges and histograms. The zero value is empty. It is
// safe for concurrent use.
type Collector struct {
	mu          sync.Mutex
	registry    metrics.Registry
	metricCount int
}

// Count adds 1 to the counter named by parts.
func (c *Collector) Count(parts ...string) {
	if counter, ok := c.metric(strings.Join(parts, "."), newCounter).(metrics.Counter); ok {
		counter.Inc(1)
	}
}

// Observe adds a duration to the histogram named by parts.
func (c *Collector) Observe(d time.Duration, parts ...string) {
	if h, ok := c.metric(strings.Join(parts, "."), newHistogram).(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// Gauge registers a gauge that calls value at each scrape. It does nothing if the
// name is already registered.
func (c *Collector) Gauge(name string, value func() int64) {
	c.metric(name, func() any { return metrics.NewFunctionalGauge(value) })
}

func newCounter() any { return metrics.NewCounter() }

func newHistogram() any { return metrics.NewHistogram(&sampler.Sampler{}) }

// metric returns the metric with a name, creating it if there is none.
func (c *Collector) metric(name string, create func() any) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry == nil {
		c.registry = metrics.NewRegistry()
	}
	if m := c.registry.Get(name); m != nil {
		return m
	}
	if c.metricCount >= maxMetrics {
		kind, _, _ := strings.Cut(name, ".")
		name = kind + "." + overflowName
	} else {
		c.metricCount++
	}
	return c.registry.GetOrRegister(name, create())
}

// ServeHTTP implements http.Handler: it serves all metrics as text.
func (c *Collector) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	c.write(w)
}

// write writes all metrics sorted by name.
func (c *Collector) write(w io.Writer) {
	c.mu.Lock()
	registry := c.registry
	c.mu.Unlock()
	if registry == nil {
		return
	}
	var lines []string
	registry.Each(func(name string, m any) { lines = append(lines, render(name, m)...) })
	slices.Sort(lines)
	// An error means that the client is gone; nothing is left to do.
	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n")
}

// render returns the lines of one metric.
func render(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Histogram:
		ps := m.Percentiles([]float64{0.5, 0.9, 0.99})
		lines := []string{fmt.Sprintf("%s.count %d", name, m.Count())}
		for i, p := range []string{"p50", "p90", "p99"} {
			lines = append(lines, fmt.Sprintf("%s.%s %.1f", name, p, ps[i]/1000))
		}
		return append(lines, fmt.Sprintf("%s.max %.1f", name, float64(m.Max())/1000))
	default:
		return nil
	}
}

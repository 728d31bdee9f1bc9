// Package tallier counts what became of requests and serves the counts as text:
// one line for each metric, a name and a value. Times are in milliseconds.
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
	// maxNames bounds the metrics that are kept: names of routes and workspaces
	// come and go with the configuration. What does not fit counts as other.
	maxNames = 4096
	other    = "other"
)

// Tallier holds counters and histograms. The zero value is empty, and its
// methods may be called from several goroutines.
type Collector struct {
	mu       sync.Mutex
	registry metrics.Registry
	names    int
}

// Count adds 1 to a counter, by the parts of its name.
func (t *Collector) Count(parts ...string) {
	if c, ok := t.get(strings.Join(parts, "."), newCounter).(metrics.Counter); ok {
		c.Inc(1)
	}
}

// Time adds a time to a histogram, by the parts of its name.
func (t *Collector) Observe(d time.Duration, parts ...string) {
	if h, ok := t.get(strings.Join(parts, "."), newHistogram).(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// Gauge serves what value returns under a name.
func (t *Collector) Gauge(name string, value func() int64) {
	t.get(name, func() any { return metrics.NewFunctionalGauge(value) })
}

func newCounter() any { return metrics.NewCounter() }

func newHistogram() any { return metrics.NewHistogram(&sampler.Sampler{}) }

// get returns the metric of a name, made by create if there is none.
func (t *Collector) get(name string, create func() any) any {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.registry == nil {
		t.registry = metrics.NewRegistry()
	}
	if m := t.registry.Get(name); m != nil {
		return m
	}
	if t.names >= maxNames {
		kind, _, _ := strings.Cut(name, ".")
		name = kind + "." + other
	} else {
		t.names++
	}
	return t.registry.GetOrRegister(name, create())
}

// ServeHTTP implements http.Handler.
func (t *Collector) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	t.write(w)
}

// write writes all metrics, sorted by name.
func (t *Collector) write(w io.Writer) {
	t.mu.Lock()
	registry := t.registry
	t.mu.Unlock()
	if registry == nil {
		return
	}
	var lines []string
	registry.Each(func(name string, m any) { lines = append(lines, render(name, m)...) })
	slices.Sort(lines)
	// A reader that is gone needs no further lines.
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

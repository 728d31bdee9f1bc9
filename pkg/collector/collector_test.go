package collector_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/collector"
)

func scrape(c *collector.Collector) string {
	w := httptest.NewRecorder()
	c.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

func TestMetricsAsText(t *testing.T) {
	is := is.New(t)
	var metrics collector.Collector
	is.Equal(scrape(&metrics), "")
	metrics.Count("requests", "status", "200")
	metrics.Count("requests", "status", "200")
	metrics.Gauge("store.calls", func() int64 { return 7 })
	for range 100 {
		metrics.Observe(20*time.Millisecond, "latency", "route", "x")
	}
	got := scrape(&metrics)
	is.True(strings.Contains(got, "requests.status.200 2\n"))
	is.True(strings.Contains(got, "store.calls 7\n"))
	is.True(strings.Contains(got, "latency.route.x.count 100\n"))
	is.True(strings.Contains(got, "latency.route.x.p99 2")) // about 20 ms
}

// TestMetricCountIsBounded checks that metrics named after workspaces do not
// exhaust the memory as workspaces come and go.
func TestMetricCountIsBounded(t *testing.T) {
	is := is.New(t)
	var metrics collector.Collector
	for i := range 10000 {
		metrics.Count("requests", "workspace", fmt.Sprint(i))
	}
	got := scrape(&metrics)
	is.True(strings.Count(got, "\n") < 5000)
	is.True(strings.Contains(got, "requests.other "))
}

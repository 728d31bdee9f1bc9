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

func text(t *collector.Collector) string {
	w := httptest.NewRecorder()
	t.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

func TestMetricsAsText(t *testing.T) {
	is := is.New(t)
	var tally collector.Collector
	is.Equal(text(&tally), "")
	tally.Count("requests", "status", "200")
	tally.Count("requests", "status", "200")
	tally.Gauge("store.calls", func() int64 { return 7 })
	for range 100 {
		tally.Observe(20*time.Millisecond, "latency", "route", "x")
	}
	got := text(&tally)
	is.True(strings.Contains(got, "requests.status.200 2\n"))
	is.True(strings.Contains(got, "store.calls 7\n"))
	is.True(strings.Contains(got, "latency.route.x.count 100\n"))
	is.True(strings.Contains(got, "latency.route.x.p99 2")) // about 20 ms
}

// Names that come and go with the configuration do not grow without a bound.
func TestNamesAreBounded(t *testing.T) {
	is := is.New(t)
	var tally collector.Collector
	for i := range 10000 {
		tally.Count("requests", "workspace", fmt.Sprint(i))
	}
	got := text(&tally)
	is.True(strings.Count(got, "\n") < 5000)
	is.True(strings.Contains(got, "requests.other "))
}

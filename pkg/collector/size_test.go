package collector_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/collector"
)

// TestResponseSizeIsBounded checks the size of the response with the metrics of 77
// workspaces in three regions.
func TestResponseSizeIsBounded(t *testing.T) {
	const maxBytes = 512 << 10
	var metrics collector.Collector
	for w := range 77 {
		workspace := fmt.Sprintf("workspace-%02d", w)
		for _, region := range []string{"sask", "alta", "mani"} {
			for _, status := range []string{"200", "429", "502", "503", "504"} {
				metrics.Count("requests", "workspace", workspace, "region", region, "status", status)
			}
		}
		for _, reason := range []string{"overRate", "busy", "unconfirmed"} {
			metrics.Count("refused", reason, "workspace", workspace)
		}
		for n := range 200 {
			metrics.Observe(time.Duration(n)*time.Millisecond, "latency", "workspace", workspace)
		}
	}
	rec := httptest.NewRecorder()
	started := time.Now()
	metrics.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	t.Logf("%d bytes in %v", rec.Body.Len(), time.Since(started))
	if rec.Body.Len() > maxBytes {
		t.Errorf("response too large: %d bytes", rec.Body.Len())
	}
}

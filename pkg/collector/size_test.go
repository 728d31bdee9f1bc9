package collector_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/collector"
)

// Serving the metrics of 77 workspaces in three regions costs a bounded answer.
func TestAnswerOfManyWorkspaces(t *testing.T) {
	const maxBytes = 512 << 10
	var tally collector.Collector
	for w := range 77 {
		workspace := fmt.Sprintf("workspace-%02d", w)
		for _, region := range []string{"sask", "alta", "mani"} {
			for _, status := range []string{"200", "429", "502", "503", "504"} {
				tally.Count("requests", "workspace", workspace, "region", region, "status", status)
			}
		}
		for _, reason := range []string{"overRate", "busy", "unconfirmed"} {
			tally.Count("refused", reason, "workspace", workspace)
		}
		for n := range 200 {
			tally.Observe(time.Duration(n)*time.Millisecond, "latency", "workspace", workspace)
		}
	}
	rec := httptest.NewRecorder()
	begun := time.Now()
	tally.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	t.Logf("%d bytes in %v", rec.Body.Len(), time.Since(begun))
	if rec.Body.Len() > maxBytes {
		t.Errorf("%d bytes", rec.Body.Len())
	}
}

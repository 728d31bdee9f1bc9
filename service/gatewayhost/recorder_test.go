package gatewayhost

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/collector"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// Guards against hedges that operators cannot see, or that look like retries after failures.
func TestHedgesAreCountedAndLogged(t *testing.T) {
	is := is.New(t)
	lines := memory.New()
	var metrics collector.Collector
	r := newRecorder(&metrics)
	r.log = &log.Logger{Handler: lines}
	attempts := []gateway.Attempt{{Target: "one", Result: "overtaken"}, {Target: "two", Hedge: true, Result: "answered"}}
	r.Record(&gateway.Record{Service: "a", Status: http.StatusOK, Attempts: attempts, Hedge: gateway.HedgeWon})
	r.Record(&gateway.Record{Service: "a", Status: http.StatusOK, Attempts: attempts[:1], Hedge: gateway.HedgeDenied, HedgeReason: "room"})
	text, ok := lines.Entries[0].Fields["attempts"].(string)
	is.True(ok)
	is.True(strings.HasSuffix(text, ",took=0,hedge=true,answered"))
	is.Equal(strings.Count(text, "hedge"), 1)
	rec := httptest.NewRecorder()
	metrics.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(rec.Body.String(), "hedges.a.won 1\n"))
	is.True(strings.Contains(rec.Body.String(), "hedges.a.denied.room 1\n"))
	is.True(!strings.Contains(rec.Body.String(), "retries"))
}

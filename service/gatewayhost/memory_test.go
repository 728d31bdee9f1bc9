package gatewayhost_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/pkg/confirmer"
	"gypsumbeam.example/gypsumbeam/pkg/router"
	"gypsumbeam.example/gypsumbeam/service/gatewayhost"
)

// The limit of the settings must reach the handler, and the metrics must count rejections.
func TestRejectionForLackOfMemory(t *testing.T) {
	is := is.New(t)
	confirmed := &confirmer.Confirmer{}
	confirmed.Confirm(confirmed.Now())
	h := gatewayhost.New(gatewayhost.Config{
		HeaderCodec: codec{}, Confirmer: confirmed, State: storeState{}, BufferBytes: 4 << 10,
		Bounds: gatewayhost.Bounds{RevocationTime: time.Hour},
	})
	h.SetDocument(router.Document{
		Version: 1, Services: []router.Service{{Name: "s"}},
		Routes: []*router.Route{{Name: "r", Host: "h", Prefix: "/", MaxAttempts: 1, Open: true, Shares: []router.Share{{Service: "s", Weight: 1}}}},
	})
	for length, reason := range map[int]string{4 << 10: "noTarget\n", 5 << 10: "noMemory\n"} {
		r := httptest.NewRequest(http.MethodPost, "http://h/", strings.NewReader(strings.Repeat("x", length)))
		r.RequestURI = "/"
		rec := httptest.NewRecorder()
		// What the server for other hosts calls, which leaves out the server for callers.
		r.Header.Set("Gypsum-Relay", "1")
		h.RelayedHandler().ServeHTTP(rec, r)
		is.Equal(rec.Code, http.StatusServiceUnavailable)
		is.Equal(rec.Body.String(), reason)
	}
	rec := httptest.NewRecorder()
	h.Metrics().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.True(strings.Contains(rec.Body.String(), "refused.noMemory.workspace.none 1\n"))
	is.True(strings.Contains(rec.Body.String(), "memory.reservedBytes 0\n"))
}

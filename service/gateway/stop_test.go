package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// slowWriter is a http.ResponseWriter whose Flush takes a time, as the reader is slow.
type slowWriter struct {
	*httptest.ResponseRecorder
	time time.Duration
}

func (w slowWriter) Flush() { time.Sleep(w.time) }

// Guards against a host that stops before the response to another host's request is written.
func TestDrainRelayedWaitsForResponses(t *testing.T) {
	withHandler(t, []reply{respond(http.StatusOK, "x")}, func(_ *environment, h *gateway.Handler) {
		is := is.New(t)
		r := httptest.NewRequest(http.MethodGet, "/read/1", http.NoBody)
		r.Host, r.Header = "h", http.Header{"Id": {"id-1"}, "Key": {"k"}}
		r.Header.Set(gateway.HeaderRelay, "1")
		w := slowWriter{httptest.NewRecorder(), time.Second}
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.RelayedHandler().ServeHTTP(w, r)
		}()
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		is.True(h.DrainRelayed(ctx) != nil)
		is.NoErr(h.DrainRelayed(context.Background()))
		is.Equal(w.Body.String(), "x")
		<-done
	})
}

// Guards against a host that, at the end of its time to stop, leaves callers without an answer, or
// takes them for gone. An answer must not say that a request did not run that was sent.
func TestCancelledRequestIsAnswered(t *testing.T) {
	withHandler(t, []reply{hang()}, func(env *environment, h *gateway.Handler) {
		is := is.New(t)
		r := httptest.NewRequest(http.MethodGet, "/read/1", http.NoBody)
		r.Host, r.Header = "h", http.Header{"Id": {"id-1"}, "Key": {"k"}}
		ctx, cancel := context.WithCancelCause(context.Background())
		time.AfterFunc(100*time.Millisecond, func() { cancel(errors.New("the server is shutting down")) })
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r.WithContext(ctx))
		is.Equal(rec.Code, http.StatusBadGateway)
		is.Equal(env.records[0].Reason, "leaving")
		is.True(!env.records[0].CallerGone)
	})
}

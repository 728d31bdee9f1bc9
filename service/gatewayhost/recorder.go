package gatewayhost

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/collector"
	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// The most lines a second for requests that were served and that failed. What
// is left out is counted.
const (
	servedLines = 5
	failedLines = 50
)

// nobody stands for requests without a workspace, route or region.
const nobody = "none"

// recorder writes a line for each failed request and for a sample of the
// others, and counts all.
type recorder struct {
	log   log.Interface
	tally *collector.Collector

	mu     sync.Mutex
	second int64
	served int
	failed int
}

func newRecorder(tally *collector.Collector) *recorder {
	return &recorder{log: logflags.Logger(logflags.Callers), tally: tally}
}

// Record implements gateway.Recorder.
func (r *recorder) Record(rec *gateway.Record) {
	r.count(rec)
	failed := rec.Reason != "" || rec.Status >= http.StatusInternalServerError || rec.CallerGone
	if !r.take(failed) {
		r.tally.Count("log", "requestsLeftOut")
		return
	}
	r.log.WithFields(log.Fields{
		"id": rec.ID, "route": rec.Route, "service": string(rec.Service), "workspace": string(rec.Workspace),
		"object": rec.Object, "status": rec.Status, "reason": rec.Reason, "version": rec.ConfigVersion,
		"confirmedAgoMs": rec.ConfirmationAge.Milliseconds(), "leftMs": rec.Timeout.Milliseconds(),
		"retryAfterMs": rec.RetryAfter.Milliseconds(), "ms": rec.Elapsed.Milliseconds(),
		"attempts": attempts(rec), "callerGone": rec.CallerGone,
	}).Info("request")
}

// count adds the request to the metrics: whose it was, where it ran and what
// became of it.
func (r *recorder) count(rec *gateway.Record) {
	workspace, route, region := orNobody(string(rec.Workspace)), orNobody(rec.Route), nobody
	if n := len(rec.Attempts); n > 0 {
		region = string(rec.Attempts[n-1].Region)
		r.tally.Observe(rec.Attempts[n-1].Elapsed, "attempt", "service", orNobody(string(rec.Service)))
	}
	r.tally.Count("requests", "status", strconv.Itoa(rec.Status))
	r.tally.Count("requests", "workspace", workspace, "region", region, "status", strconv.Itoa(rec.Status))
	if rec.Reason != "" {
		r.tally.Count("refused", rec.Reason, "workspace", workspace)
	}
	if len(rec.Attempts) > 1 {
		r.tally.Count("retries", orNobody(string(rec.Service)))
	}
	r.tally.Observe(rec.Elapsed, "latency", "route", route)
	r.tally.Observe(rec.Elapsed, "latency", "workspace", workspace)
}

func orNobody(name string) string {
	if name == "" {
		return nobody
	}
	return name
}

// attempts renders the sends of a request, in their order.
func attempts(rec *gateway.Record) string {
	var b strings.Builder
	for i, a := range rec.Attempts {
		if i > 0 {
			b.WriteByte(';')
		}
		fmt.Fprintf(&b, "%s,%s,warm=%t,backlog=%.0f,expected=%d,took=%d,%s", a.Target, a.Zone, a.Warm,
			a.Backlog, a.Expected.Milliseconds(), a.Elapsed.Milliseconds(), a.Result)
	}
	return b.String()
}

// take reports whether a line may be written in this second.
func (r *recorder) take(failed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := time.Now().Unix(); s != r.second {
		r.second, r.served, r.failed = s, 0, 0
	}
	if failed {
		r.failed++
		return r.failed <= failedLines
	}
	r.served++
	return r.served <= servedLines
}

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

// The maximum number of log lines per second for successful and for failed requests.
// Suppressed lines are counted in the metric log.requestsLeftOut.
const (
	maxServedLines = 5
	maxFailedLines = 50
)

// none stands for a missing workspace, service, route or region in metric names.
const none = "none"

// recorder counts every request in the metrics, and logs failed requests and a sample
// of the others.
type recorder struct {
	log     log.Interface
	metrics *collector.Collector
	limits  limitRecorder

	mu            sync.Mutex
	currentSecond int64
	served        int
	failed        int
}

func newRecorder(metrics *collector.Collector) *recorder {
	logger := logflags.Logger(logflags.Callers)
	return &recorder{log: logger, metrics: metrics, limits: limitRecorder{log: logger, metrics: metrics}}
}

// Record implements gateway.Recorder.
func (r *recorder) Record(rec *gateway.Record) {
	r.count(rec)
	r.limits.record(rec)
	failed := rec.Reason != "" || rec.Status >= http.StatusInternalServerError || rec.CallerGone
	if !r.allowLine(failed) {
		r.metrics.Count("log", "requestsLeftOut")
		return
	}
	r.log.WithFields(log.Fields{
		"id": rec.ID, "route": rec.Route, "service": string(rec.Service), "workspace": string(rec.Workspace),
		"object": rec.Object, "status": rec.Status, "reason": rec.Reason, "version": rec.ConfigVersion,
		"confirmedAgoMs": rec.ConfirmationAge.Milliseconds(), "leftMs": rec.Timeout.Milliseconds(),
		"retryAfterMs": rec.RetryAfter.Milliseconds(), "ms": rec.Elapsed.Milliseconds(),
		"attempts": formatAttempts(rec), "callerGone": rec.CallerGone,
	}).Info("request")
}

// RecordCrash implements gateway.Recorder. A crash with many requests is logged for each,
// as any of them may be the cause, within the bound on lines for failed requests.
func (r *recorder) RecordCrash(c *gateway.Crash) {
	r.metrics.Count("crashes", orNone(string(c.Service)))
	if !r.allowLine(true) {
		r.metrics.Count("log", "requestsLeftOut")
		return
	}
	r.log.WithFields(log.Fields{
		"id": c.ID, "fingerprint": c.Fingerprint.String(), "route": c.Route, "service": string(c.Service),
		"workspace": string(c.Workspace), "target": string(c.Target), "ms": c.Elapsed.Milliseconds(),
	}).Warn("target crashed under a request")
}

// count adds the request to the metrics, by workspace, route, region and status. One that
// another host served is in that host's metrics.
func (r *recorder) count(rec *gateway.Record) {
	r.countHedge(rec)
	if n := len(rec.Attempts); n > 0 && rec.Attempts[n-1].Relay != "" {
		r.metrics.Count("relayed", rec.Attempts[n-1].Result)
		return
	}
	workspace, route, region := orNone(string(rec.Workspace)), orNone(rec.Route), none
	if n := len(rec.Attempts); n > 0 {
		region = string(rec.Attempts[n-1].Region)
		r.metrics.Observe(rec.Attempts[n-1].Elapsed, "attempt", "service", orNone(string(rec.Service)))
	}
	r.metrics.Count("requests", "status", strconv.Itoa(rec.Status))
	r.metrics.Count("requests", "workspace", workspace, "region", region, "status", strconv.Itoa(rec.Status))
	if rec.Reason != "" {
		r.metrics.Count("refused", rec.Reason, "workspace", workspace)
	}
	if sequentialAttempts(rec) > 1 {
		r.metrics.Count("retries", orNone(string(rec.Service)))
	}
	r.metrics.Observe(rec.Elapsed, "latency", "route", route)
	r.metrics.Observe(rec.Elapsed, "latency", "workspace", workspace)
}

// countHedge adds what became of a second send beside the first one to the metrics.
func (r *recorder) countHedge(rec *gateway.Record) {
	switch rec.Hedge {
	case "":
	case gateway.HedgeDenied:
		r.metrics.Count("hedges", orNone(string(rec.Service)), rec.Hedge, rec.HedgeReason)
	default:
		r.metrics.Count("hedges", orNone(string(rec.Service)), rec.Hedge)
	}
}

// sequentialAttempts returns the number of attempts without the hedges.
func sequentialAttempts(rec *gateway.Record) int {
	n := 0
	for i := range rec.Attempts {
		if !rec.Attempts[i].Hedge {
			n++
		}
	}
	return n
}

func orNone(name string) string {
	if name == "" {
		return none
	}
	return name
}

// formatAttempts formats the attempts of a request for the log, in the order in which they
// ended.
func formatAttempts(rec *gateway.Record) string {
	var b strings.Builder
	for i, a := range rec.Attempts {
		if i > 0 {
			b.WriteByte(';')
		}
		if a.Relay != "" {
			fmt.Fprintf(&b, "%s,took=%d,%s", a.Relay, a.Elapsed.Milliseconds(), a.Result)
			continue
		}
		fmt.Fprintf(&b, "%s,%s,warm=%t,backlog=%.0f,expected=%d,took=%d,", a.Target, a.Zone, a.Warm,
			a.Backlog, a.Expected.Milliseconds(), a.Elapsed.Milliseconds())
		if a.Hedge {
			b.WriteString("hedge=true,")
		}
		b.WriteString(a.Result)
	}
	return b.String()
}

// allowLine reports whether another line may be logged in this second.
func (r *recorder) allowLine(failed bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := time.Now().Unix(); s != r.currentSecond {
		r.currentSecond, r.served, r.failed = s, 0, 0
	}
	if failed {
		r.failed++
		return r.failed <= maxFailedLines
	}
	r.served++
	return r.served <= maxServedLines
}

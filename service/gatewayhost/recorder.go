package gatewayhost

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"gypsumbeam.example/gypsumbeam/pkg/logflags"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// The most lines a second for requests that were served and that failed.
const (
	servedLines = 2000
	failedLines = 200
)

// recorder writes a line for each failed request and for a sample of the
// others.
type recorder struct {
	log log.Interface

	mu     sync.Mutex
	second int64
	served int
	failed int
}

func newRecorder() *recorder {
	return &recorder{log: logflags.Logger(logflags.Callers)}
}

// Record implements gateway.Recorder.
func (r *recorder) Record(rec *gateway.Record) {
	failed := rec.Reason != "" || rec.Status >= http.StatusInternalServerError || rec.CallerGone
	if !r.take(failed) {
		return
	}
	var tries strings.Builder
	for i, a := range rec.Attempts {
		if i > 0 {
			tries.WriteByte(';')
		}
		fmt.Fprintf(&tries, "%s,%s,warm=%t,expected=%d,took=%d,%s",
			a.Target, a.Zone, a.Warm, a.Expected.Milliseconds(), a.Took.Milliseconds(), a.Result)
	}
	r.log.WithFields(log.Fields{
		"id": rec.ID, "route": rec.Route, "service": string(rec.Service), "workspace": string(rec.Workspace),
		"object": rec.Object, "status": rec.Status, "reason": rec.Reason, "version": rec.Version,
		"confirmedAgoMs": rec.ConfirmedAgo.Milliseconds(), "leftMs": rec.Left.Milliseconds(),
		"retryAfterMs": rec.RetryAfter.Milliseconds(), "ms": rec.Elapsed.Milliseconds(),
		"attempts": tries.String(), "callerGone": rec.CallerGone,
	}).Info("request")
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

package gateway

import (
	"context"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
)

// fingerprint returns the request's fingerprint, and false if its body is not known yet.
func (q *request) fingerprint() (fingerprinter.Fingerprint, bool) {
	f := fingerprinter.Fingerprint{Head: q.headHash()}
	if q.r.ContentLength == 0 || q.r.Body == http.NoBody {
		return f, true
	}
	kept, ok := q.body.Kept()
	f.Body = fingerprinter.Body(kept)
	return f, ok
}

func (q *request) headHash() fingerprinter.Hash {
	workspace := ""
	if q.ws != nil {
		workspace = string(q.ws.Name)
	}
	return fingerprinter.Head(q.r, requestTarget(q.r.RequestURI), workspace, q.info.Object)
}

// checkCrash records a crash if the target of an attempt, sent at sentAt, ended the
// connection without a whole response and refuses connections now. A target that lives
// has lost only that connection.
func (q *request) checkCrash(ctx context.Context, c *balancer.Choice, res *result, sentAt time.Time) {
	if res.notRun || (res.reason != "noAnswer" && res.reason != "brokenOff") || !q.h.cfg.Sender.Refuses(ctx, c.Address) {
		return
	}
	f, ok := q.fingerprint()
	if !ok {
		return // the target cannot have begun to run it
	}
	crash := &Crash{
		ID: q.info.ID, Fingerprint: f, Route: q.route.Name, Service: q.service, Workspace: q.record.Workspace,
		Target: c.Target, Elapsed: time.Since(sentAt),
	}
	if q.h.cfg.Recorder != nil {
		q.h.cfg.Recorder.RecordCrash(crash)
	}
}

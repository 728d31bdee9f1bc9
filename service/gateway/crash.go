package gateway

import (
	"context"
	"net/http"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
)

// reasonIsolated is the reason of requests that are refused because they crash targets,
// and reasonDeferred that of requests that another host tries because they may.
const (
	reasonIsolated = "isolated"
	reasonDeferred = "deferred"
)

// errSuspected means that the request must not be sent now, as it crashes targets or may
// do so.
type errSuspected struct {
	verdict    isolator.Verdict
	retryAfter time.Duration
}

func (e *errSuspected) Error() string { return "targets have crashed under the request" }

// reason returns the reason to tell the caller.
func (e *errSuspected) reason() string {
	if e.verdict == isolator.Isolated {
		return reasonIsolated
	}
	return reasonDeferred
}

// headHash returns the hash of the request without its body.
func (q *request) headHash() fingerprinter.Hash {
	if q.head != 0 {
		return q.head
	}
	workspace := ""
	if q.ws != nil {
		workspace = string(q.ws.Name)
	}
	q.head = fingerprinter.Head(q.r, requestTarget(q.r.RequestURI), workspace, q.info.Object)
	return q.head
}

func (q *request) hasBody() bool { return q.r.ContentLength != 0 && q.r.Body != http.NoBody }

// fingerprint returns the request's fingerprint, and false if its body is not known yet.
func (q *request) fingerprint() (fingerprinter.Fingerprint, bool) {
	f := fingerprinter.Fingerprint{Head: q.headHash()}
	if !q.hasBody() {
		return f, true
	}
	kept, ok := q.body.Kept()
	f.Body = fingerprinter.Body(kept)
	return f, ok
}

// checkSuspicion returns an error if the request must not be sent, as it crashes targets
// or may do so. It reads the body first if targets crashed under a request that is the same
// but for its body.
func (q *request) checkSuspicion(ctx context.Context) *errSuspected {
	s := q.h.cfg.Isolator
	if s.Empty() || !s.Suspects(q.headHash()) {
		return nil
	}
	f, ok := q.fingerprint()
	if !ok {
		q.fillBody(ctx)
		if f, ok = q.fingerprint(); !ok {
			return nil // the body is broken or comes too slowly: nothing will run
		}
	}
	if v, wait := s.Admit(f); v != isolator.Allowed {
		return &errSuspected{v, wait}
	}
	return nil
}

// fillBody buffers the beginning of the body, until ctx ends.
func (q *request) fillBody(ctx context.Context) {
	filled := make(chan struct{})
	go func() {
		defer close(filled)
		q.body.Fill()
	}()
	select {
	case <-filled:
	case <-ctx.Done():
	}
}

// probeCrash finds out whether the target of a send crashed under the request: it ended the
// connection without a whole response, and refuses connections now. A target that lives has
// lost only that connection. It may run in a goroutine of its own.
func (q *request) probeCrash(ctx context.Context, c *balancer.Choice, res *result) {
	if res.notRun || res.reason != "noAnswer" && res.reason != "brokenOff" {
		return
	}
	crashedAt := time.Now()
	if q.h.cfg.Watchdog.Suspicious() || !q.h.cfg.Sender.Refuses(ctx, c.Address) {
		return // the link may be lost, or only that connection
	}
	res.crashedAt = crashedAt
}

// observeCrash takes in whether the target of a send, sent at sentAt, crashed under the request
// or answered it.
func (q *request) observeCrash(c *balancer.Choice, res *result, sentAt time.Time) {
	if res.reason == "answered" {
		q.recordAnswer()
		return
	}
	crashedAt := res.crashedAt
	if crashedAt.IsZero() {
		return
	}
	f, ok := q.fingerprint()
	if !ok {
		return // the target cannot have begun to run it
	}
	q.h.cfg.Isolator.RecordCrash(f, isolator.Crash{Run: c.Run(), SentAt: sentAt, CrashedAt: crashedAt})
	if q.h.cfg.Recorder != nil {
		q.h.cfg.Recorder.RecordCrash(&Crash{
			ID: q.info.ID, Fingerprint: f, Route: q.route.Name, Service: q.service, Workspace: q.record.Workspace,
			Target: c.Target, Elapsed: crashedAt.Sub(sentAt),
		})
	}
}

// recordAnswer clears the request of the suspicion that it crashes targets.
func (q *request) recordAnswer() {
	s := q.h.cfg.Isolator
	if s.Empty() || !s.Suspects(q.headHash()) {
		return
	}
	if f, ok := q.fingerprint(); ok {
		s.RecordAnswer(f)
	}
}

package demo

import (
	"strings"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// auditWorkspaces checks that each request reached targets only for the workspace of
// its key, and without a valid key only on open routes.
func auditWorkspaces(r *records) Promise {
	check := newPromiseCheck("a request runs only for the workspace whose key came with it")
	attempts := attemptsByID(r)
	withoutValidKey := 0
	for i := range r.attempts {
		if r.attempts[i].workspace == "" && !r.attempts[i].open {
			withoutValidKey++
		}
	}
	for i := range r.targetRequests {
		req := &r.targetRequests[i]
		a := attempts[req.RequestID]
		switch {
		case a == nil:
			check.fail("target %s got request %q, which no caller sent", req.Target, req.RequestID)
		case req.Workspace != string(a.workspace) && (!a.open || req.Workspace != ""):
			check.fail("request %s of workspace %q reached target %s for workspace %q", a.id, a.workspace, req.Target, req.Workspace)
		case a.workspace == "" && !a.open:
			check.fail("request %s without a good key reached target %s", a.id, req.Target)
		}
	}
	check.observations = min(withoutValidKey, len(r.targetRequests))
	return check.result("%d requests at targets, %d sent without a good key", len(r.targetRequests), withoutValidKey)
}

// auditSecrets checks that no target received a workspace's key.
func auditSecrets(r *records) Promise {
	check := newPromiseCheck("no target sees a workspace's key")
	for _, t := range r.targets {
		check.observations += t.arrived
		if t.secretsSeen > 0 {
			check.fail("target %s saw keys in %d requests", t.name, t.secretsSeen)
		}
	}
	return check.result("%d requests at targets", check.observations)
}

// auditAnswers checks that each response was complete and belonged to its request.
func auditAnswers(r *records) Promise {
	check := newPromiseCheck("a caller gets the whole answer to its own request")
	killed := killedHosts(r)
	for i := range r.calls {
		c := &r.calls[i]
		if c.mismatch != "" {
			check.fail("request %s: %s", c.id, c.mismatch)
		}
		if c.answered() && c.mismatch == "" {
			check.observations++
		}
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.truncated && !diedAfter(killed, a.host, a.sentAt) {
			check.fail("the answer to request %s was cut by host %s", a.id, a.host)
		}
	}
	return check.result("%d answers with their bodies' hashes", check.observations)
}

// auditNotRun checks that no request ran whose refusal says "not run".
func auditNotRun(r *records) Promise {
	check := newPromiseCheck(`a refusal that says "not run" is true`)
	// net/http may send a request twice, and the refusal is about the last send only.
	// So the last run of a request ID is compared with it.
	ranByID := make(map[string]*target.RequestRecord)
	ranByKey := make(map[string]*target.RequestRecord)
	for i := range r.targetRequests {
		req := &r.targetRequests[i]
		if !req.Ran {
			continue
		}
		if last := ranByID[req.RequestID]; last == nil || req.Arrived.After(last.Arrived) {
			ranByID[req.RequestID] = req
		}
		if first := ranByKey[req.IdempotencyKey]; req.IdempotencyKey != "" && (first == nil || req.Arrived.Before(first.Arrived)) {
			ranByKey[req.IdempotencyKey] = req
		}
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.outcome != refusal.NotRun {
			continue
		}
		check.observations++
		if req := ranByID[a.id]; req != nil && (a.sends < 2 || req.Arrived.After(a.lastSentAt)) {
			check.fail("request %s (%s), sent %d times, ran at target %s %v after its last send and %v before its answer",
				a.id, a.code, a.sends, req.Target, req.Arrived.Sub(a.lastSentAt), a.headerAt.Sub(req.Arrived))
			continue
		}
		if req := ranByKey[a.idempotencyKey]; a.idempotencyKey != "" && req != nil && req.Arrived.Before(a.headerAt) {
			check.fail("request %s (%s): its key had run at target %s", a.id, a.code, req.Target)
		}
	}
	return check.result(`%d refusals that say "not run"`, check.observations)
}

// auditAtMostOnce checks that no idempotency key, and no call that uses one, ran more
// than once.
func auditAtMostOnce(r *records) Promise {
	check := newPromiseCheck("a non-idempotent payment, booking or approval runs at most once")
	runs := make(map[string]int)
	for i := range r.targetRequests {
		if req := &r.targetRequests[i]; req.Ran && req.IdempotencyKey != "" {
			runs[req.IdempotencyKey]++
		}
	}
	// All attempts of a call share the first part of the request ID, whatever key they
	// use.
	byCall := make(map[string]int)
	once := make(map[string]bool)
	for i := range r.calls {
		once[r.calls[i].id] = r.calls[i].atMostOnce
	}
	for i := range r.targetRequests {
		req := &r.targetRequests[i]
		if id := callID(req.RequestID); req.Ran && once[id] {
			byCall[id]++
		}
	}
	for key, n := range runs {
		if n > 1 {
			check.fail("key %s ran %d times", key, n)
		}
	}
	for id, n := range byCall {
		if n > 1 {
			check.fail("call %s ran %d times", id, n)
		}
	}
	check.observations = len(runs)
	unanswered := 0
	for i := range r.attempts {
		if a := &r.attempts[i]; a.idempotencyKey != "" && a.err != "" && !a.dialFailed {
			unanswered++
		}
	}
	return check.result("%d keys ran, %d sends of keys without an answer", len(runs), unanswered)
}

// auditGracefulStop checks that a graceful stop aborts no request.
func auditGracefulStop(r *records) Promise {
	check := newPromiseCheck("a graceful shutdown cuts no request")
	var took time.Duration
	for _, e := range r.hostEnds {
		if !e.graceful {
			continue
		}
		took = e.endedAt.Sub(e.startedAt)
		if e.err != "" {
			check.fail("host %s did not stop cleanly: %s", e.host, e.err)
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.host != e.host || a.headerAt.Before(e.startedAt) || a.sentAt.After(e.endedAt) {
				continue
			}
			check.observations++
			if a.truncated || a.err != "" && !a.dialFailed {
				check.fail("request %s: %s", a.id, failureCause(a))
			}
		}
	}
	return check.result("%d requests while a host stopped, which took %v", check.observations, took.Round(time.Millisecond))
}

func failureCause(a *attempt) string {
	if a.truncated {
		return "the answer was cut"
	}
	return a.err
}

func attemptsByID(r *records) map[string]*attempt {
	byID := make(map[string]*attempt, len(r.attempts))
	for i := range r.attempts {
		byID[r.attempts[i].id] = &r.attempts[i]
	}
	return byID
}

// callID returns the ID of the call that an attempt's request ID belongs to.
func callID(id string) string {
	c, _, _ := strings.Cut(id, "/")
	return c
}

// killedHosts returns the ends of the hosts that died, by the host's address.
func killedHosts(r *records) map[string]hostEnd {
	killed := make(map[string]hostEnd)
	for _, e := range r.hostEnds {
		if !e.graceful {
			killed[e.host] = e
		}
	}
	return killed
}

// diedAfter reports whether the host died after a request was sent to it.
func diedAfter(killed map[string]hostEnd, host string, sentAt time.Time) bool {
	e, ok := killed[host]
	return ok && sentAt.Before(e.endedAt)
}

// workspacesOf returns the names of the document's workspaces, in its order.
func workspacesOf(r *records) []ids.Workspace {
	all := make([]ids.Workspace, 0, len(r.document.Workspaces))
	for _, w := range r.document.Workspaces {
		all = append(all, w.Name)
	}
	return all
}

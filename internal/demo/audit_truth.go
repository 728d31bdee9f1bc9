package demo

import (
	"strings"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// auditWorkspaces judges that each request ran for the workspace of its key,
// and without a good key only on open routes.
func auditWorkspaces(r *records) Promise {
	f := newFinding("a request runs only for the workspace whose key came with it")
	attempts := attemptsByID(r)
	bad := 0
	for i := range r.attempts {
		if r.attempts[i].workspace == "" && !r.attempts[i].open {
			bad++
		}
	}
	for i := range r.works {
		w := &r.works[i]
		a := attempts[w.RequestID]
		switch {
		case a == nil:
			f.broke("target %s got request %q, which no caller sent", w.Target, w.RequestID)
		case w.Workspace != string(a.workspace) && (!a.open || w.Workspace != ""):
			f.broke("request %s of workspace %q reached target %s for workspace %q", a.id, a.workspace, w.Target, w.Workspace)
		case a.workspace == "" && !a.open:
			f.broke("request %s without a good key reached target %s", a.id, w.Target)
		}
	}
	f.observations = min(bad, len(r.works))
	return f.promise("%d requests at targets, %d sent without a good key", len(r.works), bad)
}

// auditSecrets judges that no target saw a workspace's key.
func auditSecrets(r *records) Promise {
	f := newFinding("no target sees a workspace's key")
	for _, t := range r.targets {
		f.observations += t.arrived
		if t.secretsSeen > 0 {
			f.broke("target %s saw keys in %d requests", t.name, t.secretsSeen)
		}
	}
	return f.promise("%d requests at targets", f.observations)
}

// auditAnswers judges that each answer was whole and the caller's own.
func auditAnswers(r *records) Promise {
	f := newFinding("a caller gets the whole answer to its own request")
	killed := killedHosts(r)
	for i := range r.calls {
		c := &r.calls[i]
		if c.wrong != "" {
			f.broke("request %s: %s", c.id, c.wrong)
		}
		if c.answered() && c.wrong == "" {
			f.observations++
		}
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.cut && !endedDuring(killed, a.host, a.sentAt) {
			f.broke("the answer to request %s was cut by host %s", a.id, a.host)
		}
	}
	return f.promise("%d answers with their bodies' hashes", f.observations)
}

// auditNotRun judges that what was told not to have run did not run.
func auditNotRun(r *records) Promise {
	f := newFinding(`a refusal that says "not run" is true`)
	// An answer speaks of the last send of its request; the last run tells.
	ranByID := make(map[string]*target.RequestRecord)
	ranByKey := make(map[string]*target.RequestRecord)
	for i := range r.works {
		w := &r.works[i]
		if !w.Ran {
			continue
		}
		if last := ranByID[w.RequestID]; last == nil || w.Arrived.After(last.Arrived) {
			ranByID[w.RequestID] = w
		}
		if first := ranByKey[w.IdempotencyKey]; w.IdempotencyKey != "" && (first == nil || w.Arrived.Before(first.Arrived)) {
			ranByKey[w.IdempotencyKey] = w
		}
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.outcome != refusal.NotRun {
			continue
		}
		f.observations++
		if w := ranByID[a.id]; w != nil && (a.sends < 2 || w.Arrived.After(a.lastSentAt)) {
			f.broke("request %s (%s), sent %d times, ran at target %s %v after its last send and %v before its answer",
				a.id, a.code, a.sends, w.Target, w.Arrived.Sub(a.lastSentAt), a.headAt.Sub(w.Arrived))
			continue
		}
		if w := ranByKey[a.idempotencyKey]; a.idempotencyKey != "" && w != nil && w.Arrived.Before(a.headAt) {
			f.broke("request %s (%s): its key had run at target %s", a.id, a.code, w.Target)
		}
	}
	return f.promise(`%d refusals that say "not run"`, f.observations)
}

// auditOnce judges that no idempotency key ran more than once.
func auditOnce(r *records) Promise {
	f := newFinding("a non-idempotent payment, booking or approval runs at most once")
	runs := make(map[string]int)
	for i := range r.works {
		if w := &r.works[i]; w.Ran && w.IdempotencyKey != "" {
			runs[w.IdempotencyKey]++
		}
	}
	// A call's request id stays the same over its attempts, whatever key they use.
	byCall := make(map[string]int)
	once := make(map[string]bool)
	for i := range r.calls {
		once[r.calls[i].id] = r.calls[i].once
	}
	for i := range r.works {
		w := &r.works[i]
		if id := callOf(w.RequestID); w.Ran && once[id] {
			byCall[id]++
		}
	}
	for key, n := range runs {
		if n > 1 {
			f.broke("key %s ran %d times", key, n)
		}
	}
	for id, n := range byCall {
		if n > 1 {
			f.broke("call %s ran %d times", id, n)
		}
	}
	f.observations = len(runs)
	again := 0
	for i := range r.attempts {
		if a := &r.attempts[i]; a.idempotencyKey != "" && a.err != "" && !a.dialFailed {
			again++
		}
	}
	return f.promise("%d keys ran, %d sends of keys without an answer", len(runs), again)
}

// auditStop judges that a graceful stop cut no request.
func auditStop(r *records) Promise {
	f := newFinding("a graceful shutdown cuts no request")
	var took time.Duration
	for _, e := range r.ends {
		if !e.graceful {
			continue
		}
		took = e.doneAt.Sub(e.begunAt)
		if e.err != "" {
			f.broke("host %s did not stop cleanly: %s", e.host, e.err)
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if a.host != e.host || a.headAt.Before(e.begunAt) || a.sentAt.After(e.doneAt) {
				continue
			}
			f.observations++
			if a.cut || a.err != "" && !a.dialFailed {
				f.broke("request %s: %s", a.id, cause(a))
			}
		}
	}
	return f.promise("%d requests while a host stopped, which took %v", f.observations, took.Round(time.Millisecond))
}

func cause(a *attempt) string {
	if a.cut {
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

// callOf returns the call that a request id belongs to.
func callOf(id string) string {
	c, _, _ := strings.Cut(id, "/")
	return c
}

// killedHosts returns the ends of the hosts that died.
func killedHosts(r *records) map[string]hostEnd {
	killed := make(map[string]hostEnd)
	for _, e := range r.ends {
		if !e.graceful {
			killed[e.host] = e
		}
	}
	return killed
}

// endedDuring reports whether the host died after a request was sent to it.
func endedDuring(killed map[string]hostEnd, host string, sentAt time.Time) bool {
	e, ok := killed[host]
	return ok && sentAt.Before(e.doneAt)
}

// workspacesOf returns the names of the document's workspaces.
func workspacesOf(r *records) []ids.Workspace {
	all := make([]ids.Workspace, 0, len(r.document.Workspaces))
	for _, w := range r.document.Workspaces {
		all = append(all, w.Name)
	}
	return all
}

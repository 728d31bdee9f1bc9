package demo

import (
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// auditKeyRevocation checks that all hosts refuse a revoked key within
// maxInForceDelay.
func auditKeyRevocation(r *records) Promise {
	check := newPromiseCheck("a withdrawn key stops working within seconds")
	var last time.Duration
	before, refused, reused := 0, 0, 0
	hosts := make(map[string]bool)
	for _, c := range r.changes {
		if c.kind != changeRevokeKey {
			continue
		}
		if c.err != "" {
			check.fail("the key of %s was not withdrawn: %s", c.name, c.err)
			continue
		}
		checkLateRequests(check, r, c)
		for i := range r.attempts {
			a := &r.attempts[i]
			if string(a.workspace) != c.name || a.open {
				continue
			}
			switch {
			case a.sentAt.Before(c.sentAt):
				before++
			case a.code == refusal.CodeKeyUnknown:
				refused++
				if a.connReused {
					reused++
					hosts[a.host] = true
				}
			case keyAccepted(a):
				last = max(last, a.sentAt.Sub(c.acceptedAt))
				if a.sentAt.After(c.acceptedAt.Add(maxInForceDelay)) {
					check.fail("request %s used the key %v after its withdrawal", a.id, a.sentAt.Sub(c.acceptedAt))
				}
			}
		}
	}
	if len(hosts) >= len(liveHosts(r)) {
		check.observations = min(before, reused)
	}
	return check.result("%d refusals, %d on open connections to %d hosts; last accepted %v after the withdrawal",
		refused, reused, len(hosts), last.Round(time.Millisecond))
}

// checkLateRequests adds a violation for each request that reached a target for the
// workspace more than maxInForceDelay after its key was revoked.
func checkLateRequests(check *promiseCheck, r *records, c change) {
	for i := range r.targetRequests {
		req := &r.targetRequests[i]
		if req.Workspace == c.name && req.Arrived.Sub(c.acceptedAt) > maxInForceDelay {
			check.fail("request %s came to target %s for workspace %s %v after the withdrawal", req.RequestID, req.Target, c.name,
				req.Arrived.Sub(c.acceptedAt))
		}
	}
}

// liveHosts returns the hosts that neither died nor stopped during the run.
func liveHosts(r *records) []string {
	return slices.DeleteFunc(observedHosts(r), func(h string) bool {
		return slices.ContainsFunc(r.hostEnds, func(e hostEnd) bool { return e.host == h })
	})
}

// keyAccepted reports whether the response shows that the host accepted the key.
func keyAccepted(a *attempt) bool {
	switch a.code {
	case refusal.CodeNotServing, refusal.CodeLeaving, refusal.CodeServiceClosed:
		return false // the host refused before it checked the key
	default:
		return a.err == ""
	}
}

// auditLeavingTargets checks that targets drained by an operator or by themselves get
// no new requests after maxDrainDelay.
func auditLeavingTargets(r *records) Promise {
	check := newPromiseCheck("a leaving target gets no new work after a few seconds")
	var latest time.Duration
	for _, d := range drainsOf(r) {
		if d.requestsBefore > 0 && d.observedFor > maxDrainDelay {
			check.observations++
		}
		latest = max(latest, d.lastRequest)
		if d.lateRequests > 0 {
			check.fail("target %s got %d requests later than %v, the last after %v", d.target, d.lateRequests, maxDrainDelay, d.lastRequest)
		}
	}
	for _, c := range r.changes {
		if c.kind == changeDrain && c.err != "" {
			check.fail("target %s was not drained: %s", c.name, c.err)
		}
	}
	return check.result("%d leaving targets, last new work after %v", check.observations, latest.Round(time.Millisecond))
}

// drain describes the drain of one target.
type drain struct {
	target     string
	byOperator bool
	// requestsBefore counts the requests in the last maxDrainDelay before the drain was
	// ordered.
	requestsBefore int
	// lastRequest is the time from the acceptance of the drain until the last new
	// request, and idleAfter that from its order until the end of the last request.
	lastRequest, idleAfter time.Duration
	lateRequests           int
	// observedFor is the time from the acceptance until the end of the load.
	observedFor time.Duration
}

// drainsOf returns the drains of the run. A drain by an operator is accepted when
// the operator is told so, one by the target itself as soon as it reports it.
func drainsOf(r *records) []drain {
	var all []drain
	for _, c := range r.changes {
		if c.kind != changeDrain && c.kind != changeLeave || c.err != "" {
			continue
		}
		d := drain{target: c.name, byOperator: c.kind == changeDrain, observedFor: r.loadEnd.Sub(c.acceptedAt)}
		for i := range r.targetRequests {
			req := &r.targetRequests[i]
			if req.Target != c.name {
				continue
			}
			if req.Arrived.Before(c.sentAt) && c.sentAt.Sub(req.Arrived) < maxDrainDelay {
				d.requestsBefore++
			}
			after := req.Arrived.Sub(c.acceptedAt)
			d.lastRequest = max(d.lastRequest, after)
			d.idleAfter = max(d.idleAfter, req.Ended.Sub(c.sentAt))
			if after > maxDrainDelay {
				d.lateRequests++
			}
		}
		all = append(all, d)
	}
	return all
}

// auditInForce checks that accepted configurations come into force on every live host
// within maxInForceDelay, and that no host returns to an older revision.
func auditInForce(r *records) Promise {
	check := newPromiseCheck("an accepted configuration is in force everywhere within seconds and never reverts")
	var slowest time.Duration
	for _, c := range r.changes {
		if c.kind == changeLeave {
			continue
		}
		if c.err != "" {
			check.fail("%s %s was not accepted: %s", c.kind, c.name, c.err)
			continue
		}
		check.observations++
		for _, h := range observedHosts(r) {
			at, ok := inForceAt(r, h, c.revision)
			switch {
			case ok && at.Sub(c.acceptedAt) > maxInForceDelay:
				check.fail("host %s had revision %d in force after %v", h, c.revision, at.Sub(c.acceptedAt))
			case !ok && !hostEndedBefore(r, h, c.acceptedAt.Add(maxInForceDelay)):
				check.fail("host %s never had revision %d in force", h, c.revision)
			case ok:
				slowest = max(slowest, at.Sub(c.acceptedAt))
			}
		}
	}
	newest := make(map[string]ids.Revision)
	for _, s := range r.hostRevisions {
		if s.revision < newest[s.host] {
			check.fail("host %s went from revision %d back to %d", s.host, newest[s.host], s.revision)
		}
		newest[s.host] = max(newest[s.host], s.revision)
	}
	return check.result("%d changes on %d hosts, the slowest %v after it was accepted",
		check.observations, len(newest), slowest.Round(time.Millisecond))
}

// inForceEverywhere reports whether a change is in force on all hosts that have not
// ended.
func inForceEverywhere(r *records, c change) bool {
	for _, h := range observedHosts(r) {
		if _, ok := inForceAt(r, h, c.revision); !ok && !hostEndedBefore(r, h, time.Now()) {
			return false
		}
	}
	return true
}

// inForceAt returns when a host was first observed with a revision or a later one.
func inForceAt(r *records, host string, rev ids.Revision) (time.Time, bool) {
	for _, s := range r.hostRevisions {
		if s.host == host && s.revision >= rev {
			return s.at, true
		}
	}
	return time.Time{}, false
}

func observedHosts(r *records) []string {
	var all []string
	seen := make(map[string]bool)
	for _, s := range r.hostRevisions {
		if !seen[s.host] {
			seen[s.host] = true
			all = append(all, s.host)
		}
	}
	return all
}

// hostEndedBefore reports whether the host had ended before a time.
func hostEndedBefore(r *records, host string, at time.Time) bool {
	for _, e := range r.hostEnds {
		if e.host == host && e.endedAt.Before(at) {
			return true
		}
	}
	return false
}

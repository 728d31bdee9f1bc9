package demo

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// runStart is the start of the load in the test's records.
var runStart = time.Date(2026, 3, 1, 9, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return runStart.Add(d) }

const (
	hostA = "127.10.0.100:8080"
	hostB = "127.11.0.100:8080"
)

// validRecords returns records in which every promise is seen and held.
func validRecords() *records {
	r := &records{
		document: &config.Document{
			Regions: []config.Region{{Name: "sask"}, {Name: "alta"}},
			Services: []config.Service{{Name: "ledger", Slots: 2, Upstreams: []config.Upstream{
				{Name: "ledger-1", Region: "sask"}, {Name: "ledger-2", Region: "alta"},
			}}},
			Workspaces: []config.Workspace{{Name: "clubs", Rate: 10, Burst: 5}, {Name: "late", Rate: 10, Burst: 5}},
			Presets:    []config.Preset{{Name: "ordinary"}},
			Preset:     "ordinary",
		},
		loadStart: at(0), loadEnd: at(20 * time.Second),
		targets: []targetTotals{
			{name: "ledger-1", service: "ledger", region: "sask", slots: 2, arrived: 41, maxBusy: 1},
			{name: "ledger-2", service: "ledger", region: "alta", slots: 2, arrived: 1, maxBusy: 1},
		},
		hostRevisions: []hostRevision{{hostA, at(0), 1}, {hostB, at(0), 1}, {hostA, at(5 * time.Second), 2}, {hostB, at(6 * time.Second), 2}},
		changes: []change{
			{kind: changeRevokeKey, name: "late", revision: 2, sentAt: at(5 * time.Second), acceptedAt: at(5 * time.Second)},
			{kind: changeDrain, name: "ledger-2", revision: 2, sentAt: at(5 * time.Second), acceptedAt: at(5 * time.Second)},
		},
		hostEnds: []hostEnd{{host: hostB, graceful: true, startedAt: at(10 * time.Second), endedAt: at(12 * time.Second)}},
	}
	for i := range 40 {
		addRan(r, fmt.Sprintf("c%d/1", i), "clubs", "ledger-1", time.Duration(i)*500*time.Millisecond)
	}
	addRan(r, "foreign/1", "clubs", "ledger-2", 4*time.Second)
	addRan(r, "early/1", "late", "ledger-1", time.Second)
	addRefused(r, "late1/1", "late", hostA, refusal.CodeKeyUnknown, 7*time.Second)
	addRefused(r, "over/1", "clubs", hostA, refusal.CodeRateExceeded, 2*time.Second)
	addRefused(r, "wrong/1", "", hostA, refusal.CodeKeyUnknown, 3*time.Second)
	addRefused(r, "stop/1", "clubs", hostB, refusal.CodeLeaving, 11*time.Second)
	return r
}

// addRan adds a call of a caller in region sask that ran at target t.
func addRan(r *records, id string, ws ids.Workspace, t string, sent time.Duration) {
	key := "key-" + callID(id)
	r.attempts = append(r.attempts, attempt{
		id: id, host: hostA, workspace: ws, keyed: true, region: "sask", idempotencyKey: key,
		sentAt: at(sent), headerAt: at(sent + 50*time.Millisecond), outcome: refusal.Ran, status: 200, connReused: true,
	})
	r.targetRequests = append(r.targetRequests, target.RequestRecord{
		Target: t, RequestID: id, Workspace: string(ws), IdempotencyKey: key,
		Arrived: at(sent + 10*time.Millisecond), Ended: at(sent + 40*time.Millisecond), Ran: true,
	})
	r.calls = append(r.calls, call{
		id: callID(id), workspace: ws, service: "ledger", atMostOnce: true, startedAt: at(sent), endedAt: at(sent + 50*time.Millisecond),
		outcome: refusal.Ran, status: 200, host: hostA,
	})
}

func addRefused(r *records, id string, ws ids.Workspace, host string, code refusal.Code, sent time.Duration) {
	r.attempts = append(r.attempts, attempt{
		id: id, host: host, workspace: ws, keyed: true, region: "sask", connReused: true,
		sentAt: at(sent), headerAt: at(sent + 5*time.Millisecond), outcome: refusal.NotRun, code: code,
	})
}

func find(t *testing.T, promises []Promise, name string) Promise {
	t.Helper()
	for _, p := range promises {
		if strings.Contains(p.Name, name) {
			return p
		}
	}
	t.Fatalf("no promise %q", name)
	return Promise{}
}

func TestValidRecordsHoldEveryPromise(t *testing.T) {
	is := is.New(t)
	for _, p := range audit(validRecords()) {
		t.Log(p.Name, p.State, p.Seen, p.Found)
		is.Equal(p.State, Held)
	}
}

func TestEmptyRecordsAreNotSeen(t *testing.T) {
	is := is.New(t)
	for _, p := range audit(&records{document: validRecords().document}) {
		if strings.Contains(p.Name, "invariant") {
			continue
		}
		is.Equal(p.State, NotSeen)
	}
}

func TestEachBrokenPromiseIsFound(t *testing.T) {
	second := time.Second
	for _, c := range []struct {
		name, promise string
		spoil         func(r *records)
	}{
		{"shift over its cap", "shift", func(r *records) {
			// The cap is a quarter of 2 slots / 30 ms: 16.6 requests per second more within a minute.
			for i := range 100 {
				addRan(r, fmt.Sprintf("f%d/1", i), "clubs", "ledger-2", 8*second+time.Duration(i)*10*time.Millisecond)
			}
		}},
		{"over the slots", "overloads", func(r *records) { r.targets[0].overSlots = 1 }},
		{"too many at a time", "overloads", func(r *records) { r.targets[0].maxBusy = 3 }},
		{"a region's work over its slots", "overloads", func(r *records) {
			for i := range 3 {
				addRan(r, fmt.Sprintf("s%d/1", i), "clubs", "ledger-2", 3*second)
			}
		}},
		{"another workspace's request", "whose key came", func(r *records) { r.targetRequests[3].Workspace = "late" }},
		{"a request that no caller sent", "whose key came", func(r *records) { r.targetRequests[3].RequestID = "nobody/1" }},
		{"a request without a key", "whose key came", func(r *records) {
			addRan(r, "keyless/1", "", "ledger-1", second)
		}},
		{"a key at a target", "sees a workspace's key", func(r *records) { r.targets[1].secretsSeen = 1 }},
		{"a withdrawn key used later", "withdrawn key", func(r *records) {
			addRefused(r, "late2/1", "late", hostA, refusal.CodeRateExceeded, 15*second)
		}},
		{"a request with a withdrawn key at a target", "withdrawn key", func(r *records) {
			r.targetRequests = append(r.targetRequests, target.RequestRecord{Target: "ledger-1", RequestID: "early/1", Workspace: "late", Arrived: at(16 * second)})
		}},
		{"a withdrawal that failed", "withdrawn key", func(r *records) { r.changes[0].err = "conflict" }},
		{"over rate and burst", "rate and burst", func(r *records) {
			for i := range 6 {
				addRan(r, fmt.Sprintf("b%d/1", i), "clubs", "ledger-1", 8*second+time.Duration(i)*time.Millisecond)
			}
		}},
		{"over the rate for 9 s", "rate and burst", func(r *records) {
			for i := range 100 {
				addRan(r, fmt.Sprintf("r%d/1", i), "clubs", "ledger-1", 8*second+time.Duration(i)*90*time.Millisecond)
			}
		}},
		{"a response to another call", "whole answer", func(r *records) { r.calls[2].mismatch = "the answer belongs to request x" }},
		{"a truncated response", "whole answer", func(r *records) { r.attempts[2].truncated = true }},
		{"not run, but it ran", `"not run"`, func(r *records) { r.attempts[2].outcome = refusal.NotRun }},
		{"not run, but its last send ran", `"not run"`, func(r *records) {
			r.attempts[2].outcome, r.attempts[2].sends = refusal.NotRun, 2
			r.attempts[2].lastSentAt = r.targetRequests[2].Arrived.Add(-time.Millisecond)
		}},
		{"not run, but its key ran", `"not run"`, func(r *records) {
			addRefused(r, "c2/2", "clubs", hostA, refusal.CodeNoTarget, 5*second)
			r.attempts[len(r.attempts)-1].idempotencyKey = "key-c2"
		}},
		{"a key that ran twice", "at most once", func(r *records) { r.targetRequests[2].IdempotencyKey = "key-c3" }},
		{"a call that ran under two keys", "at most once", func(r *records) { r.targetRequests[2].RequestID = "c3/2" }},
		{"new work at a drained target", "leaving target", func(r *records) {
			addRan(r, "late3/1", "clubs", "ledger-2", 8100*time.Millisecond)
		}},
		{"a drain that failed", "leaving target", func(r *records) { r.changes[1].err = "conflict" }},
		{"a request aborted by a stop", "graceful", func(r *records) {
			r.attempts = append(r.attempts, attempt{id: "x/1", host: hostB, sentAt: at(11 * second), headerAt: at(11 * second), err: "EOF"})
		}},
		{"a stop that was not clean", "graceful", func(r *records) { r.hostEnds[0].err = "cut" }},
		{"a host that lags", "in force", func(r *records) { r.hostRevisions[3].at = at(15 * second) }},
		{"a host that never gets the revision", "in force", func(r *records) { r.hostRevisions[2].revision = 1 }},
		{"a revision that goes back", "in force", func(r *records) {
			r.hostRevisions = append(r.hostRevisions, hostRevision{hostA, at(8 * second), 1})
		}},
		{"a change that failed", "in force", func(r *records) { r.changes[0].err = "conflict" }},
		{"an invariant", "invariant", func(r *records) { r.breaches = []string{"two holders of seat 3"} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := validRecords()
			c.spoil(r)
			p := find(t, audit(r), c.promise)
			t.Log(p.Seen, p.Found)
			is.Equal(p.State, Broken)
			is.True(p.Broken > 0)
			rep := newReport(Config{Duration: 20 * second}, &deployments[0], r)
			is.True(rep.Broken())
		})
	}
}

func TestRateAuditNeedsNoTolerance(t *testing.T) {
	is := is.New(t)
	limits := []limit{{rate: 10, burst: 2}}
	one := func(sent, arrived time.Duration) admission { return admission{at(sent), at(arrived)} }
	// Two at once and one every 100 ms is exactly the rate and burst.
	exact := []admission{one(0, 0), one(0, 0)}
	for i := 1; i < 20; i++ {
		d := time.Duration(i) * 100 * time.Millisecond
		exact = append(exact, one(d, d))
	}
	over, _ := maxExcess(exact, limits)
	is.True(over <= 1e-9) // at the limit
	over, _ = maxExcess(append(exact, one(0, 0)), limits)
	is.True(over > 0.9) // one request over the limit
	// A request that waited may have been admitted at any time while it waited.
	over, _ = maxExcess(append(exact, one(-time.Second, time.Second)), limits)
	is.True(over <= 1e-9)
}

func TestRefusedInsideRateComparesWithOneBucket(t *testing.T) {
	is := is.New(t)
	r := &records{document: validRecords().document, loadStart: at(0), loadEnd: at(time.Second)}
	for i := range 10 {
		addRefused(r, fmt.Sprintf("x%d/1", i), "clubs", hostA, refusal.CodeRateExceeded, time.Duration(i)*time.Millisecond)
	}
	addRefused(r, "y/1", "clubs", hostA, refusal.CodeNotServing, time.Millisecond) // refused before the rate limiter
	got := refusedInsideRate(r)[0]
	is.Equal(got, Refused{Workspace: "clubs", Arrived: 10, Admitted: 0, Ideal: 5, InsideRate: 5, OutageMs: 9})
}

func TestCheckResponse(t *testing.T) {
	is := is.New(t)
	one := &call{id: "c1"}
	reply := func(id, sum string, n int) []byte {
		return fmt.Appendf(nil, `{"requestId":%q,"bodySha256":%q,"bodyBytes":%d}`+"\n...", id, sum, n)
	}
	const sumOfAbc = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
	is.Equal(checkResponse(one, reply("c1/7", sumOfAbc, 3), []byte("abc")), "")
	is.True(checkResponse(one, reply("c2/7", sumOfAbc, 3), []byte("abc")) != "")
	is.True(checkResponse(one, reply("c1/7", sumOfAbc, 3), []byte("abd")) != "")
	is.True(checkResponse(one, reply("c1/7", sumOfAbc, 2), []byte("abc")) != "")
	is.True(checkResponse(one, []byte(`{"requestId":"c1/7"`), []byte("abc")) != "")
}

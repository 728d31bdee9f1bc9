package demo

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// records is the input of the audit: the observations of callers, targets and the
// operator.
type records struct {
	document *config.Document
	// loadStart and loadEnd are the times between which callers sent requests.
	loadStart, loadEnd time.Time
	attempts           []attempt
	calls              []call
	targetRequests     []target.RequestRecord
	targets            []targetTotals
	changes            []change
	hostEnds           []hostEnd
	// hostRevisions holds the changes of the revision in force on each host, by time.
	hostRevisions []hostRevision
	// breaches describes the invariants that the checker found broken.
	breaches []string
}

// attempt is a request that a caller sent to an entry host.
type attempt struct {
	id   string
	host string
	// workspace is that of the key; empty for a request without a valid key.
	workspace ids.Workspace
	// keyed is set if the request has a key, valid or not.
	keyed  bool
	open   bool
	region ids.Region
	// idempotencyKey is empty unless the request runs at most once.
	idempotencyKey string
	sentAt         time.Time
	// sends counts the connections on which the request was sent: net/http repeats some
	// requests if a reused connection fails. lastSentAt is when it got the last of them.
	sends      int
	lastSentAt time.Time
	// headerAt is when the response header arrived or the attempt failed.
	headerAt time.Time
	outcome  refusal.Outcome
	code     refusal.Code
	status   int
	// err is set if no response header arrived, and dialFailed if nothing was sent.
	err        string
	dialFailed bool
	// connReused is set if the connection was open before.
	connReused bool
	// truncated is set if the response body ended early.
	truncated bool
}

// call is a request as its caller sees it, which may take several attempts.
type call struct {
	id         string
	workspace  ids.Workspace
	region     ids.Region
	service    ids.Service
	atMostOnce bool
	startedAt  time.Time
	endedAt    time.Time
	outcome    refusal.Outcome
	code       refusal.Code
	status     int
	err        string
	// mismatch says how the response differs from the one that the call should get; empty
	// if it does not.
	mismatch string
	// host is the entry host that sent the last response.
	host string
}

// answered reports whether the call got a target's response.
func (c *call) answered() bool {
	return c.err == "" && c.code == "" && c.outcome == refusal.Ran
}

// targetTotals holds the counters of a target.
type targetTotals struct {
	name        ids.Target
	service     ids.Service
	region      ids.Region
	slots       int
	arrived     int
	overSlots   int
	maxBusy     int
	secretsSeen int
}

// changeKind is a kind of change by an operator or a target.
type changeKind string

// The kinds of changes. Their values appear in progress lines and in the report.
const (
	changePreset    changeKind = "preset"
	changeRevokeKey changeKind = "withdraw"
	changeDrain     changeKind = "drain"
	// changeLeave is a target that reports that it is leaving.
	changeLeave changeKind = "leave"
)

// change is a change during the run.
type change struct {
	kind changeKind
	// name is the preset, workspace or target.
	name     string
	revision ids.Revision
	sentAt   time.Time
	// acceptedAt is when the operator was told that the change is accepted; zero if the
	// change failed.
	acceptedAt time.Time
	err        string
}

// hostEnd is the death or graceful stop of an entry host.
type hostEnd struct {
	host      string
	graceful  bool
	startedAt time.Time
	endedAt   time.Time
	err       string
}

// hostRevision is a host's revision in force from a time on.
type hostRevision struct {
	host     string
	at       time.Time
	revision ids.Revision
}

// recorder collects records. Its methods may be called concurrently.
type recorder struct {
	mu      sync.Mutex
	records records
}

func (c *recorder) addAttempt(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.attempts = append(c.records.attempts, a)
}

func (c *recorder) addCall(made call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.calls = append(c.records.calls, made)
}

func (c *recorder) addTargetRequest(req target.RequestRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.targetRequests = append(c.records.targetRequests, req)
}

func (c *recorder) addChange(ch change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.changes = append(c.records.changes, ch)
}

func (c *recorder) addHostEnd(e hostEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.hostEnds = append(c.records.hostEnds, e)
}

func (c *recorder) addHostRevision(s hostRevision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.hostRevisions = append(c.records.hostRevisions, s)
}

// counts returns the numbers of calls, answered calls and attempts so far.
func (c *recorder) counts() (calls, answered, attempts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.records.calls {
		if c.records.calls[i].answered() {
			answered++
		}
	}
	return len(c.records.calls), answered, len(c.records.attempts)
}

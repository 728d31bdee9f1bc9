package demo

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/internal/standin/target"
	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/refusal"
)

// records is all that the audit judges: what callers, targets and the operator
// saw.
type records struct {
	document *config.Document
	// began and ended bound the load.
	began, ended time.Time
	attempts     []attempt
	calls        []call
	works        []target.RequestRecord
	targets      []targetTotals
	changes      []change
	ends         []hostEnd
	// sightings are the revisions in force on each host over time.
	sightings []sighting
	// breaches are the invariants that broke inside the program.
	breaches []string
}

// attempt is one request that a caller sent to one entry host.
type attempt struct {
	id   string
	host string
	// workspace is that of the key; empty for a request without a good key.
	workspace ids.Workspace
	// keyed says that a key came along, be it good or not.
	keyed  bool
	open   bool
	region ids.Region
	// idempotencyKey is the key of a request that runs at most once.
	idempotencyKey string
	sentAt         time.Time
	// sends counts the connections that the request was sent on: net/http sends
	// some requests again when a reused connection breaks. lastSentAt is when it
	// had the last of them.
	sends      int
	lastSentAt time.Time
	// headAt is when the answer's head came, or when the attempt failed.
	headAt  time.Time
	outcome refusal.Outcome
	code    refusal.Code
	status  int
	// err says that no answer came, and dialFailed that nothing was sent.
	err        string
	dialFailed bool
	// reused says that the connection had been open before.
	reused bool
	// cut says that the answer's body ended early.
	cut bool
}

// call is one request as its caller meant it, which may take several attempts.
type call struct {
	id        string
	workspace ids.Workspace
	region    ids.Region
	service   ids.Service
	once      bool
	startedAt time.Time
	endedAt   time.Time
	outcome   refusal.Outcome
	code      refusal.Code
	status    int
	err       string
	// wrong says how the answer was not the whole answer to this call.
	wrong string
	// host is the entry host that gave the last answer.
	host string
}

// answered reports whether a target's answer came back.
func (c *call) answered() bool {
	return c.err == "" && c.code == "" && c.outcome == refusal.Ran
}

// targetTotals is what a target counted.
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

// changeKind is what an operator or a target changed.
type changeKind string

const (
	changePreset   changeKind = "preset"
	changeWithdraw changeKind = "withdraw"
	changeDrain    changeKind = "drain"
	// changeLeave is a target that says of itself that it leaves.
	changeLeave changeKind = "leave"
)

// change is one change during the run.
type change struct {
	kind changeKind
	// name is the preset, workspace or target.
	name     string
	revision ids.Revision
	sentAt   time.Time
	// acceptedAt is when the operator was told so; zero if it was not.
	acceptedAt time.Time
	err        string
}

// hostEnd is one entry host's end.
type hostEnd struct {
	host     string
	graceful bool
	begunAt  time.Time
	doneAt   time.Time
	err      string
}

// sighting is one host's revision in force at a time.
type sighting struct {
	host     string
	at       time.Time
	revision ids.Revision
}

// recorder collects records. Its methods may be called from any goroutine.
type recorder struct {
	mu sync.Mutex
	r  records
}

func (c *recorder) attempt(a attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.attempts = append(c.r.attempts, a)
}

func (c *recorder) call(one call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.calls = append(c.r.calls, one)
}

func (c *recorder) work(w target.RequestRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.works = append(c.r.works, w)
}

func (c *recorder) change(one change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.changes = append(c.r.changes, one)
}

func (c *recorder) end(e hostEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.ends = append(c.r.ends, e)
}

func (c *recorder) sight(s sighting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.r.sightings = append(c.r.sightings, s)
}

// counts returns the numbers of calls, answered calls and attempts so far.
func (c *recorder) counts() (calls, answered, attempts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.r.calls {
		if c.r.calls[i].answered() {
			answered++
		}
	}
	return len(c.r.calls), answered, len(c.r.attempts)
}

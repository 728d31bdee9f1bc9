package target

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Reply is the first line of a response body, in JSON. Padding may follow.
type Reply struct {
	Target     string `json:"target"`
	StartID    string `json:"startId"`
	RequestID  string `json:"requestId"`
	Workspace  string `json:"workspace,omitempty"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodySHA256 string `json:"bodySha256"`
	// Run is the number of runs of the request's idempotency key, this one included.
	Run int `json:"run,omitempty"`
}

// job is a request and how the target will handle it.
type job struct {
	startID      string
	stopped      chan struct{}
	duration     time.Duration
	failAt       Stage
	serverError  bool
	ignoreCancel bool
	leaving      bool
	ran          bool
}

// headerWorkspace holds the workspace of a request.
const headerWorkspace = "Gypsum-Workspace"

func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	j, shed := t.acquireSlot(r)
	if j == nil {
		panic(http.ErrAbortHandler) // the process does not run
	}
	defer t.reportDone(r, arrived, j, shed)
	w.Header().Set(HeaderStartID, j.startID)
	if j.leaving {
		w.Header().Set(HeaderLeaving, "1")
	}
	if shed {
		w.Header().Set(HeaderShed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.releaseSlot(j)
	if j.failAt == StageBeforeReading {
		panic(http.ErrAbortHandler)
	}
	n, sum := readBody(r, j.failAt)
	reply := t.runRequest(r, j, n, sum)
	t.respond(w, r, j, reply)
}

// acquireSlot takes a slot for a request, or reports that it is shed. The job is nil
// if the process does not run.
func (t *Target) acquireSlot(r *http.Request) (j *job, shed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isClosed(t.stopped) {
		return nil, false
	}
	t.records.recordArrival(t, r)
	j = &job{startID: t.startID, stopped: t.stopped, leaving: !t.leavingAt.IsZero(), ignoreCancel: t.behaviour.IgnoreCancel}
	full := t.cfg.Slots > 0 && t.busy >= t.cfg.Slots
	if full && t.behaviour.ShedOverSlots || t.rng.Float64() < t.behaviour.ShedShare {
		t.records.Shed++
		return j, true
	}
	if full {
		t.records.OverSlots++
	}
	if j.leaving {
		t.records.Late = append(t.records.Late, LateRequest{At: time.Now(), After: time.Since(t.leavingAt)})
	}
	t.busy++
	t.records.MaxBusy = max(t.records.MaxBusy, t.busy)
	j.duration = t.serviceTime(r)
	j.serverError = t.rng.Float64() < t.behaviour.ErrorShare
	j.failAt = t.nextFailure()
	t.recordState()
	return j, false
}

// serviceTime returns the time that a request takes. The caller holds mu.
func (t *Target) serviceTime(r *http.Request) time.Duration {
	d := DefaultServiceTime
	if us, err := strconv.ParseInt(r.Header.Get(HeaderServiceTime), 10, 64); err == nil {
		d = time.Duration(us) * time.Microsecond
	} else if t.cfg.ServiceTime != nil {
		d = t.cfg.ServiceTime(t.rng)
	}
	factor := 1.0
	if t.cold() && t.cfg.ColdFactor > 0 {
		factor = t.cfg.ColdFactor
	}
	if t.behaviour.SlowFactor > 0 {
		factor *= t.behaviour.SlowFactor
	}
	return time.Duration(float64(d) * factor)
}

// cold reports whether the target is still in its cold start. The caller holds mu.
func (t *Target) cold() bool {
	return t.runsSinceStart < t.cfg.ColdRequests || time.Since(t.startedAt) < t.cfg.ColdTime
}

// nextFailure returns the stage at which the next request is aborted. The caller holds mu.
func (t *Target) nextFailure() Stage {
	stage := t.behaviour.FailAt
	if stage == StageNone {
		return stage
	}
	if t.behaviour.FailCount > 0 {
		t.behaviour.FailCount--
		if t.behaviour.FailCount == 0 {
			t.behaviour.FailAt = StageNone
		}
	}
	return stage
}

// releaseSlot frees the slot of a job.
func (t *Target) releaseSlot(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.startID != t.startID || isClosed(j.stopped) {
		return // the slot ended with its process
	}
	t.busy--
	t.recordState()
}

// readBody reads the body and returns its length and SHA-256 in hexadecimal. It aborts
// the connection after half of the body for StageMidBody.
func readBody(r *http.Request, failAt Stage) (int64, string) {
	h := sha256.New()
	if failAt == StageMidBody {
		half := max(r.ContentLength/2, 1)
		_, _ = io.CopyN(h, r.Body, half) // a body that is shorter is read whole
		panic(http.ErrAbortHandler)
	}
	n, err := io.Copy(h, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller aborted the request: it does not run
	}
	return n, hex.EncodeToString(h.Sum(nil))
}

// runRequest counts the request as run and waits until it has ended. It aborts the
// connection if the request is cancelled or fails before the response.
func (t *Target) runRequest(r *http.Request, j *job, n int64, sum string) Reply {
	t.mu.Lock()
	j.ran = true
	reply := Reply{
		Target:     t.cfg.Name,
		StartID:    j.startID,
		RequestID:  r.Header.Get(HeaderRequestID),
		Workspace:  r.Header.Get(headerWorkspace),
		Method:     r.Method,
		Path:       r.URL.RequestURI(),
		BodyBytes:  n,
		BodySHA256: sum,
		Run:        t.records.recordRun(r),
	}
	t.runsSinceStart++
	t.mu.Unlock()
	if !t.runJob(r, j) {
		t.updateRecords(func(c *statsRecorder) { c.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	if j.failAt == StageBeforeResponse {
		panic(http.ErrAbortHandler)
	}
	return reply
}

// runJob waits for the service time. It returns false if before its end the caller
// disconnected, the deadline passed or the process ended. With IgnoreCancel, only the
// last counts.
func (t *Target) runJob(r *http.Request, j *job) bool {
	done := time.NewTimer(j.duration)
	defer done.Stop()
	var deadlinePassed <-chan time.Time
	if ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64); err == nil {
		deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer deadline.Stop()
		deadlinePassed = deadline.C
	}
	callerLeft := r.Context().Done()
	if j.ignoreCancel {
		callerLeft, deadlinePassed = nil, nil
	}
	select {
	case <-done.C:
		return true
	case <-callerLeft:
	case <-deadlinePassed:
	case <-j.stopped:
	}
	return false
}

func (t *Target) updateRecords(f func(c *statsRecorder)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.records)
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, j *job, reply Reply) {
	b, err := json.Marshal(reply)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	b = append(b, '\n')
	if pad := t.cfg.MinResponseBytes - len(b); pad > 0 {
		b = append(b, strings.Repeat(".", pad)...)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if id := r.Header.Get(HeaderRequestID); id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	w.WriteHeader(t.statusCode(j))
	if j.failAt == StageMidResponse {
		b = b[:len(b)/2]
	}
	_, _ = w.Write(b) // the caller may have disconnected
	_ = http.NewResponseController(w).Flush()
	t.updateRecords(func(c *statsRecorder) { c.Answered++ })
	if j.failAt == StageMidResponse || j.failAt == StageAfterResponse {
		panic(http.ErrAbortHandler)
	}
}

func (t *Target) statusCode(j *job) int {
	if j.serverError {
		return http.StatusInternalServerError
	}
	if t.cfg.Status != 0 {
		return t.cfg.Status
	}
	return http.StatusOK
}

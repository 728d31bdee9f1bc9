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

// Reply is the start of an answer's body, as one line of JSON.
type Reply struct {
	Target     string `json:"target"`
	StartID    string `json:"startId"`
	RequestID  string `json:"requestId"`
	Workspace  string `json:"workspace,omitempty"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyBytes  int64  `json:"bodyBytes"`
	BodySHA256 string `json:"bodySha256"`
	// Run counts the runs of the request's idempotency key, this one included.
	Run int `json:"run,omitempty"`
}

// job is one request in a slot.
type job struct {
	startID  string
	stopped  chan struct{}
	takes    time.Duration
	fail     Stage
	answer5x bool
	ignore   bool
	leaving  bool
	ran      bool
}

// headerWorkspace names the workspace of a request.
const headerWorkspace = "Gypsum-Workspace"

func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	j, shed := t.begin(r)
	if j == nil {
		panic(http.ErrAbortHandler) // The process is not there.
	}
	defer t.observe(r, arrived, j, shed)
	w.Header().Set(HeaderStartID, j.startID)
	if j.leaving {
		w.Header().Set(HeaderLeaving, "1")
	}
	if shed {
		w.Header().Set(HeaderShed, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.end(j)
	if j.fail == StageBeforeReading {
		panic(http.ErrAbortHandler)
	}
	n, sum := readBody(r, j.fail)
	reply := t.run(r, j, n, sum)
	t.answer(w, r, j, reply)
}

// begin takes a slot, or says that the request is shed. It returns no job when
// the process is not running.
func (t *Target) begin(r *http.Request) (j *job, shed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isClosed(t.stopped) {
		return nil, false
	}
	t.rec.arrive(t, r)
	j = &job{startID: t.startID, stopped: t.stopped, leaving: !t.leavingAt.IsZero(), ignore: t.behaviour.IgnoreCancel}
	over := t.cfg.Slots > 0 && t.busy >= t.cfg.Slots
	if over && t.behaviour.ShedOverSlots || t.rng.Float64() < t.behaviour.ShedShare {
		t.rec.Shed++
		return j, true
	}
	if over {
		t.rec.OverSlots++
	}
	if j.leaving {
		t.rec.Late = append(t.rec.Late, LateRequest{At: time.Now(), After: time.Since(t.leavingAt)})
	}
	t.busy++
	t.rec.MaxBusy = max(t.rec.MaxBusy, t.busy)
	j.takes = t.serviceTime(r)
	j.answer5x = t.rng.Float64() < t.behaviour.ErrorShare
	j.fail = t.nextFailure()
	t.noteStatus()
	return j, false
}

// serviceTime draws one request's time. The caller holds mu.
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

// cold reports whether the cold start is not over. The caller holds mu.
func (t *Target) cold() bool {
	return t.warmRuns < t.cfg.ColdRequests || time.Since(t.startedAt) < t.cfg.ColdTime
}

// nextFailure returns the stage at which the next request is cut. The caller holds mu.
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

// end gives the slot of a job back.
func (t *Target) end(j *job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.startID != t.startID || isClosed(j.stopped) {
		return // The slot went with its process.
	}
	t.busy--
	t.noteStatus()
}

// readBody reads the whole body, or cuts the connection in its middle.
func readBody(r *http.Request, fail Stage) (int64, string) {
	h := sha256.New()
	if fail == StageMidBody {
		half := max(r.ContentLength/2, 1)
		_, _ = io.CopyN(h, r.Body, half) // A short body is cut at its end.
		panic(http.ErrAbortHandler)
	}
	n, err := io.Copy(h, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // The caller broke off: nothing runs.
	}
	return n, hex.EncodeToString(h.Sum(nil))
}

// run counts the request as run and works until it is done.
func (t *Target) run(r *http.Request, j *job, n int64, sum string) Reply {
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
		Run:        t.rec.run(r),
	}
	t.warmRuns++
	t.mu.Unlock()
	if !t.work(r, j) {
		t.count(func(c *records) { c.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	if j.fail == StageBeforeResponse {
		panic(http.ErrAbortHandler)
	}
	return reply
}

// work waits for the service time. It reports false when the caller left, the
// deadline passed or the process ended first.
func (t *Target) work(r *http.Request, j *job) bool {
	done := time.NewTimer(j.takes)
	defer done.Stop()
	var late <-chan time.Time
	if ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64); err == nil {
		deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer deadline.Stop()
		late = deadline.C
	}
	left := r.Context().Done()
	if j.ignore {
		left, late = nil, nil
	}
	select {
	case <-done.C:
		return true
	case <-left:
	case <-late:
	case <-j.stopped:
	}
	return false
}

func (t *Target) count(f func(c *records)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.rec)
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, j *job, reply Reply) {
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
	w.WriteHeader(t.status(j))
	if j.fail == StageMidResponse {
		b = b[:len(b)/2]
	}
	_, _ = w.Write(b) // The caller may have left.
	_ = http.NewResponseController(w).Flush()
	t.count(func(c *records) { c.Answered++ })
	if j.fail == StageMidResponse || j.fail == StageAfterResponse {
		panic(http.ErrAbortHandler)
	}
}

func (t *Target) status(j *job) int {
	if j.answer5x {
		return http.StatusInternalServerError
	}
	if t.cfg.Status != 0 {
		return t.cfg.Status
	}
	return http.StatusOK
}

// Package target is a stand-in for a target, for tests on the virtual clock and the
// demo. It runs requests in slots, can be cold, shed, drain and fail, can report a
// false state to probes, and records what it ran.
//
// New returns a Target, Start serves it at a listener, SetBehaviour injects faults,
// and Stats returns the records.
package target

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// The header fields that targets and entry hosts exchange.
const (
	// HeaderShed is "1" on the response to a shed request, which did not run.
	HeaderShed = "Gypsum-Shed"
	// HeaderLeaving is "1" on the responses of a draining target.
	HeaderLeaving = "Gypsum-Leaving"
	// HeaderTimeout holds the time left for the request, in milliseconds.
	HeaderTimeout = "Gypsum-Timeout-Ms"
	// HeaderRequestID holds the request ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey holds the key of a request that runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderServiceTime sets the service time of one request at a warm target, in
	// microseconds, instead of Config.ServiceTime.
	HeaderServiceTime = "X-Work-Us"
	// HeaderStartID holds the target's start ID on each response.
	HeaderStartID = "Gypsum-Start-Id"
)

// DefaultServiceTime is the service time without Config.ServiceTime.
const DefaultServiceTime = 10 * time.Millisecond

// Config holds the settings of a Target. All are optional.
type Config struct {
	// Name is sent in responses and is the prefix of start IDs.
	Name string
	// Slots is the number of requests that the target may run at a time; zero means
	// no limit.
	Slots int
	// ServiceTime returns the time of one request at a warm target. The target calls
	// it from one goroutine at a time. Nil means DefaultServiceTime.
	ServiceTime func(rng *rand.Rand) time.Duration
	// Seed is the seed of the target's random choices, those of ServiceTime included.
	Seed uint64
	// ColdRequests and ColdTime define the cold start: the target is cold until it has
	// run that many requests and that time has passed since its start.
	ColdRequests int
	ColdTime     time.Duration
	// ColdFactor multiplies the service time while the target is cold; zero means 1.
	ColdFactor float64
	// ConnectTime delays the first read of each connection, and ProbeTime each
	// response of the health and load endpoints.
	ConnectTime time.Duration
	ProbeTime   time.Duration
	// MinResponseBytes is the minimum length of a response body; shorter ones are
	// padded.
	MinResponseBytes int
	// Secrets lists strings that must not appear in any request; Stats counts those
	// requests in which one does.
	Secrets []string
	// Status is the HTTP status of successful responses; zero means 200.
	Status int
	// OnRequestDone, if not nil, is called after each request has ended, but not for
	// probes. Calls may be concurrent.
	OnRequestDone func(w RequestRecord)
}

// Behaviour holds the faults of a target. The zero value has none.
type Behaviour struct {
	// ShedOverSlots sheds requests that arrive while all slots are busy. Without it
	// they run.
	ShedOverSlots bool
	// ShedShare is the share of requests that are shed, from 0 to 1.
	ShedShare float64
	// ErrorShare is the share of requests that run and get status 500, from 0 to 1.
	ErrorShare float64
	// SlowFactor multiplies the service time; zero means 1.
	SlowFactor float64
	// IgnoreCancel lets requests run on after their caller has disconnected or their
	// deadline has passed.
	IgnoreCancel bool
	// FailAt is the stage at which requests are aborted; FailCount is the number of
	// requests, where zero means all.
	FailAt    Stage
	FailCount int
	// Health and Load are the faults of the endpoints /healthz and /load.
	Health EndpointBehaviour
	Load   EndpointBehaviour
}

// EndpointBehaviour holds the faults of one endpoint. The zero value has none.
type EndpointBehaviour struct {
	// Stuck freezes the reported state at that of the first probe after it was set.
	Stuck bool
	// Lag is the age of the reported state.
	Lag time.Duration
	// Hang leaves probes without a response.
	Hang bool
	// Override, if not empty, replaces the reported state: "healthy", "leaving" or
	// "unhealthy" for health, "idle" or "busy" for load.
	Override string
}

// Stage is a stage of a request at the target.
type Stage int

// The stages at which the connection of a request can be aborted.
const (
	// StageNone aborts nothing.
	StageNone Stage = iota
	// StageBeforeReading is before the body is read: the request does not run.
	StageBeforeReading
	// StageMidBody is in the middle of the body: the request does not run.
	StageMidBody
	// StageBeforeResponse is after the request ran.
	StageBeforeResponse
	// StageMidResponse is in the middle of the response body.
	StageMidResponse
	// StageAfterResponse is after a complete response.
	StageAfterResponse
)

// Target is a stand-in target. It implements http.Handler. Its methods may be called
// concurrently.
type Target struct {
	cfg Config

	mu             sync.Mutex
	rng            *rand.Rand
	behaviour      Behaviour
	startID        string
	starts         int
	startedAt      time.Time
	leavingAt      time.Time
	stopped        chan struct{}
	server         *http.Server
	serveDone      chan struct{}
	busy           int
	runsSinceStart int
	history        []state
	stuckStates    map[string]state
	records        statsRecorder
}

// New returns a Target whose process counts as running but does not listen yet. Call
// Start, or serve it as an http.Handler.
func New(cfg Config) *Target {
	t := &Target{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	t.restart()
	return t
}

// restart begins a new run of the process with a new start ID. The caller holds mu,
// but for New.
func (t *Target) restart() {
	t.starts++
	t.startID = fmt.Sprintf("%s-%d", t.cfg.Name, t.starts)
	t.startedAt = time.Now()
	t.leavingAt = time.Time{}
	t.stopped = make(chan struct{})
	t.busy = 0
	t.runsSinceStart = 0
	t.stuckStates = make(map[string]state)
	t.history = nil
	t.recordState()
}

// Start serves on l until Crash. After a Crash it begins a new run of the process
// with a new start ID.
func (t *Target) Start(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isClosed(t.stopped) {
		t.restart()
	}
	t.server = &http.Server{Handler: t}
	t.serveDone = make(chan struct{})
	go serve(t.server, &slowListener{l, t.cfg.ConnectTime}, t.serveDone)
}

func serve(s *http.Server, l net.Listener, done chan struct{}) {
	defer close(done)
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		_ = s.Close() // the listener failed, as when the host is killed: close its connections too
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Crash ends the process: its listener and connections are closed, and requests in
// flight are aborted. It may be called again.
func (t *Target) Crash() {
	t.mu.Lock()
	if !isClosed(t.stopped) {
		close(t.stopped)
	}
	s, serveDone := t.server, t.serveDone
	t.server = nil
	t.mu.Unlock()
	if s == nil {
		return
	}
	_ = s.Close() // closes all connections even if the listener returns an error
	<-serveDone
}

// Restart begins a new run of a Target that is used as an http.Handler. One that
// listens is restarted with Crash and Start.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isClosed(t.stopped) {
		close(t.stopped)
	}
	t.restart()
}

// Drain makes the target report that it is leaving. It still runs new requests, and
// records them as late. The state ends with the run of the process.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingAt = time.Now()
	t.recordState()
}

// SetBehaviour calls change with the current behaviour, which it may modify. The new
// behaviour applies to later requests; those that run are not affected.
func (t *Target) SetBehaviour(change func(b *Behaviour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.behaviour)
}

// Slots returns the number of slots; zero means no limit.
func (t *Target) Slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Slots
}

// SetSlots changes the number of slots. Requests over the new number run on.
func (t *Target) SetSlots(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.Slots = n
}

// Running reports whether the process runs, which it does from New or Restart until
// Crash.
func (t *Target) Running() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !isClosed(t.stopped)
}

// Draining reports whether Drain was called in this run of the process.
func (t *Target) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.leavingAt.IsZero()
}

// StartID returns the start ID of the current run of the process.
func (t *Target) StartID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startID
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		time.Sleep(t.cfg.ProbeTime)
		t.serveHealth(w, r)
	case "/load":
		time.Sleep(t.cfg.ProbeTime)
		t.serveLoad(w, r)
	default:
		t.serveWork(w, r)
	}
}

// Package target is a stand-in for a target of the platform. It takes requests
// in slots, can be cold, shed, drain, fail and mislead, and keeps a record of
// what it ran. It serves tests on the virtual clock and the demo.
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
	// HeaderShed is "1" on an answer that says that the request did not run.
	HeaderShed = "Gypsum-Shed"
	// HeaderLeaving is "1" on the answers of a target that takes no new work.
	HeaderLeaving = "Gypsum-Leaving"
	// HeaderTimeout holds the time left for the request, in milliseconds.
	HeaderTimeout = "Gypsum-Timeout-Ms"
	// HeaderRequestID names the request.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey holds the key of a request that runs at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderWork sets the service time of one request on a warm target, in
	// microseconds, in place of Config.ServiceTime.
	HeaderServiceTime = "X-Work-Us"
	// HeaderStartID names the run of the target's process on each answer.
	HeaderStartID = "Gypsum-Start-Id"
)

// DefaultServiceTime is the time that a request takes when Config gives none.
const DefaultServiceTime = 10 * time.Millisecond

// Config holds the lasting properties of a Target.
type Config struct {
	// Name is told in answers.
	Name string
	// Slots is the number of requests that the target takes at a time; zero
	// means any number.
	Slots int
	// ServiceTime returns the time that one request takes on a warm target. The
	// target serialises its calls. Nil means DefaultServiceTime.
	ServiceTime func(rng *rand.Rand) time.Duration
	// Seed starts the random source that ServiceTime is given.
	Seed uint64
	// ColdRequests and ColdFor bound the cold start: the target is cold until it
	// has run that many requests and that long has passed since its start.
	ColdRequests int
	ColdTime     time.Duration
	// ColdFactor multiplies the service time of a cold target.
	ColdFactor float64
	// ConnectTime is what a new connection costs before its first request is read,
	// and ProbeTime what an answer of the health and load endpoints takes.
	ConnectTime time.Duration
	ProbeTime   time.Duration
	// AnswerBytes is the least length of an answer's body.
	MinResponseBytes int
	// Secrets lists strings that must not appear in any request.
	Secrets []string
	// Status is the status of ordinary answers; zero means 200.
	Status int
	// Observe, where set, is told of each request for work when it has ended.
	// It may be called from several goroutines.
	OnRequestDone func(w RequestRecord)
}

// Behaviour is how a target behaves at present. The zero value is honest and
// without faults.
type Behaviour struct {
	// ShedOverSlots sheds what comes in over the slots instead of running it.
	ShedOverSlots bool
	// ShedShare is the share of requests that are shed, from 0 to 1.
	ShedShare float64
	// ErrorShare is the share of requests that run and are answered with 500.
	ErrorShare float64
	// SlowBy multiplies the service time; zero means 1.
	SlowFactor float64
	// IgnoreCancel goes on with requests whose caller has left.
	IgnoreCancel bool
	// FailAt ends the requests at a stage; FailNext bounds how many, where zero
	// means all.
	FailAt    Stage
	FailCount int
	// Health and Load tell how the endpoints mislead.
	Health EndpointBehaviour
	Load   EndpointBehaviour
}

// Endpoint tells how one endpoint misleads. The zero value is honest.
type EndpointBehaviour struct {
	// Stuck makes the endpoint answer as it did when it got stuck.
	Stuck bool
	// Lag delays what the endpoint tells.
	Lag time.Duration
	// Hang makes the endpoint never answer.
	Hang bool
	// Lie replaces the answer: for health "healthy", "leaving" or "unhealthy",
	// for load "idle" or "busy".
	Override string
}

// Stage is a point in the life of a request at the target.
type Stage int

// The stages at which a request can be cut.
const (
	// StageNone cuts nothing.
	StageNone Stage = iota
	// StageBeforeReading cuts before the body is read: the request does not run.
	StageBeforeReading
	// StageMidBody cuts in the middle of the body: the request does not run.
	StageMidBody
	// StageBeforeAnswer cuts after the request ran.
	StageBeforeResponse
	// StageMidAnswer cuts in the middle of the answer's body.
	StageMidResponse
	// StageAfter cuts the connection after a whole answer.
	StageAfterResponse
)

// Target is a stand-in target and an http.Handler. Its methods may be called
// from several goroutines.
type Target struct {
	cfg Config

	mu        sync.Mutex
	rng       *rand.Rand
	behaviour Behaviour
	startID   string
	starts    int
	startedAt time.Time
	leavingAt time.Time
	stopped   chan struct{}
	server    *http.Server
	served    chan struct{}
	busy      int
	warmRuns  int
	history   []status
	stuck     map[string]status
	rec       records
}

// New returns a Target that has been started and listens nowhere yet.
func New(cfg Config) *Target {
	t := &Target{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1))}
	t.restart()
	return t
}

// restart begins a new run of the process. The caller holds mu or is alone.
func (t *Target) restart() {
	t.starts++
	t.startID = fmt.Sprintf("%s-%d", t.cfg.Name, t.starts)
	t.startedAt = time.Now()
	t.leavingAt = time.Time{}
	t.stopped = make(chan struct{})
	t.busy = 0
	t.warmRuns = 0
	t.stuck = make(map[string]status)
	t.history = nil
	t.noteStatus()
}

// Start serves on l until Crash or Stop. After a Crash it begins a new run of
// the process with a new start id.
func (t *Target) Start(l net.Listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isClosed(t.stopped) {
		t.restart()
	}
	t.server = &http.Server{Handler: t}
	t.served = make(chan struct{})
	go serve(t.server, &costlyListener{l, t.cfg.ConnectTime}, t.served)
}

func serve(s *http.Server, l net.Listener, served chan struct{}) {
	defer close(served)
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		_ = s.Close() // The listener is gone: so are its connections.
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

// Crash ends the process: connections are reset and work in flight is lost.
func (t *Target) Crash() {
	t.mu.Lock()
	if !isClosed(t.stopped) {
		close(t.stopped)
	}
	s, served := t.server, t.served
	t.server = nil
	t.mu.Unlock()
	if s == nil {
		return
	}
	_ = s.Close() // All connections are cut either way.
	<-served
}

// Restart begins a new run of a Target that listens nowhere.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !isClosed(t.stopped) {
		close(t.stopped)
	}
	t.restart()
}

// Drain makes the target say that it leaves. Work that starts afterwards is
// counted as late.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leavingAt = time.Now()
	t.noteStatus()
}

// Set changes the behaviour.
func (t *Target) SetBehaviour(change func(b *Behaviour)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.behaviour)
}

// Slots returns the number of slots.
func (t *Target) Slots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cfg.Slots
}

// SetSlots changes the number of slots.
func (t *Target) SetSlots(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.Slots = n
}

// Running reports whether the process has not crashed.
func (t *Target) Running() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !isClosed(t.stopped)
}

// Draining reports whether the target says that it leaves.
func (t *Target) Draining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.leavingAt.IsZero()
}

// StartID returns the name of the present run of the process.
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

package target

import (
	"encoding/json"
	"net/http"
	"time"
)

// maxHistory is the maximum number of past states kept for endpoints with a Lag.
const maxHistory = 4096

// state is the target's state at a time.
type state struct {
	at      time.Time
	busy    int
	slots   int
	startID string
	leaving bool
}

// LoadResponse is the JSON body of a response of the /load endpoint.
type LoadResponse struct {
	Slots   int    `json:"slots"`
	Busy    int    `json:"busy"`
	StartID string `json:"startId"`
	Leaving bool   `json:"leaving"`
}

// HealthResponse is the JSON body of a response of the /healthz endpoint.
type HealthResponse struct {
	// Status is "healthy", "leaving" or "unhealthy".
	Status  string `json:"status"`
	StartID string `json:"startId"`
}

// recordState adds the current state to the history. The caller holds mu.
func (t *Target) recordState() {
	if len(t.history) >= maxHistory {
		t.history = append(t.history[:0], t.history[maxHistory/2:]...)
	}
	t.history = append(t.history, t.currentState())
}

// currentState returns the current state. The caller holds mu.
func (t *Target) currentState() state {
	return state{
		at:      time.Now(),
		busy:    t.busy,
		slots:   t.cfg.Slots,
		startID: t.startID,
		leaving: !t.leavingAt.IsZero(),
	}
}

// reportedState returns the state that an endpoint reports, faults included. The
// caller holds mu.
func (t *Target) reportedState(name string, e EndpointBehaviour) state {
	if e.Stuck {
		if _, ok := t.stuckStates[name]; !ok {
			t.stuckStates[name] = t.currentState()
		}
		return t.stuckStates[name]
	}
	delete(t.stuckStates, name)
	if e.Lag == 0 {
		return t.currentState()
	}
	asOf := time.Now().Add(-e.Lag)
	past := t.history[0]
	for _, s := range t.history {
		if s.at.After(asOf) {
			break
		}
		past = s
	}
	return past
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.records.Probes++
	e, s, stopped := t.behaviour.Health, t.reportedState("health", t.behaviour.Health), t.stopped
	t.mu.Unlock()
	abortIfHanging(r, e, stopped)
	status := "healthy"
	if s.leaving {
		status = "leaving"
	}
	if e.Override != "" {
		status = e.Override
	}
	code := http.StatusOK
	if status != "healthy" {
		code = http.StatusServiceUnavailable
	}
	if status == "leaving" {
		w.Header().Set(HeaderLeaving, "1")
	}
	writeJSON(w, code, HealthResponse{Status: status, StartID: s.startID})
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.records.Probes++
	e, s, stopped := t.behaviour.Load, t.reportedState("load", t.behaviour.Load), t.stopped
	t.mu.Unlock()
	abortIfHanging(r, e, stopped)
	switch e.Override {
	case "idle":
		s.busy = 0
	case "busy":
		s.busy = s.slots
	}
	writeJSON(w, http.StatusOK, LoadResponse{Slots: s.slots, Busy: s.busy, StartID: s.startID, Leaving: s.leaving})
}

// abortIfHanging aborts the connection of a probe if the process has ended. On an
// endpoint that hangs, it does so once the prober has disconnected or the process has
// ended.
func abortIfHanging(r *http.Request, e EndpointBehaviour, stopped chan struct{}) {
	if e.Hang {
		select {
		case <-r.Context().Done():
		case <-stopped:
		}
		panic(http.ErrAbortHandler)
	}
	if isClosed(stopped) {
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // the prober may have disconnected
}

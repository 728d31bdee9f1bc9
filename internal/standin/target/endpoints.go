package target

import (
	"encoding/json"
	"net/http"
	"time"
)

// historyLength bounds the past states that lagging endpoints tell.
const historyLength = 4096

// status is the target's state at one time.
type status struct {
	at      time.Time
	busy    int
	slots   int
	startID string
	leaving bool
}

// LoadAnswer is the answer of the /load endpoint.
type LoadResponse struct {
	Slots   int    `json:"slots"`
	Busy    int    `json:"busy"`
	StartID string `json:"startId"`
	Leaving bool   `json:"leaving"`
}

// HealthAnswer is the answer of the /healthz endpoint.
type HealthResponse struct {
	// Status is "healthy", "leaving" or "unhealthy".
	Status  string `json:"status"`
	StartID string `json:"startId"`
}

// noteStatus adds the present state to the history. The caller holds mu.
func (t *Target) noteStatus() {
	if len(t.history) >= historyLength {
		t.history = append(t.history[:0], t.history[historyLength/2:]...)
	}
	t.history = append(t.history, t.present())
}

// present returns the present state. The caller holds mu.
func (t *Target) present() status {
	return status{
		at:      time.Now(),
		busy:    t.busy,
		slots:   t.cfg.Slots,
		startID: t.startID,
		leaving: !t.leavingAt.IsZero(),
	}
}

// told returns the state that an endpoint tells. The caller holds mu.
func (t *Target) told(name string, e EndpointBehaviour) status {
	if e.Stuck {
		if _, ok := t.stuck[name]; !ok {
			t.stuck[name] = t.present()
		}
		return t.stuck[name]
	}
	delete(t.stuck, name)
	if e.Lag == 0 {
		return t.present()
	}
	then := time.Now().Add(-e.Lag)
	past := t.history[0]
	for _, s := range t.history {
		if s.at.After(then) {
			break
		}
		past = s
	}
	return past
}

func (t *Target) serveHealth(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.rec.Probes++
	e, s, stopped := t.behaviour.Health, t.told("health", t.behaviour.Health), t.stopped
	t.mu.Unlock()
	waitIfHanging(r, e, stopped)
	word := "healthy"
	if s.leaving {
		word = "leaving"
	}
	if e.Override != "" {
		word = e.Override
	}
	code := http.StatusOK
	if word != "healthy" {
		code = http.StatusServiceUnavailable
	}
	if word == "leaving" {
		w.Header().Set(HeaderLeaving, "1")
	}
	writeJSON(w, code, HealthResponse{Status: word, StartID: s.startID})
}

func (t *Target) serveLoad(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.rec.Probes++
	e, s, stopped := t.behaviour.Load, t.told("load", t.behaviour.Load), t.stopped
	t.mu.Unlock()
	waitIfHanging(r, e, stopped)
	switch e.Override {
	case "idle":
		s.busy = 0
	case "busy":
		s.busy = s.slots
	}
	writeJSON(w, http.StatusOK, LoadResponse{Slots: s.slots, Busy: s.busy, StartID: s.startID, Leaving: s.leaving})
}

// waitIfHanging cuts the connection of a probe that is never answered, and
// that of a probe to a process that has ended.
func waitIfHanging(r *http.Request, e EndpointBehaviour, stopped chan struct{}) {
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
	_ = json.NewEncoder(w).Encode(v) // The prober may have left.
}

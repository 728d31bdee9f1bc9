package target

import (
	"maps"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// maxSeen is the maximum number of requests in Stats.Seen.
const maxSeen = 1000

// Stats holds the records of a target over all runs of its process.
type Stats struct {
	// Arrived counts requests, shed ones included, and Probes those to the health and
	// load endpoints, which count nowhere else.
	Arrived int
	Probes  int
	// Ran counts requests that were received whole and began to run, Answered those
	// whose response was written.
	Ran       int
	Answered  int
	Shed      int
	Cancelled int
	// OverSlots counts requests that were run although all slots were busy: each is a
	// breach of the slot limit.
	OverSlots int
	// MaxBusy is the maximum number of requests in slots at a time, and Busy the
	// current number.
	MaxBusy int
	Busy    int
	// Late lists the requests that were run after Drain.
	Late []LateRequest
	// SecretsSeen counts occurrences of a Config.Secrets string in a request, at most
	// one for each string and request.
	SecretsSeen int
	// RunsByKey counts runs by idempotency key, RunsByID by request ID.
	RunsByKey map[string]int
	RunsByID  map[string]int
	// Seen holds the last requests, at most maxSeen, oldest first.
	Seen []SeenRequest
}

// LateRequest is a request that arrived at a draining target.
type LateRequest struct {
	At time.Time
	// After is the time since Drain.
	After time.Duration
}

// RequestRecord describes a request that has ended at a target.
type RequestRecord struct {
	Target         string
	RequestID      string
	Workspace      string
	IdempotencyKey string
	Arrived, Ended time.Time
	// Ran reports that the request was received whole and began to run, Shed that the
	// target shed it.
	Ran, Shed bool
}

// reportDone calls Config.OnRequestDone for a request that has ended.
func (t *Target) reportDone(r *http.Request, arrived time.Time, j *job, shed bool) {
	if t.cfg.OnRequestDone == nil {
		return
	}
	t.cfg.OnRequestDone(RequestRecord{
		Target:         t.cfg.Name,
		RequestID:      r.Header.Get(HeaderRequestID),
		Workspace:      r.Header.Get(headerWorkspace),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Arrived:        arrived,
		Ended:          time.Now(),
		Ran:            j.ran,
		Shed:           shed,
	})
}

// SeenRequest is a request as the target received it.
type SeenRequest struct {
	At     time.Time
	Method string
	Path   string
	Query  url.Values
	Header http.Header
}

// statsRecorder updates Stats.
type statsRecorder struct {
	Stats
}

// recordArrival records a request. The caller holds t.mu.
func (c *statsRecorder) recordArrival(t *Target, r *http.Request) {
	c.Arrived++
	for _, secret := range t.cfg.Secrets {
		if containsSecret(r, secret) {
			c.SecretsSeen++
		}
	}
	if len(c.Seen) >= maxSeen {
		c.Seen = append(c.Seen[:0], c.Seen[maxSeen/2:]...)
	}
	c.Seen = append(c.Seen, SeenRequest{
		At:     time.Now(),
		Method: r.Method,
		Path:   r.URL.EscapedPath(),
		Query:  r.URL.Query(),
		Header: r.Header.Clone(),
	})
}

// containsSecret reports whether a secret appears in the request's URI, escaped or not,
// or in its header.
func containsSecret(r *http.Request, secret string) bool {
	decoded, err := url.QueryUnescape(r.RequestURI)
	if err == nil && strings.Contains(decoded, secret) || strings.Contains(r.RequestURI, secret) {
		return true
	}
	for _, values := range r.Header {
		for _, v := range values {
			if strings.Contains(v, secret) {
				return true
			}
		}
	}
	return false
}

// recordRun counts a run, and returns the number of runs of the request's idempotency
// key, or zero without one.
func (c *statsRecorder) recordRun(r *http.Request) int {
	c.Ran++
	if c.RunsByKey == nil {
		c.RunsByKey = make(map[string]int)
		c.RunsByID = make(map[string]int)
	}
	if id := r.Header.Get(HeaderRequestID); id != "" {
		c.RunsByID[id]++
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		return 0
	}
	c.RunsByKey[key]++
	return c.RunsByKey[key]
}

// Stats returns a copy of the records.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.records.Stats
	s.Busy = t.busy
	s.Late = append([]LateRequest(nil), s.Late...)
	s.Seen = append([]SeenRequest(nil), s.Seen...)
	s.RunsByKey = maps.Clone(s.RunsByKey)
	s.RunsByID = maps.Clone(s.RunsByID)
	return s
}

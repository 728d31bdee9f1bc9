package target

import (
	"maps"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// seenLimit bounds the requests that are kept with their header.
const seenLimit = 1000

// Stats is what a target recorded.
type Stats struct {
	// Arrived counts requests for work, shed ones included; Probes the others.
	Arrived int
	Probes  int
	// Ran counts requests that ran, Answered those whose answer was written.
	Ran       int
	Answered  int
	Shed      int
	Cancelled int
	// OverSlots counts requests that came in while all slots were busy and were
	// not shed: each is a breach.
	OverSlots int
	// MaxBusy is the greatest number of requests at a time, and Busy the present.
	MaxBusy int
	Busy    int
	// Late lists the requests that came in after the target said that it leaves.
	Late []LateRequest
	// SecretsSeen counts requests that held one of Config.Secrets.
	SecretsSeen int
	// RunsByKey counts runs by idempotency key, RunsByID by request id.
	RunsByKey map[string]int
	RunsByID  map[string]int
	// Seen holds the last requests, oldest first.
	Seen []SeenRequest
}

// LateWork is a request that a leaving target was given.
type LateRequest struct {
	At time.Time
	// After is the time since the target said that it leaves.
	After time.Duration
}

// Work is one request for work, from its arrival to its end.
type RequestRecord struct {
	Target         string
	RequestID      string
	Workspace      string
	IdempotencyKey string
	Arrived, Ended time.Time
	// Ran says that the whole request came and the work began, and Shed that
	// the target refused it.
	Ran, Shed bool
}

// observe tells of a request that has ended.
func (t *Target) observe(r *http.Request, arrived time.Time, j *job, shed bool) {
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

// SeenRequest is one request as the target got it.
type SeenRequest struct {
	At     time.Time
	Method string
	Path   string
	Query  url.Values
	Header http.Header
}

// records is a Stats that grows.
type records struct {
	Stats
}

// arrive records a request. The caller holds t.mu.
func (c *records) arrive(t *Target, r *http.Request) {
	c.Arrived++
	for _, secret := range t.cfg.Secrets {
		if holds(r, secret) {
			c.SecretsSeen++
		}
	}
	if len(c.Seen) >= seenLimit {
		c.Seen = append(c.Seen[:0], c.Seen[seenLimit/2:]...)
	}
	c.Seen = append(c.Seen, SeenRequest{
		At:     time.Now(),
		Method: r.Method,
		Path:   r.URL.EscapedPath(),
		Query:  r.URL.Query(),
		Header: r.Header.Clone(),
	})
}

// holds reports whether a secret stands in the request's line or header.
func holds(r *http.Request, secret string) bool {
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

// run counts one run, and returns the runs of the request's idempotency key.
func (c *records) run(r *http.Request) int {
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

// Stats returns a copy of what the target recorded over all its runs.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.rec.Stats
	s.Busy = t.busy
	s.Late = append([]LateRequest(nil), s.Late...)
	s.Seen = append([]SeenRequest(nil), s.Seen...)
	s.RunsByKey = maps.Clone(s.RunsByKey)
	s.RunsByID = maps.Clone(s.RunsByID)
	return s
}

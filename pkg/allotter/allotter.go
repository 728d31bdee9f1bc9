// Package allotter holds each workspace to this host's part of its rate and
// burst, so that all hosts together keep to the whole.
package allotter

import (
	"sync"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/router"
)

// Allotter holds a bucket for each workspace.
type Allotter struct {
	// Share returns this host's part of the limits, above 0 and at most 1.
	Share func() float64

	mu      sync.Mutex
	buckets map[ids.Workspace]*bucket
}

// bucket holds tokens up to at; a request takes one.
type bucket struct {
	tokens float64
	at     time.Time
}

// Admit takes one request of w. Where the bucket is empty it returns the time
// until the next token.
func (a *Allotter) Admit(w *router.Workspace) (time.Duration, bool) {
	if w.Rate <= 0 {
		return 0, true
	}
	share := 1.0
	if a.Share != nil {
		share = a.Share()
	}
	rate, burst := w.Rate*share, max(w.Burst*share, 1)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[w.Name]
	if b == nil {
		if a.buckets == nil {
			a.buckets = make(map[ids.Workspace]*bucket)
		}
		b = &bucket{tokens: burst, at: now}
		a.buckets[w.Name] = b
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second)), false
}

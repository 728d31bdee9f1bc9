package isolator

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
)

const (
	// saveRetryTime is the time after which Unsaved returns a request again that the store
	// does not contain.
	saveRetryTime = 5 * time.Second
	// maxStored bounds the requests that the store contains, and maxSaved those that
	// Unsaved returns at a time.
	maxStored = 256
	maxSaved  = 4
)

// Unsaved returns isolated requests that the platform's store does not contain and of
// whose crashes this host saw one.
func (s *Isolator) Unsaved() []fingerprinter.Fingerprint {
	if s.Empty() {
		return nil
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := 0
	var unsaved []*entry
	for _, e := range s.entries {
		switch {
		case !e.storedSince.IsZero():
			stored++
		case e.local && now.Before(e.isolatedUntil()) && now.Sub(e.savedAt) > saveRetryTime:
			unsaved = append(unsaved, e)
		}
	}
	var all []fingerprinter.Fingerprint
	for _, e := range unsaved[:max(min(len(unsaved), maxSaved, maxStored-stored), 0)] {
		e.savedAt = now
		all = append(all, e.Fingerprint)
	}
	return all
}

// SetStored replaces the requests that the platform's store contains. One of which nothing
// else is known is isolated and then tried, as if it had just crashed several targets.
func (s *Isolator) SetStored(all []fingerprinter.Fingerprint) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := make(map[fingerprinter.Fingerprint]bool)
	for _, f := range all[:min(len(all), maxStored)] {
		stored[f] = true
		e := s.entries[f]
		if e == nil {
			e = s.add(f, now)
		}
		if e.storedSince.IsZero() {
			e.storedSince = now
		}
	}
	for f, e := range s.entries {
		if !stored[f] {
			e.storedSince = time.Time{}
		}
	}
	s.expire(now)
}

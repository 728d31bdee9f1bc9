package isolator

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// announceTime is how long a change is sent in every round of messages.
	announceTime = time.Second
	// maxAnnounced is the number of changes in a round, and maxRepeated that of entries
	// without a change.
	maxAnnounced = 16
	maxRepeated  = 4
)

// Due returns the observations to send in a round of messages: the latest changes, those
// with most crashes first, and some others in turn.
func (s *Isolator) Due() []Observation {
	if s.Empty() {
		return nil
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var changed []*entry
	for _, e := range s.entries {
		if now.Sub(e.changedAt) < announceTime {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int {
		return cmp.Or(-cmp.Compare(len(a.Crashes), len(b.Crashes)), b.changedAt.Compare(a.changedAt))
	})
	var due []Observation
	for _, e := range changed[:min(maxAnnounced, len(changed))] {
		due = append(due, e.observation())
	}
	return append(due, s.repeat()...)
}

// repeat returns the next entries in turn. The caller holds the lock.
func (s *Isolator) repeat() []Observation {
	if len(s.repeated) == 0 {
		s.repeated = slices.Collect(maps.Keys(s.entries))
	}
	n := min(maxRepeated, len(s.repeated))
	var all []Observation
	for _, f := range s.repeated[:n] {
		if e := s.entries[f]; e != nil {
			all = append(all, e.observation())
		}
	}
	s.repeated = s.repeated[n:]
	return all
}

// expire forgets old entries. The caller holds the lock.
func (s *Isolator) expire(now time.Time) {
	for _, e := range s.entries {
		if e.expired(now) {
			s.remove(e)
		}
	}
}

package registrar

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

const (
	// doubtTime is how long a registration of a target that left is not believed in a
	// store that came back from a copy. One that nobody renews has expired by then.
	doubtTime = 8 * time.Second
	// departedLife is how long it is kept what drained or left. It is longer than a copy
	// of the store is old.
	departedLife = time.Minute
)

// departure is the last registration of a target that drains or left.
type departure struct {
	born    int64
	reports uint64
	gone    bool
	at      time.Time
}

// departed tells old registrations of targets that drain or left from new ones. The
// zero value knows of none.
type departed struct {
	byID map[ids.Target]departure
	// doubted holds registrations of targets that left, as a copy of the store shows
	// them.
	doubted map[ids.Target]Target
	// doubtUntil is until when registrations are doubted, and agedUntil until when what
	// drains is known to.
	doubtUntil, agedUntil time.Time
}

// restored notes that the store came back from a copy.
func (d *departed) restored(now time.Time) {
	d.doubtUntil = now.Add(doubtTime)
	d.agedUntil = now.Add(departedLife)
}

// left notes that the store showed a target no longer.
func (d *departed) left(t Target, now time.Time) {
	d.note(t, departure{born: t.StartMillis, reports: t.Sequence, gone: true, at: now})
}

func (d *departed) note(t Target, dep departure) {
	if d.byID == nil {
		d.byID = make(map[ids.Target]departure)
	}
	d.byID[t.ID] = dep
}

// judge returns a registration as it is to be believed, false if it is not. A target
// that drained drains on, unless it registered again since.
func (d *departed) judge(t Target, now time.Time) (Target, bool) {
	delete(d.doubted, t.ID)
	dep, ok := d.byID[t.ID]
	old := ok && dep.born == t.StartMillis && t.Sequence <= dep.reports
	switch {
	case old && dep.gone && now.Before(d.doubtUntil):
		if d.doubted == nil {
			d.doubted = make(map[ids.Target]Target)
		}
		d.doubted[t.ID] = t
		return t, false
	case old && !dep.gone && now.Before(d.agedUntil):
		t.Draining = true
	case t.Draining:
		d.note(t, departure{born: t.StartMillis, reports: t.Sequence, at: now})
	default:
		delete(d.byID, t.ID)
	}
	return t, true
}

// doubts reports whether a registration is there that is not believed.
func (d *departed) doubts(id ids.Target) bool {
	_, ok := d.doubted[id]
	return ok
}

// expire returns the registrations whose doubt is over, and forgets what is old.
func (d *departed) expire(now time.Time) []Target {
	for id, dep := range d.byID {
		if now.Sub(dep.at) > departedLife {
			delete(d.byID, id)
		}
	}
	if now.Before(d.doubtUntil) {
		return nil
	}
	var believed []Target
	for _, t := range d.doubted {
		believed = append(believed, t)
	}
	d.doubted = nil
	return believed
}

package siblings

import (
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/fingerprinter"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/isolator"
	"gypsumbeam.example/gypsumbeam/pkg/reconciler"
)

// observationsSection tells what the sender knows of targets' limits, and of requests that
// crash targets. It is encoded as a CBOR map, so that it differs from the other sections.
type observationsSection struct {
	Limits   []limit   `cbor:"limits"`
	Suspects []suspect `cbor:"suspects,omitempty"`
}

// limit is what a target said of its limit.
type limit struct {
	_    struct{} `cbor:",toarray"`
	Run  uint32
	Rate uint32
	// NamedAge and SeenAge are the milliseconds since the target named a limit for the
	// first time, and since it said this.
	NamedAge, SeenAge int64
}

// suspect is a request at which targets crashed.
type suspect struct {
	_          struct{} `cbor:",toarray"`
	Head, Body uint64
	// ClearedAge is the milliseconds since an answer cleared the request; negative for
	// none.
	ClearedAge int64
	Crashes    []crash
}

// crash is a crash of a target that had a request.
type crash struct {
	_   struct{} `cbor:",toarray"`
	Run uint32
	// SentAge and CrashedAge are the milliseconds since the request was sent and since
	// the target crashed.
	SentAge, CrashedAge int64
}

// isObservations reports whether an encoded section is a CBOR map.
func isObservations(data []byte) bool {
	const majorTypeBits, majorTypeMap = 5, 5
	return len(data) > 0 && data[0]>>majorTypeBits == majorTypeMap
}

func newObservationsSection(limits []reconciler.Observation, suspects []isolator.Observation, now time.Time) *observationsSection {
	s := &observationsSection{Limits: make([]limit, 0, len(limits))}
	for _, o := range limits {
		s.Limits = append(s.Limits, limit{
			Run: uint32(o.Run), Rate: uint32(o.Rate),
			NamedAge: now.Sub(o.NamedAt).Milliseconds(), SeenAge: now.Sub(o.SeenAt).Milliseconds(),
		})
	}
	for _, o := range suspects {
		s.Suspects = append(s.Suspects, newSuspect(o, now))
	}
	return s
}

func newSuspect(o isolator.Observation, now time.Time) suspect {
	sp := suspect{Head: uint64(o.Fingerprint.Head), Body: uint64(o.Fingerprint.Body), ClearedAge: -1}
	if !o.ClearedAt.IsZero() {
		sp.ClearedAge = now.Sub(o.ClearedAt).Milliseconds()
	}
	for _, c := range o.Crashes {
		sp.Crashes = append(sp.Crashes, crash{
			Run: uint32(c.Run), SentAge: now.Sub(c.SentAt).Milliseconds(), CrashedAge: now.Sub(c.CrashedAt).Milliseconds(),
		})
	}
	return sp
}

// limits returns the observations of limits in a section that was received at now.
func (s *observationsSection) limits(now time.Time) []reconciler.Observation {
	all := make([]reconciler.Observation, 0, len(s.Limits))
	for _, l := range s.Limits {
		all = append(all, reconciler.Observation{
			Run: reconciler.RunHash(l.Run), Rate: ids.Rate(l.Rate), NamedAt: before(now, l.NamedAge), SeenAt: before(now, l.SeenAge),
		})
	}
	return all
}

// observation returns what a section tells of a request that was received at now.
func (sp *suspect) observation(now time.Time) isolator.Observation {
	o := isolator.Observation{
		Fingerprint: fingerprinter.Fingerprint{Head: fingerprinter.Hash(sp.Head), Body: fingerprinter.Hash(sp.Body)},
	}
	if sp.ClearedAge >= 0 {
		o.ClearedAt = before(now, sp.ClearedAge)
	}
	for _, c := range sp.Crashes {
		o.Crashes = append(o.Crashes, isolator.Crash{
			Run: reconciler.RunHash(c.Run), SentAt: before(now, c.SentAge), CrashedAt: before(now, c.CrashedAge),
		})
	}
	return o
}

// before returns the time a number of milliseconds before now.
func before(now time.Time, age int64) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

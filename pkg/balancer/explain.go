package balancer

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/placer"
)

// Millis is a time in milliseconds.
type Millis float64

// ToMillis converts a duration.
func ToMillis(d time.Duration) Millis { return Millis(d.Seconds() * 1e3) }

// Explanation tells which target a request would be sent to now, and why.
type Explanation struct {
	// Outcome is what Pick would do: "send" to Target, or reject the request as "busy" or
	// "limited" with RetryAfterMs, or with "noTarget".
	Outcome      string     `json:"outcome"`
	Target       ids.Target `json:"target,omitempty"`
	RetryAfterMs Millis     `json:"retryAfterMs,omitempty"`
	// ObjectRegion is the region that the object has now, empty if objects have no candidates.
	ObjectRegion ids.Region `json:"objectRegion,omitempty"`
	// AllConsidered means that all targets were considered, and not candidates only.
	AllConsidered bool `json:"allConsidered"`
	// EachDiffers means that other targets are considered for the next request like it, as it
	// has no object, or as its candidates are full.
	EachDiffers bool `json:"eachDiffers,omitempty"`
	// Pressure is the ratio of requests to slots of the service, and AdmissionPressure the one
	// that the admission depends on, which may be that of a region.
	Pressure          float64 `json:"pressure"`
	AdmissionPressure float64 `json:"admissionPressure"`
	// HostReportsAgeMs is the age of the oldest report of other hosts' requests in flight that is
	// used, 0 if there is none.
	HostReportsAgeMs Millis `json:"hostReportsAgeMs"`
	// CheckFirst is the target whose health would be checked first, which may change the choice.
	CheckFirst ids.Target `json:"checkFirst,omitempty"`
	// Considered lists the targets with scores, the lowest first, and Excluded those that may
	// not get the request. NotConsidered is the number of the others.
	Considered    []ScoredTarget   `json:"considered,omitempty"`
	Excluded      []ExcludedTarget `json:"excluded,omitempty"`
	NotConsidered int              `json:"notConsidered"`
}

// ScoredTarget is a target that was considered for a request. Fields that are nil are unknown.
type ScoredTarget struct {
	Target ids.Target `json:"target"`
	Zone   ids.Zone   `json:"zone"`
	Region ids.Region `json:"region"`
	// Role is "candidate" with the Order among those of its region, "holder" for others that
	// have the object, "sample" if it is considered as these are full, or "any".
	Role  string `json:"role"`
	Order *int   `json:"order,omitempty"`
	Warm  bool   `json:"warm"`
	// Backlog is the estimated number of requests at the target. LoadAgeMs is the age of the
	// target's last report of it, which is not used if it is stale.
	Backlog   float64 `json:"backlog"`
	Slots     int     `json:"slots"`
	LoadAgeMs *Millis `json:"loadAgeMs,omitempty"`
	LoadStale bool    `json:"loadStale,omitempty"`
	// Slowdown is what the target reported lately, and SlowdownAgeMs how long ago.
	Slowdown      *Slowdown `json:"slowdown,omitempty"`
	SlowdownAgeMs *Millis   `json:"slowdownAgeMs,omitempty"`
	QueueDelayMs  Millis    `json:"queueDelayMs"`
	ServiceTimeMs Millis    `json:"serviceTimeMs"`
	RoundTripMs   Millis    `json:"roundTripMs"`
	ScoreMs       Millis    `json:"scoreMs"`
	// TooLate means that the target is not chosen as the request would miss its deadline there.
	TooLate bool `json:"tooLate,omitempty"`
	Best    bool `json:"best,omitempty"`
}

// ExcludedTarget is a target that may not get a request. The reason is one of those of
// exclusion, or "limited" if this host has no permit for the target now.
type ExcludedTarget struct {
	Target ids.Target `json:"target"`
	Zone   ids.Zone   `json:"zone"`
	Region ids.Region `json:"region"`
	Reason string     `json:"reason"`
}

// Explain tells what Pick would do with a request now. It runs the same code on copies of the
// state, and changes nothing that decides about later requests. It holds the lock of the
// service's pool for a time that grows with the number of targets.
func (b *Balancer) Explain(r Request) Explanation {
	pl, evacuated := b.poolOf(r.Service)
	if pl == nil {
		return Explanation{Outcome: "noTarget"}
	}
	now := time.Now()
	expired, oldest := b.remote.expired(now)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	s := b.newSearch(pl.clone(r.Object, expired), r, evacuated, now)
	e := Explanation{HostReportsAgeMs: ToMillis(oldest)}
	s.onScore = func(c Choice, score time.Duration) { e.Considered = append(e.Considered, s.scored(&c, score)) }
	s.scan()
	if pl.reportsSlowdown {
		c, _ := b.checkFirst(pl.clone(r.Object, nil), r, evacuated, now) // which drops no counts
		e.CheckFirst = c.Target
	}
	e.ObjectRegion, e.AllConsidered = s.region, s.scannedAll
	e.EachDiffers = s.pool.hasCandidates() && r.Object == NoObject ||
		slices.ContainsFunc(e.Considered, func(t ScoredTarget) bool { return t.Role == "sample" })
	e.Pressure, e.AdmissionPressure = s.pool.pressure, s.admissionPressure()
	e.decide(s)
	e.exclude(s)
	slices.SortStableFunc(e.Considered, func(x, y ScoredTarget) int { return cmp.Compare(x.ScoreMs, y.ScoreMs) })
	return e
}

// decide sets the outcome of a search and the best target.
func (e *Explanation) decide(s *search) {
	for i := range e.Considered {
		e.Considered[i].Best = e.Considered[i].Target == s.best.Target
	}
	var busy *ErrBusy
	var limited *ErrLimited
	switch err := s.refusal(); {
	case err == nil:
		e.Outcome, e.Target = "send", s.best.Target
	case errors.As(err, &busy):
		e.Outcome, e.RetryAfterMs = "busy", ToMillis(busy.RetryAfter)
	case errors.As(err, &limited):
		e.Outcome, e.RetryAfterMs = "limited", ToMillis(limited.RetryAfter)
	default:
		e.Outcome = "noTarget"
	}
}

// exclude adds the targets that were not scored in a search.
func (e *Explanation) exclude(s *search) {
	for _, t := range s.pool.targets {
		reason := s.exclusion(t)
		if reason == "" && !t.hasPermit(s.pool.coldRate, s.shares, s.now) {
			reason = "limited"
		}
		switch {
		case reason != "":
			e.Excluded = append(e.Excluded, ExcludedTarget{t.ID, t.Zone, t.region, reason})
		case t.consideredIn != s.pool.choiceCount:
			e.NotConsidered++
		}
	}
}

// scored describes a choice that was scored.
func (s *search) scored(c *Choice, score time.Duration) ScoredTarget {
	t := c.target
	d := ScoredTarget{
		Target: c.Target, Zone: c.Zone, Region: c.Region, Warm: c.Warm, Slots: t.Slots, Backlog: c.Backlog,
		QueueDelayMs: ToMillis(c.QueueDelay), ServiceTimeMs: ToMillis(c.ServiceTime), RoundTripMs: ToMillis(c.rtt),
		ScoreMs: ToMillis(score), TooLate: c.cannotMeetDeadline(),
	}
	d.Role, d.Order = s.role(c)
	if age := s.now.Sub(t.loadAt); !t.loadAt.IsZero() {
		d.LoadAgeMs, d.LoadStale = new(ToMillis(age)), age > loadReportTimeout
	}
	if age := s.now.Sub(t.slowdownAt); t.slowdown > 0 && age < slowdownValidity {
		d.Slowdown, d.SlowdownAgeMs = new(t.slowdown), new(ToMillis(age))
	}
	return d
}

// role returns why the target of a choice was considered, and its order if it is a candidate.
func (s *search) role(c *Choice) (string, *int) {
	if !s.pool.hasCandidates() {
		return "any", nil
	}
	for _, g := range s.pool.candidates(&s.balancer.cfg, s.pool.orAnonymous(s.request.Object)) {
		i := slices.IndexFunc(g.Candidates, func(x placer.Candidate) bool { return s.pool.targets[x.Index] == c.target })
		if i >= 0 {
			return "candidate", new(g.Candidates[i].Order)
		}
	}
	switch {
	case s.scannedAll:
		return "any", nil
	case c.Warm:
		return "holder", nil
	default:
		return "sample", nil
	}
}

// clone returns a copy of the pool on which a search for an object changes nothing of the
// original. expired are the in-flight counts that Pick would drop first. The placer is shared,
// as its state decides nothing. The caller holds the lock as long as it uses the copy.
func (pl *pool) clone(o ObjectHash, expired map[uint32]int) *pool {
	c := &pool{poolState: pl.poolState}
	copies := make([]target, len(pl.targets))
	c.targets = make([]*target, len(pl.targets))
	for i, t := range pl.targets {
		copies[i] = t.clone()
		copies[i].remoteInFlight -= expired[t.hash]
		c.targets[i] = &copies[i]
	}
	c.holders = make(map[ObjectHash][]*target)
	for _, t := range pl.holders[o] {
		if i := slices.Index(pl.targets, t); i >= 0 { // others are not registered
			c.holders[o] = append(c.holders[o], c.targets[i])
		}
	}
	c.serviceTimes = maps.Clone(pl.serviceTimes) // a search adds a class, but changes none
	c.survey.loads = slices.Clone(pl.survey.loads)
	c.shifter, c.admitter = pl.shifter.Clone(), pl.admitter.Clone()
	return c
}

// clone returns a copy of the target that shares only its recent objects. Pacers may be copied as
// long as no permit is taken from the copy, as they only add permits at the end.
func (t *target) clone() target {
	c := *t
	if t.limits != nil {
		c.limits = new(*t.limits)
	}
	return c
}

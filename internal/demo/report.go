package demo

import (
	"slices"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Report is what a run measured and how it was judged. Times are in
// milliseconds.
type Report struct {
	Deployment string  `json:"deployment"`
	DurationMs int64   `json:"durationMs"`
	Seed       uint64  `json:"seed"`
	Load       float64 `json:"load"`
	// Calls counts the calls, Answered those that a target answered, and
	// Requests what was sent to entry hosts for them.
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	Requests int `json:"requests"`

	Services   []Latency   `json:"services"`
	Workspaces []Latency   `json:"workspaces"`
	Regions    []RegionUse `json:"regions"`
	Drains     []Drain     `json:"drains"`
	Stops      []Stop      `json:"stops"`
	Refused    []Refused   `json:"refused"`
	// Worst is the workspace that fared worst.
	Worst    Worst     `json:"worst"`
	Outcomes []Outcome `json:"outcomes"`
	Promises []Promise `json:"promises"`
}

// Drain is what became of one leaving target.
type Drain struct {
	Target string `json:"target"`
	// ByOperator says that an operator drained it; else it left by itself.
	ByOperator bool `json:"byOperator"`
	// LastWorkMs is when its last new work came after the drain was accepted,
	// and DrainMs when it was idle after the drain was ordered.
	LastWorkMs float64 `json:"lastWorkMs"`
	DrainMs    float64 `json:"drainMs"`
}

// Stop is the end of one entry host.
type Stop struct {
	Host     string  `json:"host"`
	Graceful bool    `json:"graceful"`
	TookMs   float64 `json:"tookMs"`
}

// Worst tells how the worst-served workspace fared: the one with the least
// part of its share admitted, and among equals the greatest p99.
type Worst struct {
	Workspace ids.Workspace `json:"workspace"`
	// AdmittedShare is admitted over what an ideal bucket admits, at most 1.
	AdmittedShare float64 `json:"admittedShare"`
	P50Ms         float64 `json:"p50Ms"`
	P99Ms         float64 `json:"p99Ms"`
}

// Outcome counts the calls that ended in one way.
type Outcome struct {
	Outcome string `json:"outcome"`
	// Code is that of a refusal, or why no answer came.
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// Broken reports whether a promise broke.
func (r *Report) Broken() bool {
	return slices.ContainsFunc(r.Promises, func(p Promise) bool { return p.State == Broken })
}

func newReport(cfg Config, dep *deployment, r *records) *Report {
	rep := &Report{
		Deployment: dep.name,
		DurationMs: cfg.Duration.Milliseconds(),
		Seed:       cfg.Seed,
		Load:       cfg.LoadFactor,
		Calls:      len(r.calls),
		Requests:   len(r.attempts),
		Services:   serviceLatencies(r),
		Workspaces: workspaceLatencies(r),
		Regions:    regionUses(r),
		Drains:     []Drain{},
		Stops:      []Stop{},
		Refused:    refusedInsideRate(r),
		Outcomes:   outcomesOf(r),
		Promises:   audit(r),
	}
	for i := range r.calls {
		if r.calls[i].answered() {
			rep.Answered++
		}
	}
	for _, d := range drainsOf(r) {
		rep.Drains = append(rep.Drains, Drain{d.target, d.byOperator, ms(d.lastWork), ms(d.idleAfter)})
	}
	for _, e := range r.ends {
		rep.Stops = append(rep.Stops, Stop{e.host, e.graceful, ms(e.doneAt.Sub(e.begunAt))})
	}
	rep.Worst = worstOf(rep)
	return rep
}

func worstOf(rep *Report) Worst {
	var worst Worst
	for i := range rep.Refused {
		one := &rep.Refused[i]
		l := &rep.Workspaces[i]
		w := Worst{one.Workspace, 1 - one.Share(), l.P50Ms, l.P99Ms}
		if i == 0 || w.AdmittedShare < worst.AdmittedShare || w.AdmittedShare == worst.AdmittedShare && w.P99Ms > worst.P99Ms {
			worst = w
		}
	}
	return worst
}

func outcomesOf(r *records) []Outcome {
	counts := make(map[Outcome]int)
	for i := range r.calls {
		c := &r.calls[i]
		o := Outcome{Outcome: string(c.outcome), Code: string(c.code)}
		if c.err != "" {
			o = Outcome{Outcome: "no answer", Code: strings.TrimSpace(c.err[strings.LastIndex(c.err, ":")+1:])}
		}
		counts[o]++
	}
	all := make([]Outcome, 0, len(counts))
	for o, n := range counts {
		o.Count = n
		all = append(all, o)
	}
	slices.SortFunc(all, func(a, b Outcome) int { return b.Count - a.Count })
	return all
}

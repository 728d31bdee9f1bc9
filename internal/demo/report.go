package demo

import (
	"slices"
	"strings"

	"gypsumbeam.example/gypsumbeam/pkg/ids"
)

// Report holds the measurements of a run and the results of the audit. Times are in
// milliseconds.
type Report struct {
	Deployment string  `json:"deployment"`
	DurationMs int64   `json:"durationMs"`
	Seed       uint64  `json:"seed"`
	Load       float64 `json:"load"`
	// Calls counts the calls, Answered those that a target answered, and Requests the
	// attempts at entry hosts.
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	Requests int `json:"requests"`

	Services   []Latency   `json:"services"`
	Workspaces []Latency   `json:"workspaces"`
	Regions    []RegionUse `json:"regions"`
	Drains     []Drain     `json:"drains"`
	Stops      []Stop      `json:"stops"`
	Refused    []Refused   `json:"refused"`
	// Worst is the worst-served workspace.
	Worst    Worst     `json:"worst"`
	Outcomes []Outcome `json:"outcomes"`
	Promises []Promise `json:"promises"`
}

// Drain describes the drain of a target.
type Drain struct {
	Target string `json:"target"`
	// ByOperator is set if an operator drained the target, else the target did.
	ByOperator bool `json:"byOperator"`
	// LastWorkMs is the time from the acceptance of the drain until the last new
	// request, and DrainMs that from its order until the target was idle.
	LastWorkMs float64 `json:"lastWorkMs"`
	DrainMs    float64 `json:"drainMs"`
}

// Stop is the death or graceful stop of an entry host.
type Stop struct {
	Host     string  `json:"host"`
	Graceful bool    `json:"graceful"`
	TookMs   float64 `json:"tookMs"`
}

// Worst is the workspace with the smallest AdmittedShare, and among equals with the
// largest p99.
type Worst struct {
	Workspace ids.Workspace `json:"workspace"`
	// AdmittedShare is the share of the requests within its rate that were admitted,
	// at most 1.
	AdmittedShare float64 `json:"admittedShare"`
	P50Ms         float64 `json:"p50Ms"`
	P99Ms         float64 `json:"p99Ms"`
}

// Outcome counts the calls with the same outcome and code.
type Outcome struct {
	Outcome string `json:"outcome"`
	// Code is the refusal code, or the cause if no response arrived.
	Code  string `json:"code"`
	Count int    `json:"count"`
}

// Broken reports whether any promise is broken.
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
		rep.Drains = append(rep.Drains, Drain{d.target, d.byOperator, ms(d.lastRequest), ms(d.idleAfter)})
	}
	for _, e := range r.hostEnds {
		rep.Stops = append(rep.Stops, Stop{e.host, e.graceful, ms(e.endedAt.Sub(e.startedAt))})
	}
	rep.Worst = worstOf(rep)
	return rep
}

func worstOf(rep *Report) Worst {
	var worst Worst
	for i := range rep.Refused {
		refused := &rep.Refused[i]
		l := &rep.Workspaces[i]
		w := Worst{refused.Workspace, 1 - refused.Share(), l.P50Ms, l.P99Ms}
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

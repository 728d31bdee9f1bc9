package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes the report to w as tables and returns the first write error.
func (r *Report) Print(w io.Writer) error {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.line("deployment %s, %v at %g times the ordinary day, seed %d", r.Deployment,
		time.Duration(r.DurationMs)*time.Millisecond, r.Load, r.Seed)
	t.line("%d calls, %d answered by targets, %d requests sent to entry hosts", r.Calls, r.Answered, r.Requests)
	t.latencies("SERVICE", r.Services)
	t.latencies("WORKSPACE", r.Workspaces)
	t.regions(r.Regions)
	t.changes(r)
	t.refused(r)
	t.outcomes(r.Outcomes)
	t.promises(r.Promises)
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}

// table writes lines and keeps the first error.
type table struct {
	w   *tabwriter.Writer
	err error
}

func (t *table) line(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format+"\n", args...)
	}
}

func (t *table) latencies(title string, all []Latency) {
	t.line("")
	t.line("%s\tCALLS\tANSWERED\tP50 MS\tP99 MS\tAT TARGET P50\tP99\tADDED P50\tP99", title)
	for _, l := range all {
		t.line("%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f", l.Name, l.Calls, l.Answered, l.P50Ms, l.P99Ms,
			l.TargetP50Ms, l.TargetP99Ms, l.AddedP50Ms, l.AddedP99Ms)
	}
}

func (t *table) regions(all []RegionUse) {
	t.line("")
	t.line("REGION\tSERVICE\tSLOTS\tBUSY MEAN\tPEAK\tHEADROOM MEAN\tAT PEAK")
	for _, u := range all {
		t.line("%s\t%s\t%d\t%.1f\t%d\t%.0f %%\t%.0f %%", u.Region, u.Service, u.Slots, u.MeanBusy, u.PeakBusy,
			percent(u.MeanHeadroom), percent(u.Headroom))
	}
}

func (t *table) changes(r *Report) {
	t.line("")
	t.line("LEAVING TARGET\tBY\tLAST NEW WORK MS\tDRAINED AFTER MS")
	for _, d := range r.Drains {
		by := "itself"
		if d.ByOperator {
			by = "operator"
		}
		t.line("%s\t%s\t%.0f\t%.0f", d.Target, by, d.LastWorkMs, d.DrainMs)
	}
	t.line("")
	t.line("ENDED ENTRY HOST\tHOW\tTOOK MS")
	for _, s := range r.Stops {
		how := "died"
		if s.Graceful {
			how = "stopped gracefully"
		}
		t.line("%s\t%s\t%.0f", s.Host, how, s.TookMs)
	}
}

func (t *table) refused(r *Report) {
	t.line("")
	t.line("WORKSPACE\tAT ITS LIMIT\tADMITTED\tIDEAL BUCKET\tREFUSED INSIDE RATE\tSHARE\tLONGEST OUTAGE MS\tFROM MS")
	for i := range r.Refused {
		refused := &r.Refused[i]
		t.line("%s\t%d\t%d\t%d\t%d\t%.2f %%\t%.0f\t%.0f", refused.Workspace, refused.Arrived, refused.Admitted,
			refused.Ideal, refused.InsideRate, percent(refused.Share()), refused.OutageMs, refused.OutageFromMs)
	}
	t.line("")
	t.line("worst-served workspace: %s, %.2f %% of its share admitted, p50 %.1f ms, p99 %.1f ms",
		r.Worst.Workspace, percent(r.Worst.AdmittedShare), r.Worst.P50Ms, r.Worst.P99Ms)
}

func (t *table) outcomes(all []Outcome) {
	t.line("")
	t.line("OUTCOME OF CALLS\tCODE\tCOUNT")
	for _, o := range all {
		t.line("%s\t%s\t%d", o.Outcome, o.Code, o.Count)
	}
}

func (t *table) promises(all []Promise) {
	t.line("")
	t.line("PROMISE\tSTATE\tSEEN")
	for _, p := range all {
		t.line("%s\t%s\t%s", p.Name, p.State, p.Seen)
	}
	for _, p := range all {
		if p.Broken == 0 {
			continue
		}
		t.line("")
		t.line("broken %d times: %s", p.Broken, p.Name)
		for _, found := range p.Found {
			t.line("  %s", found)
		}
	}
}

func percent(part float64) float64 { return 100 * part }

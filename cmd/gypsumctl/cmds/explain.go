package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"gypsumbeam.example/gypsumbeam/pkg/balancer"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/service/gateway"
)

// explain prints where a gateway host would send a request now.
func (s *invocation) explain(ctx context.Context) error {
	a := s.args.Explain
	if len(s.args.Hosts) == 0 {
		return &errUsage{"--host must name the metrics address of a gateway host"}
	}
	if _, err := url.ParseRequestURI(a.Path); err != nil {
		return &errUsage{"--path is no valid path: " + err.Error()}
	}
	body, err := s.client.Explanation(ctx, url.Values{
		"name": {a.Name}, "path": {a.Path}, "method": {a.Method}, "object": {a.Object}, "workspace": {string(a.Workspace)},
		"timeout": {a.Timeout.String()},
	})
	if err != nil {
		return err
	}
	var e gateway.Explanation
	if err := json.Unmarshal(body, &e); err != nil {
		return errs.New("the host does not explain requests: it is of an earlier build, or --host is no metrics address (%v)", err)
	}
	if s.args.Output == formatJSON {
		_, err := s.stdout.Write(body)
		return err
	}
	printLine(s.stdout, headText(&e))
	for i := range e.Services {
		if err := s.printService(&e.Services[i]); err != nil {
			return err
		}
	}
	return nil
}

// headText describes the steps before the choice of a target.
func headText(e *gateway.Explanation) string {
	text := fmt.Sprintf("host %s, zone %s, region %s\nconfiguration version %d, confirmed %s (bound %s)",
		e.Instance, e.Zone, e.Region, e.ConfigVersion, ago(e.ConfirmedAgoMs), millis(e.MaxConfirmedAgoMs))
	if e.Route != "" {
		text += fmt.Sprintf("\nroute %s, idempotent %t, at most %d attempts, priority %d, time left %s, objective %s",
			e.Route, e.Idempotent, e.MaxAttempts, e.Priority, millis(e.TimeLeftMs), millis(e.ObjectiveMs))
	}
	for _, regions := range e.HomeRegions {
		text += ", only in " + join(regions)
	}
	if e.UnknownWorkspace {
		text += "\nno such workspace in this configuration"
	}
	switch {
	case e.WithinRate != nil && *e.WithinRate:
		text += "\nthe rate limit admits it"
	case e.WithinRate == nil && e.Services != nil:
		text += "\nrate limit unknown, or no workspace"
	}
	if e.CutOff {
		text += "\ncut off from the targets; passed on to the first that takes it of: " + strings.Join(e.RelayHosts, " ")
	}
	if e.Status != 0 {
		text += fmt.Sprintf("\nrejected: %d %s", e.Status, e.Reason)
	}
	return text
}

// printService prints the explanation of the choice among the targets of one service.
func (s *invocation) printService(x *gateway.ExplainedService) error {
	text := fmt.Sprintf("\nservice %s (weight %g): %s", x.Service, x.Weight, x.Outcome)
	if x.Target != "" {
		text += " to " + string(x.Target)
	}
	if x.RetryAfterMs > 0 {
		text += ", retry after " + millis(x.RetryAfterMs)
	}
	text += fmt.Sprintf("\npressure %.2f, %.2f for admission; other hosts' reports %s old; ",
		x.Pressure, x.AdmissionPressure, millis(x.HostReportsAgeMs))
	if x.AllConsidered {
		text += "all targets considered"
	} else {
		text += "candidates considered, object in region " + string(x.ObjectRegion)
	}
	if x.EachDiffers {
		text += "; other targets for the next request"
	}
	if x.CheckFirst != "" {
		text += fmt.Sprintf("\nthe health of %s is checked first, which may change the choice", x.CheckFirst)
	}
	printLine(s.stdout, text)
	rows := [][]string{{"TARGET", "ZONE", "REGION", "ROLE", "WARM", "BACKLOG", "REPORTED", "SLOWDOWN", "QUEUE", "SERVICE", "RTT", "SCORE", ""}}
	for i := range x.Considered {
		rows = append(rows, targetRow(&x.Considered[i]))
	}
	if err := s.table(rows...); err != nil {
		return err
	}
	_, err := fmt.Fprint(s.stdout, otherTargets(x))
	return err
}

// targetRow returns the row of one considered target.
func targetRow(t *balancer.ScoredTarget) []string {
	role, reported, slowdown, note := t.Role, ago(t.LoadAgeMs), "unknown", ""
	if t.Order != nil {
		role = fmt.Sprintf("%s %d", role, *t.Order)
	}
	if t.LoadStale {
		reported += " (stale)"
	}
	if t.Slowdown != nil {
		slowdown = fmt.Sprintf("%.2f, %s", *t.Slowdown, ago(t.SlowdownAgeMs))
	}
	switch {
	case t.Best:
		note = "best"
	case t.TooLate:
		note = "too late"
	}
	return []string{
		string(t.Target), string(t.Zone), string(t.Region), role, fmt.Sprint(t.Warm), fmt.Sprintf("%.1f of %d", t.Backlog, t.Slots),
		reported, slowdown, millis(t.QueueDelayMs), millis(t.ServiceTimeMs), millis(t.RoundTripMs), millis(t.ScoreMs), note,
	}
}

// otherTargets counts the targets that were not considered, and names some for each reason.
func otherTargets(x *gateway.ExplainedService) string {
	const maxNamed = 5
	var reasons []string
	named := make(map[string][]ids.Target)
	for _, t := range x.Excluded {
		if named[t.Reason] == nil {
			reasons = append(reasons, t.Reason)
		}
		named[t.Reason] = append(named[t.Reason], t.Target)
	}
	text := ""
	for _, reason := range reasons {
		all := named[reason]
		text += fmt.Sprintf("not eligible: %d %s, such as %s\n", len(all), reason, join(all[:min(len(all), maxNamed)]))
	}
	return text + fmt.Sprintf("eligible, not considered: %d\n", x.NotConsidered)
}

// ago formats the time since an event in milliseconds, nil if it is not known.
func ago(ms *balancer.Millis) string {
	if ms == nil {
		return "unknown"
	}
	return millis(*ms) + " ago"
}

// millis formats milliseconds.
func millis(ms balancer.Millis) string {
	return time.Duration(float64(ms) * float64(time.Millisecond)).Round(100 * time.Microsecond).String()
}

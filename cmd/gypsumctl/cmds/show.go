package cmds

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gypsumbeam.example/gypsumbeam/pkg/config"
	"gypsumbeam.example/gypsumbeam/pkg/ids"
	"gypsumbeam.example/gypsumbeam/pkg/meter"
	"gypsumbeam.example/gypsumbeam/service/operators"
)

// table prints rows with aligned columns. The first row contains the column heads.
func (s *invocation) table(rows ...[]string) error {
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (s *invocation) presetList(ctx context.Context) error {
	list, err := s.client.Presets(ctx)
	if err != nil {
		return err
	}
	if s.args.Output == formatJSON {
		return s.printJSON(list)
	}
	rows := [][]string{{"PRESET", "IN FORCE"}}
	for _, p := range list.Presets {
		mark := ""
		if p == list.InForce {
			mark = fmt.Sprintf("revision %d", list.Revision)
		}
		rows = append(rows, []string{string(p), mark})
	}
	return s.table(rows...)
}

// workspaceSummary is the JSON form of one workspace in the list.
type workspaceSummary struct {
	Name  ids.Workspace `json:"name"`
	Rate  float64       `json:"rate"`
	Burst int           `json:"burst"`
	Keys  []ids.KeyID   `json:"keys"`
}

// workspaceList prints the workspaces, with the rates and bursts that the preset in
// force sets.
func (s *invocation) workspaceList(ctx context.Context) error {
	revision, doc, err := s.stored(ctx)
	if err != nil {
		return err
	}
	lines := []workspaceSummary{}
	if doc != nil {
		snapshot := config.NewSnapshot(revision, doc)
		for _, w := range doc.Workspaces {
			inForce, _ := snapshot.Workspace(w.Name)
			line := workspaceSummary{Name: w.Name, Rate: inForce.Rate, Burst: inForce.Burst, Keys: []ids.KeyID{}}
			for _, k := range w.Keys {
				line.Keys = append(line.Keys, k.ID)
			}
			lines = append(lines, line)
		}
	}
	if s.args.Output == formatJSON {
		return s.printJSON(lines)
	}
	rows := [][]string{{"WORKSPACE", "RATE/S", "BURST", "KEYS"}}
	for _, l := range lines {
		rows = append(rows, []string{string(l.Name), fmt.Sprint(l.Rate), fmt.Sprint(l.Burst), join(l.Keys)})
	}
	return s.table(rows...)
}

func join[T any](all []T) string {
	s := make([]string, 0, len(all))
	for _, v := range all {
		s = append(s, fmt.Sprint(v))
	}
	return strings.Join(s, " ")
}

func (s *invocation) status(ctx context.Context) error {
	fleet, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	if s.args.Output == formatJSON {
		err = s.printJSON(fleet)
	} else {
		err = s.printStatus(fleet)
	}
	if err != nil {
		return err
	}
	return partialError(fleet.Unreachable)
}

func partialError(unreachable []operators.UnreachableHost) error {
	if len(unreachable) == 0 {
		return nil
	}
	return &errPartial{unreachable}
}

func (s *invocation) printStatus(fleet operators.FleetStatus) error {
	rows := [][]string{{"HOST", "INSTANCE", "ZONE", "REVISION", "PRESET", "LEASE", "SEATS", "TARGETS", "STATE"}}
	for _, h := range fleet.Hosts {
		rows = append(rows, []string{
			h.OperatorsAddress, string(h.Instance), string(h.Zone), fmt.Sprint(h.Revision), string(h.Preset),
			(time.Duration(h.LeaseLeftMs) * time.Millisecond).Round(100 * time.Millisecond).String(),
			join(h.Seats), healthyTargets(h.Targets), hostState(h),
		})
	}
	if err := s.table(rows...); err != nil {
		return err
	}
	if err := s.printTargets(fleet.Hosts); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.stdout, "\n%d hosts answered, %d did not\n", len(fleet.Hosts), len(fleet.Unreachable))
	return err
}

// healthyTargets says how many of the targets that a host probes can get requests.
func healthyTargets(targets []operators.TargetStatus) string {
	healthy := 0
	for _, t := range targets {
		if targetState(t) == "" {
			healthy++
		}
	}
	return fmt.Sprintf("%d of %d healthy", healthy, len(targets))
}

// targetState returns the state that keeps requests from a target, or an empty
// string.
func targetState(t operators.TargetStatus) string {
	switch {
	case t.Drained:
		return "drained"
	case t.Leaving:
		return "leaving"
	case !t.Healthy:
		return "unhealthy"
	default:
		return ""
	}
}

// printTargets prints the targets that get no requests, and which hosts report so.
func (s *invocation) printTargets(hosts []operators.Status) error {
	type finding struct{ target, state string }
	seen := make(map[finding][]string)
	for _, h := range hosts {
		for _, t := range h.Targets {
			if state := targetState(t); state != "" {
				f := finding{string(t.Target), state}
				seen[f] = append(seen[f], h.OperatorsAddress)
			}
		}
	}
	if len(seen) == 0 {
		return nil
	}
	rows := make([][]string, 0, len(seen))
	for f, by := range seen {
		rows = append(rows, []string{f.target, f.state, strings.Join(by, " ")})
	}
	slices.SortFunc(rows, slices.Compare)
	return s.section(append([][]string{{"TARGET", "STATE", "SAID BY"}}, rows...)...)
}

// section prints a table after an empty line.
func (s *invocation) section(rows ...[]string) error {
	if _, err := fmt.Fprintln(s.stdout); err != nil {
		return err
	}
	return s.table(rows...)
}

func hostState(h operators.Status) string {
	switch {
	case h.Leaving:
		return "leaving"
	case h.Ready:
		return "ready"
	default:
		return "not ready: " + h.Reason
	}
}

func (s *invocation) report(ctx context.Context) error {
	fleet, err := s.client.Report(ctx)
	if err != nil {
		return err
	}
	if s.args.Output == formatJSON {
		err = s.printJSON(fleet)
	} else {
		err = s.printReport(fleet)
	}
	if err != nil {
		return err
	}
	return partialError(fleet.Unreachable)
}

func (s *invocation) printReport(fleet operators.FleetReport) error {
	rows := [][]string{{"WORKSPACE", "SERVICE", "REGION", "OUTCOME", "REFUSED BECAUSE", "REQUESTS"}}
	for _, r := range fleet.Rows {
		rows = append(rows, []string{
			string(r.Workspace), string(r.Service), string(r.Region), string(r.Outcome), string(r.Code), fmt.Sprint(r.Count),
		})
	}
	if err := s.table(rows...); err != nil {
		return err
	}
	if len(fleet.Workspaces) > 0 {
		if err := s.section(timeRows("WORKSPACE", fleet.Workspaces)...); err != nil {
			return err
		}
	}
	if len(fleet.Services) > 0 {
		if err := s.section(timeRows("SERVICE", fleet.Services)...); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(s.stdout, "\n%d hosts answered, %d did not\n", len(fleet.Answered), len(fleet.Unreachable))
	return err
}

func timeRows(head string, times []meter.Latencies) [][]string {
	rows := [][]string{{head, "ANSWERED", "P50", "P99", "AT TARGET P50", "P99", "WAITED P50", "P99"}}
	for _, t := range times {
		row := []string{t.Name, fmt.Sprint(t.Latency.Count)}
		for _, us := range []int64{
			t.Latency.PercentileUs(0.5), t.Latency.PercentileUs(0.99),
			t.TargetLatency.PercentileUs(0.5), t.TargetLatency.PercentileUs(0.99),
			t.Waited.PercentileUs(0.5), t.Waited.PercentileUs(0.99),
		} {
			row = append(row, (time.Duration(us) * time.Microsecond).String())
		}
		rows = append(rows, row)
	}
	return rows
}

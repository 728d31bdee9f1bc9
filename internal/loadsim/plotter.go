package loadsim

import (
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// The size of a plot.
const (
	drawingWidth  = 24 * vg.Centimeter //nolint:misspell // The field of the library is spelt so.
	drawingHeight = 10 * vg.Centimeter //nolint:misspell // As above.
)

// series is one line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// Draw writes the timeline as SVG files into a folder, and returns their names.
// They show the latency by class, the slots in use by zone, and the refusals by
// zone and by class over time.
func (tl *Timeline) Draw(dir, name string) ([]string, error) {
	drawings := []struct {
		what, unit string
		lines      []series
	}{
		{"latency", "ms", append(linesOf(tl, byClass, "p50 ", percentile(50)), linesOf(tl, byClass, "p99 ", percentile(99))...)},
		{"slots", "slots in use", linesOf(tl, busySlots, "", func(v float64) float64 { return v })},
		{"refusals-by-zone", "refused a second", linesOf(tl, byZone, "", refusalsPerSecond)},
		{"refusals-by-kind", "refused a second", linesOf(tl, byClass, "", refusalsPerSecond)},
	}
	var files []string
	for _, d := range drawings {
		file := filepath.Join(dir, fmt.Sprintf("%s-%s.svg", name, d.what))
		if err := draw(file, name+": "+d.what, d.unit, d.lines); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	return files, nil
}

func byClass(p *Interval) map[string]*Group { return p.Classes }

func byZone(p *Interval) map[string]*Group { return withStringKeys(p.Zones) }

func busySlots(p *Interval) map[string]float64 { return withStringKeys(p.BusySlots) }

// withStringKeys returns a copy of m with strings as keys.
func withStringKeys[K ~string, V any](m map[K]V) map[string]V {
	result := make(map[string]V, len(m))
	for k, v := range m {
		result[string(k)] = v
	}
	return result
}

// percentile returns a function that returns a group's percentile p of the latency
// in milliseconds.
func percentile(p int) func(*Group) float64 {
	return func(g *Group) float64 { return float64(g.Percentile(p).Milliseconds()) }
}

func refusalsPerSecond(g *Group) float64 { return float64(g.Refused) / intervalLength.Seconds() }

// linesOf returns a line for each name that the timeline has values of.
func linesOf[V any](tl *Timeline, valuesByName func(*Interval) map[string]V, prefix string, value func(V) float64) []series {
	points := make(map[string]plotter.XYs)
	for _, p := range tl.Intervals[:max(len(tl.Intervals)-1, 0)] { // The last interval may be incomplete.
		for name, v := range valuesByName(p) {
			points[name] = append(points[name], plotter.XY{X: p.Start.Seconds(), Y: value(v)})
		}
	}
	lines := make([]series, 0, len(points))
	for _, name := range slices.SortedFunc(maps.Keys(points), cmp.Compare[string]) {
		lines = append(lines, series{prefix + name, points[name]})
	}
	return lines
}

// draw writes one plot.
func draw(file, title, unit string, lines []series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range lines {
		line, err := plotter.NewLine(s.points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i) //nolint:misspell // The field of the library is spelt so.
		line.Dashes = plotutil.Dashes(i / len(plotutil.SoftColors))
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p.Save(drawingWidth, drawingHeight, file)
}

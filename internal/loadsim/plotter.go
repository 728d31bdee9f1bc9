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

// The size of a drawing.
const (
	drawingWidth  = 24 * vg.Centimeter //nolint:misspell // The field of the library is spelt so.
	drawingHeight = 10 * vg.Centimeter //nolint:misspell // As above.
)

// series is one line of a drawing.
type series struct {
	name   string
	points plotter.XYs
}

// Draw writes the timeline as SVG files into a folder, and returns their names:
// latency by kind, slots in use by zone, refusals by zone and by kind, each over
// the seconds of the play.
func (l *Timeline) Draw(folder, name string) ([]string, error) {
	drawings := []struct {
		what, unit string
		lines      []series
	}{
		{"latency", "ms", append(lines(l, kinds, "p50 ", percentile(50)), lines(l, kinds, "p99 ", percentile(99))...)},
		{"slots", "slots in use", lines(l, busy, "", func(v float64) float64 { return v })},
		{"refusals-by-zone", "refused a second", lines(l, zones, "", refused)},
		{"refusals-by-kind", "refused a second", lines(l, kinds, "", refused)},
	}
	var files []string
	for _, d := range drawings {
		file := filepath.Join(folder, fmt.Sprintf("%s-%s.svg", name, d.what))
		if err := draw(file, name+": "+d.what, d.unit, d.lines); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	return files, nil
}

func kinds(p *Part) map[string]*Group { return p.Kinds }

func zones(p *Part) map[string]*Group { return named(p.Zones) }

func busy(p *Part) map[string]float64 { return named(p.Busy) }

// named gives a map plain texts as its keys.
func named[K ~string, V any](all map[K]V) map[string]V {
	texts := make(map[string]V, len(all))
	for k, v := range all {
		texts[string(k)] = v
	}
	return texts
}

// percentile returns a function that takes a percentile in milliseconds.
func percentile(p int) func(*Group) float64 {
	return func(g *Group) float64 { return float64(g.Percentile(p).Milliseconds()) }
}

func refused(g *Group) float64 { return float64(g.Refused) / step.Seconds() }

// lines makes a line for each group that a timeline has.
func lines[V any](l *Timeline, groups func(*Part) map[string]V, prefix string, value func(V) float64) []series {
	points := make(map[string]plotter.XYs)
	for _, p := range l.Parts[:max(len(l.Parts)-1, 0)] { // The last part may not be full.
		for name, v := range groups(p) {
			points[name] = append(points[name], plotter.XY{X: p.At.Seconds(), Y: value(v)})
		}
	}
	all := make([]series, 0, len(points))
	for _, name := range slices.SortedFunc(maps.Keys(points), cmp.Compare[string]) {
		all = append(all, series{prefix + name, points[name]})
	}
	return all
}

// draw writes one drawing.
func draw(file, title, unit string, all []series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range all {
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

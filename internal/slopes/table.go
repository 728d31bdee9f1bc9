package slopes

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// writeTable writes the series as a text table with one row per metric and one
// column per x.
func (s *Series) writeTable(w io.Writer) error {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := []string{s.tableHeader()}
	for _, m := range s.Fits {
		rows = append(rows, s.tableRow(m))
	}
	if _, err := io.WriteString(t, strings.Join(rows, "\n")+"\n"); err != nil {
		return errs.New("slopes: write the table: %v", err)
	}
	if err := t.Flush(); err != nil {
		return errs.New("slopes: write the table: %v", err)
	}
	if _, err := fmt.Fprintf(w, "%s: x = %s\n%s\n", s.Name, s.Varied, b.String()); err != nil {
		return errs.New("slopes: write the table: %v", err)
	}
	return nil
}

func (s *Series) tableHeader() string {
	cells := []string{"METRIC"}
	for _, p := range s.Points {
		cells = append(cells, fmt.Sprintf("x=%g", p.X))
	}
	return strings.Join(append(cells, "SLOPE", "INTERCEPT", "RESIDUAL", ""), "\t")
}

func (s *Series) tableRow(m Metric) string {
	cells := []string{m.Name}
	for _, p := range s.Points {
		cells = append(cells, fmt.Sprintf("%.4g", p.Values[m.Name]))
	}
	cells = append(cells, fmt.Sprintf("%.4g", m.Slope), fmt.Sprintf("%.4g", m.Intercept))
	return strings.Join(append(cells, fmt.Sprintf("%.0f%%", m.Residual*100), ""), "\t")
}

package slopes

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestFitResidualTellsLineFromCurve(t *testing.T) {
	is := is.New(t)
	f := NewFit([]float64{1, 2, 5}, []float64{5, 7, 13})
	is.True(math.Abs(f.Slope-2) < 1e-9)
	is.True(math.Abs(f.Intercept-3) < 1e-9)
	is.True(f.Residual < 1e-9)
	curve := NewFit([]float64{1, 2, 3, 4}, []float64{1, 16, 81, 256})
	is.True(curve.Residual > 0.2) // a curve has a large residual
	is.Equal(NewFit([]float64{4, 4}, []float64{1, 3}), Fit{Intercept: 2, Residual: 0.5})
	is.Equal(NewFit(nil, nil), Fit{})
}

func TestUnknownSeriesIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := Run(t.Context(), Config{Only: []string{"moon"}}, &bytes.Buffer{})
	is.True(err != nil)
}

func TestSteeringIsMeasuredAndPrinted(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	r, err := Run(t.Context(), Config{Only: []string{"steering"}}, &out)
	is.NoErr(err)
	is.Equal(len(r.Series), 1)
	for _, p := range r.Series[0].Points {
		is.True(p.Values[tableLookupNs] > 0)
		is.True(p.Values[tableAnswerBytes] > p.X) // the answer names every host of the region
	}
	is.True(strings.Contains(out.String(), tableAnswerBytes))
}

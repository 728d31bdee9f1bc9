package slopes

import "math"

// Fit is a straight line fitted to measured points.
type Fit struct {
	// Slope is the growth of the value when x grows by one.
	Slope float64 `json:"slope"`
	// Intercept is the value at x = 0.
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the points' distances from the line, as a
	// fraction of the mean value. If it is large, the value is not linear in x.
	Residual float64 `json:"residual"`
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// NewFit returns the least-squares line through the points. xs and ys must have the
// same length. With fewer than two different xs the line is horizontal.
func NewFit(xs, ys []float64) Fit {
	if len(xs) == 0 {
		return Fit{}
	}
	meanX, meanY := mean(xs), mean(ys)
	var sxy, sxx float64
	for i, x := range xs {
		sxy += (x - meanX) * (ys[i] - meanY)
		sxx += (x - meanX) * (x - meanX)
	}
	f := Fit{Intercept: meanY}
	if sxx > 0 {
		f.Slope = sxy / sxx
		f.Intercept = meanY - f.Slope*meanX
	}
	var sum float64
	for i, x := range xs {
		d := ys[i] - f.At(x)
		sum += d * d
	}
	if meanY != 0 {
		f.Residual = math.Sqrt(sum/float64(len(xs))) / math.Abs(meanY)
	}
	return f
}

func mean(all []float64) float64 {
	var sum float64
	for _, v := range all {
		sum += v
	}
	return sum / float64(len(all))
}

package scalerun

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// PowerLaw is y = Factor * x^Exponent, fitted to logarithms by least squares. StandardError is the exponent's; NaN with fewer than
// three points, as two always lie on a line.
type PowerLaw struct {
	Exponent, Factor, StandardError float64
	Points                          int
}

// Predict returns y at x.
func (p PowerLaw) Predict(x float64) float64 { return p.Factor * math.Pow(x, p.Exponent) }

// FitPowerLaw fits points with both values above zero; others have no logarithm and are skipped. It returns false where fewer than
// two are left.
func FitPowerLaw(xs, ys []float64) (PowerLaw, bool) {
	var logX, logY []float64
	for i := range xs {
		if xs[i] > 0 && ys[i] > 0 {
			logX, logY = append(logX, math.Log(xs[i])), append(logY, math.Log(ys[i]))
		}
	}
	if len(logX) < 2 {
		return PowerLaw{}, false
	}
	intercept, slope := stat.LinearRegression(logX, logY, nil, false)
	return PowerLaw{
		Exponent:      slope,
		Factor:        math.Exp(intercept),
		StandardError: slopeStandardError(logX, logY, intercept, slope),
		Points:        len(logX),
	}, true
}

func slopeStandardError(xs, ys []float64, intercept, slope float64) float64 {
	if len(xs) < 3 {
		return math.NaN()
	}
	mean, residuals, deviations := stat.Mean(xs, nil), 0.0, 0.0
	for i := range xs {
		residual, deviation := ys[i]-intercept-slope*xs[i], xs[i]-mean
		residuals += residual * residual
		deviations += deviation * deviation
	}
	return math.Sqrt(residuals / float64(len(xs)-2) / deviations)
}

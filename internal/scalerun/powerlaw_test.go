package scalerun

import (
	"math"
	"testing"
)

// The published exponents depend on it: a known power law is found, without an error; a point without a logarithm is left out.
func TestFitPowerLaw(t *testing.T) {
	p, ok := FitPowerLaw([]float64{1, 3, 9, 27, 5}, []float64{2, 2 * math.Pow(3, 1.5), 2 * math.Pow(9, 1.5), 2 * math.Pow(27, 1.5), 0})
	if !ok || p.Points != 4 || math.Abs(p.Exponent-1.5) > 1e-9 || math.Abs(p.Factor-2) > 1e-9 || p.StandardError > 1e-9 {
		t.Fatalf("%+v", p)
	}
	if got := p.Predict(81); math.Abs(got-2*729) > 1e-6 {
		t.Fatalf("predicted %v", got)
	}
	if _, ok := FitPowerLaw([]float64{1, 2}, []float64{0, 4}); ok {
		t.Fatal("one point makes no slope")
	}
	if p, _ := FitPowerLaw([]float64{1, 2}, []float64{1, 4}); !math.IsNaN(p.StandardError) {
		t.Fatal("two points have no standard error")
	}
}

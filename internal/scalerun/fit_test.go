package scalerun

import (
	"math"
	"strings"
	"testing"
)

// The page's slopes rest on it: a known power is found, with no spread; a point without a logarithm is left out.
func TestFit(t *testing.T) {
	p, ok := FitPowerLaw([]float64{1, 3, 9, 27, 5}, []float64{2, 2 * math.Pow(3, 1.5), 2 * math.Pow(9, 1.5), 2 * math.Pow(27, 1.5), 0})
	if !ok || p.Points != 4 || math.Abs(p.Exponent-1.5) > 1e-9 || math.Abs(p.Factor-2) > 1e-9 || p.StandardError > 1e-9 {
		t.Fatalf("%+v", p)
	}
	if got := p.Predict(81); math.Abs(got-2*729) > 1e-6 {
		t.Fatalf("carried on to %v", got)
	}
	if _, ok := FitPowerLaw([]float64{1, 2}, []float64{0, 4}); ok {
		t.Fatal("one point makes no slope")
	}
	if p, _ := FitPowerLaw([]float64{1, 2}, []float64{1, 4}); !math.IsNaN(p.StandardError) {
		t.Fatal("two points have no spread")
	}
}

func TestReadBenchmarks(t *testing.T) {
	all, err := ReadBenchmarks(strings.NewReader(`goos: linux
BenchmarkCapacityState/whole/frame/n=1740-2         	      98	   2140093 ns/op	    131487 wire-B	  285564 B/op
BenchmarkCapacityState/whole/frame/n=5220-2         	      37	  11020302 ns/op	    397087 wire-B	  802880 B/op
BenchmarkCapacityBeat/n=580         	  992128	       137.3 ns/op
BenchmarkOther-2  	 10	 5 ns/op
PASS
`))
	if err != nil || len(all) != 4 {
		t.Fatalf("%v, %+v", err, all)
	}
	if s := all[0]; s.Name != "CapacityBeat" || s.Unit != "ns/op" || s.X[0] != 580 || s.Y[0] != 137.3 {
		t.Fatalf("%+v", s)
	}
	if s := all[2]; s.Name != "CapacityState/whole/frame" || s.Unit != "wire-B" || len(s.X) != 2 || s.Y[1] != 397087 {
		t.Fatalf("%+v", s)
	}
}

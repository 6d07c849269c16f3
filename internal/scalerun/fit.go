package scalerun

import (
	"bufio"
	"cmp"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// PowerLaw is y = Factor * x^Exponent, fitted to logarithms by least squares. Spread is the standard error of the exponent; NaN
// with fewer than three points, as two always lie on a line.
type PowerLaw struct {
	Exponent, Factor, StandardError float64
	Points                          int
}

// Predict carries the power on to another size.
func (p PowerLaw) Predict(x float64) float64 { return p.Factor * math.Pow(x, p.Exponent) }

// FitPowerLaw takes points with both values above zero; others have no logarithm and are passed over. With fewer than two it
// tells so.
func FitPowerLaw(xs, ys []float64) (PowerLaw, bool) {
	var lx, ly []float64
	for i := range xs {
		if xs[i] > 0 && ys[i] > 0 {
			lx, ly = append(lx, math.Log(xs[i])), append(ly, math.Log(ys[i]))
		}
	}
	if len(lx) < 2 {
		return PowerLaw{}, false
	}
	a, b := stat.LinearRegression(lx, ly, nil, false)
	p := PowerLaw{Exponent: b, Factor: math.Exp(a), StandardError: math.NaN(), Points: len(lx)}
	if len(lx) > 2 {
		mean, left, wide := stat.Mean(lx, nil), 0.0, 0.0
		for i := range lx {
			left += (ly[i] - a - b*lx[i]) * (ly[i] - a - b*lx[i])
			wide += (lx[i] - mean) * (lx[i] - mean)
		}
		p.StandardError = math.Sqrt(left / float64(len(lx)-2) / wide)
	}
	return p, true
}

// Series is one figure at several sizes.
type Series struct {
	Name, Unit string
	X, Y       []float64
}

// Largest is the value at the largest size, and that size.
func (s Series) Largest() (x, y float64) {
	i := 0
	for j := range s.X {
		if s.X[j] > s.X[i] {
			i = j
		}
	}
	return s.X[i], s.Y[i]
}

var benchLine = regexp.MustCompile(`^Benchmark(\S+?)/n=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// ReadBenchmarks gathers the figures of `go test -bench` whose benchmarks end in /n=SIZE, in the order in which they stand.
func ReadBenchmarks(r io.Reader) ([]Series, error) {
	var all []*Series
	at := map[string]*Series{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		m := benchLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		n, _ := strconv.ParseFloat(m[2], 64)
		f := strings.Fields(m[3])
		for i := 0; i+1 < len(f); i += 2 {
			v, err := strconv.ParseFloat(f[i], 64)
			if err != nil {
				return nil, err
			}
			key := m[1] + " " + f[i+1]
			if at[key] == nil {
				at[key] = &Series{Name: m[1], Unit: f[i+1]}
				all = append(all, at[key])
			}
			at[key].X, at[key].Y = append(at[key].X, n), append(at[key].Y, v)
		}
	}
	out := make([]Series, len(all))
	for i, s := range all {
		out[i] = *s
	}
	slices.SortStableFunc(out, func(a, b Series) int { return cmp.Compare(a.Name, b.Name) })
	return out, lines.Err()
}

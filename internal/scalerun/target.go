package scalerun

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"

	"zincloft.example/zincloft/internal/sizes"
)

// Target is the size to which figures are carried on, and the bounds there.
type Target struct {
	Gateways int     `toml:"governors"` // foragers
	Replicas int     `toml:"replicas"`
	Services int     `toml:"services"`
	Routes   int     `toml:"routes"`
	Zones    int     `toml:"zones"`
	Requests float64 `toml:"requests_per_second"`

	Bounds []Bound `toml:"bound"`
}

// Bound is what a figure may be at the target.
type Bound struct {
	Name   string  `toml:"name"` // of the series
	Unit   string  `toml:"unit"`
	Max    float64 `toml:"most"`
	Reason string  `toml:"why"`
}

// Fleet is the target's size.
func (t Target) Fleet() sizes.Fleet {
	return sizes.Fleet{Gateways: t.Gateways, Replicas: t.Replicas, Services: t.Services, Routes: t.Routes, Zones: t.Zones}
}

// ReadTarget reads a target file. A key that is not known is a fault.
func ReadTarget(path string) (t Target, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return t, err
	}
	d := toml.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&t); err != nil {
		return t, merry.Prepend(err, path)
	}
	if t.Gateways < 1 || t.Replicas < 1 || t.Services < 1 || t.Routes < 1 || t.Zones < 1 {
		return t, merry.Errorf("%s: governors, replicas, services, routes and zones must all be above nothing", path)
	}
	return t, nil
}

// FormatNumber is a figure with four digits.
func FormatNumber(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v):
		return "-"
	case a >= 1e9:
		return fmt.Sprintf("%.3g G", v/1e9)
	case a >= 1e6:
		return fmt.Sprintf("%.3g M", v/1e6)
	case a >= 1e4:
		return fmt.Sprintf("%.3g k", v/1e3)
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

// WriteTable writes series as tables, one for all that begin at the same size: each size, the power with its spread, what it leads to
// at size `to`, and the bound. What a power can't be fitted to is not measured.
func WriteTable(w io.Writer, all []Series, to float64, bounds []Bound) {
	for len(all) > 0 {
		var same, others []Series
		var xs []float64
		for _, s := range all {
			if s.X[0] != all[0].X[0] {
				others = append(others, s)
				continue
			}
			same = append(same, s)
			if len(s.X) > len(xs) {
				xs = s.X
			}
		}
		writeTable(w, same, xs, to, bounds)
		all = others
	}
}

func writeTable(w io.Writer, all []Series, xs []float64, to float64, bounds []Bound) {
	fmt.Fprint(w, "| what | unit |")
	for _, x := range xs {
		fmt.Fprintf(w, " %s |", FormatNumber(x))
	}
	fmt.Fprintf(w, " power | at %s | bound | |\n| --- | --- |%s --- | --- | --- | --- |\n", FormatNumber(to), strings.Repeat(" --- |", len(xs)))
	for _, s := range all {
		fmt.Fprintf(w, "| %s | %s |", s.Name, s.Unit)
		for _, x := range xs {
			v := math.NaN()
			for i := range s.X {
				if s.X[i] == x {
					v = s.Y[i]
				}
			}
			fmt.Fprintf(w, " %s |", FormatNumber(v))
		}
		p, ok := FitPowerLaw(s.X, s.Y)
		if !ok {
			fmt.Fprint(w, " not measured | | | |\n")
			continue
		}
		spread := ""
		if !math.IsNaN(p.StandardError) {
			spread = fmt.Sprintf(" ± %.2f", p.StandardError)
		}
		at := p.Predict(to)
		if x, y := s.Largest(); x == to {
			at = y
		}
		bound, verdict := "", ""
		for _, b := range bounds {
			if b.Name == s.Name && b.Unit == s.Unit {
				if bound, verdict = FormatNumber(b.Max), "fits"; at > b.Max {
					verdict = "does not fit"
				}
			}
		}
		fmt.Fprintf(w, " %.2f%s | %s | %s | %s |\n", p.Exponent, spread, FormatNumber(at), bound, verdict)
	}
	fmt.Fprintln(w)
}

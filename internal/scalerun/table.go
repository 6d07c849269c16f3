package scalerun

import (
	"fmt"
	"io"
	"math"
	"strings"
)

// FormatNumber writes a figure with three or four digits and a unit prefix; NaN is "-".
func FormatNumber(value float64) string {
	switch magnitude := math.Abs(value); {
	case math.IsNaN(value):
		return "-"
	case magnitude >= 1e9:
		return fmt.Sprintf("%.3g G", value/1e9)
	case magnitude >= 1e6:
		return fmt.Sprintf("%.3g M", value/1e6)
	case magnitude >= 1e4:
		return fmt.Sprintf("%.3g k", value/1e3)
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", value)
	default:
		return fmt.Sprintf("%.3g", value)
	}
}

// WriteTable writes series as tables, one for all that begin at the same size: each size, the power law with its standard error,
// what it predicts at the target size, and the bound there. A series without a power law is reported as not measured.
func WriteTable(w io.Writer, all []Series, targetSize float64, bounds []Bound) error {
	var out strings.Builder
	for len(all) > 0 {
		var same, others []Series
		for _, series := range all {
			if series.X[0] == all[0].X[0] {
				same = append(same, series)
			} else {
				others = append(others, series)
			}
		}
		table := table{out: &out, sizes: longestSizes(same), targetSize: targetSize, bounds: bounds}
		table.write(same)
		all = others
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func longestSizes(all []Series) []float64 {
	var longest []float64
	for _, series := range all {
		if len(series.X) > len(longest) {
			longest = series.X
		}
	}
	return longest
}

// table writes series that share their sizes.
type table struct {
	out        *strings.Builder
	sizes      []float64
	targetSize float64
	bounds     []Bound
}

func (t table) write(all []Series) {
	t.out.WriteString("| what | unit |")
	for _, size := range t.sizes {
		fmt.Fprintf(t.out, " %s |", FormatNumber(size))
	}
	fmt.Fprintf(t.out, " power | at %s | bound | |\n| --- | --- |%s --- | --- | --- | --- |\n",
		FormatNumber(t.targetSize), strings.Repeat(" --- |", len(t.sizes)))
	for _, series := range all {
		t.writeLine(series)
	}
	t.out.WriteString("\n")
}

func (t table) writeLine(series Series) {
	fmt.Fprintf(t.out, "| %s | %s |", series.Name, series.Unit)
	for _, size := range t.sizes {
		value, ok := series.at(size)
		if !ok {
			value = math.NaN()
		}
		fmt.Fprintf(t.out, " %s |", FormatNumber(value))
	}
	law, ok := FitPowerLaw(series.X, series.Y)
	if !ok {
		t.out.WriteString(" not measured | | | |\n")
		return
	}
	standardError := ""
	if !math.IsNaN(law.StandardError) {
		standardError = fmt.Sprintf(" ± %.2f", law.StandardError)
	}
	atTarget := law.Predict(t.targetSize)
	if x, y := series.Largest(); x == t.targetSize {
		atTarget = y // it was measured
	}
	bound, verdict := t.compare(series, atTarget)
	fmt.Fprintf(t.out, " %.2f%s | %s | %s | %s |\n", law.Exponent, standardError, FormatNumber(atTarget), bound, verdict)
}

// compare returns the bound of a series and whether a value keeps it; both are empty where it has none.
func (t table) compare(series Series, value float64) (bound, verdict string) {
	for _, b := range t.bounds {
		if b.Name != series.Name || b.Unit != series.Unit {
			continue
		}
		bound, verdict = FormatNumber(b.Max), "fits"
		if value > b.Max {
			verdict = "does not fit"
		}
	}
	return bound, verdict
}

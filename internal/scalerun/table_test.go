package scalerun

import (
	"strings"
	"testing"
)

// A line compares its prediction with its bound; a figure without a power law is reported as not measured; at a size that was run
// the measured value counts.
func TestWriteTable(t *testing.T) {
	var b strings.Builder
	err := WriteTable(&b, []Series{{"a", "B/s", []float64{1, 3, 9}, []float64{2, 6, 18}}, {"b", "B/s", []float64{1, 3, 9}, []float64{2, 6, 18}},
		{"none", "", []float64{1, 3, 9}, []float64{0, 0, 0}}, {"other", "ms", []float64{2, 27}, []float64{1, 5}}}, 27, []Bound{{"a", "B/s", 53, ""}, {"b", "B/s", 54.5, ""}})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"| a | B/s | 2 | 6 | 18 | 1.00 ± 0.00 | 54 | 53 | does not fit |", "| b | B/s | 2 | 6 | 18 | 1.00 ± 0.00 | 54 | 54.5 | fits |",
		"| none |  | 0 | 0 | 0 | not measured | | | |", "| what | unit | 2 | 27 | power |", "| other | ms | 1 | 5 | 0.62 | 5 |  |  |"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is missing in\n%s", want, b.String())
		}
	}
}

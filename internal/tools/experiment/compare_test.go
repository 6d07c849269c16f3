package experiment

import (
	"bytes"
	"strings"
	"testing"
)

// TestCompareVariants guards against false and missed differences: identical variants must not differ, and a variant that ignores a
// hanging replica must be worse.
func TestCompareVariants(t *testing.T) {
	p := mustParse(t, smallPlan)
	folder := t.TempDir()
	if _, err := Run(t.Context(), p, folder, 4, func(int, int) {}); err != nil {
		t.Fatal(err)
	}
	records, err := LoadRecords(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range Compare(records, "zincloft") {
		switch {
		case s.Variant == "again" && s.Differences[0].ExcludesZero():
			t.Errorf("%s: identical variants differ by %v", s.Scenario, s.Differences[0])
		case s.Variant == "again" && !strings.HasPrefix(formatDifference(s), "no difference"):
			t.Errorf("%s: %s", s.Scenario, formatDifference(s))
		case s.Variant == "even" && s.Scenario == "hang" && s.Differences[0].Mean >= 0:
			t.Errorf("equal weights are not worse with a hanging replica: %v", s.Differences[0])
		}
	}
	var out bytes.Buffer
	if err := WritePage(&out, p, records); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "<svg"); n != 2*len(charts) {
		t.Errorf("%d charts, want %d", n, 2*len(charts))
	}
	WriteTable(&out, Compare(records, "zincloft"), "zincloft")
}

// TestConfidenceInterval compares an interval with a known one: the values 1, 2, 3 have a standard deviation of 1, and t is 4.303 at
// two degrees of freedom.
func TestConfidenceInterval(t *testing.T) {
	if i := newInterval([]float64{1, 2, 3}); i.Mean != 2 || i.HalfWidth < 2.484 || i.HalfWidth > 2.485 || !(Interval{Mean: 2.5, HalfWidth: i.HalfWidth}).ExcludesZero() || i.ExcludesZero() {
		t.Errorf("%+v", i)
	}
	if newInterval([]float64{5}).ExcludesZero() {
		t.Error("a single value shows a significant difference")
	}
}

package experiment

import (
	"bytes"
	"strings"
	"testing"
)

// TestCompareVariants has two variants that are the same, of which no difference is reported, and one that does not react to a replica
// that hangs.
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
			t.Errorf("%s: the same variant differs by %v", s.Scenario, s.Differences[0])
		case s.Variant == "again" && !strings.HasPrefix(formatDifference(s), "no difference"):
			t.Errorf("%s: %s", s.Scenario, formatDifference(s))
		case s.Variant == "even" && s.Scenario == "hang" && s.Differences[0].Mean >= 0:
			t.Errorf("even weights do no worse while a replica hangs: %v", s.Differences[0])
		}
	}
	var out bytes.Buffer
	if err := WritePage(&out, p, records); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "<svg"); n != 2*len(charts) {
		t.Errorf("%d charts", n)
	}
	WriteTable(&out, Compare(records, "zincloft"), "zincloft")
}

// TestConfidenceInterval compares an interval with one worked out by hand: 1, 2, 3 have a deviation of 1, and t is 4.303 at two
// degrees of freedom.
func TestConfidenceInterval(t *testing.T) {
	if i := newInterval([]float64{1, 2, 3}); i.Mean != 2 || i.HalfWidth < 2.484 || i.HalfWidth > 2.485 || !(Interval{Mean: 2.5, HalfWidth: i.HalfWidth}).ExcludesZero() || i.ExcludesZero() {
		t.Errorf("%+v", i)
	}
	if newInterval([]float64{5}).ExcludesZero() {
		t.Error("a single run shows a difference")
	}
}

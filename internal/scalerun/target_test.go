package scalerun

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// A bound whose name no figure has would never be looked at; docs/capacity-scale.csv is the kept run.
func TestBoundsNameFigures(t *testing.T) {
	target, err := ReadTarget("../../examples/target.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f := target.Fleet(); f.Gateways != 3300 || f.Replicas != 47000 || f.Services != 1300 || f.Routes != 51000 || f.Zones != 27 {
		t.Fatalf("%+v", f)
	}
	f, err := os.Open("../../docs/capacity-scale.csv")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, err := csv.NewReader(f).ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	var rows []Row
	for _, l := range lines[1:] {
		part, _ := strconv.ParseFloat(l[0], 64)
		v, _ := strconv.ParseFloat(l[4], 64)
		rows = append(rows, Row{part, l[1], l[2], l[3], v})
	}
	all := GroupSeries(rows)
	for _, b := range target.Bounds {
		found := false
		for _, s := range all {
			found = found || s.Name == b.Name && s.Unit == b.Unit
		}
		if !found {
			t.Errorf("no figure is called %q in %q", b.Name, b.Unit)
		}
	}
	if len(target.Bounds) == 0 {
		t.Error("no bounds")
	}
}

func TestTargetFaults(t *testing.T) {
	for _, x := range []string{"governors = 1\nreplicas = 1\nservices = 1\nroutes = 1\nzones = 1\nreplcas = 2\n", "governors = 1\n", "governors = \n"} {
		path := filepath.Join(t.TempDir(), "t.toml")
		if err := os.WriteFile(path, []byte(x), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadTarget(path); err == nil {
			t.Errorf("taken: %q", x)
		}
	}
}

// A line says what it leads to against its bound; what has no power says that it was not measured; a size that was played is not
// carried.
func TestTable(t *testing.T) {
	var b strings.Builder
	WriteTable(&b, []Series{{"a", "B/s", []float64{1, 3, 9}, []float64{2, 6, 18}}, {"b", "B/s", []float64{1, 3, 9}, []float64{2, 6, 18}},
		{"none", "", []float64{1, 3, 9}, []float64{0, 0, 0}}, {"other", "ms", []float64{2, 27}, []float64{1, 5}}}, 27, []Bound{{"a", "B/s", 53, ""}, {"b", "B/s", 54.5, ""}})
	for _, want := range []string{"| a | B/s | 2 | 6 | 18 | 1.00 ± 0.00 | 54 | 53 | does not fit |", "| b | B/s | 2 | 6 | 18 | 1.00 ± 0.00 | 54 | 54.5 | fits |",
		"| none |  | 0 | 0 | 0 | not measured | | | |", "| what | unit | 2 | 27 | power |", "| other | ms | 1 | 5 | 0.62 | 5 |  |  |"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("%q is missing in\n%s", want, b.String())
		}
	}
}

func TestSummed(t *testing.T) {
	got := sumRows([]Row{{1, "comb", "memory", "MB", 2}, {3, "comb", "memory", "MB", 5}, {1, "comb", "memory", "MB", 4}})
	if len(got) != 2 || got[0].Value != 6 || got[1].Value != 5 {
		t.Fatalf("%+v", got)
	}
}

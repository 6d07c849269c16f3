package scalerun

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"strings"
	"testing"
)

// readKeptRows reads a file of figures.
func readKeptRows(t *testing.T, path string) []Row {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rows, err := ReadCSV(bytes.NewReader(raw))
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

func TestSumRows(t *testing.T) {
	got := sumRows([]Row{{1, roleMember, "memory", "MB", 2}, {3, roleMember, "memory", "MB", 5}, {1, roleMember, "memory", "MB", 4}})
	if len(got) != 2 || got[0].Value != 6 || got[1].Value != 5 {
		t.Fatalf("%+v", got)
	}
}

// Files kept from earlier runs are read, and no earlier name is left.
func TestReadCSVTakesEarlierNames(t *testing.T) {
	for _, path := range []string{"../../docs/capacity-scale.csv", "../../docs/capacity-scale-10.csv"} {
		rows := readKeptRows(t, path)
		if len(rows) < 20 {
			t.Fatalf("%s: %d rows", path, len(rows))
		}
		for _, row := range rows {
			if _, earlier := earlierRoles[row.Role]; earlier {
				t.Errorf("%s: %+v", path, row)
			}
			if _, earlier := earlierMetrics[row.Metric]; earlier {
				t.Errorf("%s: %+v", path, row)
			}
		}
	}
}

func TestCSVRoundTrip(t *testing.T) {
	rows := []Row{{0.01, roleMember, "memory", "MB", 12.5}, {0.03, roleGateway, "member killed: joined another after, p50", "s", 1.25}}
	var out bytes.Buffer
	if err := WriteCSV(&out, rows); err != nil {
		t.Fatal(err)
	}
	if got, err := ReadCSV(&out); err != nil || !slices.Equal(got, rows) {
		t.Errorf("%+v, %v", got, err)
	}
	for _, text := range []string{"", "a,b\n", "part,role,what,unit,value\nx,a,b,c,1\n"} {
		if _, err := ReadCSV(strings.NewReader(text)); !errors.Is(err, ErrNotRows) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

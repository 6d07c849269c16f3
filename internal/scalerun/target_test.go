package scalerun

import (
	"os"
	"path/filepath"
	"testing"
)

// A bound whose name no figure has would never be looked at; docs/capacity-scale.csv is the kept run, with earlier names.
func TestBoundsNameFigures(t *testing.T) {
	target, err := ReadTarget("../../examples/target.toml")
	if err != nil {
		t.Fatal(err)
	}
	if f := target.Fleet(); f.Gateways != 3300 || f.Replicas != 47000 || f.Services != 1300 || f.Routes != 51000 || f.Zones != 27 {
		t.Fatalf("%+v", f)
	}
	all := GroupSeries(readKeptRows(t, "../../docs/capacity-scale.csv"))
	for _, bound := range target.Bounds {
		found := false
		for _, series := range all {
			found = found || series.Name == bound.Name && series.Unit == bound.Unit
		}
		if !found {
			t.Errorf("no figure is called %q in %q", bound.Name, bound.Unit)
		}
	}
	if len(target.Bounds) == 0 {
		t.Error("no bounds")
	}
}

// A target file written before names its bounds by earlier names.
func TestReadTargetTakesEarlierNames(t *testing.T) {
	path := filepath.Join(t.TempDir(), "t.toml")
	text := "governors = 1\nreplicas = 1\nservices = 1\nroutes = 1\nzones = 1\n[[bound]]\nname = \"real forager: memory\"\nunit = \"MB\"\nmost = 256\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	target, err := ReadTarget(path)
	if err != nil || len(target.Bounds) != 1 || target.Bounds[0].Name != "real gateway: memory" {
		t.Errorf("%+v, %v", target, err)
	}
}

func TestReadTargetRejects(t *testing.T) {
	for _, text := range []string{"governors = 1\nreplicas = 1\nservices = 1\nroutes = 1\nzones = 1\nreplcas = 2\n", "governors = 1\n", "governors = \n"} {
		path := filepath.Join(t.TempDir(), "t.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadTarget(path); err == nil {
			t.Errorf("accepted: %q", text)
		}
	}
}

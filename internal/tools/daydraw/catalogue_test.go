package daydraw

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

func TestRestrictToKeepsNamedKinds(t *testing.T) {
	catalogue := parseCatalogue(t, nil)
	restricted := catalogue.RestrictTo("some words first.\n\ncore_cut: a text with node_kill: in it\nconfig_race\n")
	for n := 1; n <= 50; n++ {
		_, scenario := draw(t, restricted, testOptions(FamilyAll), n)
		for _, fields := range slices.Concat(scenario.Plan, scenario.Faults) {
			if kind := fields["kind"]; kind != "core_cut" && kind != "config_race" {
				t.Fatalf("kind %v is drawn although the text does not name it", kind)
			}
		}
	}
	if _, err := catalogue.RestrictTo("").Draw(testOptions(FamilyAll), 1); !errors.Is(err, ErrNoKinds) {
		t.Errorf("got %v, want ErrNoKinds", err)
	}
}

func TestParseCatalogueErrors(t *testing.T) {
	for text, want := range map[string]string{
		"[[kind]]\nplan = true\n":                      "no name",
		"[[kind]]\nname = \"a\"\nfamilies = [\"b\"]\n": "unknown family \"b\"",
		"[[kind]]\nname = \"a\"\nhow = [[]]\n":         "list is empty",
		"[[kind]]\nname = \"a\"\nfor_s = [2.0, 1.0]\n": "invalid range [2 1]",
		"[[kind]]\nname = \"a\"\nfors = [1.0, 2.0]\n":  "fault kinds",
		"[[kind": "fault kinds",
	} {
		if _, err := ParseCatalogue([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one that contains %q", text, err, want)
		}
	}
}

package daydraw

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// scenarioCount is the number of scenarios in which every kind and variant of a family is expected to occur.
const scenarioCount = 200

// parsedScenario has the fields of a scenario that the bench reads.
type parsedScenario struct {
	Name, Slot   string
	Seed         int64
	One, Zero    float64
	Closing      map[string]any
	Plan, Faults []map[string]any
}

func testOptions(family string) Options {
	return Options{Seed: 7, Family: family, Zones: []string{"north", "south", "it's \"x\""}, Length: 32, MinEntries: 4, MaxEntries: 14,
		MaxConfigChanges: 120, FullScoreNetValue: 0.95, ZeroScoreNetValue: 0.6}
}

func parseCatalogue(t *testing.T, raw []byte) Catalogue {
	t.Helper()
	catalogue, err := ParseCatalogue(raw)
	if err != nil {
		t.Fatal(err)
	}
	return catalogue
}

func draw(t *testing.T, catalogue Catalogue, options Options, n int) (Scenario, parsedScenario) {
	t.Helper()
	if err := options.Validate(); err != nil {
		t.Fatal(err)
	}
	scenario, err := catalogue.Draw(options, n)
	if err != nil {
		t.Fatal(err)
	}
	var parsed parsedScenario
	if err := toml.Unmarshal([]byte(scenario.Text), &parsed); err != nil {
		t.Fatalf("%s is not valid TOML: %v\n%s", scenario.Name, err, scenario.Text)
	}
	return scenario, parsed
}

// TestDrawIsDeterministic guards against scenarios that their seed and number do not reproduce, and against duplicates.
func TestDrawIsDeterministic(t *testing.T) {
	seen := map[string]string{}
	for _, family := range Families {
		for n := 1; n <= 20; n++ {
			options := testOptions(family)
			first, _ := draw(t, parseCatalogue(t, nil), options, n)
			second, _ := draw(t, parseCatalogue(t, nil), options, n)
			if first != second {
				t.Fatalf("%s differs between two draws:\n%s\n%s", first.Name, first.Text, second.Text)
			}
			options.Seed++
			other, _ := draw(t, parseCatalogue(t, nil), options, n)
			_, content, _ := strings.Cut(first.Text, "slot")
			_, otherContent, _ := strings.Cut(other.Text, "slot")
			if content == otherContent || seen[content] != "" {
				t.Fatalf("%s has the same content as another scenario", first.Name)
			}
			seen[content] = first.Name
		}
	}
}

// set is a set of fault kinds and variants, by name.
type set map[string]bool

// addKind adds a kind and each word of its variants.
func (s set) addKind(kind FaultKind) {
	s[kind.Name] = true
	for _, list := range kind.Variants {
		for _, variant := range list {
			for _, word := range strings.Fields(variant) {
				s[kind.Name+" "+word] = true
			}
		}
	}
}

// addEntry adds the kind and variants of a parsed entry.
func (s set) addEntry(fields map[string]any) {
	how, _ := fields["how"].(string)
	s.addKind(FaultKind{Name: fields["kind"].(string), Variants: [][]string{strings.Fields(how)}})
}

// drawStats aggregates the contents of scenarios.
type drawStats struct {
	names                 set
	maxChanges            int  // maximum number of configuration changes in one scenario
	overlaps, repeatsKind bool // of faults in one scenario
}

func (d *drawStats) add(t *testing.T, scenario parsedScenario) {
	t.Helper()
	changes := 0
	for _, fields := range slices.Concat(scenario.Plan, scenario.Faults) {
		d.names.addEntry(fields)
		if at := fields["at"].(float64); at < 0 || at > 32 {
			t.Fatalf("entry %v is outside of the scenario", fields)
		}
		if fields["kind"] == configChange {
			changes++
		}
	}
	d.maxChanges = max(d.maxChanges, changes)
	kinds, until := map[string]int{}, 0.0
	for _, fields := range scenario.Faults {
		kind, at := fields["kind"].(string), fields["at"].(float64)
		kinds[kind]++
		d.repeatsKind = d.repeatsKind || kinds[kind] > 1
		d.overlaps = d.overlaps || at < until
		if duration, ok := fields["for_s"].(float64); ok {
			until = max(until, at+duration)
		}
	}
	if scenario.Closing != nil {
		d.names.addEntry(scenario.Closing)
	}
}

// TestEveryKindAndVariantIsDrawn guards against kinds and variants of the catalogue that are never tested.
func TestEveryKindAndVariantIsDrawn(t *testing.T) {
	catalogue := parseCatalogue(t, nil)
	for _, family := range Families {
		want := set{}
		for _, kind := range slices.Concat(catalogue.family(family), catalogue.Closing) {
			want.addKind(kind)
		}
		got := drawStats{names: set{}}
		for n := 1; n <= scenarioCount; n++ {
			_, scenario := draw(t, catalogue, testOptions(family), n)
			got.add(t, scenario)
		}
		for name := range want {
			if !got.names[name] {
				t.Errorf("%s: %s is not drawn in %d scenarios", family, name, scenarioCount)
			}
		}
		for name := range got.names {
			if !want[name] {
				t.Errorf("%s: %s is drawn but not in the catalogue", family, name)
			}
		}
		if !got.overlaps || !got.repeatsKind {
			t.Errorf("%s: overlapping faults %v, repeated kinds %v; want both", family, got.overlaps, got.repeatsKind)
		}
		if family != "requests" && got.maxChanges < 100 {
			t.Errorf("%s: at most %d configuration changes in a scenario, want at least 100", family, got.maxChanges)
		}
	}
}

// TestLongPartitionsAreDrawn checks that partitions of up to 20 s are drawn, which outlast the period in which a
// partitioned machine may still consider itself connected.
func TestLongPartitionsAreDrawn(t *testing.T) {
	catalogue := parseCatalogue(t, nil)
	longest := map[string]float64{}
	for n := 1; n <= scenarioCount; n++ {
		_, scenario := draw(t, catalogue, testOptions("cuts"), n)
		for _, fields := range scenario.Faults {
			kind := fields["kind"].(string)
			if seconds, ok := fields["for_s"].(float64); ok {
				longest[kind] = max(longest[kind], seconds)
			}
		}
	}
	for _, kind := range []string{"core_cut", "node_cut"} {
		if longest[kind] < 19 || longest[kind] > 20 {
			t.Errorf("the longest %s lasts %v s, want 19 to 20", kind, longest[kind])
		}
	}
}

func ExampleCatalogue_Draw() {
	catalogue, _ := ParseCatalogue([]byte("[[kind]]\nname = \"core_cut\"\nhow = [[\"one_way\"]]\ncount = [1, 1]\nfor_s = [20.0, 20.0]\n"))
	options := Options{Seed: 1, Family: FamilyAll, Zones: []string{"a"}, Length: 32, MinEntries: 1, MaxEntries: 1, FullScoreNetValue: 0.95, ZeroScoreNetValue: 0.6}
	scenario, _ := catalogue.Draw(options, 1)
	_, fields, _ := strings.Cut(scenario.Text, "kind")
	fields, _, _ = strings.Cut(fields, "\n")
	fmt.Println(scenario.Name + ": kind" + fields)
	// Output: all-1-1: kind = "core_cut", count = 1, for_s = 20.0, how = "one_way" },
}

package daydraw

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// enoughDays is the number of days in which everything of a family comes about.
const enoughDays = 200

// parsedDay is a day as the bench reads it.
type parsedDay struct {
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

func draw(t *testing.T, catalogue Catalogue, options Options, n int) (Scenario, parsedDay) {
	t.Helper()
	if err := options.Validate(); err != nil {
		t.Fatal(err)
	}
	day, err := catalogue.Draw(options, n)
	if err != nil {
		t.Fatal(err)
	}
	var parsed parsedDay
	if err := toml.Unmarshal([]byte(day.Text), &parsed); err != nil {
		t.Fatalf("%s is not TOML: %v\n%s", day.Name, err, day.Text)
	}
	return day, parsed
}

// A day that broke a rule is found again by its seed and number alone, so the same ones must give the same day, and others
// another one.
func TestSameSeedGivesSameDays(t *testing.T) {
	seen := map[string]string{}
	for _, family := range Families {
		for n := 1; n <= 20; n++ {
			options := testOptions(family)
			first, _ := draw(t, parseCatalogue(t, nil), options, n)
			second, _ := draw(t, parseCatalogue(t, nil), options, n)
			if first != second {
				t.Fatalf("%s differs from itself:\n%s\n%s", first.Name, first.Text, second.Text)
			}
			options.Seed++
			other, _ := draw(t, parseCatalogue(t, nil), options, n)
			_, content, _ := strings.Cut(first.Text, "slot")
			_, otherContent, _ := strings.Cut(other.Text, "slot")
			if content == otherContent || seen[content] != "" {
				t.Fatalf("%s is the same day as another", first.Name)
			}
			seen[content] = first.Name
		}
	}
}

// set is a set of names of kinds and variants.
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

// addEntry adds the kind and the variants of a parsed entry.
func (s set) addEntry(fields map[string]any) {
	how, _ := fields["how"].(string)
	s.addKind(FaultKind{Name: fields["kind"].(string), Variants: [][]string{strings.Fields(how)}})
}

// drawnDays sums up what many days hold.
type drawnDays struct {
	names                set
	mostChanges          int  // configuration changes in one day
	overlaps, repeatKind bool // of faults in one day
}

func (d *drawnDays) add(t *testing.T, day parsedDay) {
	t.Helper()
	changes := 0
	for _, fields := range slices.Concat(day.Plan, day.Faults) {
		d.names.addEntry(fields)
		if at := fields["at"].(float64); at < 0 || at > 32 {
			t.Fatalf("%v is outside of the day", fields)
		}
		if fields["kind"] == configChange {
			changes++
		}
	}
	d.mostChanges = max(d.mostChanges, changes)
	kinds, until := map[string]int{}, 0.0
	for _, fields := range day.Faults {
		kind, at := fields["kind"].(string), fields["at"].(float64)
		kinds[kind]++
		d.repeatKind = d.repeatKind || kinds[kind] > 1
		d.overlaps = d.overlaps || at < until
		if duration, ok := fields["for_s"].(float64); ok {
			until = max(until, at+duration)
		}
	}
	if day.Closing != nil {
		d.names.addEntry(day.Closing)
	}
}

// Whatever the catalogue names must come about, each word of how as well: a variant that is never drawn is a fault that is never
// looked for.
func TestEveryKindAndVariantIsDrawn(t *testing.T) {
	catalogue := parseCatalogue(t, nil)
	for _, family := range Families {
		want := set{}
		for _, kind := range slices.Concat(catalogue.family(family), catalogue.Closing) {
			want.addKind(kind)
		}
		got := drawnDays{names: set{}}
		for n := 1; n <= enoughDays; n++ {
			_, day := draw(t, catalogue, testOptions(family), n)
			got.add(t, day)
		}
		for name := range want {
			if !got.names[name] {
				t.Errorf("%s: %s is never drawn in %d days", family, name, enoughDays)
			}
		}
		for name := range got.names {
			if !want[name] {
				t.Errorf("%s: %s is drawn, and not in the catalogue", family, name)
			}
		}
		if !got.overlaps || !got.repeatKind {
			t.Errorf("%s: overlapping %v, the same kind twice %v", family, got.overlaps, got.repeatKind)
		}
		if family != "requests" && got.mostChanges < 100 {
			t.Errorf("%s: %d changes at most", family, got.mostChanges)
		}
	}
}

// Partitions of 20 s are longer than the time for which a machine may still believe to be in contact, so they must be drawn.
func TestLongPartitionsAreDrawn(t *testing.T) {
	catalogue := parseCatalogue(t, nil)
	longest := map[string]float64{}
	for n := 1; n <= enoughDays; n++ {
		_, day := draw(t, catalogue, testOptions("cuts"), n)
		for _, fields := range day.Faults {
			kind := fields["kind"].(string)
			if seconds, ok := fields["for_s"].(float64); ok {
				longest[kind] = max(longest[kind], seconds)
			}
		}
	}
	for _, kind := range []string{"core_cut", "node_cut"} {
		if longest[kind] < 19 || longest[kind] > 20 {
			t.Errorf("the longest %s takes %v s", kind, longest[kind])
		}
	}
}

func ExampleCatalogue_Draw() {
	catalogue, _ := ParseCatalogue([]byte("[[kind]]\nname = \"core_cut\"\nhow = [[\"one_way\"]]\ncount = [1, 1]\nfor_s = [20.0, 20.0]\n"))
	options := Options{Seed: 1, Family: FamilyAll, Zones: []string{"a"}, Length: 32, MinEntries: 1, MaxEntries: 1, FullScoreNetValue: 0.95, ZeroScoreNetValue: 0.6}
	day, _ := catalogue.Draw(options, 1)
	_, fields, _ := strings.Cut(day.Text, "kind")
	fields, _, _ = strings.Cut(fields, "\n")
	fmt.Println(day.Name + ": kind" + fields)
	// Output: all-1-1: kind = "core_cut", count = 1, for_s = 20.0, how = "one_way" },
}

package daydraw

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// daysEnough is in how many days all of a family comes about.
const daysEnough = 200

type parsedDay struct {
	Name, Slot   string
	Seed         int64
	One, Zero    float64
	Closing      map[string]any
	Plan, Faults []map[string]any
}

func plan(family string) Options {
	return Options{Seed: 7, Family: family, Zones: []string{"north", "south", "it's \"x\""}, Length: 32, MinEntries: 4, MaxEntries: 14, MaxConfigChanges: 120, ScoreOne: 0.95, ScoreZero: 0.6}
}

func draw(t *testing.T, k Catalogue, p Options, n int) (Day, parsedDay) {
	t.Helper()
	if err := p.Validate(); err != nil {
		t.Fatal(err)
	}
	d, err := k.Draw(p, n)
	if err != nil {
		t.Fatal(err)
	}
	var out parsedDay
	if err := toml.Unmarshal([]byte(d.Text), &out); err != nil {
		t.Fatalf("%s is no TOML: %v\n%s", d.Name, err, d.Text)
	}
	return d, out
}

// A day that broke a rule is found again by its seed and number alone, so the same ones must give the same day, and others another one.
func TestSameSeedSameDays(t *testing.T) {
	seen := map[string]string{}
	for _, family := range Families {
		for n := 1; n <= 20; n++ {
			a, _ := ParseCatalogue(nil)
			b, _ := ParseCatalogue(nil)
			p := plan(family)
			one, _ := draw(t, a, p, n)
			two, _ := draw(t, b, p, n)
			if one != two {
				t.Fatalf("%s differs from itself:\n%s\n%s", one.Name, one.Text, two.Text)
			}
			p.Seed++
			other, _ := draw(t, a, p, n)
			_, rest, _ := strings.Cut(one.Text, "slot")
			_, otherRest, _ := strings.Cut(other.Text, "slot")
			if rest == otherRest || seen[rest] != "" {
				t.Fatalf("%s is the same day as another", one.Name)
			}
			seen[rest] = one.Name
		}
	}
}

// Whatever the table names must come about, each word of how as well: a variant that is never drawn is a fault that is never looked for.
func TestEveryKindAndVariantIsDrawn(t *testing.T) {
	k, err := ParseCatalogue(nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range Families {
		want, got := map[string]bool{}, map[string]bool{}
		for _, x := range k.Kinds {
			if family != FamilyAll && !slices.Contains(x.Families, family) {
				continue
			}
			note(x, func(s string) { want[s] = true })
		}
		for _, x := range k.Closing {
			note(x, func(s string) { want[s] = true })
		}
		most, overlap, twice := 0, false, false
		for n := 1; n <= daysEnough; n++ {
			_, d := draw(t, k, plan(family), n)
			changes, kinds, until := 0, map[string]int{}, 0.0
			for _, e := range slices.Concat(d.Plan, d.Faults) {
				note(FaultKind{Name: e["kind"].(string), Variants: words(e)}, func(s string) { got[s] = true })
				at := e["at"].(float64)
				if at < 0 || at > 32 {
					t.Fatalf("%v is outside of the day", e)
				}
				if e["kind"] == "config_change" {
					changes++
				}
			}
			for _, e := range d.Faults {
				kinds[e["kind"].(string)]++
				twice = twice || kinds[e["kind"].(string)] > 1
				overlap = overlap || e["at"].(float64) < until
				if length, ok := e["for_s"].(float64); ok {
					until = max(until, e["at"].(float64)+length)
				}
			}
			if d.Closing != nil {
				note(FaultKind{Name: d.Closing["kind"].(string), Variants: words(d.Closing)}, func(s string) { got[s] = true })
			}
			most = max(most, changes)
		}
		for s := range want {
			if !got[s] {
				t.Errorf("%s: %s is never drawn in %d days", family, s, daysEnough)
			}
		}
		for s := range got {
			if !want[s] {
				t.Errorf("%s: %s is drawn, and not in the table", family, s)
			}
		}
		if !overlap || !twice {
			t.Errorf("%s: overlapping %v, the same kind twice %v", family, overlap, twice)
		}
		if family != "requests" && most < 100 {
			t.Errorf("%s: %d changes at most", family, most)
		}
	}
}

func words(e map[string]any) [][]string {
	how, _ := e["how"].(string)
	return [][]string{strings.Fields(how)}
}

// note tells of a kind and each word of its variants.
func note(x FaultKind, tell func(string)) {
	tell(x.Name)
	for _, list := range x.Variants {
		for _, w := range list {
			for _, part := range strings.Fields(w) {
				tell(x.Name + " " + part)
			}
		}
	}
}

// Cuts of 20 s are longer than what a machine may think itself in touch for, so they must be drawn.
func TestLongCutsAreDrawn(t *testing.T) {
	k, _ := ParseCatalogue(nil)
	longest := map[string]float64{}
	for n := 1; n <= daysEnough; n++ {
		_, d := draw(t, k, plan("cuts"), n)
		for _, e := range d.Faults {
			kind := e["kind"].(string)
			if s, ok := e["for_s"].(float64); ok {
				longest[kind] = max(longest[kind], s)
			}
		}
	}
	for _, kind := range []string{"core_cut", "node_cut"} {
		if longest[kind] < 19 || longest[kind] > 20 {
			t.Errorf("the longest %s takes %v s", kind, longest[kind])
		}
	}
}

func TestAmongLeavesTheNamedKinds(t *testing.T) {
	k, _ := ParseCatalogue(nil)
	left := k.RestrictTo("some words first.\n\ncore_cut: a text with node_kill: in it\nconfig_race\n")
	for n := 1; n <= 50; n++ {
		_, d := draw(t, left, plan(FamilyAll), n)
		for _, e := range slices.Concat(d.Plan, d.Faults) {
			if kind := e["kind"]; kind != "core_cut" && kind != "config_race" {
				t.Fatalf("%v is drawn", kind)
			}
		}
	}
	if _, err := k.RestrictTo("").Draw(plan(FamilyAll), 1); err == nil {
		t.Error("a day is drawn from no kind")
	}
}

func TestFaultyInputIsNamed(t *testing.T) {
	for text, want := range map[string]string{
		"[[kind]]\nplan = true\n":                      "no name",
		"[[kind]]\nname = \"a\"\nfamilies = [\"b\"]\n": "family",
		"[[kind]]\nname = \"a\"\nhow = [[]]\n":         "empty list",
		"[[kind]]\nname = \"a\"\nfor_s = [2.0, 1.0]\n": "least and a most",
		"[[kind]]\nname = \"a\"\nfors = [1.0, 2.0]\n":  "kinds of trouble",
		"[[kind": "kinds of trouble",
	} {
		if _, err := ParseCatalogue([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	for name, change := range map[string]func(*Options){
		"family": func(p *Options) { p.Family = "x" }, "zones": func(p *Options) { p.Zones = nil }, "length": func(p *Options) { p.Length = 0 },
		"entries": func(p *Options) { p.MinEntries = 15 }, "changes": func(p *Options) { p.MaxConfigChanges = -1 }, "marks": func(p *Options) { p.ScoreZero = 1 },
	} {
		p := plan(FamilyAll)
		change(&p)
		if err := p.Validate(); err == nil || !strings.HasPrefix(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func ExampleCatalogue_Draw() {
	k, _ := ParseCatalogue([]byte("[[kind]]\nname = \"core_cut\"\nhow = [[\"one_way\"]]\ncount = [1, 1]\nfor_s = [20.0, 20.0]\n"))
	d, _ := k.Draw(Options{Seed: 1, Family: FamilyAll, Zones: []string{"a"}, Length: 32, MinEntries: 1, MaxEntries: 1, ScoreOne: 0.95, ScoreZero: 0.6}, 1)
	_, fields, _ := strings.Cut(d.Text, "kind")
	fields, _, _ = strings.Cut(fields, "\n")
	fmt.Println(d.Name + ": kind" + fields)
	// Output: all-1-1: kind = "core_cut", count = 1, for_s = 20.0, how = "one_way" },
}

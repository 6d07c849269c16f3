// Package daydraw generates random fault scenarios ("days") for the bench, with more and denser faults than the bench generates
// itself. Scenarios are reproducible by seed. The package performs no I/O.
package daydraw

import (
	_ "embed" // embeds the built-in catalogue
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed kinds.toml
var builtInCatalogue []byte

// FamilyAll is the family that contains all fault kinds.
const FamilyAll = "all"

// Families lists the valid values of Options.Family.
var Families = []string{"cuts", "races", "losses", "changes", "requests", FamilyAll}

// Range is the minimum and maximum of a parameter.
type Range [2]float64

func (r Range) valid() bool { return r[0] >= 0 && r[0] <= r[1] }

// FaultKind is a kind of fault or planned operation, with the parameters that are drawn for its entries. Parameters with a nil
// Range are omitted.
type FaultKind struct {
	Name      string     `toml:"name"`
	Families  []string   `toml:"families"`
	Planned   bool       `toml:"plan"`  // planned operation instead of a fault
	Targets   []string   `toml:"on"`    // machine classes, one of which is drawn; "" omits the field
	Variants  [][]string `toml:"how"`   // one word is drawn from each list; "" adds none
	NamesZone bool       `toml:"zone"`  // entries may name a zone
	Duration  *Range     `toml:"for_s"` // seconds
	Share     *Range     `toml:"share"`
	Count     *Range     `toml:"count"`
	Strength  *Range     `toml:"x"`
	Interval  *Range     `toml:"gap_s"`  // seconds
	Downtime  *Range     `toml:"down_s"` // seconds
}

// Catalogue lists the fault kinds that scenarios are drawn from.
type Catalogue struct {
	Kinds   []FaultKind `toml:"kind"`
	Closing []FaultKind `toml:"closing"` // faults that may end a scenario
}

// ParseCatalogue parses a TOML catalogue, or the built-in one if raw is nil.
func ParseCatalogue(raw []byte) (Catalogue, error) {
	if raw == nil {
		raw = builtInCatalogue
	}
	var catalogue Catalogue
	decoder := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields()
	if err := decoder.Decode(&catalogue); err != nil {
		return Catalogue{}, fmt.Errorf("fault kinds: %w", err)
	}
	for i, kind := range slices.Concat(catalogue.Kinds, catalogue.Closing) {
		if kind.Name == "" {
			return Catalogue{}, fmt.Errorf("fault kinds: entry %d has no name", i+1)
		}
		if err := kind.validate(); err != nil {
			return Catalogue{}, fmt.Errorf("fault kinds: %s: %w", kind.Name, err)
		}
	}
	return catalogue, nil
}

func (k FaultKind) validate() error {
	for _, family := range k.Families {
		if !slices.Contains(Families, family) {
			return fmt.Errorf("unknown family %q, want one of %s", family, strings.Join(Families, ", "))
		}
	}
	for _, words := range k.Variants {
		if len(words) == 0 {
			return fmt.Errorf("how: list is empty")
		}
	}
	for _, values := range []*Range{k.Duration, k.Share, k.Count, k.Strength, k.Interval, k.Downtime} {
		if values != nil && !values.valid() {
			return fmt.Errorf("invalid range %v, want 0 <= minimum <= maximum", *values)
		}
	}
	return nil
}

// RestrictTo returns a catalogue with only the kinds named in a text, such as the bench's list of the kinds that a site supports.
// Each line holds a name, optionally followed by a colon and a description. Closing faults are kept.
func (c Catalogue) RestrictTo(text string) Catalogue {
	named := map[string]bool{}
	for line := range strings.Lines(text) {
		name, _, _ := strings.Cut(line, ":")
		named[strings.TrimSpace(name)] = true
	}
	restricted := Catalogue{Closing: c.Closing}
	for _, kind := range c.Kinds {
		if named[kind.Name] {
			restricted.Kinds = append(restricted.Kinds, kind)
		}
	}
	return restricted
}

// family returns the fault kinds of a family.
func (c Catalogue) family(name string) []FaultKind {
	var kinds []FaultKind
	for _, kind := range c.Kinds {
		if name == FamilyAll || slices.Contains(kind.Families, name) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

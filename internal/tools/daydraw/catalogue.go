// Package daydraw draws random days of faults for the bench: harsher ones than it draws itself, and the same ones for the same
// seed. It is free of I/O.
package daydraw

import (
	_ "embed" // for the built-in catalogue
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed kinds.toml
var builtInCatalogue []byte

// FamilyAll is the family of all fault kinds.
const FamilyAll = "all"

// Families are the names that Options.Family may have.
var Families = []string{"cuts", "races", "losses", "changes", "requests", FamilyAll}

// Range is the least and the greatest value of a figure.
type Range [2]float64

func (r Range) valid() bool { return r[0] >= 0 && r[0] <= r[1] }

// FaultKind is a kind of fault, or of planned work, and the variants that are drawn of it. A nil Range is left out of entries.
type FaultKind struct {
	Name      string     `toml:"name"`
	Families  []string   `toml:"families"`
	Planned   bool       `toml:"plan"`  // planned work, not a fault
	Targets   []string   `toml:"on"`    // classes of machines, of which one is drawn; "" is none
	Variants  [][]string `toml:"how"`   // of each list one word is drawn; "" is none
	NamesZone bool       `toml:"zone"`  // a zone is named, at times
	Duration  *Range     `toml:"for_s"` // seconds
	Share     *Range     `toml:"share"`
	Count     *Range     `toml:"count"`
	Strength  *Range     `toml:"x"`
	Interval  *Range     `toml:"gap_s"`  // seconds
	Downtime  *Range     `toml:"down_s"` // seconds
}

// Catalogue is what days are drawn from.
type Catalogue struct {
	Kinds   []FaultKind `toml:"kind"`
	Closing []FaultKind `toml:"closing"` // faults that may end a day
}

// ParseCatalogue reads a catalogue in TOML; nil stands for the built-in one. The error names what is wrong.
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
			return fmt.Errorf("no family %q", family)
		}
	}
	for _, words := range k.Variants {
		if len(words) == 0 {
			return fmt.Errorf("how holds an empty list")
		}
	}
	for _, figure := range []*Range{k.Duration, k.Share, k.Count, k.Strength, k.Interval, k.Downtime} {
		if figure != nil && !figure.valid() {
			return fmt.Errorf("%v is not a least and a most", *figure)
		}
	}
	return nil
}

// RestrictTo keeps the kinds whose names begin a line of a text, followed by a colon or nothing, such as the bench's own list
// of what a site knows. Closing faults stay.
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

// family returns the kinds of a family.
func (c Catalogue) family(name string) []FaultKind {
	var kinds []FaultKind
	for _, kind := range c.Kinds {
		if name == FamilyAll || slices.Contains(kind.Families, name) {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

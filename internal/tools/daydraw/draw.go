package daydraw

import (
	"cmp"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
)

// ErrNoKinds is returned by Draw if the catalogue contains no kind of the family.
var ErrNoKinds = errors.New("no fault kinds in the catalogue")

// configChange is the fault kind that addConfigChanges draws a series of.
const configChange = "config_change"

// Scenario is a generated scenario as TOML text, in the format of a day in a site file.
type Scenario struct {
	Name string
	Text string
}

// Draw generates scenario number n, starting at 1. The options must be valid. Equal options and catalogues produce the same
// scenario.
func (c Catalogue) Draw(options Options, n int) (Scenario, error) {
	kinds := c.family(options.Family)
	if len(kinds) == 0 {
		return Scenario{}, fmt.Errorf("family %s: %w", options.Family, ErrNoKinds)
	}
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", options.Family, n) // writes to a hash never fail
	g := generator{Rand: rand.New(rand.NewPCG(options.Seed, hash.Sum64())), options: options}
	for range options.MinEntries + g.IntN(options.MaxEntries-options.MinEntries+1) {
		g.addEntry(kinds[g.IntN(len(kinds))])
	}
	g.addConfigChanges(kinds)
	name := fmt.Sprintf("%s-%d-%d", options.Family, options.Seed, n)
	return Scenario{Name: name, Text: g.text(name, c.Closing)}, nil
}

// entry is a fault or planned operation.
type entry struct {
	at     float64 // seconds
	fields string
}

// generator generates one scenario. The order of its draws must not change, as it defines the scenarios of a seed.
type generator struct {
	*rand.Rand
	options         Options
	planned, faults []entry
}

// addEntry adds an entry of a kind at a random time.
func (g *generator) addEntry(kind FaultKind) {
	g.addEntryAt(kind, g.uniform(firstEntrySeconds, g.options.Length-quietEndSeconds))
}

func (g *generator) addEntryAt(kind FaultKind, at float64) {
	drawn := entry{at: at, fields: g.entryFields(kind)}
	if kind.Planned {
		g.planned = append(g.planned, drawn)
	} else {
		g.faults = append(g.faults, drawn)
	}
}

// addConfigChanges adds a series of configuration changes spread over the scenario: always in the family "changes", and with
// probability 1/4 in other families that contain the kind.
func (g *generator) addConfigChanges(kinds []FaultKind) {
	i := slices.IndexFunc(kinds, func(kind FaultKind) bool { return kind.Name == configChange })
	maximum := g.options.MaxConfigChanges
	if i < 0 || maximum == 0 || (g.options.Family != "changes" && g.IntN(4) > 0) {
		return
	}
	span := g.options.Length - (firstEntrySeconds + quietEndSeconds)
	count := maximum/2 + g.IntN(maximum-maximum/2+1)
	for k := range count {
		position := (float64(k) + g.Float64()) / float64(count)
		g.addEntryAt(kinds[i], firstEntrySeconds+span*position)
	}
}

// text draws the remaining fields of the scenario and formats it as TOML.
func (g *generator) text(name string, closing []FaultKind) string {
	var out strings.Builder
	fmt.Fprintf(&out, "name = %q\nslot = \"trouble\"\nseed = %d\none = %s\nzero = %s\n",
		name, g.IntN(1<<31-1), formatDecimal(g.options.FullScoreNetValue), formatDecimal(g.options.ZeroScoreNetValue))
	if len(closing) > 0 && g.IntN(3) > 0 {
		kind := closing[g.IntN(len(closing))]
		fmt.Fprintf(&out, "closing = { %s }\n", g.entryFields(kind))
	}
	writeEntries(&out, "plan", g.planned)
	writeEntries(&out, "faults", g.faults)
	return out.String()
}

func writeEntries(out *strings.Builder, key string, entries []entry) {
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
	fmt.Fprintf(out, "%s = [\n", key)
	for _, e := range entries {
		fmt.Fprintf(out, "  { at = %s, %s },\n", formatDecimal(e.at), e.fields)
	}
	out.WriteString("]\n")
}

// entryFields draws the fields of an entry other than its time.
func (g *generator) entryFields(kind FaultKind) string {
	fields := []string{fmt.Sprintf("kind = %q", kind.Name)}
	if len(kind.Targets) > 0 {
		if target := kind.Targets[g.IntN(len(kind.Targets))]; target != "" {
			fields = append(fields, fmt.Sprintf("on = %q", target))
		}
	}
	if kind.NamesZone && g.IntN(3) > 0 {
		zone := g.options.Zones[g.IntN(len(g.options.Zones))]
		fields = append(fields, fmt.Sprintf("zone = %q", zone))
	}
	if kind.Count != nil {
		minimum, span := int(kind.Count[0]), int(kind.Count[1]-kind.Count[0])
		fields = append(fields, fmt.Sprintf("count = %d", minimum+g.IntN(span+1)))
	}
	for _, parameter := range []struct {
		key    string
		values *Range
	}{
		{"share", kind.Share},
		{"x", kind.Strength},
		{"gap_s", kind.Interval},
		{"for_s", kind.Duration},
		{"down_s", kind.Downtime},
	} {
		if parameter.values != nil {
			value := g.uniform(parameter.values[0], parameter.values[1])
			fields = append(fields, fmt.Sprintf("%s = %s", parameter.key, formatDecimal(value)))
		}
	}
	if len(kind.Variants) > 0 {
		fields = append(fields, fmt.Sprintf("how = %q", g.variant(kind.Variants)))
	}
	return strings.Join(fields, ", ")
}

// variant draws one word from each list and joins them.
func (g *generator) variant(lists [][]string) string {
	var drawn []string
	for _, words := range lists {
		if word := words[g.IntN(len(words))]; word != "" {
			drawn = append(drawn, word)
		}
	}
	return strings.Join(drawn, " ")
}

func (g *generator) uniform(low, high float64) float64 { return low + (high-low)*g.Float64() }

// formatDecimal formats a number with at most two decimals and always with a decimal point, so that TOML reads a float.
func formatDecimal(value float64) string {
	text := strings.TrimRight(fmt.Sprintf("%.2f", value), "0")
	if strings.HasSuffix(text, ".") {
		text += "0"
	}
	return text
}

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

// ErrNoKinds is returned by Draw where no kind is left in the family.
var ErrNoKinds = errors.New("no fault kind is left")

// configChange is the kind of which days get a series.
const configChange = "config_change"

// Scenario is one drawn day as text, written like a day of a site file.
type Scenario struct {
	Name string
	Text string
}

// Draw draws day number n, from 1, by options that Validate accepts. The same options and catalogue always give the same day.
func (c Catalogue) Draw(options Options, n int) (Scenario, error) {
	kinds := c.family(options.Family)
	if len(kinds) == 0 {
		return Scenario{}, fmt.Errorf("family %s: %w", options.Family, ErrNoKinds)
	}
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", options.Family, n) // a hash never fails
	g := generator{Rand: rand.New(rand.NewPCG(options.Seed, hash.Sum64())), options: options}
	for range options.MinEntries + g.IntN(options.MaxEntries-options.MinEntries+1) {
		g.addEntry(kinds[g.IntN(len(kinds))])
	}
	g.addConfigChanges(kinds)
	name := fmt.Sprintf("%s-%d-%d", options.Family, options.Seed, n)
	return Scenario{Name: name, Text: g.text(name, c.Closing)}, nil
}

// entry is a fault or planned work.
type entry struct {
	at     float64 // seconds
	fields string
}

// generator draws one day. The order of its draws is part of what a seed stands for and must not change.
type generator struct {
	*rand.Rand
	options         Options
	planned, faults []entry
}

// addEntry draws an entry of a kind at a random time.
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

// addConfigChanges adds a series of configuration changes, spread over the day: to each day of the family "changes", and to one
// in four of the other families that know such changes.
func (g *generator) addConfigChanges(kinds []FaultKind) {
	i := slices.IndexFunc(kinds, func(kind FaultKind) bool { return kind.Name == configChange })
	most := g.options.MaxConfigChanges
	if i < 0 || most == 0 || (g.options.Family != "changes" && g.IntN(4) > 0) {
		return
	}
	span := g.options.Length - (firstEntrySeconds + quietEndSeconds)
	count := most/2 + g.IntN(most-most/2+1)
	for k := range count {
		share := (float64(k) + g.Float64()) / float64(count)
		g.addEntryAt(kinds[i], firstEntrySeconds+span*share)
	}
}

// text draws what a day has besides its entries, and writes it all.
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

// entryFields draws the fields of an entry besides its time.
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
		least, most := int(kind.Count[0]), int(kind.Count[1]-kind.Count[0])
		fields = append(fields, fmt.Sprintf("count = %d", least+g.IntN(most+1)))
	}
	for _, figure := range []struct {
		key    string
		values *Range
	}{
		{"share", kind.Share},
		{"x", kind.Strength},
		{"gap_s", kind.Interval},
		{"for_s", kind.Duration},
		{"down_s", kind.Downtime},
	} {
		if figure.values != nil {
			value := g.uniform(figure.values[0], figure.values[1])
			fields = append(fields, fmt.Sprintf("%s = %s", figure.key, formatDecimal(value)))
		}
	}
	if len(kind.Variants) > 0 {
		fields = append(fields, fmt.Sprintf("how = %q", g.variant(kind.Variants)))
	}
	return strings.Join(fields, ", ")
}

// variant draws a word of each list.
func (g *generator) variant(lists [][]string) string {
	var drawn []string
	for _, words := range lists {
		if word := words[g.IntN(len(words))]; word != "" {
			drawn = append(drawn, word)
		}
	}
	return strings.Join(drawn, " ")
}

func (g *generator) uniform(least, most float64) float64 { return least + (most-least)*g.Float64() }

// formatDecimal writes a number with two decimals at most, and always with a point, as TOML wants a float.
func formatDecimal(value float64) string {
	text := strings.TrimRight(fmt.Sprintf("%.2f", value), "0")
	if strings.HasSuffix(text, ".") {
		text += "0"
	}
	return text
}

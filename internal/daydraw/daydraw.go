// Package daydraw draws days of trouble for the bench: harsher ones than it draws itself, the same ones for the same seed. It is free of I/O.
package daydraw

import (
	_ "embed"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed kinds.toml
var builtIn []byte

// FamilyAll is the family of all kinds.
const FamilyAll = "all"

// Families are the names that Plan.Family may have.
var Families = []string{"cuts", "races", "losses", "changes", "requests", FamilyAll}

// Range is the least and the most that a figure may be.
type Range [2]float64

// FaultKind is a kind of trouble and the variants that are drawn of it.
type FaultKind struct {
	Name      string     `toml:"name"`
	Families  []string   `toml:"families"`
	Planned   bool       `toml:"plan"` // planned work, not a fault
	Targets   []string   `toml:"on"`   // classes of machines, one of which is named; "" is none
	Variants  [][]string `toml:"how"`  // one word of each list; "" is none
	NamesZone bool       `toml:"zone"` // one is named, at times
	Duration  *Range     `toml:"for_s"`
	Share     *Range     `toml:"share"`
	Count     *Range     `toml:"count"`
	Strength  *Range     `toml:"x"`
	Interval  *Range     `toml:"gap_s"`
	Downtime  *Range     `toml:"down_s"`
}

// Catalogue is what days are drawn from.
type Catalogue struct {
	Kinds   []FaultKind `toml:"kind"`
	Closing []FaultKind `toml:"closing"`
}

// ParseCatalogue reads kinds from a TOML file's text; with none, those built in. It names what is wrong.
func ParseCatalogue(raw []byte) (k Catalogue, err error) {
	if raw == nil {
		raw = builtIn
	}
	d := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields()
	if err := d.Decode(&k); err != nil {
		return Catalogue{}, fmt.Errorf("kinds of trouble: %w", err)
	}
	for i, x := range slices.Concat(k.Kinds, k.Closing) {
		if x.Name == "" {
			return Catalogue{}, fmt.Errorf("kinds of trouble: entry %d has no name", i+1)
		}
		for _, f := range x.Families {
			if !slices.Contains(Families, f) {
				return Catalogue{}, fmt.Errorf("kinds of trouble: %s: no family %q", x.Name, f)
			}
		}
		for _, words := range x.Variants {
			if len(words) == 0 {
				return Catalogue{}, fmt.Errorf("kinds of trouble: %s: how holds an empty list", x.Name)
			}
		}
		for _, s := range []*Range{x.Duration, x.Share, x.Count, x.Strength, x.Interval, x.Downtime} {
			if s != nil && (s[0] < 0 || s[0] > s[1]) {
				return Catalogue{}, fmt.Errorf("kinds of trouble: %s: %v is not a least and a most", x.Name, *s)
			}
		}
	}
	return k, nil
}

// RestrictTo leaves the kinds whose names begin a line of a text, followed by a colon or nothing, such as the bench's own list of what a site
// knows. Closing faults stay.
func (catalogue Catalogue) RestrictTo(text string) Catalogue {
	named := map[string]bool{}
	for line := range strings.Lines(text) {
		name, _, _ := strings.Cut(line, ":")
		named[strings.TrimSpace(name)] = true
	}
	out := Catalogue{Closing: catalogue.Closing}
	for _, kind := range catalogue.Kinds {
		if named[kind.Name] {
			out.Kinds = append(out.Kinds, kind)
		}
	}
	return out
}

// Options says which days are drawn.
type Options struct {
	Seed                   uint64
	Family                 string
	Zones                  []string
	Length                 float64 // seconds of traffic before a closing fault
	MinEntries, MaxEntries int     // entries of a day, besides the many changes
	MaxConfigChanges       int     // most changes of the configuration in a day of many
	ScoreOne, ScoreZero    float64 // worth, less prices, that scores 1 and 0
}

// Validate names what is wrong with a plan.
func (p Options) Validate() error {
	switch {
	case !slices.Contains(Families, p.Family):
		return fmt.Errorf("family: %q is none of %s", p.Family, strings.Join(Families, ", "))
	case len(p.Zones) == 0:
		return fmt.Errorf("zones: none is named")
	case !(p.Length >= 5 && p.Length <= 3600):
		return fmt.Errorf("length: %v s is not between 5 and 3600", p.Length)
	case p.MinEntries < 0 || p.MinEntries > p.MaxEntries || p.MaxEntries > 1000:
		return fmt.Errorf("entries: %d to %d is no span within 0 to 1000", p.MinEntries, p.MaxEntries)
	case p.MaxConfigChanges < 0 || p.MaxConfigChanges > 10000:
		return fmt.Errorf("changes: %d is not between 0 and 10000", p.MaxConfigChanges)
	case !(p.ScoreZero < p.ScoreOne):
		return fmt.Errorf("marks: zero (%v) is not below one (%v)", p.ScoreZero, p.ScoreOne)
	}
	return nil
}

// Day is one drawn day as text, written like a day of a site file.
type Day struct {
	Name string
	Text string
}

// Draw draws day number n (from 1) of a plan that Check has passed. The same plan and kinds always give the same day.
func (catalogue Catalogue) Draw(options Options, n int) (Day, error) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", options.Family, n)
	day := generator{Rand: rand.New(rand.NewPCG(options.Seed, h.Sum64())), Options: options}
	var candidates []FaultKind
	for _, kind := range catalogue.Kinds {
		if options.Family == FamilyAll || slices.Contains(kind.Families, options.Family) {
			candidates = append(candidates, kind)
		}
	}
	if len(candidates) == 0 {
		return Day{}, fmt.Errorf("no kind of trouble is left in family %s", options.Family)
	}
	name := fmt.Sprintf("%s-%d-%d", options.Family, options.Seed, n)
	for range options.MinEntries + day.IntN(options.MaxEntries-options.MinEntries+1) {
		day.add(candidates[day.IntN(len(candidates))], -1)
	}
	day.addConfigChanges(candidates)
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nslot = \"trouble\"\nseed = %d\none = %s\nzero = %s\n", name, day.IntN(1<<31-1), formatDecimal(options.ScoreOne), formatDecimal(options.ScoreZero))
	if len(catalogue.Closing) > 0 && day.IntN(3) > 0 {
		kind := catalogue.Closing[day.IntN(len(catalogue.Closing))]
		fmt.Fprintf(&b, "closing = { %s }\n", day.entryFields(kind))
	}
	for _, list := range []struct {
		name    string
		entries []entry
	}{{"plan", day.planned}, {"faults", day.faults}} {
		slices.SortStableFunc(list.entries, func(a, b entry) int { return int(math.Copysign(1, a.at-b.at)) })
		fmt.Fprintf(&b, "%s = [\n", list.name)
		for _, e := range list.entries {
			fmt.Fprintf(&b, "  { at = %s, %s },\n", formatDecimal(e.at), e.text)
		}
		b.WriteString("]\n")
	}
	return Day{name, b.String()}, nil
}

type entry struct {
	at   float64
	text string
}

type generator struct {
	*rand.Rand
	Options
	planned, faults []entry
}

// add draws an entry of a kind, at a time of its own where none is given.
func (g *generator) add(kind FaultKind, at float64) {
	if at < 0 {
		at = g.uniform(0.5, g.Length-2)
	}
	drawn := entry{at, g.entryFields(kind)}
	if kind.Planned {
		g.planned = append(g.planned, drawn)
	} else {
		g.faults = append(g.faults, drawn)
	}
}

// addConfigChanges adds a long row of changes: to each day of the family that is about them, to one of four others that know such changes.
func (g *generator) addConfigChanges(candidates []FaultKind) {
	i := slices.IndexFunc(candidates, func(x FaultKind) bool { return x.Name == "config_change" })
	if i < 0 || g.MaxConfigChanges == 0 || (g.Family != "changes" && g.IntN(4) > 0) {
		return
	}
	n := g.MaxConfigChanges/2 + g.IntN(g.MaxConfigChanges-g.MaxConfigChanges/2+1)
	for k := range n {
		g.add(candidates[i], 0.5+(g.Length-2.5)*(float64(k)+g.Float64())/float64(n))
	}
}

// entryFields draws what an entry says besides its time.
func (g *generator) entryFields(kind FaultKind) string {
	out := []string{fmt.Sprintf("kind = %q", kind.Name)}
	if len(kind.Targets) > 0 {
		if on := kind.Targets[g.IntN(len(kind.Targets))]; on != "" {
			out = append(out, fmt.Sprintf("on = %q", on))
		}
	}
	if kind.NamesZone && g.IntN(3) > 0 {
		out = append(out, fmt.Sprintf("zone = %q", g.Zones[g.IntN(len(g.Zones))]))
	}
	if kind.Count != nil {
		out = append(out, fmt.Sprintf("count = %d", int(kind.Count[0])+g.IntN(int(kind.Count[1]-kind.Count[0])+1)))
	}
	for _, s := range []struct {
		name string
		span *Range
	}{{"share", kind.Share}, {"x", kind.Strength}, {"gap_s", kind.Interval}, {"for_s", kind.Duration}, {"down_s", kind.Downtime}} {
		if s.span != nil {
			out = append(out, fmt.Sprintf("%s = %s", s.name, formatDecimal(g.uniform(s.span[0], s.span[1]))))
		}
	}
	if len(kind.Variants) > 0 {
		var how []string
		for _, words := range kind.Variants {
			if w := words[g.IntN(len(words))]; w != "" {
				how = append(how, w)
			}
		}
		out = append(out, fmt.Sprintf("how = %q", strings.Join(how, " ")))
	}
	return strings.Join(out, ", ")
}

func (d *generator) uniform(least, most float64) float64 { return least + (most-least)*d.Float64() }

// formatDecimal writes a number with two decimals at most, and always as one with a point.
func formatDecimal(x float64) string {
	s := strings.TrimRight(fmt.Sprintf("%.2f", x), "0")
	if strings.HasSuffix(s, ".") {
		s += "0"
	}
	return s
}

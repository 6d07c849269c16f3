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

// All is the family of all kinds.
const All = "all"

// Families are the names that Plan.Family may have.
var Families = []string{"cuts", "races", "losses", "changes", "requests", All}

// Span is the least and the most that a figure may be.
type Span [2]float64

// Kind is a kind of trouble and the variants that are drawn of it.
type Kind struct {
	Name     string     `toml:"name"`
	Families []string   `toml:"families"`
	Plan     bool       `toml:"plan"` // planned work, not a fault
	On       []string   `toml:"on"`   // classes of machines, one of which is named; "" is none
	How      [][]string `toml:"how"`  // one word of each list; "" is none
	Zone     bool       `toml:"zone"` // one is named, at times
	For      *Span      `toml:"for_s"`
	Share    *Span      `toml:"share"`
	Count    *Span      `toml:"count"`
	X        *Span      `toml:"x"`
	Gap      *Span      `toml:"gap_s"`
	Down     *Span      `toml:"down_s"`
}

// Kinds is what days are drawn from.
type Kinds struct {
	Kind    []Kind `toml:"kind"`
	Closing []Kind `toml:"closing"`
}

// Read reads kinds from a TOML file's text; with none, those built in. It names what is wrong.
func Read(raw []byte) (k Kinds, err error) {
	if raw == nil {
		raw = builtIn
	}
	d := toml.NewDecoder(strings.NewReader(string(raw))).DisallowUnknownFields()
	if err := d.Decode(&k); err != nil {
		return Kinds{}, fmt.Errorf("kinds of trouble: %w", err)
	}
	for i, x := range slices.Concat(k.Kind, k.Closing) {
		if x.Name == "" {
			return Kinds{}, fmt.Errorf("kinds of trouble: entry %d has no name", i+1)
		}
		for _, f := range x.Families {
			if !slices.Contains(Families, f) {
				return Kinds{}, fmt.Errorf("kinds of trouble: %s: no family %q", x.Name, f)
			}
		}
		for _, words := range x.How {
			if len(words) == 0 {
				return Kinds{}, fmt.Errorf("kinds of trouble: %s: how holds an empty list", x.Name)
			}
		}
		for _, s := range []*Span{x.For, x.Share, x.Count, x.X, x.Gap, x.Down} {
			if s != nil && (s[0] < 0 || s[0] > s[1]) {
				return Kinds{}, fmt.Errorf("kinds of trouble: %s: %v is not a least and a most", x.Name, *s)
			}
		}
	}
	return k, nil
}

// Among leaves the kinds whose names begin a line of a text, followed by a colon or nothing, such as the bench's own list of what a site
// knows. Closing faults stay.
func (k Kinds) Among(text string) Kinds {
	named := map[string]bool{}
	for line := range strings.Lines(text) {
		name, _, _ := strings.Cut(line, ":")
		named[strings.TrimSpace(name)] = true
	}
	out := Kinds{Closing: k.Closing}
	for _, x := range k.Kind {
		if named[x.Name] {
			out.Kind = append(out.Kind, x)
		}
	}
	return out
}

// Plan says which days are drawn.
type Plan struct {
	Seed        uint64
	Family      string
	Zones       []string
	Length      float64 // seconds of traffic before a closing fault
	Least, Most int     // entries of a day, besides the many changes
	Changes     int     // most changes of the configuration in a day of many
	One, Zero   float64 // worth, less prices, that scores 1 and 0
}

// Check names what is wrong with a plan.
func (p Plan) Check() error {
	switch {
	case !slices.Contains(Families, p.Family):
		return fmt.Errorf("family: %q is none of %s", p.Family, strings.Join(Families, ", "))
	case len(p.Zones) == 0:
		return fmt.Errorf("zones: none is named")
	case !(p.Length >= 5 && p.Length <= 3600):
		return fmt.Errorf("length: %v s is not between 5 and 3600", p.Length)
	case p.Least < 0 || p.Least > p.Most || p.Most > 1000:
		return fmt.Errorf("entries: %d to %d is no span within 0 to 1000", p.Least, p.Most)
	case p.Changes < 0 || p.Changes > 10000:
		return fmt.Errorf("changes: %d is not between 0 and 10000", p.Changes)
	case !(p.Zero < p.One):
		return fmt.Errorf("marks: zero (%v) is not below one (%v)", p.Zero, p.One)
	}
	return nil
}

// Day is one drawn day as text, written like a day of a site file.
type Day struct {
	Name string
	Text string
}

// Draw draws day number n (from 1) of a plan that Check has passed. The same plan and kinds always give the same day.
func (k Kinds) Draw(p Plan, n int) (Day, error) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d", p.Family, n)
	d := drawing{Rand: rand.New(rand.NewPCG(p.Seed, h.Sum64())), Plan: p}
	var fit []Kind
	for _, x := range k.Kind {
		if p.Family == All || slices.Contains(x.Families, p.Family) {
			fit = append(fit, x)
		}
	}
	if len(fit) == 0 {
		return Day{}, fmt.Errorf("no kind of trouble is left in family %s", p.Family)
	}
	name := fmt.Sprintf("%s-%d-%d", p.Family, p.Seed, n)
	for range p.Least + d.IntN(p.Most-p.Least+1) {
		d.add(fit[d.IntN(len(fit))], -1)
	}
	d.many(fit)
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nslot = \"trouble\"\nseed = %d\none = %s\nzero = %s\n", name, d.IntN(1<<31-1), figure(p.One), figure(p.Zero))
	if len(k.Closing) > 0 && d.IntN(3) > 0 {
		x := k.Closing[d.IntN(len(k.Closing))]
		fmt.Fprintf(&b, "closing = { %s }\n", d.fields(x))
	}
	for _, list := range []struct {
		name    string
		entries []entry
	}{{"plan", d.plan}, {"faults", d.faults}} {
		slices.SortStableFunc(list.entries, func(a, b entry) int { return int(math.Copysign(1, a.at-b.at)) })
		fmt.Fprintf(&b, "%s = [\n", list.name)
		for _, e := range list.entries {
			fmt.Fprintf(&b, "  { at = %s, %s },\n", figure(e.at), e.text)
		}
		b.WriteString("]\n")
	}
	return Day{name, b.String()}, nil
}

type entry struct {
	at   float64
	text string
}

type drawing struct {
	*rand.Rand
	Plan
	plan, faults []entry
}

// add draws an entry of a kind, at a time of its own where none is given.
func (d *drawing) add(x Kind, at float64) {
	if at < 0 {
		at = d.between(0.5, d.Length-2)
	}
	e := entry{at, d.fields(x)}
	if x.Plan {
		d.plan = append(d.plan, e)
	} else {
		d.faults = append(d.faults, e)
	}
}

// many adds a long row of changes: to each day of the family that is about them, to one of four others that know such changes.
func (d *drawing) many(fit []Kind) {
	i := slices.IndexFunc(fit, func(x Kind) bool { return x.Name == "config_change" })
	if i < 0 || d.Changes == 0 || (d.Family != "changes" && d.IntN(4) > 0) {
		return
	}
	n := d.Changes/2 + d.IntN(d.Changes-d.Changes/2+1)
	for k := range n {
		d.add(fit[i], 0.5+(d.Length-2.5)*(float64(k)+d.Float64())/float64(n))
	}
}

// fields draws what an entry says besides its time.
func (d *drawing) fields(x Kind) string {
	out := []string{fmt.Sprintf("kind = %q", x.Name)}
	if len(x.On) > 0 {
		if on := x.On[d.IntN(len(x.On))]; on != "" {
			out = append(out, fmt.Sprintf("on = %q", on))
		}
	}
	if x.Zone && d.IntN(3) > 0 {
		out = append(out, fmt.Sprintf("zone = %q", d.Zones[d.IntN(len(d.Zones))]))
	}
	if x.Count != nil {
		out = append(out, fmt.Sprintf("count = %d", int(x.Count[0])+d.IntN(int(x.Count[1]-x.Count[0])+1)))
	}
	for _, s := range []struct {
		name string
		span *Span
	}{{"share", x.Share}, {"x", x.X}, {"gap_s", x.Gap}, {"for_s", x.For}, {"down_s", x.Down}} {
		if s.span != nil {
			out = append(out, fmt.Sprintf("%s = %s", s.name, figure(d.between(s.span[0], s.span[1]))))
		}
	}
	if len(x.How) > 0 {
		var how []string
		for _, words := range x.How {
			if w := words[d.IntN(len(words))]; w != "" {
				how = append(how, w)
			}
		}
		out = append(out, fmt.Sprintf("how = %q", strings.Join(how, " ")))
	}
	return strings.Join(out, ", ")
}

func (d *drawing) between(least, most float64) float64 { return least + (most-least)*d.Float64() }

// figure writes a number with two decimals at most, and always as one with a point.
func figure(x float64) string {
	s := strings.TrimRight(fmt.Sprintf("%.2f", x), "0")
	if strings.HasSuffix(s, ".") {
		s += "0"
	}
	return s
}

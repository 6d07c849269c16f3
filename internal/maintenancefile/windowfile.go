// Package maintenancefile reads the file in which operators write down agreed capacity, forecasts and wished maintenance windows,
// and shows the timetable made of it.
package maintenancefile

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/goccy/go-yaml"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/tidwall/gjson"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
	"zincloft.example/zincloft/dataplane/capacity"
)

const (
	slotDefault = 30 * time.Minute
	slotsMost   = 20000
	hours       = 24
)

// File is one, checked.
type File struct {
	Start      time.Time
	SlotLength time.Duration
	Request    maintenanceplanner.Request
	Durations  map[string]time.Duration // by window, as it was written
}

type reader struct {
	doc gjson.Result
	err error
}

func (r *reader) fail(path, why string) {
	if r.err == nil {
		r.err = merry.Errorf("windows: %s: %s", path, why)
	}
}

func (r *reader) text(v gjson.Result, at, key string) string {
	x := v.Get(key)
	if x.Type != gjson.String || x.Str == "" {
		r.fail(at+key, "is missing, empty or not a text")
	}
	return x.Str
}

func (r *reader) number(v gjson.Result, at, key string, def float64) float64 {
	x := v.Get(key)
	if !x.Exists() {
		return def
	}
	if x.Type != gjson.Number || x.Num < 0 {
		r.fail(at+key, "is not a number of 0 or more")
	}
	return x.Num
}

func (r *reader) moment(v gjson.Result, at, key string, def time.Time) time.Time {
	x := v.Get(key)
	if !x.Exists() {
		return def
	}
	t, err := time.Parse(time.RFC3339, x.String())
	if err != nil {
		r.fail(at+key, `is not a moment such as "2026-12-07T01:00:00Z"`)
	}
	return t
}

func (r *reader) span(v gjson.Result, at, key string, def time.Duration) time.Duration {
	x := v.Get(key)
	if !x.Exists() && def > 0 {
		return def
	}
	d, err := time.ParseDuration(x.String())
	if err != nil || d <= 0 {
		r.fail(at+key, `is not a time such as "30m"`)
		return slotDefault
	}
	return d
}

func (r *reader) names(v gjson.Result, at, key string) (all []string) {
	x := v.Get(key)
	if x.Exists() && !x.IsArray() {
		r.fail(at+key, "is not a list")
	}
	for _, n := range x.Array() {
		all = append(all, n.String())
	}
	return all
}

var known = map[string][]string{
	"":           {"begins", "slot", "losses", "agreed", "nodes", "forecast", "windows"},
	"losses.":    {"machines", "zones"},
	"agreed.#.":  {"region", "group", "least"},
	"nodes.#.":   {"node", "zone", "region", "carries"},
	"forecast.#": {"region", "group", "spread", "by_hour"},
	"windows.#.": {"window", "nodes", "earliest", "latest", "takes", "together", "after", "apart"},
}

// strange names the first key that nobody reads: a slip of the pen must not pass for a wish.
func (r *reader) strange(v gjson.Result, at, kind string) {
	v.ForEach(func(k, _ gjson.Result) bool {
		for _, x := range known[kind] {
			if x == k.Str {
				return true
			}
		}
		r.fail(at+k.Str, "is no known key")
		return false
	})
}

// Read reads a file.
func Read(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// Parse reads what a file holds and names the first path at fault.
func Parse(raw []byte) (*File, error) {
	doc, err := yaml.YAMLToJSON(raw)
	if err != nil {
		return nil, merry.Errorf("windows: not YAML: %v", err)
	}
	r := &reader{doc: gjson.ParseBytes(doc)}
	if !r.doc.IsObject() {
		return nil, merry.New("windows: the file holds no table")
	}
	r.strange(r.doc, "", "")
	f := &File{Start: r.moment(r.doc, "", "begins", time.Time{}), SlotLength: r.span(r.doc, "", "slot", slotDefault), Durations: map[string]time.Duration{}}
	q := &f.Request
	r.strange(r.doc.Get("losses"), "losses.", "losses.")
	q.FaultTolerance = capacity.FaultTolerance{Machines: int(r.number(r.doc.Get("losses"), "losses.", "machines", 1)), Zones: int(r.number(r.doc.Get("losses"), "losses.", "zones", 0))}
	each := func(key string, do func(v gjson.Result, at string)) {
		x := r.doc.Get(key)
		if x.Exists() && !x.IsArray() {
			r.fail(key, "is not a list")
			return
		}
		for i, v := range x.Array() {
			at := key + "." + strconv.Itoa(i) + "."
			if kind := key + ".#."; known[kind] != nil {
				r.strange(v, at, kind)
			} else {
				r.strange(v, at, key+".#")
			}
			do(v, at)
		}
	}
	group := func(v gjson.Result, at string) string {
		g := r.text(v, at, "group")
		if g != capacity.Lookups && g != capacity.Orders {
			r.fail(at+"group", "is neither lookups nor orders")
		}
		return g
	}
	each("agreed", func(v gjson.Result, at string) {
		q.Demands = append(q.Demands, maintenanceplanner.Demand{Region: r.text(v, at, "region"), Group: group(v, at), Floor: r.number(v, at, "least", 0)})
	})
	each("nodes", func(v gjson.Result, at string) {
		n := capacity.Node{Name: r.text(v, at, "node"), Zone: r.text(v, at, "zone"), Region: r.text(v, at, "region"), Capacity: map[string]float64{}}
		r.strangeGroups(v.Get("carries"), at+"carries.")
		for _, g := range []string{capacity.Lookups, capacity.Orders} {
			n.Capacity[g] = r.number(v.Get("carries"), at+"carries.", g, 0)
		}
		q.Nodes = append(q.Nodes, n)
	})
	end := f.Start
	slot := func(t time.Time, up bool) int {
		d := t.Sub(f.Start)
		if up && d%f.SlotLength != 0 {
			d += f.SlotLength
		}
		return int(d / f.SlotLength)
	}
	each("windows", func(v gjson.Result, at string) {
		w := maintenanceplanner.WindowRequest{Name: r.text(v, at, "window"), Nodes: r.names(v, at, "nodes"), MaxConcurrent: int(r.number(v, at, "together", 0)),
			After: r.names(v, at, "after"), Conflicts: r.names(v, at, "apart")}
		early, late := r.moment(v, at, "earliest", f.Start), r.moment(v, at, "latest", time.Time{})
		if late.IsZero() {
			r.fail(at+"latest", "is missing")
		}
		if early.Before(f.Start) {
			r.fail(at+"earliest", "is before begins")
		}
		takes := r.span(v, at, "takes", 0)
		f.Durations[w.Name] = takes
		w.Earliest, w.Latest, w.DurationSlots = slot(early, true), slot(late, false), int((takes+f.SlotLength-1)/f.SlotLength)
		if late.After(end) {
			end = late
		}
		q.Windows = append(q.Windows, w)
	})
	if q.SlotCount = slot(end, true); q.SlotCount > slotsMost {
		r.fail("slot", fmt.Sprintf("is too short: %d slots up to the latest end", q.SlotCount))
	}
	each("forecast", func(v gjson.Result, at string) {
		region, g := r.text(v, at, "region"), group(v, at)
		by := v.Get("by_hour").Array()
		if len(by) != hours {
			r.fail(at+"by_hour", "is not a list of 24 numbers")
			return
		}
		spread := r.number(v, at, "spread", 0)
		n := maintenanceplanner.Demand{Region: region, Group: g}
		for s := range min(q.SlotCount, slotsMost) {
			n.Forecast = append(n.Forecast, by[f.Start.Add(time.Duration(s)*f.SlotLength).UTC().Hour()].Num*(1+spread))
		}
		for i := range q.Demands {
			if q.Demands[i].Region == region && q.Demands[i].Group == g {
				q.Demands[i].Forecast = n.Forecast
				return
			}
		}
		q.Demands = append(q.Demands, n)
	})
	if r.err != nil {
		return nil, r.err
	}
	if err := q.Validate(); err != nil {
		return nil, merry.Prepend(err, "windows")
	}
	return f, nil
}

func (r *reader) strangeGroups(v gjson.Result, at string) {
	v.ForEach(func(k, _ gjson.Result) bool {
		if k.Str != capacity.Lookups && k.Str != capacity.Orders {
			r.fail(at+k.Str, "is neither lookups nor orders")
			return false
		}
		return true
	})
}

// AgreeCommand is the command that has the core keep what the file says is agreed.
func (f *File) AgreeCommand() maintenance.Command {
	c := maintenance.Command{Verb: "agree", FaultTolerance: f.Request.FaultTolerance, DeclaredNodes: f.Request.Nodes}
	for _, n := range f.Request.Demands {
		c.AgreedFloors = append(c.AgreedFloors, capacity.Floor{Region: n.Region, Group: n.Group, Minimum: n.Floor})
	}
	return c
}

// SlotStart is the moment at which a slot begins.
func (f *File) SlotStart(slot int) time.Time { return f.Start.Add(time.Duration(slot) * f.SlotLength) }

// Render shows a timetable: a line a turn, and a bar a node.
func (f *File) Render(tt maintenanceplanner.Schedule) string {
	t := table.NewWriter()
	t.AppendHeader(table.Row{"window", "node", "from", "to", ""})
	first, last := f.Request.SlotCount, 0
	for _, x := range tt.Assignments {
		first, last = min(first, x.Start), max(last, x.End)
	}
	wide := max(last-first, 1)
	col := func(slot int) int { return (slot - first) * min(wide, 60) / wide }
	for _, x := range tt.Assignments {
		bar := strings.Repeat(".", col(x.Start)) + strings.Repeat("#", max(col(x.End)-col(x.Start), 1)) + strings.Repeat(".", max(col(last)-max(col(x.End), col(x.Start)+1), 0))
		t.AppendRow(table.Row{x.Window, x.Node, f.SlotStart(x.Start).Format("Mon 15:04"), f.SlotStart(x.End).Format("Mon 15:04"), bar})
	}
	s := t.Render() + fmt.Sprintf("\n%d turns in %v", len(tt.Assignments), time.Duration(tt.Makespan)*f.SlotLength)
	if tt.Optimal {
		s += "; no timetable is shorter"
	}
	return s + "\n"
}

// WriteChart draws a timetable: a line a node, a stroke a turn; the file's ending tells the format (svg, png, pdf).
func (f *File) WriteChart(tt maintenanceplanner.Schedule, path string) error {
	p := plot.New()
	p.Title.Text = "maintenance windows"
	p.X.Label.Text = "hours from " + f.Start.Format(time.RFC3339)
	var names []string
	for i, x := range tt.Assignments {
		l, err := plotter.NewLine(plotter.XYs{{X: f.SlotStart(x.Start).Sub(f.Start).Hours(), Y: float64(i)}, {X: f.SlotStart(x.End).Sub(f.Start).Hours(), Y: float64(i)}})
		if err != nil {
			return merry.Prepend(err, "drawing")
		}
		l.Width = vg.Points(5)
		p.Add(l)
		names = append(names, x.Node)
	}
	p.NominalY(names...)
	height := vg.Length(len(names)+6) * vg.Points(12)
	return p.Save(18*vg.Centimeter, height, path)
}

package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"zincloft.example/zincloft/internal/emulate"
)

// Table is a comparison for the terminal.
func Table(out io.Writer, all []Summary, first string) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	head := table.Row{"scenario", "variant"}
	for _, m := range Measures() {
		head = append(head, m.Name)
	}
	t.AppendHeader(append(head, "service against "+first))
	for _, s := range all {
		row := table.Row{s.Scenario, s.Variant}
		for _, f := range s.Figures {
			row = append(row, fmt.Sprintf("%.3f ± %.3f", f.Mean, f.Half))
		}
		t.AppendRow(append(row, verdict(s)))
	}
	t.Render()
}

func verdict(s Summary) string {
	switch {
	case len(s.Against) == 0:
		return ""
	case !s.Against[0].Differs():
		return fmt.Sprintf("no difference (%+.3f ± %.3f)", s.Against[0].Mean, s.Against[0].Half)
	}
	return fmt.Sprintf("%+.3f ± %.3f", s.Against[0].Mean, s.Against[0].Half)
}

// series is one figure over the seconds of a day.
type series struct {
	name string
	unit string
	of   func(emulate.Second) float64
}

var charted = []series{
	{"Delivered utility", "share of what is asked for", func(s emulate.Second) float64 { return s.DeliveredUtility / max(s.RequestedUtility, 1e-9) }},
	{"Tries without a good answer", "share of the tries", func(s emulate.Second) float64 { return float64(s.FailedAttempts) / max(float64(s.Attempts), 1) }},
	{"Load of the replicas", "share of cores busy", func(s emulate.Second) float64 { return s.Utilization }},
	{"Lines waiting in the fullest channel", "share of its cap", func(s emulate.Second) float64 { return s.ChannelFill }},
	{"Tries that go to cold replicas", "share of the tries", func(s emulate.Second) float64 { return float64(s.WarmupAttempts) / max(float64(s.Attempts), 1) }},
}

// chart draws a series of a scenario, a line a variant: the mean over the seeds.
func chart(rows []Row, scenario string, s series, length time.Duration) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text, p.Y.Min = s.name, "seconds", s.unit, 0
	p.Legend.Top, p.Legend.Left = true, false
	p.Add(plotter.NewGrid())
	var variants []string
	for _, r := range rows {
		if r.Scenario == scenario && !slices.Contains(variants, r.Variant) {
			variants = append(variants, r.Variant)
		}
	}
	for i, v := range variants {
		n := int(length / time.Second)
		points := make(plotter.XYs, n)
		seeds := 0
		for _, r := range rows {
			if r.Scenario != scenario || r.Variant != v {
				continue
			}
			seeds++
			for at := range min(n, len(r.Result.Seconds)) {
				points[at].X = float64(at) + 0.5
				points[at].Y += s.of(r.Result.Seconds[at])
			}
		}
		for at := range points {
			points[at].Y /= float64(max(seeds, 1))
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, fmt.Errorf("chart %s: %w", s.name, err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(1.6)
		p.Add(line)
		p.Legend.Add(v, line)
	}
	p.X.Max = length.Seconds() * 1.25 // room for the legend
	p.BackgroundColor = color.White
	return p, nil
}

func svg(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(18*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(c))
	var out bytes.Buffer
	if _, err := c.WriteTo(&out); err != nil {
		return "", fmt.Errorf("chart: %w", err)
	}
	text := out.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:] // the page has its own head
	}
	return template.HTML(text), nil //nolint:gosec // made here
}

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}svg{max-width:100%;height:auto}</style>
<h1>{{.Name}}</h1>
<p>Simulated: {{.Fleet.Governors}} governors, {{.Fleet.Proxies}} proxies, {{.Fleet.Replicas}} replicas, load {{.Fleet.Load}}, {{.Seeds}} seeds from {{.First}}.
Build {{.Build}}. Means with 95% intervals; the last column is paired by seed.</p>
<table><tr><th>scenario<th>variant{{range .Measures}}<th>{{.Name}}{{end}}<th>service against {{.Against}}</tr>
{{range .Rows}}<tr><td>{{.Scenario}}<td>{{.Variant}}{{range .Cells}}<td>{{.}}{{end}}<td>{{.Verdict}}</tr>
{{end}}</table>
{{range .Scenarios}}<h2>{{.Name}}</h2>{{range .Charts}}<figure>{{.}}</figure>{{end}}{{end}}
</html>
`))

// Page writes one self-contained page of an experiment.
func Page(out io.Writer, p Plan, rows []Row) error {
	type line struct {
		Scenario, Variant, Verdict string
		Cells                      []string
	}
	type scenario struct {
		Name   string
		Charts []template.HTML
	}
	data := struct {
		Plan
		Build, Against string
		Measures       []Measure
		Rows           []line
		Scenarios      []scenario
	}{Plan: p, Build: rows[0].Build, Against: p.Variants[0].Name, Measures: Measures()}
	for _, s := range Compare(rows, p.Variants[0].Name) {
		l := line{Scenario: s.Scenario, Variant: s.Variant, Verdict: verdict(s)}
		for _, f := range s.Figures {
			l.Cells = append(l.Cells, fmt.Sprintf("%.3f ± %.3f", f.Mean, f.Half))
		}
		data.Rows = append(data.Rows, l)
	}
	for _, s := range p.Scenarios {
		one := scenario{Name: s.Name}
		for _, c := range charted {
			plotted, err := chart(rows, s.Name, c, p.Fleet.Duration)
			if err != nil {
				return err
			}
			drawn, err := svg(plotted)
			if err != nil {
				return err
			}
			one.Charts = append(one.Charts, drawn)
		}
		data.Scenarios = append(data.Scenarios, one)
	}
	if err := page.Execute(out, data); err != nil {
		return fmt.Errorf("page: %w", err)
	}
	return nil
}

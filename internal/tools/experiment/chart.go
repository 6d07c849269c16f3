package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"zincloft.example/zincloft/internal/tools/emulate"
)

const (
	chartWidth  = 18 * vg.Centimeter
	chartHeight = 8 * vg.Centimeter
	lineWidth   = 1.6  // points
	legendRoom  = 1.25 // length of the time axis, by the length of the run
)

// timeSeries is a figure of each second of a run.
type timeSeries struct {
	title string
	label string // of the axis
	value func(emulate.Second) float64
}

// charts are the figures that a page has charts of.
var charts = []timeSeries{
	{"Delivered utility", "share of what is asked for", func(s emulate.Second) float64 { return s.DeliveredUtility / max(s.RequestedUtility, 1e-9) }},
	{"Tries without a good answer", "share of the tries", func(s emulate.Second) float64 { return float64(s.FailedAttempts) / max(float64(s.Attempts), 1) }},
	{"Load of the replicas", "share of cores busy", func(s emulate.Second) float64 { return s.Utilization }},
	{"Lines waiting in the fullest channel", "share of its cap", func(s emulate.Second) float64 { return s.ChannelFill }},
	{"Tries that go to cold replicas", "share of the tries", func(s emulate.Second) float64 { return float64(s.WarmupAttempts) / max(float64(s.Attempts), 1) }},
}

// chart draws a series of a scenario with one line a variant, the mean over its seeds.
func chart(records []Record, scenario string, series timeSeries, length time.Duration) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text, p.Y.Min = series.title, "seconds", series.label, 0
	p.Legend.Top, p.Legend.Left = true, false
	p.Add(plotter.NewGrid())
	for i, variant := range variantsOf(records, scenario) {
		line, err := plotter.NewLine(meanSeries(records, cell{scenario, variant}, series, int(length/time.Second)))
		if err != nil {
			return nil, fmt.Errorf("chart %s: %w", series.title, err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(variant, line)
	}
	p.X.Max = length.Seconds() * legendRoom
	p.BackgroundColor = color.White
	return p, nil
}

// variantsOf lists the variants of a scenario in the order in which they first appear.
func variantsOf(records []Record, scenario string) []string {
	var variants []string
	for _, r := range records {
		if r.Scenario == scenario && !slices.Contains(variants, r.Variant) {
			variants = append(variants, r.Variant)
		}
	}
	return variants
}

// meanSeries is the mean of a series over the seeds of a variant, at the middle of each second.
func meanSeries(records []Record, of cell, series timeSeries, seconds int) plotter.XYs {
	points := make(plotter.XYs, seconds)
	seeds := 0
	for _, r := range records {
		if r.Scenario != of.scenario || r.Variant != of.variant {
			continue
		}
		seeds++
		for at := range min(seconds, len(r.Result.Seconds)) {
			points[at].X = float64(at) + 0.5
			points[at].Y += series.value(r.Result.Seconds[at])
		}
	}
	for at := range points {
		points[at].Y /= float64(max(seeds, 1))
	}
	return points
}

// renderSVG renders a chart as an SVG element, without the head of a file of its own.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("chart: %w", err)
	}
	text := out.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:]
	}
	return template.HTML(text), nil
}

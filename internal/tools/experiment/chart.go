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
	legendRoom  = 1.25 // length of the time axis relative to the run, which leaves space for the legend
)

// timeSeries is a per-second metric of a run.
type timeSeries struct {
	title string
	label string // of the value axis
	value func(emulate.Second) float64
}

// charts lists the time series that a page shows.
var charts = []timeSeries{
	{"Delivered utility", "share of requested utility", func(s emulate.Second) float64 { return s.DeliveredUtility / max(s.RequestedUtility, 1e-9) }},
	{"Failed attempts", "share of attempts", func(s emulate.Second) float64 { return float64(s.FailedAttempts) / max(float64(s.Attempts), 1) }},
	{"Replica utilization", "share of busy cores", func(s emulate.Second) float64 { return s.Utilization }},
	{"Fill level of the fullest channel", "share of capacity", func(s emulate.Second) float64 { return s.ChannelFill }},
	{"Attempts to warming replicas", "share of attempts", func(s emulate.Second) float64 { return float64(s.WarmupAttempts) / max(float64(s.Attempts), 1) }},
}

// chart plots a time series of a scenario with one line per variant, averaged over seeds.
func chart(records []Record, scenario string, series timeSeries, length time.Duration) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text, p.Y.Min = series.title, "seconds", series.label, 0
	p.Legend.Top, p.Legend.Left = true, false
	p.Add(plotter.NewGrid())
	for i, variant := range variantsOf(records, scenario) {
		line, err := plotter.NewLine(meanSeries(records, cell{scenario, variant}, series, int(length/time.Second)))
		if err != nil {
			return nil, fmt.Errorf("plot chart %s: %w", series.title, err)
		}
		line.Color, line.Width = plotutil.Color(i), vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(variant, line)
	}
	p.X.Max = length.Seconds() * legendRoom
	p.BackgroundColor = color.White
	return p, nil
}

// variantsOf returns the variants of a scenario in order of first appearance.
func variantsOf(records []Record, scenario string) []string {
	var variants []string
	for _, r := range records {
		if r.Scenario == scenario && !slices.Contains(variants, r.Variant) {
			variants = append(variants, r.Variant)
		}
	}
	return variants
}

// meanSeries averages a time series over the seeds of a variant, with points at the middle of each second.
func meanSeries(records []Record, c cell, series timeSeries, seconds int) plotter.XYs {
	points := make(plotter.XYs, seconds)
	seeds := 0
	for _, r := range records {
		if r.Scenario != c.scenario || r.Variant != c.variant {
			continue
		}
		seeds++
		for second := range min(seconds, len(r.Result.Seconds)) {
			points[second].X = float64(second) + 0.5
			points[second].Y += series.value(r.Result.Seconds[second])
		}
	}
	for second := range points {
		points[second].Y /= float64(max(seeds, 1))
	}
	return points
}

// renderSVG renders a chart as an SVG element for inline use, without an XML prolog.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("render chart: %w", err)
	}
	text := out.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}

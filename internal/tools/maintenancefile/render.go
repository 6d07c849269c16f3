package maintenancefile

import (
	"fmt"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jedib0t/go-pretty/v6/table"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"zincloft.example/zincloft/controlplane/maintenanceplanner"
)

const (
	maxBarWidth = 60 // columns
	timeFormat  = "Mon 15:04"

	chartWidth     = 18 * vg.Centimeter
	chartRowHeight = 12 // points
	chartExtraRows = 6  // for the title and the axis
	chartLineWidth = 5  // points
)

// Render formats a schedule as a table with a row and a bar for each assignment.
func (f *File) Render(schedule maintenanceplanner.Schedule) string {
	bars := newBarScale(f.Request.SlotCount, schedule.Assignments)
	writer := table.NewWriter()
	writer.AppendHeader(table.Row{"window", "node", "from", "to", ""})
	for _, assignment := range schedule.Assignments {
		start, end := f.SlotStart(assignment.Start), f.SlotStart(assignment.End)
		writer.AppendRow(table.Row{assignment.Window, assignment.Node, start.Format(timeFormat), end.Format(timeFormat), bars.bar(assignment)})
	}
	duration := time.Duration(schedule.Makespan) * f.SlotLength
	text := writer.Render() + fmt.Sprintf("\n%d turns in %v", len(schedule.Assignments), duration)
	if schedule.Optimal {
		text += "; no timetable is shorter"
	}
	return text + "\n"
}

// barScale maps the slots between the first start and the last end to the columns of a bar.
type barScale struct{ first, last int }

func newBarScale(slotCount int, assignments []maintenanceplanner.Assignment) barScale {
	scale := barScale{first: slotCount}
	for _, assignment := range assignments {
		scale.first, scale.last = min(scale.first, assignment.Start), max(scale.last, assignment.End)
	}
	return scale
}

func (s barScale) column(slot int) int {
	slots := max(s.last-s.first, 1)
	return (slot - s.first) * min(slots, maxBarWidth) / slots
}

// bar draws an assignment, at least one column wide.
func (s barScale) bar(assignment maintenanceplanner.Assignment) string {
	start := s.column(assignment.Start)
	end := max(s.column(assignment.End), start+1)
	after := max(s.column(s.last)-end, 0)
	return strings.Repeat(".", start) + strings.Repeat("#", end-start) + strings.Repeat(".", after)
}

// WriteChart draws a schedule with a line for each assignment. The path's extension selects the format: svg, png or pdf.
func (f *File) WriteChart(schedule maintenanceplanner.Schedule, path string) error {
	chart := plot.New()
	chart.Title.Text = "maintenance windows"
	chart.X.Label.Text = "hours from " + f.Start.Format(time.RFC3339)
	hours := func(slot int) float64 { return f.SlotStart(slot).Sub(f.Start).Hours() }
	var names []string
	for i, assignment := range schedule.Assignments {
		y := float64(i)
		line, err := plotter.NewLine(plotter.XYs{{X: hours(assignment.Start), Y: y}, {X: hours(assignment.End), Y: y}})
		if err != nil {
			return merry.Prepend(err, "draw chart")
		}
		line.Width = vg.Points(chartLineWidth)
		chart.Add(line)
		names = append(names, assignment.Node)
	}
	chart.NominalY(names...)
	height := vg.Length(len(names)+chartExtraRows) * vg.Points(chartRowHeight)
	return chart.Save(chartWidth, height, path)
}

package experiment

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// WriteTable writes a comparison as a text table.
func WriteTable(out io.Writer, summaries []Summary, reference string) {
	writer := table.NewWriter()
	writer.SetOutputMirror(out)
	header := table.Row{"scenario", "variant"}
	for _, metric := range Metrics() {
		header = append(header, metric.Name)
	}
	writer.AppendHeader(append(header, "service against "+reference))
	for _, summary := range summaries {
		row := table.Row{summary.Scenario, summary.Variant}
		for _, text := range formatMetrics(summary) {
			row = append(row, text)
		}
		writer.AppendRow(append(row, formatDifference(summary)))
	}
	writer.Render()
}

func formatMetrics(summary Summary) []string {
	var texts []string
	for _, interval := range summary.Metrics {
		texts = append(texts, fmt.Sprintf("%.3f ± %.3f", interval.Mean, interval.HalfWidth))
	}
	return texts
}

// formatDifference formats the difference of a variant's service level from the reference and whether it is significant.
func formatDifference(summary Summary) string {
	if len(summary.Differences) == 0 {
		return ""
	}
	service := summary.Differences[0]
	text := fmt.Sprintf("%+.3f ± %.3f", service.Mean, service.HalfWidth)
	if !service.ExcludesZero() {
		return "no difference (" + text + ")"
	}
	return text
}

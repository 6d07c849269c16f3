package experiment

import (
	"fmt"
	"html/template"
	"io"
)

// pageTemplate is a self-contained page without external references.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}
td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}svg{max-width:100%;height:auto}</style>
<h1>{{.Name}}</h1>
<p>Simulated: {{.Fleet.Governors}} governors, {{.Fleet.Proxies}} proxies, {{.Fleet.Replicas}} replicas, load {{.Fleet.Load}}, {{.Seeds}} seeds from {{.FirstSeed}}.
Build {{.Build}}. Means with 95% intervals; the last column is paired by seed.</p>
<table><tr><th>scenario<th>variant{{range .Metrics}}<th>{{.Name}}{{end}}<th>service against {{.Reference}}</tr>
{{range .Rows}}<tr><td>{{.Scenario}}<td>{{.Variant}}{{range .Cells}}<td>{{.}}{{end}}<td>{{.Difference}}</tr>
{{end}}</table>
{{range .Scenarios}}<h2>{{.Name}}</h2>{{range .Charts}}<figure>{{.}}</figure>{{end}}{{end}}
</html>
`))

// pageData is the input of pageTemplate.
type pageData struct {
	Plan
	Build     string
	Reference string
	Metrics   []Metric
	Rows      []pageRow
	Scenarios []pageScenario
}

// pageRow is a row of the comparison table.
type pageRow struct {
	Scenario, Variant, Difference string
	Cells                         []string
}

// pageScenario is the section of one scenario.
type pageScenario struct {
	Name   string
	Charts []template.HTML
}

// WritePage writes a self-contained HTML page of an experiment. There must be at least one record. The first variant of the plan is
// the reference.
func WritePage(out io.Writer, plan Plan, records []Record) error {
	reference := plan.Variants[0].Name
	data := pageData{Plan: plan, Build: records[0].Build, Reference: reference, Metrics: Metrics()}
	for _, summary := range Compare(records, reference) {
		data.Rows = append(data.Rows, pageRow{summary.Scenario, summary.Variant, formatDifference(summary), formatMetrics(summary)})
	}
	for _, scenario := range plan.Scenarios {
		section, err := newPageScenario(plan, scenario, records)
		if err != nil {
			return err
		}
		data.Scenarios = append(data.Scenarios, section)
	}
	if err := pageTemplate.Execute(out, data); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

func newPageScenario(plan Plan, scenario Scenario, records []Record) (pageScenario, error) {
	section := pageScenario{Name: scenario.Name}
	for _, series := range charts {
		plotted, err := chart(records, scenario.Name, series, plan.Fleet.Duration)
		if err != nil {
			return pageScenario{}, err
		}
		rendered, err := renderSVG(plotted)
		if err != nil {
			return pageScenario{}, err
		}
		section.Charts = append(section.Charts, rendered)
	}
	return section, nil
}

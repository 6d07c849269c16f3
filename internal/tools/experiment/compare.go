package experiment

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// upperQuantile is the quantile of Student's t-distribution for a two-sided 95% confidence interval.
const upperQuantile = 0.975

// Metric is a named value computed from a record.
type Metric struct {
	Name  string
	Value func(Record) float64
}

// Metrics returns the metrics by which variants are compared. Tables show differences of the first one, the service level.
func Metrics() []Metric {
	return []Metric{
		{"service", func(r Record) float64 { return r.Result.ServiceLevel }},
		{"worst 10 s", func(r Record) float64 { return r.Result.WorstServiceLevel }},
		{"p99 s", func(r Record) float64 { return r.Result.P99.Seconds() }},
		{"rules broken", func(r Record) float64 { return float64(len(r.Result.Violations)) }},
		{"crossing zones", func(r Record) float64 { return r.Result.CrossZoneShare }},
	}
}

// Interval is a mean with its 95% confidence interval by Student's t-distribution.
type Interval struct {
	Mean      float64
	HalfWidth float64 // infinite for fewer than two values
	Count     int     // number of values
}

// ExcludesZero reports whether the mean differs significantly from 0.
func (i Interval) ExcludesZero() bool { return math.Abs(i.Mean) > i.HalfWidth }

func newInterval(values []float64) Interval {
	n := len(values)
	if n < 2 {
		return Interval{Mean: stat.Mean(values, nil), HalfWidth: math.Inf(1), Count: n}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(upperQuantile)
	return Interval{Mean: mean, HalfWidth: t * deviation / math.Sqrt(float64(n)), Count: n}
}

// Summary aggregates the runs of a variant in a scenario.
type Summary struct {
	Scenario, Variant string
	Metrics           []Interval // in the order of Metrics
	Differences       []Interval // from the reference variant, paired by seed; nil for the reference
}

// cell identifies the runs of one variant in one scenario.
type cell struct{ scenario, variant string }

// Compare summarizes records, with scenarios and variants in order of first appearance. Each variant is compared with the reference
// variant. Differences are paired by seed, which removes the variance between seeds.
func Compare(records []Record, reference string) []Summary {
	bySeed := map[cell]map[uint64]Record{}
	var order []cell
	for _, record := range records {
		c := cell{record.Scenario, record.Variant}
		if bySeed[c] == nil {
			bySeed[c] = map[uint64]Record{}
			order = append(order, c)
		}
		bySeed[c][record.Seed] = record
	}
	var summaries []Summary
	for _, c := range order {
		summary := Summary{Scenario: c.scenario, Variant: c.variant}
		var referenceRuns map[uint64]Record
		if c.variant != reference {
			referenceRuns = bySeed[cell{c.scenario, reference}]
		}
		for _, metric := range Metrics() {
			values, differences := pairedValues(metric, bySeed[c], referenceRuns)
			summary.Metrics = append(summary.Metrics, newInterval(values))
			if len(differences) > 0 {
				summary.Differences = append(summary.Differences, newInterval(differences))
			}
		}
		summaries = append(summaries, summary)
	}
	return summaries
}

// pairedValues returns a metric of runs in seed order, and the differences from the reference runs with the same seeds.
func pairedValues(metric Metric, runs, referenceRuns map[uint64]Record) (values, differences []float64) {
	seeds := make([]uint64, 0, len(runs))
	for seed := range runs {
		seeds = append(seeds, seed)
	}
	slices.Sort(seeds)
	for _, seed := range seeds {
		value := metric.Value(runs[seed])
		values = append(values, value)
		if reference, ok := referenceRuns[seed]; ok {
			differences = append(differences, value-metric.Value(reference))
		}
	}
	return values, differences
}

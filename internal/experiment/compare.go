package experiment

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Measure is one figure of a run.
type Measure struct {
	Name string
	Of   func(Row) float64
}

// Measures are those that are compared.
func Measures() []Measure {
	return []Measure{
		{"service", func(r Row) float64 { return r.Result.ServiceLevel }},
		{"worst 10 s", func(r Row) float64 { return r.Result.WorstServiceLevel }},
		{"p99 s", func(r Row) float64 { return r.Result.P99.Seconds() }},
		{"rules broken", func(r Row) float64 { return float64(len(r.Result.Violations)) }},
		{"crossing zones", func(r Row) float64 { return r.Result.CrossZoneShare }},
	}
}

// Interval is a mean with the half width of its 95% confidence interval, by Student's t. Half is infinite for fewer than two.
type Interval struct {
	Mean, Half float64
	N          int
}

// Differs tells whether an interval leaves out 0.
func (i Interval) Differs() bool { return math.Abs(i.Mean) > i.Half }

func interval(x []float64) Interval {
	if len(x) < 2 {
		return Interval{Mean: stat.Mean(x, nil), Half: math.Inf(1), N: len(x)}
	}
	mean, dev := stat.MeanStdDev(x, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	return Interval{Mean: mean, Half: t * dev / math.Sqrt(float64(len(x))), N: len(x)}
}

// Summary is what a variant did on a scenario.
type Summary struct {
	Scenario, Variant string
	Figures           []Interval // by measure
	Against           []Interval // less the first variant's, paired by seed; nil for the first
}

// Compare sums up all rows: each variant against the first that a scenario has, paired by seed, so that what two have in common,
// their day, falls out.
func Compare(rows []Row, first string) (out []Summary) {
	type cell struct{ scenario, variant string }
	cells := map[cell]map[uint64]Row{}
	var order []cell
	for _, r := range rows {
		c := cell{r.Scenario, r.Variant}
		if cells[c] == nil {
			cells[c] = map[uint64]Row{}
			order = append(order, c)
		}
		cells[c][r.Seed] = r
	}
	for _, c := range order {
		s := Summary{Scenario: c.scenario, Variant: c.variant}
		base := cells[cell{c.scenario, first}]
		var seeds []uint64
		for seed := range cells[c] {
			seeds = append(seeds, seed)
		}
		slices.Sort(seeds)
		for _, m := range Measures() {
			var own, less []float64
			for _, seed := range seeds {
				x := m.Of(cells[c][seed])
				own = append(own, x)
				if b, is := base[seed]; is && c.variant != first {
					less = append(less, x-m.Of(b))
				}
			}
			s.Figures = append(s.Figures, interval(own))
			if c.variant != first && len(less) > 0 {
				s.Against = append(s.Against, interval(less))
			}
		}
		out = append(out, s)
	}
	return out
}

package scalerun

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Series is one figure at several sizes.
type Series struct {
	Name, Unit string
	X, Y       []float64
}

// Largest returns the largest size and the value at it.
func (s Series) Largest() (x, y float64) {
	largest := 0
	for i := range s.X {
		if s.X[i] > s.X[largest] {
			largest = i
		}
	}
	return s.X[largest], s.Y[largest]
}

// at returns the value at a size; false where there is none.
func (s Series) at(x float64) (y float64, ok bool) {
	for i := range s.X {
		if s.X[i] == x {
			y, ok = s.Y[i], true
		}
	}
	return y, ok
}

// benchmarkLine matches a line of `go test -bench` whose benchmark ends in /n=SIZE: its name, the size and its figures.
var benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)/n=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// ReadBenchmarks gathers the figures of `go test -bench` whose benchmarks end in /n=SIZE, sorted by name and then in the order in
// which they stand.
func ReadBenchmarks(r io.Reader) ([]Series, error) {
	collected := &benchmarkSeries{index: map[string]int{}}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if match := benchmarkLine.FindStringSubmatch(lines.Text()); match != nil {
			if err := collected.addLine(match[1], match[2], match[3]); err != nil {
				return nil, fmt.Errorf("%q: %w", lines.Text(), err)
			}
		}
	}
	slices.SortStableFunc(collected.all, func(a, b Series) int { return cmp.Compare(a.Name, b.Name) })
	return collected.all, lines.Err()
}

type benchmarkSeries struct {
	all   []Series
	index map[string]int // in all, by name and unit
}

// addLine adds a line's figures: pairs of a value and its unit.
func (b *benchmarkSeries) addLine(name, size, figures string) error {
	x, err := strconv.ParseFloat(size, 64)
	if err != nil {
		return err
	}
	fields := strings.Fields(figures)
	for i := 0; i+1 < len(fields); i += 2 {
		y, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return err
		}
		unit := fields[i+1]
		key := name + " " + unit
		known, ok := b.index[key]
		if !ok {
			known = len(b.all)
			b.index[key] = known
			b.all = append(b.all, Series{Name: name, Unit: unit})
		}
		series := &b.all[known]
		series.X, series.Y = append(series.X, x), append(series.Y, y)
	}
	return nil
}

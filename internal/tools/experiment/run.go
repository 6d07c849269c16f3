package experiment

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"

	"zincloft.example/zincloft/internal/tools/emulate"
)

// Run runs what of a plan a folder has no result for, on so many cores, and returns all records in order. Each record is kept
// in a file of its own as soon as its run ends, so an experiment that was interrupted goes on where it was; results of another
// build are replaced. Progress is called after each run, by one goroutine at a time.
func Run(ctx context.Context, plan Plan, folder string, cores int, progress func(done, all int)) ([]Record, error) {
	if err := os.MkdirAll(folder, resultFolderMode); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	records := plan.records()
	var mu sync.Mutex // guards the two below
	var firstErr error
	done := 0
	finish := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		done++
		if err != nil && firstErr == nil {
			firstErr = err
		}
		progress(done, len(records))
	}
	forEach(ctx, len(records), max(cores, 1), func(i int) { finish(plan.complete(&records[i], folder)) })
	if firstErr == nil {
		firstErr = ctx.Err()
	}
	return records, firstErr
}

// forEach calls a function for each index below n, on so many goroutines, and returns when all calls have. Once ctx is done no
// further call begins.
func forEach(ctx context.Context, n, workers int, call func(int)) {
	indices := make(chan int)
	var running sync.WaitGroup
	for range workers {
		running.Go(func() {
			for i := range indices {
				call(i)
			}
		})
	}
	defer running.Wait()
	defer close(indices)
	for i := range n {
		select {
		case indices <- i:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// records lists all runs of a plan, in order and without results.
func (p *Plan) records() []Record {
	build := BuildRevision()
	var records []Record
	for _, scenario := range p.Scenarios {
		for i := range p.Seeds {
			for _, variant := range p.Variants {
				records = append(records, Record{
					Experiment: p.Name,
					Scenario:   scenario.Name,
					Variant:    variant.Name,
					Seed:       p.FirstSeed + uint64(i),
					Build:      build,
				})
			}
		}
	}
	return records
}

// complete gives a record its result: from its file, or else by a run whose result it keeps there.
func (p *Plan) complete(record *Record, folder string) error {
	kept, err := record.load(folder)
	if err != nil || kept {
		return err
	}
	scenario := p.Scenarios[slices.IndexFunc(p.Scenarios, func(s Scenario) bool { return s.Name == record.Scenario })]
	variant := p.Variants[slices.IndexFunc(p.Variants, func(v Variant) bool { return v.Name == record.Variant })]
	record.Result, err = emulate.Run(p.config(scenario, record.Seed, variant))
	if err != nil {
		return fmt.Errorf("%s: %w", record.name(), err)
	}
	return record.save(folder)
}

package experiment

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"

	"zincloft.example/zincloft/internal/tools/emulate"
)

// Run executes the runs of a plan, up to cores at a time, and returns all records in order. Each record is written to a file in the
// folder when its run ends. Runs whose result is in the folder are skipped, so an interrupted experiment can be resumed; results of
// other builds are replaced. Progress is called after each run and never concurrently.
func Run(ctx context.Context, plan Plan, folder string, cores int, progress func(done, all int)) ([]Record, error) {
	if err := os.MkdirAll(folder, resultFolderMode); err != nil {
		return nil, fmt.Errorf("create result folder: %w", err)
	}
	records := plan.records()
	var mu sync.Mutex // guards firstErr and done
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

// forEach calls a function for each index below n on a pool of workers and waits for all calls. No call starts after ctx is done.
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

// records returns the records of all runs of a plan in order, without results.
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

// complete loads the result of a record from its file, or executes the run and saves the result.
func (p *Plan) complete(record *Record, folder string) error {
	loaded, err := record.load(folder)
	if err != nil || loaded {
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

package experiment

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"

	"github.com/google/renameio/v2"

	"zincloft.example/zincloft/internal/emulate"
)

// Row is the result of one run, with what it takes to play it again.
type Row struct {
	Experiment string
	Scenario   string
	Variant    string
	Seed       uint64
	Build      string
	Result     *emulate.Result
}

func (r Row) key() string { return fmt.Sprintf("%s.%s.%d", r.Scenario, r.Variant, r.Seed) }

// Build is the revision that this program was built from; "+" behind it tells that it was changed.
func Build() string {
	build := "unknown"
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return build
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			build = s.Value[:min(len(s.Value), 12)]
		case "vcs.modified":
			if s.Value == "true" {
				build += "+"
			}
		}
	}
	return build
}

// jobs are all runs of a plan, in order.
func (p *Plan) jobs() (rows []Row) {
	for _, s := range p.Scenarios {
		for seed := range p.Seeds {
			for _, v := range p.Variants {
				rows = append(rows, Row{Experiment: p.Name, Scenario: s.Name, Variant: v.Name, Seed: p.First + uint64(seed), Build: Build()})
			}
		}
	}
	return rows
}

// Run plays what of a plan the folder lacks, on so many cores, and returns all rows in order. Each is kept in a file of its own as
// soon as it is played, so a run that is cut off goes on where it was; what another build has played is played anew.
func Run(ctx context.Context, p Plan, folder string, cores int, progress func(done, all int)) ([]Row, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	rows := p.jobs()
	todo := make(chan int)
	var mu sync.Mutex
	var failed error
	done := 0
	note := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		if done++; err != nil && failed == nil {
			failed = err
		}
		progress(done, len(rows))
	}
	var running sync.WaitGroup
	for range max(cores, 1) {
		running.Go(func() {
			for i := range todo {
				note(p.row(&rows[i], folder))
			}
		})
	}
	for i := range rows {
		select {
		case todo <- i:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
	}
	close(todo)
	running.Wait()
	if failed == nil {
		failed = ctx.Err()
	}
	return rows, failed
}

// row reads a run's file, or plays it and writes one.
func (p *Plan) row(r *Row, folder string) error {
	path := filepath.Join(folder, r.key()+".json")
	text, err := os.ReadFile(path)
	if err == nil {
		var kept Row
		if json.Unmarshal(text, &kept) == nil && kept.Build == r.Build && kept.Result != nil {
			*r = kept
			return nil
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("experiment: %w", err)
	}
	s := p.Scenarios[slices.IndexFunc(p.Scenarios, func(s Scenario) bool { return s.Name == r.Scenario })]
	v := p.Variants[slices.IndexFunc(p.Variants, func(v Variant) bool { return v.Name == r.Variant })]
	if r.Result, err = emulate.Run(p.play(s, r.Seed, v)); err != nil {
		return fmt.Errorf("%s: %w", r.key(), err)
	}
	if text, err = json.Marshal(r); err != nil {
		return fmt.Errorf("%s: %w", r.key(), err)
	}
	if err := renameio.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("experiment: %w", err)
	}
	return nil
}

// Load reads all rows of a folder, in the order of scenario, variant and seed.
func Load(folder string) (rows []Row, err error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("%s: there are no results (%w)", folder, cmp.Or(err, fs.ErrNotExist))
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("experiment: %w", err)
		}
		var r Row
		d := json.NewDecoder(bytes.NewReader(text))
		if err := d.Decode(&r); err != nil || r.Result == nil {
			return nil, fmt.Errorf("%s is no result (%w)", path, cmp.Or(err, errors.New("it has none")))
		}
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Scenario, b.Scenario), cmp.Compare(a.Variant, b.Variant), cmp.Compare(a.Seed, b.Seed))
	})
	return rows, nil
}

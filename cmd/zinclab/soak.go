package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/testbeds/soak"
)

// soakFlags are the flags of the soak command.
type soakFlags struct {
	firstSeed, seeds uint64
	episodes, atOnce int
	schedule         string
	binDir, outDir   string
	verbose          bool
	network          uint8
}

// errSoakViolations says that a promise was broken in some run.
var errSoakViolations = merry.Sentinel("soak: a promise was broken")

// soakCommand runs the real daemons under faults that overlap.
func soakCommand() *cobra.Command {
	var flags soakFlags
	command := &cobra.Command{
		Use:   "soak",
		Short: "Runs real members and gateways on loopback under faults that overlap, and checks what was promised",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	command.Flags().Uint64Var(&flags.firstSeed, "from", 1, "first seed")
	command.Flags().Uint64Var(&flags.seeds, "seeds", 4, "how many seeds, a run each")
	command.Flags().IntVar(&flags.episodes, "episodes", 4, "episodes of faults in a run, nine seconds each")
	command.Flags().IntVar(&flags.atOnce, "at-once", 2, "runs at the same time")
	command.Flags().StringVar(&flags.schedule, "schedule", "", "file with a schedule of faults (JSON), in place of drawn ones")
	command.Flags().StringVar(&flags.binDir, "bin", "bin", "folder of controlplane and gateway")
	command.Flags().StringVar(&flags.outDir, "out", "found/soak", "folder for logs and records")
	command.Flags().Uint8Var(&flags.network, "network", 20, "second byte of the loopback addresses of the first run; commands that run at the same time need different ones")
	command.Flags().BoolVar(&flags.verbose, "verbose", false, "print each fault as it begins")
	return command
}

// run plays all seeds and prints what was found and which faults met.
func (f *soakFlags) run(command *cobra.Command) error {
	out := command.OutOrStdout()
	var (
		mu         sync.Mutex
		coverage   = soak.Coverage{}
		violations int
		failures   []string
		workers    sync.WaitGroup
		seeds      = make(chan uint64)
	)
	for worker := range f.atOnce {
		workers.Go(func() {
			for seed := range seeds {
				result, err := f.play(command, seed, worker)
				mu.Lock()
				if err != nil {
					failures = append(failures, fmt.Sprintf("seed %d: %v", seed, err))
				} else {
					coverage.Add(result.Record.Faults)
					violations += len(result.Violations)
				}
				printResult(out, seed, result, err)
				mu.Unlock()
			}
		})
	}
	for seed := f.firstSeed; seed < f.firstSeed+f.seeds && command.Context().Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	printCoverage(out, coverage)
	switch {
	case len(failures) > 0:
		return merry.Errorf("soak: runs failed: %s", strings.Join(failures, "; "))
	case violations > 0:
		return errSoakViolations
	}
	return nil
}

// play plays one seed.
func (f *soakFlags) play(command *cobra.Command, seed uint64, worker int) (*soak.Result, error) {
	schedule := soak.Generate(seed, f.episodes)
	if f.schedule != "" {
		raw, err := os.ReadFile(f.schedule)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(raw, &schedule); err != nil {
			return nil, merry.Prepend(err, f.schedule)
		}
		schedule.Seed = seed
	}
	dir, err := filepath.Abs(filepath.Join(f.outDir, fmt.Sprintf("seed-%d", seed)))
	if err != nil {
		return nil, err
	}
	if err := os.RemoveAll(dir); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	binDir, err := filepath.Abs(f.binDir)
	if err != nil {
		return nil, err
	}
	options := soak.Options{BinDir: binDir, Dir: dir, Schedule: schedule, Network: f.network + byte(worker)}
	if f.verbose {
		options.Progress = command.ErrOrStderr()
	}
	return soak.Run(command.Context(), options)
}

// printResult prints a line for a run, and one for each violation.
func printResult(out io.Writer, seed uint64, result *soak.Result, err error) {
	if err != nil {
		_, _ = fmt.Fprintf(out, "seed %d: the run failed: %v\n", seed, err) // printed beside the command's own error
		return
	}
	record := result.Record
	_, _ = fmt.Fprintf(out, "seed %d: %d faults, %d requests, %d executions, %d orders and reads, recovered after %.1f s, %d violations\n", seed,
		len(record.Faults), len(record.Requests), len(record.Executions), len(record.Operations), (record.RecoveredAt - record.FaultsEndedAt).Seconds(), len(result.Violations))
	for _, violation := range result.Violations {
		_, _ = fmt.Fprintf(out, "  %s\n", violation)
	}
}

// printCoverage prints which pairs of faults met, and how often.
func printCoverage(out io.Writer, coverage soak.Coverage) {
	var lines []string
	for pair, count := range coverage {
		lines = append(lines, fmt.Sprintf("%s with %s: %d", pair[0], pair[1], count))
	}
	slices.Sort(lines)
	_, _ = fmt.Fprintf(out, "%d pairs of faults met:\n  %s\n", len(lines), strings.Join(lines, "\n  "))
}

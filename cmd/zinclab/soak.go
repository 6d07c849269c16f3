package main

import (
	"cmp"
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
	firstSeed, seeds      uint64
	episodes, concurrency int
	schedule              string
	binDir, outDir        string
	verbose               bool
	network               uint8
	size                  soak.Size
}

// errSoakViolations is returned if any run violated a guarantee.
var errSoakViolations = merry.Sentinel("soak: a guarantee was violated")

// soakCommand returns the command that runs the daemons under overlapping faults.
func soakCommand() *cobra.Command {
	var flags soakFlags
	command := &cobra.Command{
		Use:   "soak",
		Short: "Runs control-plane members and gateways on loopback under overlapping faults and checks their guarantees",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return flags.run(command) },
	}
	command.Flags().Uint64Var(&flags.firstSeed, "from", 1, "first seed")
	command.Flags().Uint64Var(&flags.seeds, "seeds", 4, "number of seeds, with one run each")
	command.Flags().IntVar(&flags.episodes, "episodes", 4, "number of fault episodes per run, eleven seconds each")
	command.Flags().IntVar(&flags.concurrency, "at-once", 2, "number of concurrent runs")
	command.Flags().StringVar(&flags.schedule, "schedule", "", "JSON file with a fault schedule that replaces the random ones")
	command.Flags().StringVar(&flags.binDir, "bin", "bin", "directory with the executables controlplane and gateway")
	command.Flags().StringVar(&flags.outDir, "out", "found/soak", "output directory for logs and records")
	command.Flags().Uint8Var(&flags.network, "network", 20, "second byte of the loopback addresses of the first run; concurrent commands need different ones")
	command.Flags().IntVar(&flags.size.Members, "members", 0, "number of control-plane members, 3 by default")
	command.Flags().IntVar(&flags.size.Gateways, "gateways", 0, "number of gateways, 4 by default")
	command.Flags().IntVar(&flags.size.ShardReplicas, "replicas", 0, "number of replicas of the sharded service, 7 by default")
	command.Flags().BoolVar(&flags.verbose, "verbose", false, "print each fault when it starts")
	return command
}

// run runs all seeds and prints the violations and the pairs of overlapping faults.
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
	for worker := range f.concurrency {
		workers.Go(func() {
			for seed := range seeds {
				result, err := f.runSeed(command, seed, worker)
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

func (f *soakFlags) runSeed(command *cobra.Command, seed uint64, worker int) (*soak.Result, error) {
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
	options := soak.Options{BinDir: binDir, Dir: dir, Size: f.size, Schedule: schedule, Network: f.network + byte(worker)}
	if f.verbose {
		options.Progress = command.ErrOrStderr()
	}
	return soak.Run(command.Context(), options)
}

// printResult prints a line for a run and one for each violation.
func printResult(out io.Writer, seed uint64, result *soak.Result, err error) {
	if err != nil {
		_, _ = fmt.Fprintf(out, "seed %d: run failed: %v\n", seed, err) // a write error must not hide the run's error
		return
	}
	record := result.Record
	_, _ = fmt.Fprintf(out, "seed %d: %d faults, %d requests, %d executions, %d orders and reads, recovered after %.1f s, %d violations\n", seed,
		len(record.Faults), len(record.Requests), len(record.Executions), len(record.Operations), (record.RecoveredAt - record.FaultsEndedAt).Seconds(), len(result.Violations))
	for _, violation := range result.Violations {
		_, _ = fmt.Fprintf(out, "  %s\n", violation)
	}
	if len(result.Violations) > 0 && len(record.Stalls) > 0 {
		longest := slices.MaxFunc(record.Stalls, func(a, b soak.Stall) int { return cmp.Compare(a.Ended-a.Began, b.Ended-b.Began) })
		_, _ = fmt.Fprintf(out, "  the machine stalled %d times, for %.1f s at %.2f s\n", len(record.Stalls), (longest.Ended - longest.Began).Seconds(), longest.Began.Seconds())
	}
}

// printCoverage prints how often each pair of faults overlapped.
func printCoverage(out io.Writer, coverage soak.Coverage) {
	var lines []string
	for pair, count := range coverage {
		lines = append(lines, fmt.Sprintf("%s with %s: %d", pair[0], pair[1], count))
	}
	slices.Sort(lines)
	_, _ = fmt.Fprintf(out, "%d pairs of overlapping faults:\n  %s\n", len(lines), strings.Join(lines, "\n  "))
}

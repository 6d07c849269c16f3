package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/tools/load"
)

// loadRuns are the runs of a load command: each size with each program, so many times.
type loadRuns struct {
	plan     load.Plan
	sizes    []int
	binaries []string
	repeats  int
}

// loadCommand puts load on governors.
func loadCommand() *cobra.Command {
	var runs loadRuns
	plan := &runs.plan
	command := &cobra.Command{Use: "load", Short: "Plays proxies, collectors and discovery on loopback; a line a run", Args: cobra.NoArgs}
	command.RunE = func(command *cobra.Command, _ []string) error { return runs.run(command) }
	flags := command.Flags()
	flags.StringSliceVar(&runs.binaries, "bin", []string{"bin/zincloft"}, "governors' programs, in turn")
	flags.IntSliceVar(&runs.sizes, "proxies", []int{500}, "sizes, in turn")
	flags.IntVar(&runs.repeats, "repeats", 1, "times that all is played")
	flags.IntVar(&plan.Replicas, "replicas", 60, "replicas")
	flags.IntVar(&plan.Zones, "zones", 4, "zones")
	flags.Float64Var(&plan.FlowRate, "rate", 6, "flows a second of a proxy")
	flags.Float64Var(&plan.ChannelRatePerProxy, "pace", 60, "lines a second of the channel, for each proxy")
	flags.DurationVar(&plan.CollectorPhase, "phase", 0, "between one collector's writing and the next one's")
	flags.DurationVar(&plan.CollectorWriteTime, "spread", 40*time.Millisecond, "a collector takes so long to write its sums")
	flags.DurationVar(&plan.LastCollectorDelay, "late", 0, "the last collector writes so much later")
	flags.BoolVar(&plan.ProxyReports, "met", false, "proxies tell what each met at each replica")
	flags.BoolVar(&plan.Flood, "flood", false, "a proxy floods while a replica drains")
	flags.DurationVar(&plan.HangAt, "hang", 12*time.Second, "a replica swallows flows from then on")
	flags.DurationVar(&plan.DrainAt, "drain", 22*time.Second, "a replica drains")
	flags.DurationVar(&plan.PartialHangAt, "part", 26*time.Second, "a replica swallows the flows of 1% of the proxies")
	flags.DurationVar(&plan.Duration, "length", 45*time.Second, "the run's length")
	flags.StringVar(&plan.OperatorFile, "operator", "", "the governor's operator file")
	flags.StringVar(&plan.ProfilePath, "profile", "", "where a governor that can writes its CPU profile")
	return command
}

// run writes a line of a table for each run. A run that fails has a line with its error; the others go on.
func (runs *loadRuns) run(command *cobra.Command) error {
	out := &printer{out: command.OutOrStdout()}
	out.printf("| binary | proxies | bound s | cut, calm | cut, all | CPU s/s | MB | down s | drain p99 ms | drain most ms | part s | right | wrong | messages |\n")
	out.printf("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for repeat := range runs.repeats {
		for _, size := range runs.sizes {
			for _, binary := range runs.binaries {
				plan := runs.plan
				plan.Binary, plan.Proxies, plan.Seed = binary, size, uint64(repeat+1)
				result, err := load.Run(command.Context(), plan)
				if err != nil {
					out.printf("| %s | %d | %v |\n", binary, size, err)
				} else {
					out.printf("%s", formatLoad(plan, result))
				}
			}
		}
	}
	return out.err
}

func formatLoad(plan load.Plan, r load.Result) string {
	return fmt.Sprintf("| %s | %d | %.2f | %d | %d | %.3f | %.0f | %.2f | %d | %d | %.2f | %d | %d | %d |\n", plan.Binary, plan.Proxies, r.TableDelay.Seconds(),
		r.BaselineWeightCuts, r.WeightCuts, r.CPUUsage, r.PeakMemoryMB, r.HangDetectedAfter.Seconds(), r.DrainP99.Milliseconds(), r.DrainMax.Milliseconds(),
		r.PartialHangDetectedAfter.Seconds(), r.CorrectEjections, r.WrongEjections, r.Messages)
}

// printer writes text and keeps the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.out, format, args...); err != nil {
		p.err = fmt.Errorf("writing the result: %w", err)
	}
}

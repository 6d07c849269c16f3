package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/tools/load"
)

// loadRuns are the runs of the load command: every combination of size and executable, repeated.
type loadRuns struct {
	plan     load.Plan
	sizes    []int
	binaries []string
	repeats  int
}

// loadCommand returns the command that measures governors under load.
func loadCommand() *cobra.Command {
	var runs loadRuns
	plan := &runs.plan
	command := &cobra.Command{Use: "load", Short: "Measures governors under load from simulated proxies, collectors and discovery; prints one line per run", Args: cobra.NoArgs}
	command.RunE = func(command *cobra.Command, _ []string) error { return runs.run(command) }
	flags := command.Flags()
	flags.StringSliceVar(&runs.binaries, "bin", []string{"bin/zincloft"}, "governor executables, run in turn")
	flags.IntSliceVar(&runs.sizes, "proxies", []int{500}, "numbers of proxies, run in turn")
	flags.IntVar(&runs.repeats, "repeats", 1, "number of repetitions")
	flags.IntVar(&plan.Replicas, "replicas", 60, "number of replicas")
	flags.IntVar(&plan.Zones, "zones", 4, "number of zones")
	flags.Float64Var(&plan.FlowRate, "rate", 6, "flows per second and proxy")
	flags.Float64Var(&plan.ChannelRatePerProxy, "pace", 60, "capacity of the channel in lines per second and proxy")
	flags.DurationVar(&plan.CollectorPhase, "phase", 0, "delay between the reports of successive collectors")
	flags.DurationVar(&plan.CollectorWriteTime, "spread", 40*time.Millisecond, "time over which a collector spreads its reports")
	flags.DurationVar(&plan.LastCollectorDelay, "late", 0, "additional delay of the last collector")
	flags.BoolVar(&plan.ProxyReports, "met", false, "proxies report their attempts at each replica")
	flags.BoolVar(&plan.Flood, "flood", false, "a proxy floods the governor with reports while a replica drains")
	flags.DurationVar(&plan.HangAt, "hang", 12*time.Second, "time at which a replica stops responding")
	flags.DurationVar(&plan.DrainAt, "drain", 22*time.Second, "time at which a replica starts draining")
	flags.DurationVar(&plan.PartialHangAt, "part", 26*time.Second, "time at which a replica stops responding to 1% of the proxies")
	flags.DurationVar(&plan.Duration, "length", 45*time.Second, "duration of a run")
	flags.StringVar(&plan.OperatorFile, "operator", "", "path of the governor's operator file")
	flags.StringVar(&plan.ProfilePath, "profile", "", "path of the CPU profile, for executables that can write one")
	return command
}

// run prints a table with a row per run. A failed run gets a row with its error and does not stop the others.
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

// printer writes formatted text and records the first error.
type printer struct {
	out io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err != nil {
		return
	}
	if _, err := fmt.Fprintf(p.out, format, args...); err != nil {
		p.err = fmt.Errorf("write result: %w", err)
	}
}

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/tools/emulate"
	"zincloft.example/zincloft/internal/tools/experiment"
)

// experimentFlags are the flags of the commands that run an experiment or write its report.
type experimentFlags struct {
	resultsDir string // results directory
	reportPath string // path of the report; empty: none
	cores      int
}

func (f *experimentFlags) addOutputs(command *cobra.Command) {
	command.Flags().StringVar(&f.resultsDir, "out", "found/experiment", "results directory, with one file per run")
	command.Flags().StringVar(&f.reportPath, "page", "", "write a report with charts to this path")
}

func (f *experimentFlags) addCores(command *cobra.Command) {
	command.Flags().IntVar(&f.cores, "cores", runtime.NumCPU(), "number of concurrent runs")
}

// experimentCommands returns the commands for experiments and their results.
func experimentCommands() []*cobra.Command {
	return []*cobra.Command{runCommand(), sweepCommand(), compareCommand(), reportCommand(), huntCommand()}
}

func runCommand() *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{Use: "run FILE", Short: "Runs an experiment's scenarios, seeds and variants, resuming an interrupted run", Args: cobra.ExactArgs(1),
		Example: "  zinclab run examples/replacement.toml --out found/replacement"}
	command.RunE = func(command *cobra.Command, args []string) error {
		plan, err := experiment.ReadPlan(args[0])
		if err != nil {
			return err
		}
		return flags.run(command, plan)
	}
	flags.addOutputs(command)
	flags.addCores(command)
	return command
}

func sweepCommand() *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{Use: "sweep FILE KEY VALUE...", Short: "Runs the first variant of an experiment once for each value of a fleet setting", Args: cobra.MinimumNArgs(3),
		Example: "  zinclab sweep examples/replacement.toml drain_grace 1s 3s 6s --out found/grace"}
	command.RunE = func(command *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
		plan, err := experiment.Sweep(text, args[1], args[2:])
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		return flags.run(command, plan)
	}
	flags.addOutputs(command)
	flags.addCores(command)
	return command
}

func reportCommand() *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{Use: "report FILE", Short: "Writes the report with charts of an experiment that was run", Args: cobra.ExactArgs(1)}
	command.RunE = func(_ *cobra.Command, args []string) error {
		plan, err := experiment.ReadPlan(args[0])
		if err != nil {
			return err
		}
		records, err := experiment.LoadRecords(flags.resultsDir)
		if err != nil {
			return err
		}
		return writeReport(flags.reportPath, plan, records)
	}
	flags.addOutputs(command)
	return command
}

func compareCommand() *cobra.Command {
	var reference string
	command := &cobra.Command{Use: "compare FOLDER", Short: "Compares the variants in a results directory, paired by seed", Args: cobra.ExactArgs(1)}
	command.RunE = func(command *cobra.Command, args []string) error {
		records, err := experiment.LoadRecords(args[0])
		if err != nil {
			return err
		}
		if reference == "" {
			reference = records[0].Variant
		}
		experiment.WriteTable(command.OutOrStdout(), experiment.Compare(records, reference), reference)
		return nil
	}
	command.Flags().StringVar(&reference, "against", "", "reference variant; default: the first by name")
	return command
}

// run runs a plan with a progress bar and writes the comparison and the report.
func (f *experimentFlags) run(command *cobra.Command, plan experiment.Plan) error {
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(command.ErrOrStderr()), progressbar.OptionSetDescription(plan.Name), progressbar.OptionClearOnFinish())
	records, err := experiment.Run(command.Context(), plan, f.resultsDir, f.cores, func(done, all int) {
		bar.ChangeMax(all)
		_ = bar.Set(done) // errors of the progress bar are not fatal
	})
	if err != nil {
		return err
	}
	reference := plan.Variants[0].Name
	experiment.WriteTable(command.OutOrStdout(), experiment.Compare(records, reference), reference)
	if f.reportPath == "" {
		return nil
	}
	return writeReport(f.reportPath, plan, records)
}

func writeReport(path string, plan experiment.Plan, records []experiment.Record) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("--page: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return experiment.WritePage(file, plan, records)
}

// search holds the flags of the hunt command.
type search struct {
	scenarios int
	shrink    bool
	cores     int
}

// huntFinding is a line of the hunt command's output.
type huntFinding struct {
	Violations   []emulate.Violation `json:"breaks"`
	Seed         uint64              `json:"seed"`
	ServiceLevel float64             `json:"service"`
	Faults       []emulate.Fault     `json:"troubles"`
}

func huntCommand() *cobra.Command {
	var s search
	command := &cobra.Command{Use: "hunt FILE", Short: "Searches for fault scenarios with bad results and minimizes those that violate an invariant", Args: cobra.ExactArgs(1),
		Long: "Generates random scenarios of one to three faults for the fleet and the first variant of an experiment, and prints the worst as lines of JSON:\nfirst those that violate an invariant, minimized such that they still violate it."}
	command.RunE = func(command *cobra.Command, args []string) error {
		plan, err := experiment.ReadPlan(args[0])
		if err != nil {
			return err
		}
		return s.run(command.Context(), command, plan)
	}
	command.Flags().IntVar(&s.scenarios, "days", 100, "number of scenarios")
	command.Flags().BoolVar(&s.shrink, "shrink", true, "minimize scenarios that violate an invariant")
	command.Flags().IntVar(&s.cores, "cores", runtime.NumCPU(), "number of concurrent runs")
	return command
}

// run searches and writes each finding as a line of JSON.
func (s *search) run(ctx context.Context, command *cobra.Command, plan experiment.Plan) error {
	findings, runs, err := experiment.Search(ctx, plan, s.scenarios, s.cores)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	for _, finding := range findings {
		if s.shrink && len(finding.Result.Violations) > 0 {
			finding, _ = experiment.Shrink(plan, finding)
		}
		line := huntFinding{finding.Result.Violations, finding.Seed, finding.Result.ServiceLevel, finding.Faults}
		if err := encoder.Encode(line); err != nil {
			return fmt.Errorf("write finding: %w", err)
		}
	}
	if _, err := fmt.Fprintf(command.ErrOrStderr(), "%d scenarios run\n", runs); err != nil {
		return fmt.Errorf("write number of runs: %w", err)
	}
	return nil
}

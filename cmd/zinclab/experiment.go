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

// experimentFlags are the flags of the commands that run an experiment or write its page.
type experimentFlags struct {
	folder string // of the results
	page   string // path of the page; "": none
	cores  int
}

func (f *experimentFlags) addOutputs(command *cobra.Command) {
	command.Flags().StringVar(&f.folder, "out", "found/experiment", "folder of the results, a file a run")
	command.Flags().StringVar(&f.page, "page", "", "where a page with charts goes")
}

func (f *experimentFlags) addCores(command *cobra.Command) {
	command.Flags().IntVar(&f.cores, "cores", runtime.NumCPU(), "runs at a time")
}

// experimentCommands are the commands on experiments and their results.
func experimentCommands() []*cobra.Command {
	return []*cobra.Command{runCommand(), sweepCommand(), compareCommand(), reportCommand(), huntCommand()}
}

func runCommand() *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{Use: "run FILE", Short: "Plays an experiment's scenarios, seeds and variants; goes on where it was cut off", Args: cobra.ExactArgs(1),
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
	command := &cobra.Command{Use: "sweep FILE KEY VALUE...", Short: "Plays the first variant of an experiment once for each value of a key of its fleet", Args: cobra.MinimumNArgs(3),
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
	command := &cobra.Command{Use: "report FILE", Short: "Writes the page with charts of an experiment that was played", Args: cobra.ExactArgs(1)}
	command.RunE = func(_ *cobra.Command, args []string) error {
		plan, err := experiment.ReadPlan(args[0])
		if err != nil {
			return err
		}
		records, err := experiment.LoadRecords(flags.folder)
		if err != nil {
			return err
		}
		return writePage(flags.page, plan, records)
	}
	flags.addOutputs(command)
	return command
}

func compareCommand() *cobra.Command {
	var reference string
	command := &cobra.Command{Use: "compare FOLDER", Short: "Compares the variants whose results a folder keeps, paired by seed", Args: cobra.ExactArgs(1)}
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
	command.Flags().StringVar(&reference, "against", "", "the variant that others are compared with; the first by name if left out")
	return command
}

// run runs a plan, shows its progress, and writes the comparison and the page.
func (f *experimentFlags) run(command *cobra.Command, plan experiment.Plan) error {
	bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(command.ErrOrStderr()), progressbar.OptionSetDescription(plan.Name), progressbar.OptionClearOnFinish())
	records, err := experiment.Run(command.Context(), plan, f.folder, f.cores, func(done, all int) {
		bar.ChangeMax(all)
		_ = bar.Set(done) // a bar that can't be drawn is no reason to stop
	})
	if err != nil {
		return err
	}
	reference := plan.Variants[0].Name
	experiment.WriteTable(command.OutOrStdout(), experiment.Compare(records, reference), reference)
	if f.page == "" {
		return nil
	}
	return writePage(f.page, plan, records)
}

func writePage(path string, plan experiment.Plan, records []experiment.Record) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("--page: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return experiment.WritePage(file, plan, records)
}

// search is what the hunt command's flags describe.
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
	command := &cobra.Command{Use: "hunt FILE", Short: "Searches for days that go badly, and shrinks those on which a rule breaks", Args: cobra.ExactArgs(1),
		Long: "Draws days of one to three troubles for the fleet and the first variant of an experiment, and prints the worst as lines of JSON: those on\nwhich a rule broke first, made as small as they can be with it still broken."}
	command.RunE = func(command *cobra.Command, args []string) error {
		plan, err := experiment.ReadPlan(args[0])
		if err != nil {
			return err
		}
		return s.run(command.Context(), command, plan)
	}
	command.Flags().IntVar(&s.scenarios, "days", 100, "days to draw")
	command.Flags().BoolVar(&s.shrink, "shrink", true, "make days on which a rule breaks smaller")
	command.Flags().IntVar(&s.cores, "cores", runtime.NumCPU(), "runs at a time")
	return command
}

// run searches, and writes each finding as a line of JSON.
func (s *search) run(ctx context.Context, command *cobra.Command, plan experiment.Plan) error {
	findings, played, err := experiment.Search(ctx, plan, s.scenarios, s.cores)
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
			return fmt.Errorf("writing a day: %w", err)
		}
	}
	if _, err := fmt.Fprintf(command.ErrOrStderr(), "%d days played\n", played); err != nil {
		return fmt.Errorf("writing the number of days: %w", err)
	}
	return nil
}

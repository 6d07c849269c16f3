package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/experiment"
)

// experimentCommands play, compare, draw and search.
func experimentCommands() []*cobra.Command {
	var folder, page string
	cores, days, shrink := runtime.NumCPU(), 100, true
	run := &cobra.Command{Use: "run FILE", Short: "Plays an experiment's scenarios, seeds and variants; goes on where it was cut off", Args: cobra.ExactArgs(1),
		Example: "  zinclab run examples/replacement.toml --out found/replacement"}
	play := func(c *cobra.Command, p experiment.Plan) error {
		bar := progressbar.NewOptions(-1, progressbar.OptionSetWriter(c.ErrOrStderr()), progressbar.OptionSetDescription(p.Name), progressbar.OptionClearOnFinish())
		rows, err := experiment.Run(c.Context(), p, folder, cores, func(done, all int) {
			bar.ChangeMax(all)
			_ = bar.Set(done) // a bar that can't be drawn is no reason to stop
		})
		if err != nil {
			return err
		}
		experiment.WriteTable(c.OutOrStdout(), experiment.Compare(rows, p.Variants[0].Name), p.Variants[0].Name)
		if page == "" {
			return nil
		}
		return writePage(page, p, rows)
	}
	run.RunE = func(c *cobra.Command, args []string) error {
		p, err := experiment.ReadPlan(args[0])
		if err != nil {
			return err
		}
		return play(c, p)
	}
	sweep := &cobra.Command{Use: "sweep FILE KEY VALUE...", Short: "Plays the first variant of an experiment once for each value of a key of its fleet", Args: cobra.MinimumNArgs(3),
		Example: "  zinclab sweep examples/replacement.toml drain_grace 1s 3s 6s --out found/grace"}
	sweep.RunE = func(c *cobra.Command, args []string) error {
		text, err := os.ReadFile(args[0])
		if err != nil {
			return fmt.Errorf("experiment: %w", err)
		}
		p, err := experiment.Sweep(text, args[1], args[2:])
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		return play(c, p)
	}
	report := &cobra.Command{Use: "report FILE", Short: "Writes the page with charts of an experiment that was played", Args: cobra.ExactArgs(1)}
	report.RunE = func(_ *cobra.Command, args []string) error {
		p, err := experiment.ReadPlan(args[0])
		if err != nil {
			return err
		}
		rows, err := experiment.LoadRecords(folder)
		if err != nil {
			return err
		}
		return writePage(page, p, rows)
	}
	for _, c := range []*cobra.Command{run, sweep, report} {
		c.Flags().StringVar(&folder, "out", "found/experiment", "folder of the results, a file a run")
		c.Flags().StringVar(&page, "page", "", "where a page with charts goes")
	}
	for _, c := range []*cobra.Command{run, sweep} {
		c.Flags().IntVar(&cores, "cores", cores, "runs at a time")
	}

	var first string
	compare := &cobra.Command{Use: "compare FOLDER", Short: "Compares the variants whose results a folder keeps, paired by seed", Args: cobra.ExactArgs(1)}
	compare.RunE = func(c *cobra.Command, args []string) error {
		rows, err := experiment.LoadRecords(args[0])
		if err != nil {
			return err
		}
		if first == "" {
			first = rows[0].Variant
		}
		experiment.WriteTable(c.OutOrStdout(), experiment.Compare(rows, first), first)
		return nil
	}
	compare.Flags().StringVar(&first, "against", "", "the variant that others are compared with; the first by name if left out")

	hunt := &cobra.Command{Use: "hunt FILE", Short: "Searches for days that go badly, and shrinks those on which a rule breaks", Args: cobra.ExactArgs(1),
		Long: "Draws days of one to three troubles for the fleet and the first variant of an experiment, and prints the worst as lines of JSON: those on\nwhich a rule broke first, made as small as they can be with it still broken."}
	hunt.RunE = func(c *cobra.Command, args []string) error {
		p, err := experiment.ReadPlan(args[0])
		if err != nil {
			return err
		}
		found, played, err := experiment.Search(c.Context(), p, days, cores)
		if err != nil {
			return err
		}
		out := json.NewEncoder(c.OutOrStdout())
		for _, f := range found {
			if shrink && len(f.Result.Violations) > 0 {
				f, _ = experiment.Shrink(p, f)
			}
			if err := out.Encode(map[string]any{"seed": f.Seed, "service": f.Result.ServiceLevel, "breaks": f.Result.Violations, "troubles": f.Faults}); err != nil {
				return fmt.Errorf("writing a day: %w", err)
			}
		}
		fmt.Fprintf(c.ErrOrStderr(), "%d days played\n", played)
		return nil
	}
	hunt.Flags().IntVar(&days, "days", days, "days to draw")
	hunt.Flags().BoolVar(&shrink, "shrink", true, "make days on which a rule breaks smaller")
	hunt.Flags().IntVar(&cores, "cores", cores, "runs at a time")
	return []*cobra.Command{run, sweep, compare, report, hunt}
}

func writePage(path string, p experiment.Plan, rows []experiment.Record) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("--page: %w", err)
	}
	if err := experiment.WritePage(f, p, rows); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

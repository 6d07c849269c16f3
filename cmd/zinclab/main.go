// Command zinclab plays loads against a governor and prints what was measured.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/load"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "zinclab:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "zinclab", Short: "Plays loads against a governor, and days of a fleet in simulated time", SilenceUsage: true, SilenceErrors: true}
	var sizes []int
	var binaries []string
	var repeats int
	plan := load.Plan{}
	c := &cobra.Command{Use: "load", Short: "Plays proxies, collectors and discovery on loopback; a line a run", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		fmt.Fprintln(c.OutOrStdout(), "| binary | proxies | bound s | cut, calm | cut, all | CPU s/s | MB | down s | drain p99 ms | drain most ms | part s | right | wrong | messages |")
		fmt.Fprintln(c.OutOrStdout(), "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for n := range repeats {
			for _, size := range sizes {
				for _, binary := range binaries {
					plan.Binary, plan.Proxies, plan.Seed = binary, size, uint64(n+1)
					r, err := load.Run(c.Context(), plan)
					if err != nil {
						fmt.Fprintf(c.OutOrStdout(), "| %s | %d | %v |\n", binary, size, err)
						continue
					}
					fmt.Fprintf(c.OutOrStdout(), "| %s | %d | %.2f | %d | %d | %.3f | %.0f | %.2f | %d | %d | %.2f | %d | %d | %d |\n", binary, size, r.Bound.Seconds(),
						r.CutBefore, r.Cut, r.CPU, r.MemoryMB, r.Down.Seconds(), r.Drain.Milliseconds(), r.DrainMost.Milliseconds(), r.Part.Seconds(),
						r.PartRight, r.PartWrong, r.Messages)
				}
			}
		}
		return nil
	}
	f := c.Flags()
	f.StringSliceVar(&binaries, "bin", []string{"bin/zincloft"}, "governors' programs, in turn")
	f.IntSliceVar(&sizes, "proxies", []int{500}, "sizes, in turn")
	f.IntVar(&repeats, "repeats", 1, "times that all is played")
	f.IntVar(&plan.Replicas, "replicas", 60, "replicas")
	f.IntVar(&plan.Zones, "zones", 4, "zones")
	f.Float64Var(&plan.Rate, "rate", 6, "flows a second of a proxy")
	f.Float64Var(&plan.Pace, "pace", 60, "lines a second of the channel, for each proxy")
	f.DurationVar(&plan.Phase, "phase", 0, "between one collector's writing and the next one's")
	f.DurationVar(&plan.Spread, "spread", 40*time.Millisecond, "a collector takes so long to write its sums")
	f.DurationVar(&plan.Late, "late", 0, "the last collector writes so much later")
	f.BoolVar(&plan.Met, "met", false, "proxies tell what each met at each replica")
	f.BoolVar(&plan.Flood, "flood", false, "a proxy floods while a replica drains")
	f.DurationVar(&plan.HangAt, "hang", 12*time.Second, "a replica swallows flows from then on")
	f.DurationVar(&plan.DrainAt, "drain", 22*time.Second, "a replica drains")
	f.DurationVar(&plan.PartAt, "part", 26*time.Second, "a replica swallows the flows of 1% of the proxies")
	f.DurationVar(&plan.Length, "length", 45*time.Second, "the run's length")
	f.StringVar(&plan.Operator, "operator", "", "the governor's operator file")
	f.StringVar(&plan.Profile, "profile", "", "where a governor that can writes its CPU profile")
	root.AddCommand(c, awayCommand(), emulateCommand(), daysCommand(), scaleCommand(), powersCommand())
	root.AddCommand(experimentCommands()...)
	return root
}

// awayCommand starts governors again while discovery is away, without and with a folder for their state.
func awayCommand() *cobra.Command {
	plan := load.Plan{Zones: 4, Rate: 6, Pace: 200, Spread: 40 * time.Millisecond, Fast: true}
	sizes := []int{60, 1000}
	repeats := 1
	c := &cobra.Command{Use: "away", Short: "Kills a governor and starts it again without discovery, without and with state on disk; a line a run", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) error {
		out := c.OutOrStdout()
		fmt.Fprintln(out, "| replicas | state | proxies that hold a table | after s | share to cold replicas | share to the faster of the others |")
		fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- |")
		for range repeats {
			for _, plan.Replicas = range sizes {
				for _, kept := range []bool{false, true} {
					if err := away(c, plan, kept); err != nil {
						return err
					}
				}
			}
		}
		return nil
	}
	f := c.Flags()
	f.StringVar(&plan.Binary, "bin", "bin/zincloft", "the governor's program")
	f.IntVar(&plan.Proxies, "proxies", 200, "proxies")
	f.IntSliceVar(&sizes, "replicas", sizes, "sizes, in turn")
	f.IntVar(&repeats, "repeats", 1, "times that all is played")
	f.DurationVar(&plan.Length, "length", 15*time.Second, "the first life's length")
	return c
}

func away(c *cobra.Command, plan load.Plan, kept bool) error {
	what := "none"
	if kept {
		what = "on disk"
		dir, err := os.MkdirTemp("", "zinclab-state")
		if err != nil {
			return fmt.Errorf("a folder for the state: %w", err)
		}
		defer os.RemoveAll(dir)
		plan.Operator = filepath.Join(dir, "operator.toml")
		if err := os.WriteFile(plan.Operator, fmt.Appendf(nil, "[state]\ndir = %q\nsync = \"1s\"\n", filepath.Join(dir, "state")), 0o600); err != nil {
			return fmt.Errorf("the operator file: %w", err)
		}
	}
	r, err := load.Away(c.Context(), plan)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "| %d | %s | %d of %d | %.2f | %.2f | %.2f |\n", plan.Replicas, what, r.Holding, plan.Proxies, r.Took.Seconds(), r.Cold, r.Learnt)
	return nil
}

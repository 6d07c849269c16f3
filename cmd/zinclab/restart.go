package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/tools/load"
)

const operatorFileMode = 0o600

// restartCommand returns the command that restarts governors while discovery is down, without and with state on disk.
func restartCommand() *cobra.Command {
	plan := load.Plan{Zones: 4, FlowRate: 6, ChannelRatePerProxy: 200, CollectorWriteTime: 40 * time.Millisecond, FastReplicas: true}
	sizes := []int{60, 1000}
	repeats := 1
	command := &cobra.Command{Use: "away", Short: "Measures the restart of a governor while discovery is down, without and with state on disk; prints one line per run", Args: cobra.NoArgs}
	command.RunE = func(command *cobra.Command, _ []string) error {
		out := &printer{out: command.OutOrStdout()}
		out.printf("| replicas | state | proxies that hold a table | after s | share to cold replicas | share to the faster of the others |\n")
		out.printf("| --- | --- | --- | --- | --- | --- |\n")
		for range repeats {
			for _, plan.Replicas = range sizes {
				if err := runRestarts(command.Context(), out, plan); err != nil {
					return err
				}
			}
		}
		return out.err
	}
	flags := command.Flags()
	flags.StringVar(&plan.Binary, "bin", "bin/zincloft", "governor executable")
	flags.IntVar(&plan.Proxies, "proxies", 200, "number of proxies")
	flags.IntSliceVar(&sizes, "replicas", sizes, "numbers of replicas, run in turn")
	flags.IntVar(&repeats, "repeats", 1, "number of repetitions")
	flags.DurationVar(&plan.Duration, "length", 15*time.Second, "runtime of the governor before the restart")
	return command
}

// runRestarts measures the restart of a governor without and with state on disk.
func runRestarts(ctx context.Context, out *printer, plan load.Plan) error {
	if err := runRestart(ctx, out, plan, "none"); err != nil {
		return err
	}
	return runWithState(ctx, out, plan)
}

// runWithState measures the restart of a governor that stores its state in a temporary directory.
func runWithState(ctx context.Context, out *printer, plan load.Plan) (err error) {
	directory, err := os.MkdirTemp("", "zinclab-state")
	if err != nil {
		return fmt.Errorf("create state directory: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(directory)) }()
	plan.OperatorFile = filepath.Join(directory, "operator.toml")
	settings := fmt.Appendf(nil, "[state]\ndir = %q\nsync = \"1s\"\n", filepath.Join(directory, "state"))
	if err := os.WriteFile(plan.OperatorFile, settings, operatorFileMode); err != nil {
		return fmt.Errorf("write operator file: %w", err)
	}
	return runRestart(ctx, out, plan, "on disk")
}

func runRestart(ctx context.Context, out *printer, plan load.Plan, state string) error {
	r, err := load.RunRestart(ctx, plan)
	if err != nil {
		return err
	}
	out.printf("| %d | %s | %d of %d | %.2f | %.2f | %.2f |\n", plan.Replicas, state, r.ProxiesWithTable, plan.Proxies, r.TableDelay.Seconds(), r.RestartedShare, r.FasterShare)
	return nil
}

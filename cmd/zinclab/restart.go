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

// restartCommand restarts governors while discovery is down, without and with a folder for their state.
func restartCommand() *cobra.Command {
	plan := load.Plan{Zones: 4, FlowRate: 6, ChannelRatePerProxy: 200, CollectorWriteTime: 40 * time.Millisecond, FastReplicas: true}
	sizes := []int{60, 1000}
	repeats := 1
	command := &cobra.Command{Use: "away", Short: "Kills a governor and starts it again without discovery, without and with state on disk; a line a run", Args: cobra.NoArgs}
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
	flags.StringVar(&plan.Binary, "bin", "bin/zincloft", "the governor's program")
	flags.IntVar(&plan.Proxies, "proxies", 200, "proxies")
	flags.IntSliceVar(&sizes, "replicas", sizes, "sizes, in turn")
	flags.IntVar(&repeats, "repeats", 1, "times that all is played")
	flags.DurationVar(&plan.Duration, "length", 15*time.Second, "the first life's length")
	return command
}

// runRestarts restarts a governor without and with a folder for its state.
func runRestarts(ctx context.Context, out *printer, plan load.Plan) error {
	if err := runRestart(ctx, out, plan, "none"); err != nil {
		return err
	}
	return runWithState(ctx, out, plan)
}

// runWithState restarts a governor that keeps its state in a temporary folder.
func runWithState(ctx context.Context, out *printer, plan load.Plan) (err error) {
	folder, err := os.MkdirTemp("", "zinclab-state")
	if err != nil {
		return fmt.Errorf("a folder for the state: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	plan.OperatorFile = filepath.Join(folder, "operator.toml")
	settings := fmt.Appendf(nil, "[state]\ndir = %q\nsync = \"1s\"\n", filepath.Join(folder, "state"))
	if err := os.WriteFile(plan.OperatorFile, settings, operatorFileMode); err != nil {
		return fmt.Errorf("the operator file: %w", err)
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

package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"zincloft.example/zincloft/internal/scalerun"
)

// replicasAtTarget is the size to which benchmarks are extrapolated unless another is given.
const replicasAtTarget = 47000

// scaleCommand runs the gateway at several sizes on loopback.
func scaleCommand() *cobra.Command {
	options := scalerun.Options{}
	var targetPath, csvPath string
	command := &cobra.Command{
		Use:   "scale",
		Short: "Runs real members and gateways beside synthetic ones at several sizes on loopback, and extrapolates to a target",
		Args:  cobra.NoArgs,
	}
	command.RunE = func(command *cobra.Command, _ []string) error {
		target, err := scalerun.ReadTarget(targetPath)
		if err != nil {
			return err
		}
		options.Target, options.Progress = target, command.ErrOrStderr()
		rows, runErr := scalerun.Run(command.Context(), options)
		if csvPath != "" {
			if err := writeRows(csvPath, rows); err != nil {
				return err
			}
		}
		out := command.OutOrStdout()
		if _, err := fmt.Fprintf(out, "Sizes are parts of %s, each at %d members; the power is carried on to 1, the whole.\n\n", targetPath, options.Members); err != nil {
			return err
		}
		if err := scalerun.WriteTable(out, scalerun.GroupSeries(rows), 1, target.Bounds); err != nil {
			return err
		}
		return runErr
	}
	addScaleFlags(command.Flags(), &options)
	command.Flags().StringVar(&targetPath, "target", "examples/target.toml", "the size to extrapolate to, and its bounds")
	command.Flags().StringVar(&csvPath, "csv", "", "where all figures are written")
	return command
}

func addScaleFlags(flags *pflag.FlagSet, options *scalerun.Options) {
	flags.StringVar(&options.BinDir, "bin", "bin", "folder of controlplane and gateway")
	flags.StringVar(&options.KeepDir, "keep", "", "folder for settings, disks and logs; without it they are removed")
	flags.Float64SliceVar(&options.Scales, "parts", []float64{0.01 / 3, 0.01, 0.03}, "sizes, as parts of the target")
	flags.IntVar(&options.Members, "members", 3, "control-plane members, a zone each")
	flags.IntVar(&options.Members, "combs", 3, "earlier name of --members")
	flags.IntVar(&options.RealGateways, "real", 2, "real gateways")
	flags.IntVar(&options.MaxCores, "cores", 3, "cores that all of it may use")
	flags.Float64Var(&options.MaxMemoryGB, "memory", 15, "GB that all of it may use")
	flags.DurationVar(&options.SettleTime, "settle", 10*time.Second, "from the last join until it counts as steady")
	flags.DurationVar(&options.SteadyTime, "steady", 12*time.Second, "time that is measured")
	flags.DurationVar(&options.HeartbeatInterval, "heartbeat", 1500*time.Millisecond, "between two heartbeats of a replica")
	flags.DurationVar(&options.HeartbeatInterval, "beat", 1500*time.Millisecond, "earlier name of --heartbeat")
	flags.Float64Var(&options.JoinsPerSecond, "joins", 0, "gateways that join a second; 0: all at once")
	flags.IntVar(&options.ConfigChanges, "changes", 3, "configurations that are given")
	flags.DurationVar(&options.Timeout, "most", 20*time.Minute, "time that all may take")
	for _, earlier := range []string{"combs", "beat"} {
		flags.Lookup(earlier).Hidden = true // scripts may still use it
	}
}

// writeRows writes figures to a new file.
func writeRows(path string, rows []scalerun.Row) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return scalerun.WriteCSV(file, rows)
}

// powersCommand fits power laws to benchmarks.
func powersCommand() *cobra.Command {
	var targetSize float64
	command := &cobra.Command{
		Use:   "powers [FILE]",
		Short: "Fits a power law to each figure of `go test -bench` by the size in names that end in /n=SIZE",
		Args:  cobra.MaximumNArgs(1),
	}
	command.RunE = func(command *cobra.Command, args []string) error {
		if len(args) == 0 {
			return writePowers(command.OutOrStdout(), command.InOrStdin(), targetSize)
		}
		file, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }() // it was only read
		return writePowers(command.OutOrStdout(), file, targetSize)
	}
	command.Flags().Float64Var(&targetSize, "to", replicasAtTarget, "size to extrapolate to")
	return command
}

func writePowers(out io.Writer, benchmarks io.Reader, targetSize float64) error {
	all, err := scalerun.ReadBenchmarks(benchmarks)
	if err != nil {
		return err
	}
	return scalerun.WriteTable(out, all, targetSize, nil)
}

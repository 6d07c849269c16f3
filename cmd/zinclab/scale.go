package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/scalerun"
)

// scaleRun is what the scale command's flags describe.
type scaleRun struct {
	options scalerun.Options
	target  string // path of the target's file
	csv     string // path of a file for all figures; "": none
}

// scaleCommand measures the gateway and the control plane at several sizes on loopback.
func scaleCommand() *cobra.Command {
	var s scaleRun
	command := &cobra.Command{Use: "scale", Short: "Runs real control-plane members and gateways beside hollow ones at several sizes on loopback, and extrapolates to a target", Args: cobra.NoArgs}
	command.RunE = func(command *cobra.Command, _ []string) error {
		s.options.Progress = command.ErrOrStderr()
		return s.run(command.Context(), command.OutOrStdout())
	}
	options, flags := &s.options, command.Flags()
	flags.StringVar(&options.BinDir, "bin", "bin", "folder of the control plane's and the gateway's programs")
	flags.StringVar(&s.target, "target", "examples/target.toml", "the size to carry on to, and its bounds")
	flags.StringVar(&s.csv, "csv", "", "where all figures are written")
	flags.StringVar(&options.KeepDir, "keep", "", "folder for settings, disks and logs; without it they are removed")
	flags.Float64SliceVar(&options.Scales, "parts", []float64{0.01 / 3, 0.01, 0.03}, "sizes, as parts of the target")
	flags.IntVar(&options.Members, membersFlag, 3, "control-plane members, a zone each")
	flags.IntVar(&options.RealGateways, "real", 2, "real gateways")
	flags.IntVar(&options.MaxCores, "cores", 3, "cores that all of it may use")
	flags.Float64Var(&options.MaxMemoryGB, "memory", 15, "GB that all of it may use")
	flags.DurationVar(&options.SettleTime, "settle", 10*time.Second, "from the last join until it counts as steady")
	flags.DurationVar(&options.SteadyTime, "steady", 12*time.Second, "time that is measured")
	flags.DurationVar(&options.HeartbeatInterval, "beat", 1500*time.Millisecond, "between two heartbeats of a replica")
	flags.Float64Var(&options.JoinsPerSecond, "joins", 0, "gateways that begin a second; 0: all at once")
	flags.IntVar(&options.ConfigChanges, "changes", 3, "configurations that are given")
	flags.DurationVar(&options.Timeout, "most", 20*time.Minute, "time that all may take")
	return command
}

// membersFlag keeps its name of earlier releases, which scripts use.
const membersFlag = "combs"

// run measures all sizes and writes what was measured, also if a size failed.
func (s *scaleRun) run(ctx context.Context, out io.Writer) error {
	var err error
	if s.options.Target, err = scalerun.ReadTarget(s.target); err != nil {
		return err
	}
	rows, runErr := scalerun.Run(ctx, s.options)
	if s.csv != "" {
		if err := writeCSV(s.csv, rows); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(out, "Sizes are parts of %s, each at %d control-plane members; the power is carried on to 1, the whole.\n\n", s.target, s.options.Members)
	scalerun.WriteTable(out, scalerun.GroupSeries(rows), 1, s.options.Target.Bounds)
	return errors.Join(runErr, err)
}

func writeCSV(path string, rows []scalerun.Row) (err error) {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("--csv: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return scalerun.WriteCSV(file, rows)
}

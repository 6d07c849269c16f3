package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/scalerun"
)

// scaleCommand plays the gateway at several sizes on loopback.
func scaleCommand() *cobra.Command {
	p := scalerun.Options{}
	var target, out string
	c := &cobra.Command{Use: "scale", Short: "Plays real combs and foragers beside hollow ones at several sizes on loopback, and carries on to a target", Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, _ []string) (err error) {
		if p.Target, err = scalerun.ReadTarget(target); err != nil {
			return err
		}
		p.Progress = c.ErrOrStderr()
		rows, err := scalerun.Run(c.Context(), p)
		if out != "" {
			f, e := os.Create(out)
			if e != nil {
				return e
			}
			defer f.Close()
			if e := scalerun.WriteCSV(f, rows); e != nil {
				return e
			}
		}
		fmt.Fprintf(c.OutOrStdout(), "Sizes are parts of %s, each at %d combs; the power is carried on to 1, the whole.\n\n", target, p.Members)
		scalerun.WriteTable(c.OutOrStdout(), scalerun.GroupSeries(rows), 1, p.Target.Bounds)
		return err
	}
	f := c.Flags()
	f.StringVar(&p.BinDir, "bin", "bin", "folder of comb and forager")
	f.StringVar(&target, "target", "examples/target.toml", "the size to carry on to, and its bounds")
	f.StringVar(&out, "csv", "", "where all figures are written")
	f.StringVar(&p.KeepDir, "keep", "", "folder for settings, disks and logs; without it they are removed")
	f.Float64SliceVar(&p.Scales, "parts", []float64{0.01 / 3, 0.01, 0.03}, "sizes, as parts of the target")
	f.IntVar(&p.Members, "combs", 3, "combs, a zone each")
	f.IntVar(&p.RealGateways, "real", 2, "real foragers")
	f.IntVar(&p.MaxCores, "cores", 3, "cores that all of it may use")
	f.Float64Var(&p.MaxMemoryGB, "memory", 15, "GB that all of it may use")
	f.DurationVar(&p.SettleTime, "settle", 10*time.Second, "from the last join until it counts as steady")
	f.DurationVar(&p.SteadyTime, "steady", 12*time.Second, "time that is measured")
	f.DurationVar(&p.HeartbeatInterval, "beat", 1500*time.Millisecond, "between two beats of a replica")
	f.Float64Var(&p.JoinsPerSecond, "joins", 0, "foragers that begin a second; 0: all at once")
	f.IntVar(&p.ConfigChanges, "changes", 3, "configurations that are given")
	f.DurationVar(&p.Timeout, "most", 20*time.Minute, "time that all may take")
	return c
}

// powersCommand fits powers to benchmarks.
func powersCommand() *cobra.Command {
	to := 47000.0
	c := &cobra.Command{Use: "powers [FILE]", Short: "Fits a power to each figure of `go test -bench` by the size in names that end in /n=SIZE", Args: cobra.MaximumNArgs(1)}
	c.RunE = func(c *cobra.Command, args []string) error {
		var in io.Reader = c.InOrStdin()
		if len(args) > 0 {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			in = f
		}
		all, err := scalerun.ReadBenchmarks(in)
		if err != nil {
			return err
		}
		scalerun.WriteTable(c.OutOrStdout(), all, to, nil)
		return nil
	}
	c.Flags().Float64Var(&to, "to", to, "size to carry on to")
	return c
}

package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/scalerun"
)

// defaultPowersSize is the size that benchmarks are extrapolated to.
const defaultPowersSize = 47000.0

// powersCommand fits powers of the size to benchmarks.
func powersCommand() *cobra.Command {
	size := defaultPowersSize
	command := &cobra.Command{Use: "powers [FILE]", Short: "Fits a power to each figure of `go test -bench` by the size in names that end in /n=SIZE", Args: cobra.MaximumNArgs(1)}
	command.RunE = func(command *cobra.Command, args []string) error {
		in := command.InOrStdin()
		if len(args) > 0 {
			file, err := os.Open(args[0])
			if err != nil {
				return fmt.Errorf("benchmarks: %w", err)
			}
			defer file.Close() //nolint:errcheck // nothing was written
			in = file
		}
		return fitPowers(command.OutOrStdout(), in, size)
	}
	command.Flags().Float64Var(&size, "to", size, "size to carry on to")
	return command
}

func fitPowers(out io.Writer, in io.Reader, size float64) error {
	series, err := scalerun.ReadBenchmarks(in)
	if err != nil {
		return err
	}
	scalerun.WriteTable(out, series, size, nil)
	return nil
}

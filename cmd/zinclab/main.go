// Command zinclab tests and measures governors and gateways. It simulates fleets, runs experiments on them, and runs load and fault
// tests on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "zinclab:", err)
		os.Exit(1)
	}
}

// run executes the command line until it completes or is interrupted by a signal.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return rootCommand().ExecuteContext(ctx)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "zinclab",
		Short:         "Measures governors under load and simulates fleets",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(loadCommand(), restartCommand(), emulateCommand(), daysCommand(), soakCommand())
	root.AddCommand(experimentCommands()...)
	return root
}

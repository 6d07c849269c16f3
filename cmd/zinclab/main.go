// Command zinclab measures governors: it simulates fleets, runs experiments on them, and puts load on governors and gateways on
// loopback.
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

// run runs the command line until it ends or a signal asks for its end.
func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return rootCommand().ExecuteContext(ctx)
}

func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "zinclab",
		Short:         "Plays loads against a governor, and days of a fleet in simulated time",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(loadCommand(), restartCommand(), emulateCommand(), daysCommand(), soakCommand())
	root.AddCommand(experimentCommands()...)
	return root
}

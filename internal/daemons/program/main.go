// Package program provides the command line, logging, signal handling and exit statuses shared by the daemons.
package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"

	"zincloft.example/zincloft/internal/daemons/nodesettings"
)

// Version is printed by --version.
var Version = "0.1.0"

// Exit statuses of a daemon.
const (
	exitFailure = 1 // the daemon failed while serving
	exitUsage   = 2 // invalid command line or settings
)

// maxPendingReloads is the maximum number of queued SIGHUPs.
const maxPendingReloads = 4

// Runner is a daemon.
type Runner interface {
	// Run serves until ctx is done. Each signal on reload triggers a reload of the settings.
	Run(ctx context.Context, reload <-chan os.Signal) error
}

// Main runs a daemon and exits the process on failure. Without a subcommand, or with `run`, it serves until SIGTERM or SIGINT.
// `check` loads the settings, builds the daemon and reports errors.
func Main[R Runner](name, description string, build func(*nodesettings.Settings, *log.Logger) (R, error)) {
	arguments, err := parseArguments(name, description, os.Args[1:])
	if err != nil {
		exit(exitUsage, err)
	}
	if arguments.settingsPath != "" {
		if err := os.Setenv(nodesettings.PathEnvVar, arguments.settingsPath); err != nil {
			exit(exitUsage, err)
		}
	}
	settings, err := nodesettings.Load()
	if err != nil {
		exit(exitUsage, err)
	}
	if settings.Metrics, err = nodesettings.ParseMetricsEndpoint(arguments.metrics); err != nil {
		exit(exitUsage, err)
	}
	logger := NewLogger(os.Stderr, name)
	logViolations(logger)
	daemon, err := build(settings, logger)
	if err != nil {
		exit(exitUsage, err)
	}
	if arguments.checkOnly {
		if err := printSummary(os.Stdout, name, settings); err != nil {
			exit(exitFailure, err)
		}
		return
	}
	if err := serve(daemon); err != nil {
		logger.Error().Str("event", "run_failed").Err(err).Msg("program ended with an error")
		os.Exit(exitFailure)
	}
}

func exit(status int, err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(status)
}

type arguments struct {
	settingsPath string
	metrics      string // PORT/PATH; empty to serve no metrics
	checkOnly    bool
}

func parseArguments(name, description string, args []string) (arguments, error) {
	parsed := arguments{settingsPath: os.Getenv(nodesettings.PathEnvVar)}
	parser := flaggy.NewParser(name)
	parser.Description = description
	parser.Version = Version
	parser.String(&parsed.settingsPath, "s", "settings", "path of the settings file; "+nodesettings.PathEnvVar+" names it too")
	parser.String(&parsed.metrics, "m", "metrics", "PORT/PATH at which the program serves its metrics, such as 9464/metrics")
	check := flaggy.NewSubcommand("check")
	check.Description = "check the settings and exit"
	run := flaggy.NewSubcommand("run")
	run.Description = "serve until SIGTERM or SIGINT (the default)"
	parser.AttachSubcommand(check, 1)
	parser.AttachSubcommand(run, 1)
	err := parser.ParseArgs(args)
	parsed.checkOnly = check.Used
	return parsed, err
}

// printSummary prints the output of `check` for valid settings.
func printSummary(out io.Writer, name string, settings *nodesettings.Settings) error {
	tolerance := settings.FaultTolerance
	_, headline := fmt.Fprintf(out, "%s: %s in zone %s: the settings are valid\n", name, settings.Name, settings.Zone)
	_, details := fmt.Fprintf(out, "tolerates the loss of %d counted machines, or %d zones, or %d regions at once; active contracts: %s\n",
		tolerance.Machines, tolerance.Zones, tolerance.Regions, strings.Join(settings.ActiveContracts, ", "))
	return errors.Join(headline, details)
}

// serve runs a daemon until SIGTERM or SIGINT.
func serve(daemon Runner) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, maxPendingReloads)
	signal.Notify(reload, syscall.SIGHUP)
	return daemon.Run(ctx, reload)
}

// Command zincloft runs a governor, which publishes routing tables to a fleet of proxies. Without a subcommand it serves.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/daemon"
)

// Exit statuses.
const (
	exitFailed       = 1 // the governor ended with an error
	exitInvalidInput = 2 // the configuration, the command line or a file is invalid
)

// logTimeFormat is RFC 3339 with milliseconds.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// exitError is an error with an exit status.
type exitError struct {
	error
	status int
}

func (e exitError) Unwrap() error { return e.error }

func main() {
	reloadSignals := make(chan os.Signal, 1) // further signals are redundant while one is pending
	signal.Notify(reloadSignals, syscall.SIGHUP)
	err := rootCommand(reloadSignals).Execute()
	if err == nil {
		return
	}
	exit := exitError{err, exitInvalidInput}
	errors.As(err, &exit)
	if exit.status == exitInvalidInput { // otherwise the error has been logged
		fmt.Fprintln(os.Stderr, "zincloft:", err)
	}
	os.Exit(exit.status)
}

// rootCommand returns the root command. A serving governor reloads its configuration on each value from reloadSignals.
func rootCommand(reloadSignals <-chan os.Signal) *cobra.Command {
	var operator string
	serve := func(*cobra.Command, []string) error { return serve(operator, reloadSignals) }
	root := &cobra.Command{
		Use:           "zincloft",
		Short:         "Publish routing tables to a fleet of proxies; serves if no command is given",
		Args:          cobra.NoArgs,
		RunE:          serve,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&operator, "operator", "", "operator file in TOML (default: $ZINCLOFT_OPERATOR)")
	root.AddCommand(
		stateCommand(&operator),
		&cobra.Command{
			Use:   "serve",
			Short: "Serve with the configuration in LB_CONFIG and the operator file until SIGTERM",
			Args:  cobra.NoArgs,
			RunE:  serve,
		},
		&cobra.Command{
			Use:   "check",
			Short: "Check the configuration and print the effective options without serving",
			Args:  cobra.NoArgs,
			RunE:  func(c *cobra.Command, _ []string) error { return check(c.OutOrStdout(), operator) },
		},
		&cobra.Command{
			Use:   "version",
			Short: "Print the version",
			Args:  cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error {
				_, err := fmt.Fprintln(c.OutOrStdout(), version())
				return err
			},
		},
	)
	return root
}

// check reads the configuration as serve does and prints the effective options. Without LB_CONFIG it reads only the operator
// file and uses the default limits.
func check(out io.Writer, operator string) error {
	var conf config.Config
	var err error
	if os.Getenv("LB_CONFIG") != "" {
		conf, err = config.Load(os.Getenv, operator)
	} else {
		conf.Operator, err = config.ReadOperator(config.OperatorPath(os.Getenv, operator))
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(out, conf.Effective())
	return err
}

// version returns the version of the module, the VCS revision if it is known, and the Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " " + setting.Value
		}
	}
	return text + " " + info.GoVersion
}

// serve runs a governor until SIGTERM or SIGINT.
func serve(operator string, reloadSignals <-chan os.Signal) error {
	conf, err := config.Load(os.Getenv, operator)
	if err != nil {
		return exitError{err, exitInvalidInput}
	}
	zerolog.TimeFieldFormat = logTimeFormat
	log := zerolog.New(os.Stderr).With().Timestamp().Str("governor", conf.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listen := func() (net.Listener, error) {
		var listenConfig net.ListenConfig
		// A stop signal during startup must not be reported as a failure to listen.
		return listenConfig.Listen(context.WithoutCancel(ctx), "tcp", conf.Listen)
	}
	reload := func(current config.Config) (config.Config, []string, error) { return config.Reload(os.Getenv, current) }
	if err := daemon.New(conf, log).Run(ctx, listen, reloadSignals, reload); err != nil {
		log.Error().Err(err).Msg("exit")
		return exitError{err, exitFailed}
	}
	return nil
}

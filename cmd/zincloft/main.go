// Command zincloft is the governor: it publishes routing tables to a fleet of proxies. Without arguments it serves.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/internal/daemon"
)

var getenv = os.Getenv

// exitError is an error that has been told already, and the exit status that it means.
type exitError struct {
	error
	status int
}

func main() {
	hups := make(chan os.Signal, 1) // one that waits stands for all that came since
	signal.Notify(hups, syscall.SIGHUP)
	if err := rootCommand(hups).Execute(); err != nil {
		var f exitError
		if !errors.As(err, &f) {
			f = exitError{err, 2}
		}
		if f.status == 2 { // else the log has it
			fmt.Fprintln(os.Stderr, "zincloft:", err)
		}
		os.Exit(f.status)
	}
}

func rootCommand(hups <-chan os.Signal) *cobra.Command {
	var operator string
	serve := func(*cobra.Command, []string) error { return serve(operator, hups) }
	root := &cobra.Command{Use: "zincloft", Short: "A governor: publishes routing tables to a fleet of proxies; without a command it serves",
		Args: cobra.NoArgs, RunE: serve, SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&operator, "operator", "", "the operator file (TOML); else ZINCLOFT_OPERATOR, else none")
	root.AddCommand(
		stateCommand(&operator),
		&cobra.Command{Use: "serve", Short: "Serve as LB_CONFIG and the operator file say, until SIGTERM", Args: cobra.NoArgs, RunE: serve},
		&cobra.Command{Use: "check", Short: "Print what would hold, or what is wrong; listen on nothing", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return checkCommand(c, operator) }},
		&cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), version())
		}},
	)
	return root
}

// checkCommand reads all that serve would. Without LB_CONFIG it reads the operator file alone, as for the usual machine.
func checkCommand(c *cobra.Command, operator string) error {
	conf := config.Config{}
	var err error
	if os.Getenv("LB_CONFIG") != "" {
		conf, err = config.Load(os.Getenv, operator)
	} else {
		conf.Operator, err = config.ReadOperator(config.OperatorPath(os.Getenv, operator))
	}
	if err == nil {
		fmt.Fprint(c.OutOrStdout(), conf.Effective())
	}
	return err
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + info.GoVersion
}

func serve(operator string, hups <-chan os.Signal) error {
	conf, err := config.Load(os.Getenv, operator)
	if err != nil {
		return exitError{err, 2}
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(os.Stderr).With().Timestamp().Str("governor", conf.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listen := func() (net.Listener, error) { return net.Listen("tcp", conf.Listen) }
	reload := func(now config.Config) (config.Config, []string, error) { return config.Reload(os.Getenv, now) }
	if err := daemon.New(conf, log).Run(ctx, listen, hups, reload); err != nil {
		log.Error().Err(err).Msg("exit")
		return exitError{err, 1}
	}
	return nil
}

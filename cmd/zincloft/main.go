// Command zincloft is the governor: it publishes routing tables to a fleet of proxies.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/internal/daemon"
)

func main() {
	hups := make(chan os.Signal, 1) // one that waits stands for all that came since
	signal.Notify(hups, syscall.SIGHUP)
	conf, err := config.Load(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "zincloft:", err)
		os.Exit(2)
	}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(os.Stderr).With().Timestamp().Str("governor", conf.Name).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listen := func() (net.Listener, error) { return net.Listen("tcp", conf.Listen) }
	reload := func(now config.Config) (config.Config, []string, error) { return config.Reload(os.Getenv, now) }
	if err := daemon.New(conf, log).Run(ctx, listen, hups, reload); err != nil {
		log.Error().Err(err).Msg("exit")
		os.Exit(1)
	}
}

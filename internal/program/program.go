// Package program is what the gateway's daemons share: command line, logs, exit status.
package program

import (
	"context"
	"fmt"
	"io"
	"iter"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/phuslu/log"

	"zincloft.example/zincloft/internal/nodesettings"
)

// Version is told by --version.
var Version = "0.1.0"

// Runner serves until the context ends. A signal on hup has it read its settings again.
type Runner interface {
	Run(ctx context.Context, hup <-chan os.Signal) error
}

// NewLogger writes one line of key=value for each event.
func NewLogger(w io.Writer, name string) *log.Logger {
	return &log.Logger{Level: log.InfoLevel, TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer: &log.ConsoleWriter{Writer: w, Formatter: func(w io.Writer, a *log.FormatterArgs) (int, error) {
			b := append([]byte("time="), a.Time...)
			b = append(append(append(b, " level="...), a.Level...), " program="+name...)
			for _, kv := range a.KeyValues {
				b = append(append(append(b, ' '), kv.Key...), '=')
				if strings.ContainsAny(kv.Value, " \"=\n") || kv.Value == "" {
					b = strconv.AppendQuote(b, kv.Value)
				} else {
					b = append(b, kv.Value...)
				}
			}
			if a.Message != "" {
				b = strconv.AppendQuote(append(b, " message="...), a.Message)
			}
			return w.Write(append(b, '\n'))
		}}}
}

// LogEvent writes a line of an event with its fields.
func LogEvent(l *log.Logger, warn bool, event string, fields iter.Seq2[string, any]) {
	e := l.Info()
	if warn {
		e = l.Warn()
	}
	e = e.Str("event", event)
	for k, v := range fields {
		switch v := v.(type) {
		case string:
			e = e.Str(k, v)
		case []string:
			e = e.Strs(k, v)
		case time.Duration:
			e = e.Dur(k, v)
		default:
			e = e.Any(k, v)
		}
	}
	e.Msg("")
}

// Main runs a daemon. Without a verb, or with `run`, it serves; `check` reads the settings and says what is wrong.
func Main(name, what string, build func(*nodesettings.Settings, *log.Logger) (Runner, error)) {
	p := flaggy.NewParser(name)
	p.Description = what
	p.Version = Version
	path := os.Getenv(nodesettings.PathVariable)
	p.String(&path, "s", "settings", "path of the settings file; "+nodesettings.PathVariable+" names it too")
	check := flaggy.NewSubcommand("check")
	check.Description = "read the settings, say what is wrong, and end"
	run := flaggy.NewSubcommand("run")
	run.Description = "serve (also without a verb)"
	p.AttachSubcommand(check, 1)
	p.AttachSubcommand(run, 1)
	if err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if path != "" {
		os.Setenv(nodesettings.PathVariable, path)
	}
	set, err := nodesettings.Load()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	logger := NewLogger(os.Stderr, name)
	r, err := build(set, logger)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if check.Used {
		fmt.Printf("%s: %s in zone %s: settings hold\n", name, set.Name, set.Zone)
		fmt.Printf("may be lost at once: %d machines that count, or %d zones, or %d regions; rules in force: %s\n", set.FaultTolerance.Machines,
			set.FaultTolerance.Zones, set.FaultTolerance.Regions, strings.Join(set.ActiveContracts, ", "))
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 4)
	signal.Notify(hup, syscall.SIGHUP)
	if err := r.Run(ctx, hup); err != nil {
		logger.Error().Str("event", "end").Err(err).Msg("")
		os.Exit(1)
	}
}

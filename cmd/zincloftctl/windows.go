package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
	"zincloft.example/zincloft/internal/tools/maintenancefile"
)

// windowsOptions are the arguments and flags of the windows commands.
type windowsOptions struct {
	addresses string
	file      string
	chart     string // path of the chart; empty: none
	nodes     string // comma-separated names
	name      string // of the window
	duration  time.Duration
}

// windowsCommand returns the group of commands for maintenance windows.
func windowsCommand() *command {
	a := &windowsOptions{name: "by hand"}
	members := membersArgument(&a.addresses)
	file := argument{value: &a.file, name: "FILE", description: "YAML file with agreed capacity, forecasts and requested windows"}
	nodes := argument{value: &a.nodes, name: "NODES", description: "comma-separated names of nodes"}
	return &command{
		name:        "windows",
		description: "plan maintenance windows and drain nodes as the control plane grants them",
		subcommands: []*command{
			{
				name:        "plan",
				description: "compute a schedule from a file, or report the capacity floor that prevents one",
				arguments:   []argument{file},
				flags: func(sub *flaggy.Subcommand) {
					sub.String(&a.chart, "c", "chart", "also write a chart to this path; its extension is .svg, .png or .pdf")
				},
				run: a.plan,
			},
			{
				name:        "agree",
				description: "store the agreed capacity from a file in the control plane",
				arguments:   []argument{members, file},
				run:         a.agree,
			},
			{
				name:        "start",
				description: "request each window of a file's schedule at its start time, until all have ended",
				arguments:   []argument{members, file},
				run:         a.start,
			},
			{
				name:        "show",
				description: "print windows, nodes, their capacity, shortfalls and the reason for each grant or refusal",
				arguments:   []argument{members},
				run:         func(out io.Writer) error { return printCall(out, a.addresses, "windows.describe", "", nil) },
			},
			{
				name:        "pause",
				description: "stop granting windows; windows already started continue",
				arguments:   []argument{members},
				run:         a.commandSender(maintenance.VerbPause),
			},
			{
				name:        "resume",
				description: "resume granting windows",
				arguments:   []argument{members},
				run:         a.commandSender(maintenance.VerbResume),
			},
			{
				name:        "ask",
				description: "request windows for nodes now",
				arguments:   []argument{members, nodes},
				flags: func(sub *flaggy.Subcommand) {
					sub.String(&a.name, "n", "name", "name of the window")
					sub.Duration(&a.duration, "t", "takes", "time from drained until a node serves again; if omitted, until finish")
				},
				run: a.ask,
			},
			{
				name:        "finish",
				description: "end windows and return the nodes to service",
				arguments:   []argument{members, nodes},
				run:         a.commandSender(maintenance.VerbFinish),
			},
			{
				name:        "cancel",
				description: "drop requested windows and return the nodes to service",
				arguments:   []argument{members, nodes},
				run:         a.commandSender(maintenance.VerbCancel),
			},
		},
	}
}

// schedule reads the file and computes its schedule.
func (a *windowsOptions) schedule() (*maintenancefile.File, maintenanceplanner.Schedule, error) {
	file, err := maintenancefile.Read(a.file)
	if err != nil {
		return nil, maintenanceplanner.Schedule{}, err
	}
	schedule, err := maintenanceplanner.Plan(&file.Request)
	return file, schedule, err
}

func (a *windowsOptions) plan(out io.Writer) error {
	file, schedule, err := a.schedule()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprint(out, file.Render(schedule)); err != nil {
		return err
	}
	if a.chart == "" {
		return nil
	}
	return file.WriteChart(schedule, a.chart)
}

func (a *windowsOptions) agree(io.Writer) error {
	file, err := maintenancefile.Read(a.file)
	if err != nil {
		return err
	}
	return a.send(file.AgreeCommand())
}

func (a *windowsOptions) start(out io.Writer) error {
	file, schedule, err := a.schedule()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	follower := &scheduleFollower{arguments: a, file: file, schedule: schedule, out: out}
	return follower.run(ctx)
}

func (a *windowsOptions) ask(io.Writer) error {
	return a.send(maintenance.Command{
		Verb:            maintenance.VerbAsk,
		Nodes:           a.nodeNames(),
		WindowName:      a.name,
		DurationSeconds: int64(a.duration / time.Second),
	})
}

// commandSender returns a run function that sends a command with a verb and the nodes from the arguments, if any.
func (a *windowsOptions) commandSender(verb string) func(io.Writer) error {
	return func(io.Writer) error {
		return a.send(maintenance.Command{Verb: verb, Nodes: a.nodeNames()})
	}
}

func (a *windowsOptions) nodeNames() []string {
	if a.nodes == "" {
		return nil
	}
	return strings.Split(a.nodes, ",")
}

func (a *windowsOptions) send(command maintenance.Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	_, err = callMembers(context.Background(), a.addresses, "windows.command", "", body)
	return err
}

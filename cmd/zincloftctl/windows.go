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
	o := &windowsOptions{name: "by hand"}
	members := membersArgument(&o.addresses)
	file := argument{value: &o.file, name: "FILE", description: "YAML file with agreed capacity, forecasts and requested windows"}
	nodes := argument{value: &o.nodes, name: "NODES", description: "comma-separated names of nodes"}
	return &command{
		name:        "windows",
		description: "plan maintenance windows and drain nodes as the control plane grants them",
		subcommands: []*command{
			{
				name:        "plan",
				description: "compute a schedule from a file, or report the capacity floor that prevents one",
				arguments:   []argument{file},
				flags: func(sub *flaggy.Subcommand) {
					sub.String(&o.chart, "c", "chart", "also write a chart to this path; its extension is .svg, .png or .pdf")
				},
				run: o.plan,
			},
			{
				name:        "agree",
				description: "store the agreed capacity from a file in the control plane",
				arguments:   []argument{members, file},
				run:         o.agree,
			},
			{
				name:        "start",
				description: "request each window of a file's schedule at its start time, until all have ended",
				arguments:   []argument{members, file},
				run:         o.start,
			},
			{
				name:        "show",
				description: "print windows, nodes, their capacity, shortfalls and the reason for each grant or refusal",
				arguments:   []argument{members},
				run:         func(out io.Writer) error { return printCall(out, o.addresses, "windows.describe", "", nil) },
			},
			{
				name:        "pause",
				description: "stop granting windows; windows already started continue",
				arguments:   []argument{members},
				run:         o.commandSender(maintenance.VerbPause),
			},
			{
				name:        "resume",
				description: "resume granting windows",
				arguments:   []argument{members},
				run:         o.commandSender(maintenance.VerbResume),
			},
			{
				name:        "ask",
				description: "request windows for nodes now",
				arguments:   []argument{members, nodes},
				flags: func(sub *flaggy.Subcommand) {
					sub.String(&o.name, "n", "name", "name of the window")
					sub.Duration(&o.duration, "t", "takes", "time from drained until a node serves again; if omitted, until finish")
				},
				run: o.ask,
			},
			{
				name:        "finish",
				description: "end windows and return the nodes to service",
				arguments:   []argument{members, nodes},
				run:         o.commandSender(maintenance.VerbFinish),
			},
			{
				name:        "cancel",
				description: "drop requested windows and return the nodes to service",
				arguments:   []argument{members, nodes},
				run:         o.commandSender(maintenance.VerbCancel),
			},
		},
	}
}

// schedule reads the file and computes its schedule.
func (o *windowsOptions) schedule() (*maintenancefile.File, maintenanceplanner.Schedule, error) {
	file, err := maintenancefile.Read(o.file)
	if err != nil {
		return nil, maintenanceplanner.Schedule{}, err
	}
	schedule, err := maintenanceplanner.Plan(&file.Request)
	return file, schedule, err
}

func (o *windowsOptions) plan(out io.Writer) error {
	file, schedule, err := o.schedule()
	if err != nil {
		return err
	}
	if _, err := fmt.Fprint(out, file.Render(schedule)); err != nil {
		return err
	}
	if o.chart == "" {
		return nil
	}
	return file.WriteChart(schedule, o.chart)
}

func (o *windowsOptions) agree(io.Writer) error {
	file, err := maintenancefile.Read(o.file)
	if err != nil {
		return err
	}
	return o.send(file.AgreeCommand())
}

func (o *windowsOptions) start(out io.Writer) error {
	file, schedule, err := o.schedule()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	follower := &scheduleFollower{options: o, file: file, schedule: schedule, out: out}
	return follower.run(ctx)
}

func (o *windowsOptions) ask(io.Writer) error {
	return o.send(maintenance.Command{
		Verb:            maintenance.VerbAsk,
		Nodes:           o.nodeNames(),
		WindowName:      o.name,
		DurationSeconds: int64(o.duration / time.Second),
	})
}

// commandSender returns a run function that sends a command with a verb and the nodes from the arguments, if any.
func (o *windowsOptions) commandSender(verb string) func(io.Writer) error {
	return func(io.Writer) error {
		return o.send(maintenance.Command{Verb: verb, Nodes: o.nodeNames()})
	}
}

func (o *windowsOptions) nodeNames() []string {
	if o.nodes == "" {
		return nil
	}
	return strings.Split(o.nodes, ",")
}

func (o *windowsOptions) send(command maintenance.Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	_, err = callMembers(context.Background(), o.addresses, "windows.command", "", body)
	return err
}

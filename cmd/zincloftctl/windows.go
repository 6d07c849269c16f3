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

// windowsArguments are the arguments of the commands on maintenance windows.
type windowsArguments struct {
	addresses string
	file      string
	chart     string // path; empty: none is drawn
	nodes     string // names, separated by commas
	name      string // of the window
	duration  time.Duration
}

// windowsCommand is the group of commands on maintenance windows.
func windowsCommand() *command {
	a := &windowsArguments{name: "by hand"}
	members := membersArgument(&a.addresses)
	file := positional{value: &a.file, name: "FILE", description: "agreed capacity, forecasts and requested windows, in YAML"}
	nodes := positional{value: &a.nodes, name: "NODES", description: "names, separated by commas"}
	return &command{
		name:        "windows",
		description: "plan maintenance windows, and have nodes drained when the control plane grants it",
		subcommands: []*command{
			{
				name:        "plan",
				description: "make a timetable of a file, or tell which floor forbids it",
				positionals: []positional{file},
				flags: func(sub *flaggy.Subcommand) {
					sub.String(&a.chart, "c", "chart", "draw it too: a path that ends with .svg, .png or .pdf")
				},
				run: a.plan,
			},
			{
				name:        "agree",
				description: "have the control plane keep what a file says is agreed",
				positionals: []positional{members, file},
				run:         a.agree,
			},
			{
				name:        "start",
				description: "request each window of a file's timetable when its time has come, until all are over",
				positionals: []positional{members, file},
				run:         a.start,
			},
			{
				name:        "show",
				description: "print windows, nodes, their capacity, what is missing, and why each grant was given or withheld",
				positionals: []positional{members},
				run:         func(out io.Writer) error { return printCall(out, a.addresses, "windows.describe", "", nil) },
			},
			{
				name:        "pause",
				description: "grant nothing more; what has begun goes on",
				positionals: []positional{members},
				run:         a.sender(maintenance.VerbPause),
			},
			{
				name:        "resume",
				description: "grant again",
				positionals: []positional{members},
				run:         a.sender(maintenance.VerbResume),
			},
			{
				name:        "ask",
				description: "request windows of some nodes now",
				positionals: []positional{members, nodes},
				flags: func(sub *flaggy.Subcommand) {
					sub.String(&a.name, "n", "name", "of the window")
					sub.Duration(&a.duration, "t", "takes", "from drained until a node serves again; none: until finish")
				},
				run: a.ask,
			},
			{
				name:        "finish",
				description: "have nodes serve again",
				positionals: []positional{members, nodes},
				run:         a.sender(maintenance.VerbFinish),
			},
			{
				name:        "cancel",
				description: "drop requested windows; have nodes serve again",
				positionals: []positional{members, nodes},
				run:         a.sender(maintenance.VerbCancel),
			},
		},
	}
}

// schedule reads the file and plans its windows.
func (a *windowsArguments) schedule() (*maintenancefile.File, maintenanceplanner.Schedule, error) {
	file, err := maintenancefile.Read(a.file)
	if err != nil {
		return nil, maintenanceplanner.Schedule{}, err
	}
	schedule, err := maintenanceplanner.Plan(&file.Request)
	return file, schedule, err
}

func (a *windowsArguments) plan(out io.Writer) error {
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

func (a *windowsArguments) agree(io.Writer) error {
	file, err := maintenancefile.Read(a.file)
	if err != nil {
		return err
	}
	return a.send(file.AgreeCommand())
}

func (a *windowsArguments) start(out io.Writer) error {
	file, schedule, err := a.schedule()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	follower := &scheduleFollower{arguments: a, file: file, schedule: schedule, out: out}
	return follower.run(ctx)
}

func (a *windowsArguments) ask(io.Writer) error {
	return a.send(maintenance.Command{
		Verb:            maintenance.VerbAsk,
		Nodes:           a.nodeNames(),
		WindowName:      a.name,
		DurationSeconds: int64(a.duration / time.Second),
	})
}

// sender returns a run function that sends a command of a verb; of nodes where they are named.
func (a *windowsArguments) sender(verb string) func(io.Writer) error {
	return func(io.Writer) error {
		return a.send(maintenance.Command{Verb: verb, Nodes: a.nodeNames()})
	}
}

func (a *windowsArguments) nodeNames() []string {
	if a.nodes == "" {
		return nil
	}
	return strings.Split(a.nodes, ",")
}

func (a *windowsArguments) send(command maintenance.Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return err
	}
	_, err = callMembers(context.Background(), a.addresses, "windows.command", "", body)
	return err
}

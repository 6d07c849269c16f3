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

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"zincloft.example/zincloft/controlplane/controller"
	"zincloft.example/zincloft/controlplane/maintenance"
	"zincloft.example/zincloft/controlplane/maintenanceplanner"
	"zincloft.example/zincloft/internal/controlclient"
	"zincloft.example/zincloft/internal/maintenancefile"
)

const lookEvery = time.Second

// windowVerbs are the commands on maintenance windows.
type windowVerbs struct {
	verb                          *flaggy.Subcommand
	plan, agree, show, start      *flaggy.Subcommand
	ask, finish, cancel           *flaggy.Subcommand
	pause, resume                 *flaggy.Subcommand
	file, addr, nodes, name, draw string
	takes                         time.Duration
}

func newWindows(p *flaggy.Parser) *windowVerbs {
	w := &windowVerbs{verb: flaggy.NewSubcommand("windows"), name: "by hand"}
	w.verb.Description = "plan maintenance windows, and have nodes drained when the core grants it"
	sub := func(name, what string) *flaggy.Subcommand {
		s := flaggy.NewSubcommand(name)
		s.Description = what
		w.verb.AttachSubcommand(s, 1)
		return s
	}
	w.plan = sub("plan", "make a timetable of a file, or tell which floor forbids it")
	w.plan.AddPositionalValue(&w.file, "FILE", 1, true, "agreed capacity, forecasts and wishes, in YAML")
	w.plan.String(&w.draw, "c", "chart", "draw it too: a path that ends with .svg, .png or .pdf")
	w.agree = sub("agree", "have the core keep what a file says is agreed")
	w.start = sub("start", "ask for each window of a file's timetable when its time has come, until all are over")
	for _, s := range []*flaggy.Subcommand{w.agree, w.start} {
		s.AddPositionalValue(&w.addr, "ADDRESS", 1, true, callees)
		s.AddPositionalValue(&w.file, "FILE", 2, true, "agreed capacity, forecasts and wishes, in YAML")
	}
	w.show = sub("show", "print windows, nodes, what they carry, what lacks, and why each grant was given or held back")
	w.pause = sub("pause", "grant nothing more; what has begun goes on")
	w.resume = sub("resume", "grant again")
	w.ask = sub("ask", "ask for windows of some nodes now")
	w.ask.String(&w.name, "n", "name", "of the window")
	w.ask.Duration(&w.takes, "t", "takes", "from drained on, after which a node serves again; none: until finish")
	w.finish = sub("finish", "have nodes serve again")
	w.cancel = sub("cancel", "drop windows that were asked for; have nodes serve again")
	for _, s := range []*flaggy.Subcommand{w.show, w.pause, w.resume, w.ask, w.finish, w.cancel} {
		s.AddPositionalValue(&w.addr, "ADDRESS", 1, true, callees)
	}
	for _, s := range []*flaggy.Subcommand{w.ask, w.finish, w.cancel} {
		s.AddPositionalValue(&w.nodes, "NODES", 2, true, "names, with commas between")
	}
	p.AttachSubcommand(w.verb, 1)
	return w
}

func (w *windowVerbs) run(out io.Writer) error {
	send := func(c maintenance.Command) error {
		body, err := json.Marshal(c)
		if err != nil {
			return err
		}
		return call(io.Discard, w.addr, "windows.command", "", body)
	}
	nodes := strings.Split(w.nodes, ",")
	switch {
	case w.plan.Used:
		f, tt, err := w.timetable()
		if err != nil {
			return err
		}
		if fmt.Fprint(out, f.Render(tt)); w.draw != "" {
			return f.WriteChart(tt, w.draw)
		}
		return nil
	case w.agree.Used:
		f, err := maintenancefile.Read(w.file)
		if err != nil {
			return err
		}
		return send(f.AgreeCommand())
	case w.start.Used:
		f, tt, err := w.timetable()
		if err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		defer stop()
		return w.follow(ctx, out, f, tt, send)
	case w.show.Used:
		return call(out, w.addr, "windows.describe", "", nil)
	case w.pause.Used, w.resume.Used:
		verb := "pause"
		if w.resume.Used {
			verb = "resume"
		}
		return send(maintenance.Command{Verb: verb})
	case w.ask.Used:
		return send(maintenance.Command{Verb: "ask", Nodes: nodes, WindowName: w.name, DurationSeconds: int64(w.takes / time.Second)})
	case w.finish.Used:
		return send(maintenance.Command{Verb: "finish", Nodes: nodes})
	case w.cancel.Used:
		return send(maintenance.Command{Verb: "cancel", Nodes: nodes})
	}
	return merry.New("windows: no verb; see --help")
}

func (w *windowVerbs) timetable() (*maintenancefile.File, maintenanceplanner.Schedule, error) {
	f, err := maintenancefile.Read(w.file)
	if err != nil {
		return nil, maintenanceplanner.Schedule{}, err
	}
	tt, proof := maintenanceplanner.Plan(&f.Request)
	if proof != nil {
		return nil, tt, proof
	}
	return f, tt, nil
}

// follow asks for each window at its time and tells what becomes of it. The core ends a window that has taken its time, so
// nothing hangs if this ends early.
func (w *windowVerbs) follow(ctx context.Context, out io.Writer, f *maintenancefile.File, tt maintenanceplanner.Schedule, send func(maintenance.Command) error) error {
	asked, seen := 0, ""
	for {
		for asked < len(tt.Assignments) && !time.Now().Before(f.SlotStart(tt.Assignments[asked].Start)) {
			x := tt.Assignments[asked]
			if err := send(maintenance.Command{Verb: "ask", Nodes: []string{x.Node}, WindowName: x.Window, DurationSeconds: int64(f.Durations[x.Window] / time.Second)}); err != nil {
				return err
			}
			fmt.Fprintf(out, "%s asked for %s\n", x.Window, x.Node)
			asked++
		}
		s, err := w.shown(ctx)
		if err == nil {
			for _, line := range after(s.AuditLog, seen) {
				fmt.Fprintln(out, line)
				seen = line
			}
			if asked == len(tt.Assignments) && len(s.Windows) == 0 {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			fmt.Fprintln(out, "ended; windows that have begun go on")
			return nil
		case <-time.After(lookEvery):
		}
	}
}

// after lists what follows a line.
func after(lines []string, line string) []string {
	for i, l := range lines {
		if l == line {
			return lines[i+1:]
		}
	}
	return lines
}

func (w *windowVerbs) shown(ctx context.Context) (s controller.MaintenanceStatus, err error) {
	c, err := controlclient.New(w.addr)
	if err != nil {
		return s, err
	}
	ctx, cancel := context.WithTimeout(ctx, within("windows.describe"))
	defer cancel()
	body, err := c.Call(ctx, "windows.describe", "", nil)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s)
}

// Command beekeeper is the operators' tool of the gateway.
package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"zincloft.example/zincloft/hive/config"
	"zincloft.example/zincloft/internal/demo"
	"zincloft.example/zincloft/internal/program"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "beekeeper:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	p := flaggy.NewParser("beekeeper")
	p.Description = "operators' tool of the gateway"
	p.Version = program.Version
	var file, addr, zone string
	verb := func(name, what string) *flaggy.Subcommand {
		s := flaggy.NewSubcommand(name)
		s.Description = what
		p.AttachSubcommand(s, 1)
		return s
	}
	check := verb("check", "check a configuration file and tell what it holds, or the path at fault")
	check.AddPositionalValue(&file, "FILE", 1, true, "a configuration, in JSON")
	put := verb("put", "give a configuration to a comb")
	put.AddPositionalValue(&addr, "ADDRESS", 1, true, "a comb's control address")
	put.AddPositionalValue(&file, "FILE", 2, true, "a configuration, in JSON")
	show := verb("show", "print the newest configuration")
	show.AddPositionalValue(&addr, "ADDRESS", 1, true, "a comb's control address")
	evacuate := verb("evacuate", "have nothing more sent to the replicas of a zone")
	evacuate.AddPositionalValue(&addr, "ADDRESS", 1, true, "a comb's control address")
	evacuate.AddPositionalValue(&zone, "ZONE", 2, true, "the zone")
	restore := verb("restore", "take an evacuation back")
	restore.AddPositionalValue(&addr, "ADDRESS", 1, true, "a comb's control address")
	restore.AddPositionalValue(&zone, "ZONE", 2, true, "the zone")
	replicas, logs := 3, false
	play := verb("demo", "run one comb, two foragers and stand-in replicas on loopback, until Ctrl-C")
	play.Int(&replicas, "n", "replicas", "stand-in replicas")
	play.Bool(&logs, "l", "logs", "print the logs of the comb and the foragers")
	if err := p.ParseArgs(args); err != nil {
		return err
	}
	switch {
	case check.Used:
		c, err := read(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "version %08x: %d routes, %d services\n", c.Version, c.Routes, len(c.Services))
		return nil
	case put.Used:
		c, err := read(file)
		if err != nil {
			return err
		}
		return call(out, addr, "configuration.replace", "", c.Raw)
	case show.Used:
		return call(out, addr, "configuration.describe", "", nil)
	case evacuate.Used:
		return call(out, addr, "evacuations.start", zone, nil)
	case restore.Used:
		return call(out, addr, "evacuations.finish", zone, nil)
	case play.Used:
		return runDemo(out, replicas, logs)
	}
	return merry.New("no verb; see --help")
}

func read(file string) (*config.Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return config.Parse(raw)
}

func call(out io.Writer, addr, name, of string, body []byte) error {
	client := &http.Client{Timeout: 5 * time.Second}
	resp, err := client.Post("http://"+addr+"/api/rpc?call="+name+"&of="+of, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return merry.Errorf("%s: %s: %s", name, resp.Status, answer)
	}
	fmt.Fprintf(out, "%s\n", answer)
	return nil
}

func runDemo(out io.Writer, replicas int, logs bool) error {
	dir, err := os.MkdirTemp("", "zincloft-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	w := io.Discard
	if logs {
		w = os.Stderr
	}
	g, err := demo.Start(dir, w, max(replicas, 1))
	if err != nil {
		return err
	}
	for _, front := range g.Fronts {
		fmt.Fprintf(out, "a forager answers at http://%s/   (curl -H 'X-Attempt-Id: 1' http://%s/)\n", front, front)
	}
	fmt.Fprintf(out, "the comb is called at %s   (bin/beekeeper show %s)\n", g.Control, g.Control)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return g.Stop()
}

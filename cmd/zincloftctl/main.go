// Command zincloftctl is the command line of the operators of the gateway.
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

	"zincloft.example/zincloft/controlplane/coordinator"
	"zincloft.example/zincloft/gatewayconfig"
	"zincloft.example/zincloft/internal/controlclient"
	"zincloft.example/zincloft/internal/demo"
	"zincloft.example/zincloft/internal/program"
	"zincloft.example/zincloft/internal/statestore"
)

// callees is what an address of combs may be.
const callees = "combs' control addresses, with commas between; one that does not answer is passed over"

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "zincloftctl:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	p := flaggy.NewParser("zincloftctl")
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
	put.AddPositionalValue(&addr, "ADDRESS", 1, true, callees)
	put.AddPositionalValue(&file, "FILE", 2, true, "a configuration, in JSON")
	show := verb("show", "print the newest configuration")
	show.AddPositionalValue(&addr, "ADDRESS", 1, true, callees)
	inner := verb("core", "print how the core stands, as one comb knows: view, members, disks, lag")
	inner.AddPositionalValue(&addr, "ADDRESS", 1, true, "any comb's control address; it is the one that tells")
	store := verb("store", "read a comb's folder on disk, changing nothing: verify, or export as JSON")
	verify, export := flaggy.NewSubcommand("verify"), flaggy.NewSubcommand("export")
	verify.Description, export.Description = "check every copy; status 1 if none is whole", "print the newest whole copy"
	verify.AddPositionalValue(&file, "FOLDER", 1, true, "data_directory of the comb")
	export.AddPositionalValue(&file, "FOLDER", 1, true, "data_directory of the comb")
	store.AttachSubcommand(verify, 1)
	store.AttachSubcommand(export, 1)
	evacuate := verb("evacuate", "have nothing more sent to the replicas of a zone")
	evacuate.AddPositionalValue(&addr, "ADDRESS", 1, true, callees)
	evacuate.AddPositionalValue(&zone, "ZONE", 2, true, "the zone")
	restore := verb("restore", "take an evacuation back")
	restore.AddPositionalValue(&addr, "ADDRESS", 1, true, callees)
	restore.AddPositionalValue(&zone, "ZONE", 2, true, "the zone")
	win := newWindows(p)
	replicas, logs, hostility := 3, false, demo.FaultInjection{}
	play := verb("demo", "run one comb, two foragers and stand-in replicas on loopback, until Ctrl-C")
	play.Int(&replicas, "n", "replicas", "stand-in replicas")
	play.Float64(&hostility.Rate, "H", "hostile", "share of requests that the replicas meet badly, 0 to 1")
	play.UInt64(&hostility.Seed, "S", "seed", "of the replicas' bad acts")
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
		fmt.Fprintf(out, "version %08x: %d routes, %d services\n", c.Version, c.RouteCount, len(c.Services))
		return nil
	case put.Used:
		c, err := read(file)
		if err != nil {
			return err
		}
		return call(out, addr, "configuration.replace", "", c.Raw)
	case show.Used:
		return call(out, addr, "configuration.describe", "", nil)
	case inner.Used:
		return call(out, addr, "core.describe", "", nil)
	case verify.Used:
		return inspect(out, file, false)
	case export.Used:
		return inspect(out, file, true)
	case evacuate.Used:
		return call(out, addr, "evacuations.start", zone, nil)
	case restore.Used:
		return call(out, addr, "evacuations.finish", zone, nil)
	case win.verb.Used:
		return win.run(out)
	case play.Used:
		return runDemo(out, replicas, logs, hostility)
	}
	return merry.New("no verb; see --help")
}

func read(file string) (*gatewayconfig.Config, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return gatewayconfig.Parse(raw)
}

// inspect reads what a comb keeps on disk.
func inspect(out io.Writer, folder string, export bool) error {
	copies, err := statestore.Inspect(folder)
	if err != nil {
		return err
	}
	var newest *statestore.FileCopy
	for i, c := range copies {
		if !export && c.Err != nil {
			fmt.Fprintf(out, "%s: damaged: %v\n", c.Name, c.Err)
		}
		if c.Err != nil {
			continue
		}
		if newest == nil || c.Generation > newest.Generation {
			newest = &copies[i]
		}
		k, err := coordinator.DecodePersistentState(c.Values["state"])
		if err != nil {
			return merry.Prepend(err, c.Name)
		}
		if !export {
			fmt.Fprintf(out, "%s: whole, write %d: disk %s, view %d, %d orders, version %08x, %d replicas\n", c.Name, c.Generation, k.DiskID, k.View.View.Number,
				k.Register.Sequence, k.Register.Version, len(k.Instances))
		}
	}
	if newest == nil {
		return merry.Errorf("%s: no whole copy", folder)
	}
	if !export {
		return nil
	}
	k, err := coordinator.DecodePersistentState(newest.Values["state"])
	if err != nil {
		return err
	}
	body, err := json.MarshalIndent(map[string]any{"disk": k.DiskID, "view": k.View.View, "orders": k.Register.Sequence, "evacuated": k.Register.EvacuatedZones,
		"configuration": json.RawMessage(orNull(k.Register.Body)), "replicas": k.Instances}, "", "  ")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", body)
	return nil
}

func orNull(body []byte) []byte {
	if len(body) == 0 {
		return []byte("null")
	}
	return body
}

// within is how long a call is given again without a clear answer: a configuration has a number and may come late, an evacuation may not.
func within(name string) time.Duration {
	if strings.HasPrefix(name, "configuration.") {
		return 30 * time.Second
	}
	return 5 * time.Second
}

// call gives a call to the combs at addrs and prints the answer.
func call(out io.Writer, addrs, name, of string, body []byte) error {
	c, err := controlclient.New(addrs)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), within(name))
	defer cancel()
	answer, err := c.Call(ctx, name, of, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", answer)
	return nil
}

func runDemo(out io.Writer, replicas int, logs bool, h demo.FaultInjection) error {
	dir, err := os.MkdirTemp("", "zincloft-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	w := io.Discard
	if logs {
		w = os.Stderr
	}
	g, err := demo.StartWithFaults(dir, w, max(replicas, 1), h)
	if err != nil {
		return err
	}
	for _, front := range g.FrontAddresses {
		fmt.Fprintf(out, "a forager answers at http://%s/   (curl -H 'X-Attempt-Id: 1' http://%s/)\n", front, front)
	}
	fmt.Fprintf(out, "the comb is called at %s   (bin/zincloftctl show %s)\n", g.ControlAddress, g.ControlAddress)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return g.Stop()
}

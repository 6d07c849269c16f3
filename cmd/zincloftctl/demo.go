package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"zincloft.example/zincloft/internal/tools/demo"
)

// demoOptions are the flags of the demo command.
type demoOptions struct {
	replicas int
	logs     bool
	faults   demo.FaultInjection
}

// demoCommand returns the command that runs a demo cluster on loopback.
func demoCommand() *command {
	o := &demoOptions{replicas: 3}
	return &command{
		name:        "demo",
		description: "run one control-plane member, two gateways and simulated replicas on loopback until interrupted",
		flags: func(sub *flaggy.Subcommand) {
			sub.Int(&o.replicas, "n", "replicas", "number of simulated replicas")
			sub.Float64(&o.faults.Rate, "H", "hostile", "fraction of requests that the replicas answer with an injected fault, 0 to 1")
			sub.UInt64(&o.faults.Seed, "S", "seed", "random seed of the injected faults")
			sub.Bool(&o.logs, "l", "logs", "print the logs of the member and the gateways")
		},
		run: o.run,
	}
}

func (o *demoOptions) run(out io.Writer) (err error) {
	dir, err := os.MkdirTemp("", "zincloft-demo-")
	if err != nil {
		return err
	}
	defer func() {
		if removeErr := os.RemoveAll(dir); err == nil {
			err = removeErr
		}
	}()
	logs := io.Discard
	if o.logs {
		logs = os.Stderr
	}
	cluster, err := demo.StartWithFaults(dir, logs, max(o.replicas, 1), o.faults)
	if err != nil {
		return err
	}
	printAddresses(out, cluster)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return cluster.Stop()
}

// printAddresses prints how to reach the demo. Write errors are ignored.
func printAddresses(out io.Writer, cluster *demo.Cluster) {
	for _, front := range cluster.FrontAddresses {
		_, _ = fmt.Fprintf(out, "gateway listening on http://%s/   (curl -H 'X-Attempt-Id: 1' http://%s/)\n", front, front)
	}
	control := cluster.ControlAddress
	_, _ = fmt.Fprintf(out, "control plane listening on %s   (bin/zincloftctl show %s)\n", control, control)
}

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

// demoArguments are the arguments of the demo.
type demoArguments struct {
	replicas int
	logs     bool
	faults   demo.FaultInjection
}

// demoCommand runs a small gateway on loopback.
func demoCommand() *command {
	a := &demoArguments{replicas: 3}
	return &command{
		name:        "demo",
		description: "run one control-plane member, two gateways and stand-in replicas on loopback, until Ctrl-C",
		flags: func(sub *flaggy.Subcommand) {
			sub.Int(&a.replicas, "n", "replicas", "stand-in replicas")
			sub.Float64(&a.faults.Rate, "H", "hostile", "share of requests at which the replicas misbehave, 0 to 1")
			sub.UInt64(&a.faults.Seed, "S", "seed", "of the replicas' misbehaviour")
			sub.Bool(&a.logs, "l", "logs", "print the logs of the member and the gateways")
		},
		run: a.run,
	}
}

func (a *demoArguments) run(out io.Writer) (err error) {
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
	if a.logs {
		logs = os.Stderr
	}
	cluster, err := demo.StartWithFaults(dir, logs, max(a.replicas, 1), a.faults)
	if err != nil {
		return err
	}
	printAddresses(out, cluster)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return cluster.Stop()
}

// printAddresses tells how to try the demo out. It goes on where nobody reads it.
func printAddresses(out io.Writer, cluster *demo.Cluster) {
	for _, front := range cluster.FrontAddresses {
		_, _ = fmt.Fprintf(out, "a gateway answers at http://%s/   (curl -H 'X-Attempt-Id: 1' http://%s/)\n", front, front)
	}
	control := cluster.ControlAddress
	_, _ = fmt.Fprintf(out, "the control plane is called at %s   (bin/zincloftctl show %s)\n", control, control)
}

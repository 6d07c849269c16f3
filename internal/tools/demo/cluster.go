// Package demo runs a small gateway in one process on loopback: one control-plane member, two gateways and stand-in replicas.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/internal/daemons/controlserver"
	"zincloft.example/zincloft/internal/daemons/gateway"
	"zincloft.example/zincloft/internal/daemons/nodesettings"
	"zincloft.example/zincloft/internal/daemons/program"
	"zincloft.example/zincloft/internal/testbeds/standin/hostile"
	"zincloft.example/zincloft/internal/testbeds/standin/upstream"
)

const (
	gatewayCount = 2

	// maxInternalPort bounds the first internal port, so that the range of them ends below 65536.
	maxInternalPort   = 65530
	internalPortRange = 4
)

// Cluster is a running demo.
type Cluster struct {
	FrontAddresses     []string // of the gateways, for clients
	ReadinessAddresses []string // of the gateways, in the same order
	ControlAddress     string
	Replicas           []*upstream.Replica

	cancel  context.CancelFunc
	daemons int        // that were started
	ended   chan error // one for each daemon
}

// FaultInjection makes the replicas close, truncate, duplicate and forge responses: at a rate of their requests, from 0 to 1, by
// a seed.
type FaultInjection struct {
	Rate float64
	Seed uint64
}

// Start runs the demo; its logs go to logs, its state under dir. It returns when all gateways answer.
func Start(dir string, logs io.Writer, replicas int) (*Cluster, error) {
	return StartWithFaults(dir, logs, replicas, FaultInjection{})
}

// StartWithFaults runs the demo with replicas that misbehave.
func StartWithFaults(dir string, logs io.Writer, replicas int, faults FaultInjection) (*Cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{cancel: cancel, ended: make(chan error, 1+gatewayCount)}
	if err := c.start(ctx, dir, logs, replicas, faults); err != nil {
		_ = c.Stop() // the error of the start is the cause of what the daemons may report
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, dir string, logs io.Writer, replicas int, faults FaultInjection) error {
	ports, err := freePorts(ctx, 2+2*gatewayCount)
	if err != nil {
		return merry.Prepend(err, "looking for free ports")
	}
	c.ControlAddress = loopback(ports[0])
	internalPort := min(ports[1], maxInternalPort)
	if err := c.startMember(ctx, dir, logs, internalPort); err != nil {
		return err
	}
	for i := range gatewayCount {
		front, readiness := loopback(ports[2+2*i]), loopback(ports[3+2*i])
		if err := c.startGateway(ctx, fmt.Sprintf("gateway-%d", i+1), logs, front, readiness, internalPort); err != nil {
			return err
		}
	}
	if err := c.startReplicas(ctx, replicas, faults); err != nil {
		return err
	}
	if err := c.replaceConfiguration(ctx); err != nil {
		return err
	}
	return c.awaitAnswers(ctx)
}

func (c *Cluster) startMember(ctx context.Context, dir string, logs io.Writer, internalPort int) error {
	data := filepath.Join(dir, "controlplane")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return merry.Prepend(err, "making the member's data directory")
	}
	settings, err := nodesettings.Parse(c.settings(nodeAddresses{name: "controlplane-1", data: data, control: c.ControlAddress}, internalPort))
	if err != nil {
		return err
	}
	member, err := controlserver.New(settings, program.NewLogger(logs, "controlplane"))
	if err != nil {
		return err
	}
	c.run(ctx, member)
	return nil
}

func (c *Cluster) startGateway(ctx context.Context, name string, logs io.Writer, front, readiness string, internalPort int) error {
	settings, err := nodesettings.Parse(c.settings(nodeAddresses{name: name, front: front, readiness: readiness}, internalPort))
	if err != nil {
		return err
	}
	started, err := gateway.New(settings, program.NewLogger(logs, "gateway"))
	if err != nil {
		return err
	}
	c.run(ctx, started)
	c.FrontAddresses = append(c.FrontAddresses, front)
	c.ReadinessAddresses = append(c.ReadinessAddresses, readiness)
	return nil
}

// run runs a daemon until ctx ends.
func (c *Cluster) run(ctx context.Context, daemon program.Runner) {
	c.daemons++
	go func() { c.ended <- daemon.Run(ctx, make(chan os.Signal)) }()
}

func (c *Cluster) startReplicas(ctx context.Context, count int, faults FaultInjection) error {
	ledger := hostile.NewRecorder()
	for i := range count {
		replica, err := upstream.Start(fmt.Sprintf("i-demo-%d", i+1))
		if err != nil {
			return err
		}
		if faults.Rate > 0 {
			replica.SetConnectionHandler(hostile.New(replica.ID, faults.Seed+uint64(i), faults.Rate, ledger).Serve)
		}
		c.Replicas = append(c.Replicas, replica)
		go c.sendHeartbeats(ctx, replica)
	}
	return nil
}

// Stop ends the demo and returns the first error with which a daemon has ended.
func (c *Cluster) Stop() error {
	c.cancel()
	var first error
	for range c.daemons {
		if err := <-c.ended; err != nil && first == nil {
			first = err
		}
	}
	for _, replica := range c.Replicas {
		replica.Close()
	}
	return first
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freePorts returns ports that nobody listened at a moment ago.
func freePorts(ctx context.Context, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // all are held until the last one is found; a listener has nothing to flush
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

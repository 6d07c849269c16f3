// Package demo runs a small cluster in one process on loopback: one control-plane member, two gateways and simulated replicas.
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

	// maxInternalPort limits the first internal port, so that internalPortRange ends below 65536.
	maxInternalPort   = 65530
	internalPortRange = 4
)

// Cluster is a running demo cluster.
type Cluster struct {
	FrontAddresses     []string // client addresses of the gateways
	ReadinessAddresses []string // readiness addresses of the gateways, in the same order
	ControlAddress     string
	Replicas           []*upstream.Replica

	cancel  context.CancelFunc
	daemons int        // number started
	results chan error // result of each daemon's Run
}

// FaultInjection makes the replicas drop connections and truncate, duplicate or forge responses.
type FaultInjection struct {
	Rate float64 // fraction of requests with a fault, 0 to 1
	Seed uint64  // of the random choice of faults
}

// Start starts a demo cluster that writes its logs to logs and its state under dir. It returns once all gateways forward requests.
func Start(dir string, logs io.Writer, replicas int) (*Cluster, error) {
	return StartWithFaults(dir, logs, replicas, FaultInjection{})
}

// StartWithFaults starts a demo cluster whose replicas inject faults.
func StartWithFaults(dir string, logs io.Writer, replicas int, faults FaultInjection) (*Cluster, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Cluster{cancel: cancel, results: make(chan error, 1+gatewayCount)}
	if err := c.start(ctx, dir, logs, replicas, faults); err != nil {
		_ = c.Stop() // errors of the daemons result from the startup error
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, dir string, logs io.Writer, replicas int, faults FaultInjection) error {
	if err := c.startDaemons(ctx, dir, logs); err != nil {
		return err
	}
	if err := c.startReplicas(ctx, replicas, faults); err != nil {
		return err
	}
	if err := c.replaceConfiguration(ctx, configuration); err != nil {
		return err
	}
	return c.waitForGateways(ctx)
}

// startDaemons starts the control-plane member and the gateways.
func (c *Cluster) startDaemons(ctx context.Context, dir string, logs io.Writer) error {
	ports, err := freePorts(ctx, 2+2*gatewayCount)
	if err != nil {
		return merry.Prepend(err, "find free ports")
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
	return nil
}

func (c *Cluster) startMember(ctx context.Context, dir string, logs io.Writer, internalPort int) error {
	dataDirectory := filepath.Join(dir, "controlplane")
	if err := os.MkdirAll(dataDirectory, 0o700); err != nil {
		return merry.Prepend(err, "create the member's data directory")
	}
	settings, err := nodesettings.Parse(c.settings(nodeSettings{name: "controlplane-1", dataDirectory: dataDirectory, control: c.ControlAddress}, internalPort))
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
	settings, err := nodesettings.Parse(c.settings(nodeSettings{name: name, front: front, readiness: readiness}, internalPort))
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

// run runs a daemon in the background until ctx is done.
func (c *Cluster) run(ctx context.Context, daemon program.Runner) {
	c.daemons++
	go func() { c.results <- daemon.Run(ctx, make(chan os.Signal)) }()
}

func (c *Cluster) startReplicas(ctx context.Context, count int, faults FaultInjection) error {
	recorder := hostile.NewRecorder()
	for i := range count {
		replica, err := upstream.Start(fmt.Sprintf("i-demo-%d", i+1))
		if err != nil {
			return err
		}
		if faults.Rate > 0 {
			replica.SetConnectionHandler(hostile.New(replica.ID, faults.Seed+uint64(i), faults.Rate, recorder).Serve)
		}
		c.Replicas = append(c.Replicas, replica)
		go c.sendHeartbeats(ctx, replica)
	}
	return nil
}

// Stop stops the cluster and returns the first error that a daemon returned.
func (c *Cluster) Stop() error {
	c.cancel()
	var first error
	for range c.daemons {
		if err := <-c.results; err != nil && first == nil {
			first = err
		}
	}
	for _, replica := range c.Replicas {
		replica.Close()
	}
	return first
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freePorts returns distinct ports that are currently free.
func freePorts(ctx context.Context, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }() // held until return, so that the ports are distinct
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

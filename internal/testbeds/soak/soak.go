// Package soak runs the real daemons as processes on loopback under overlapping faults, and checks what clients, replicas and
// operators observed against the guarantees of the gateway.
//
// A run has three control-plane members, four gateways and fake replicas. Relays between the processes partition, delay and reset
// connections and drop responses; processes are paused, killed, stopped and restarted. Everything that is sent, answered and
// executed is written to a Record, and Check uses nothing but the record. The fault schedule is generated from a seed. Real processes
// are not deterministic, so the record also holds the times at which each event occurred. docs/design/soak.md describes the coverage.
package soak

import (
	"context"
	"io"
	"time"
)

// Options are the settings of one run.
type Options struct {
	BinDir   string // contains the controlplane and gateway binaries
	Dir      string // for settings, data directories, logs and the record
	Size     Size
	Schedule Schedule
	Network  byte      // second byte of the loopback addresses; must differ between concurrent runs
	Progress io.Writer // progress messages; nil discards them
}

const (
	startupTimeout   = 15 * time.Second       // until all gateways are ready for the first time
	startupPerDaemon = 500 * time.Millisecond // added for each daemon of a larger run than the default
	warmUpTime       = time.Second            // traffic before the first fault
	recoveryTimeout  = 15 * time.Second       // until all gateways serve again after the last fault
	finalTrafficTime = contactBound + time.Second
)

// Result is the outcome of a run.
type Result struct {
	Record     *Record
	Violations []Violation
}

// Run executes one schedule and checks its record. An error means that the run could not be carried out; broken guarantees are
// returned as violations.
func Run(ctx context.Context, options Options) (*Result, error) {
	cluster, err := newCluster(options)
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	if err := cluster.start(ctx); err != nil {
		return nil, err
	}
	cluster.injectFaults(ctx)
	cluster.awaitRecovery(ctx)
	record := cluster.finish(ctx)
	if err := record.Write(options.Dir); err != nil {
		return nil, err
	}
	return &Result{Record: record, Violations: Check(record)}, nil
}

// Package soak runs the real daemons as processes on loopback under faults that overlap, and checks what their clients, replicas and
// operators saw against what the gateway promises.
//
// A run has three members of the control plane, four gateways and stand-in replicas. Relays between the processes cut, delay and
// reset connections and lose answers; processes are paused, killed, stopped and restarted. Everything that was sent, answered and
// executed goes into a Record, and Check judges the record alone. The schedule of faults is drawn from a seed; as real processes do
// not repeat by seed, the record also says what really happened when. docs/design/soak.md says what is covered and what is not.
package soak

import (
	"context"
	"io"
	"time"
)

// Options are the settings of one run.
type Options struct {
	BinDir   string    // holds controlplane and gateway
	Dir      string    // for settings, disks, logs and the record
	Schedule Schedule  // of faults
	Network  byte      // second byte of the loopback addresses; runs at the same time need different ones
	Progress io.Writer // what happens is written here; nil: nowhere
}

// Times of a run around its faults.
const (
	startupTimeout  = 15 * time.Second // until all gateways are ready for the first time
	warmUpTime      = time.Second      // of traffic before the first fault
	recoveryTimeout = 15 * time.Second // until all gateways serve again after the last fault
	lastReads       = contactBound + time.Second
)

// Result is what came of a run.
type Result struct {
	Record     *Record
	Violations []Violation
}

// Run carries out one schedule and judges its record. An error means that the run itself failed, not what it looked at.
func Run(ctx context.Context, options Options) (*Result, error) {
	cluster, err := newCluster(options)
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	if err := cluster.start(ctx); err != nil {
		return nil, err
	}
	cluster.playFaults(ctx)
	cluster.settle(ctx)
	record := cluster.finish(ctx)
	if err := record.Write(options.Dir); err != nil {
		return nil, err
	}
	return &Result{Record: record, Violations: Check(record)}, nil
}

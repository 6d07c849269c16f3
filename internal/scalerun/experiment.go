// Package scalerun runs the gateway at several sizes on loopback: real control-plane members and a few real gateways as processes,
// beside synthetic gateways and replicas by the thousand in this process, which send the same messages over real sockets. It
// measures each role, fits a power law to each figure, and extrapolates it to a target.
//
// docs/design/scale.md gives the reasons, docs/operate/scale.md the use.
package scalerun

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"zincloft.example/zincloft/internal/sizes"
)

// Options say what is run.
type Options struct {
	BinDir            string // of the programs controlplane and gateway
	Target            Target
	Scales            []float64 // parts of the target, in turn
	Members           int       // control-plane members, a process and a zone each
	RealGateways      int       // a process each
	MaxCores          int       // that all of it may use
	MaxMemoryGB       float64   // that all of it may use; more ends the run
	SettleTime        time.Duration
	SteadyTime        time.Duration // that is measured
	HeartbeatInterval time.Duration // of replicas
	ConfigChanges     int
	JoinsPerSecond    float64       // of synthetic gateways; 0: all at once
	Timeout           time.Duration // of the whole run
	KeepDir           string        // for settings, disks and logs; empty: a temporary one
	Progress          io.Writer
}

const (
	maxMembers      = 26 // zones are named by letters
	minQuorumSize   = 3  // members, unless there is one alone
	maxProcesses    = 100
	bytesPerMB      = 1e6
	bytesPerGB      = 1e9
	maxSeeds        = 3
	routesPerHost   = 8
	pauseAfterEach  = time.Second // change of the configuration
	firstConfigured = 1           // version
)

// OptionsError tells which number of processes cannot be run.
type OptionsError struct{ Members, RealGateways int }

func (e *OptionsError) Error() string {
	return fmt.Sprintf("%d members and %d real gateways: one member or %d to %d, and at most %d processes",
		e.Members, e.RealGateways, minQuorumSize, maxMembers, maxProcesses)
}

func (o Options) validate() error {
	enough := o.Members == 1 || o.Members >= minQuorumSize
	if !enough || o.Members > maxMembers || o.Members+o.RealGateways > maxProcesses {
		return &OptionsError{Members: o.Members, RealGateways: o.RealGateways}
	}
	return nil
}

// Run runs all scales. What was measured before an error is returned with it.
func Run(ctx context.Context, options Options) ([]Row, error) {
	if err := options.validate(); err != nil {
		return nil, err
	}
	if err := limitCores(options.MaxCores); err != nil {
		return nil, merry.Prepend(err, "keeping to some cores")
	}
	runtime.GOMAXPROCS(min(options.MaxCores, runtime.GOMAXPROCS(0)))
	ctx, cancel := context.WithTimeout(ctx, options.Timeout)
	defer cancel()
	var rows []Row
	for i, scale := range options.Scales {
		e := newExperiment(options, i, scale)
		err := e.run(ctx)
		rows = append(rows, e.rows...)
		if err != nil {
			return rows, merry.Prepend(err, fmt.Sprintf("part %v", scale))
		}
	}
	return rows, nil
}

// experiment is a run at one scale.
type experiment struct {
	Options
	fleet        sizes.Fleet
	scale        float64
	startedAt    time.Time
	dir          string
	addressOctet byte // second octet of addresses, other ones for runs at the same time

	members      []*process
	realGateways []*process
	gateways     []*SyntheticGateway
	replicas     []*SyntheticReplica
	synthetic    sync.WaitGroup // of gateways and replicas

	gatewayReceived, gatewaySent, replicaReceived, replicaSent *TrafficCounts

	rows             []Row
	acknowledgements []acknowledgement
}

func newExperiment(options Options, index int, scale float64) *experiment {
	fleet := options.Target.Fleet().Scale(scale)
	fleet.Zones = options.Members
	return &experiment{
		Options:         options,
		fleet:           fleet,
		scale:           scale,
		startedAt:       time.Now(),
		addressOctet:    byte(64 + (os.Getpid()*7+index)%120),
		gatewayReceived: &TrafficCounts{},
		gatewaySent:     &TrafficCounts{},
		replicaReceived: &TrafficCounts{},
		replicaSent:     &TrafficCounts{},
	}
}

func (e *experiment) logf(format string, args ...any) {
	elapsed := time.Since(e.startedAt).Seconds()
	_, _ = fmt.Fprintf(e.Progress, "part %-7.4g %5.1fs  %s\n", e.scale, elapsed, fmt.Sprintf(format, args...)) // progress is for whoever looks on
}

func (e *experiment) addRow(role, metric, unit string, value float64) {
	e.rows = append(e.rows, Row{Scale: e.scale, Role: role, Metric: metric, Unit: unit, Value: value})
}

// processes lists the daemons.
func (e *experiment) processes() []*process { return slices.Concat(e.members, e.realGateways) }

// run starts everything, measures, and ends it.
func (e *experiment) run(ctx context.Context) (err error) {
	removeDir, err := e.makeDir()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		e.synthetic.Wait()
		for _, p := range e.processes() {
			p.kill()
		}
		if removeErr := removeDir(); err == nil {
			err = removeErr
		}
	}()
	e.logf("%d gateways (%d of them real), %d replicas, %d services, %d routes, %d members",
		e.fleet.Gateways, e.RealGateways, e.fleet.Replicas, e.fleet.Services, e.fleet.Routes, e.Members)
	if err := e.startAll(ctx); err != nil {
		return err
	}
	e.logf("gateways have joined; %v until calm", e.SettleTime)
	if err := e.wait(ctx, e.SettleTime); err != nil {
		return err
	}
	if err := e.measureSteadyState(ctx); err != nil {
		return err
	}
	if err := e.measureConfigChanges(ctx); err != nil {
		return err
	}
	return e.loseMember(ctx)
}

// makeDir makes the directory for settings, disks and logs. It returns what removes it.
func (e *experiment) makeDir() (remove func() error, err error) {
	if e.KeepDir != "" {
		e.dir = filepath.Join(e.KeepDir, fmt.Sprintf("part-%g", e.scale))
		return func() error { return nil }, nil
	}
	e.dir, err = os.MkdirTemp("", "zinclab-scale")
	return func() error { return os.RemoveAll(e.dir) }, err
}

func (e *experiment) startAll(ctx context.Context) error {
	if err := e.startMembers(ctx); err != nil {
		return err
	}
	if _, err := e.replaceConfiguration(ctx, firstConfigured); err != nil {
		return err
	}
	startedAt := time.Now()
	e.startReplicas(ctx)
	if err := e.until(ctx, "every replica is acknowledged", func() bool {
		return !slices.ContainsFunc(e.replicas, func(replica *SyntheticReplica) bool { return replica.LastAcknowledged().IsZero() })
	}); err != nil {
		return err
	}
	e.addRow(roleReplica, "all acknowledged after", "s", time.Since(startedAt).Seconds())
	e.logf("replicas send heartbeats")
	return e.startGateways(ctx)
}

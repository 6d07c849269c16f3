// Package daemon runs a governor process: startup, reload and shutdown, the clock and timers, and the single-goroutine event
// loop in which all decisions are made.
package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/clients"
	"zincloft.example/zincloft/internal/governor/collectd"
	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/counts"
	"zincloft.example/zincloft/internal/governor/discoveryclient"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/internal/governor/graphite"
	"zincloft.example/zincloft/internal/governor/store"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// Phase is a stage in the life cycle of a Daemon.
type Phase string

// Phases, in order.
const (
	Starting  Phase = "starting"  // initializing; no connections are accepted
	Serving   Phase = "serving"   // accepting connections
	Reloading Phase = "reloading" // rereading the configuration; Serving follows
	Stopping  Phase = "stopping"  // closing connections
	Stopped   Phase = "stopped"
)

// Daemon owns the governor, the clock and the timers. Its fields may be accessed only by the goroutine that calls Run.
type Daemon struct {
	phase  Phase
	config config.Config
	log    zerolog.Logger

	startedAt time.Time
	timers    []timer // earliest first
	governor  rules.Governor

	intake           *intake.Aggregator // nil: reports are not aggregated
	intakeLoggedAt   time.Time
	countsSinceLog   intake.Counts
	countsSinceStart intake.Counts

	recovery   *recovery.Recovery              // non-nil from a start with restored state until discovery confirms the list
	entries    map[rules.ReplicaID]rules.Entry // the current endpoint list; nil if state is not persisted
	writer     *store.Writer                   // nil: state is not persisted
	nextSaveAt time.Time

	graphite       *graphite.Sender // nil: Graphite export is disabled
	nextSnapshotAt time.Time

	counts     counts.Counter
	background sync.WaitGroup // goroutines other than those of clients and discovery

	reloadSignals <-chan os.Signal
	reloadConfig  ReloadFunc

	queue     *eventqueue.Queue
	clients   *clients.Server
	discovery *discoveryclient.Client
}

// ReloadFunc rereads the configuration. It returns the configuration to use from now on and the keys whose changes take
// effect only after a restart.
type ReloadFunc func(current config.Config) (c config.Config, pending []string, err error)

// New returns a Daemon that does nothing until Run.
func New(c config.Config, log zerolog.Logger) *Daemon {
	return &Daemon{config: c, log: log}
}

// Run serves until ctx is done, and reloads the configuration on each value from reloadSignals. It returns nil after a clean
// shutdown, or the error that prevented the start or stopped the governor.
func (d *Daemon) Run(ctx context.Context, listen func() (net.Listener, error), reloadSignals <-chan os.Signal, reload ReloadFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.startedAt, d.reloadSignals, d.reloadConfig = time.Now(), reloadSignals, reload
	d.setPhase(Starting)
	d.setResourceLimits()
	d.buildComponents(ctx)
	initialEvents := d.loadInitialEvents()
	if d.writer != nil { // started first, as it closes the file even if startup fails
		d.background.Go(func() { d.writer.Run(ctx) })
	}
	listener, collectdConn, err := d.openSockets(ctx, listen)
	if err != nil {
		cancel()
		d.background.Wait()
		return err
	}
	defer d.stop(listener, cancel)
	if err := d.step(initialEvents); err != nil {
		return err
	}
	d.setPhase(Serving)
	go d.clients.Serve(listener)
	d.startCollectd(ctx, collectdConn)
	d.startGraphite(ctx)
	return d.loop(ctx)
}

func (d *Daemon) setPhase(p Phase) {
	d.log.Info().Str("phase", string(p)).Str("from", string(d.phase)).Msg("phase")
	d.phase = p
}

// setResourceLimits limits the Go runtime to the configured cores and to three quarters of the configured memory.
func (d *Daemon) setResourceLimits() {
	runtime.GOMAXPROCS(max(int(d.config.Limits.Cores), 1))
	debug.SetMemoryLimit(d.config.Limits.MemoryMB << 20 / 4 * 3)
}

// buildComponents creates the queue and the components that it connects.
func (d *Daemon) buildComponents(ctx context.Context) {
	d.queue = eventqueue.New(d.config.Bounds.QueueLength)
	d.discovery = discoveryclient.New(ctx, d.config, d.log, func(list rules.List) { d.queue.Post(eventqueue.Input{Event: list}) })
	d.clients = clients.New(d.config, d.log, d.queue, &d.counts)
	if d.config.Operator.Intake.Enabled() || d.config.Operator.Collectd.Listen != "" {
		d.intake, d.intakeLoggedAt = intake.New(d.config.IntakeSettings()), time.Now()
	}
	d.queue.Connect(d.clients, d.discovery)
}

// loadInitialEvents returns the events of the first step: the settings, and the endpoint list from the state on disk or else
// from the configuration.
func (d *Daemon) loadInitialEvents() []rules.Event {
	events := []rules.Event{rules.Start{Seed: d.config.Seed, Settings: d.config.Settings.Settings}}
	restored, writer := d.restoreState()
	d.writer = writer
	if len(restored) > 0 {
		return append(events, restored...)
	}
	if len(d.config.CachedList) == 0 {
		return events
	}
	cached, err := d.discovery.LoadCachedList(d.config.CachedList)
	if err != nil { // not fatal: discovery provides the full list
		d.log.Warn().Err(err).Msg("list failure")
		return events
	}
	return append(events, cached)
}

// openSockets opens the listener for clients and, if configured, the UDP socket for collectd.
func (d *Daemon) openSockets(ctx context.Context, listen func() (net.Listener, error)) (net.Listener, net.PacketConn, error) {
	listener, err := listen()
	if err != nil {
		return nil, nil, fmt.Errorf("LB_LISTEN: %w", err)
	}
	collectdConn, err := d.listenCollectd(ctx)
	if err != nil {
		closeListener(listener)
		return nil, nil, err
	}
	return listener, collectdConn, nil
}

// stop closes all components and waits for their goroutines.
func (d *Daemon) stop(listener net.Listener, cancel context.CancelFunc) {
	d.setPhase(Stopping)
	closeListener(listener)
	cancel()
	d.background.Wait()
	d.queue.Close()
	d.clients.Close()
	d.discovery.Wait()
	d.setPhase(Stopped)
}

// closeListener closes a listener. The error is ignored because the listener is no longer used.
func closeListener(l net.Listener) { _ = l.Close() }

// reload applies the changes in the configuration that can take effect without a restart. An invalid configuration is logged
// and ignored.
func (d *Daemon) reload() {
	d.setPhase(Reloading)
	defer d.setPhase(Serving)
	c, pending, err := d.reloadConfig(d.config)
	if err != nil {
		d.log.Error().Err(err).Msg("reload failed")
		return
	}
	d.log.Info().Str("discovery", c.Discovery).Str("from", d.config.Discovery).Strs("at the next start", pending).Msg("reload")
	if c.Discovery != d.config.Discovery {
		d.discovery.SetAddress(c.Discovery)
	}
	d.config = c
}

// listenCollectd opens the UDP socket for collectd, or returns nil if the operator file has no address for it.
func (d *Daemon) listenCollectd(ctx context.Context) (net.PacketConn, error) {
	if d.config.Operator.Collectd.Listen == "" {
		return nil, nil
	}
	// A stop signal during startup must not be reported as a failure to listen.
	return collectd.Listen(context.WithoutCancel(ctx), d.config.Operator.Collectd.Listen)
}

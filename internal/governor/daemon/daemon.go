// Package daemon runs a governor: it takes it through its phases, owns the clock and the timers, and has the one goroutine
// that decides.
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

// Phase is the state of a Daemon between start and exit.
type Phase string

// Phases, in their order.
const (
	Starting  Phase = "starting"  // the first step is taken; nothing is listened on
	Serving   Phase = "serving"   // proxies join
	Reloading Phase = "reloading" // the configuration is read again; Serving follows
	Stopping  Phase = "stopping"  // connections are being closed
	Stopped   Phase = "stopped"
)

// Daemon owns the governor, the clock and the timers. All of its fields belong to the goroutine of Run.
type Daemon struct {
	phase Phase
	conf  config.Config
	log   zerolog.Logger

	startedAt time.Time
	timers    []timer // soonest first
	governor  rules.Governor

	intake           *intake.Aggregator // nil: reports are passed on as they come
	intakeLoggedAt   time.Time
	countsSinceLog   intake.Counts
	countsSinceStart intake.Counts

	recovery   *recovery.Recovery              // after a start from disk, until discovery has confirmed the list
	entries    map[rules.ReplicaID]rules.Entry // the current endpoint list; nil where no state is kept
	writer     *store.Writer                   // nil: no state is kept
	nextSaveAt time.Time

	graphite       *graphite.Sender // nil: nothing is sent
	nextSnapshotAt time.Time

	counts     counts.Counter
	background sync.WaitGroup // goroutines beside those of clients and discovery

	reloadSignals <-chan os.Signal
	reloadConfig  ReloadFunc

	queue     *eventqueue.Queue
	clients   *clients.Server
	discovery *discoveryclient.Client
}

// ReloadFunc reads the configuration again, given the current one. It returns the one that holds from now on, and the keys
// whose changes wait for the next start.
type ReloadFunc func(current config.Config) (c config.Config, pending []string, err error)

// New returns a Daemon that has not started.
func New(c config.Config, log zerolog.Logger) *Daemon {
	return &Daemon{conf: c, log: log}
}

// Run takes the governor through all phases. Each value of reloadSignals has the configuration read again. It returns nil
// when ctx has ended and everything is closed, or the error that prevented the start or ended the governor.
func (d *Daemon) Run(ctx context.Context, listen func() (net.Listener, error), reloadSignals <-chan os.Signal, reload ReloadFunc) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.startedAt, d.reloadSignals, d.reloadConfig = time.Now(), reloadSignals, reload
	d.setPhase(Starting)
	d.setResourceLimits()
	d.connectParts(ctx)
	firstFacts := d.firstFacts()
	if d.writer != nil { // it closes the file however the start goes
		d.background.Go(func() { d.writer.Run(ctx) })
	}
	listener, collectdConn, err := d.openSockets(ctx, listen)
	if err != nil {
		cancel()
		d.background.Wait()
		return err
	}
	defer d.stop(listener, cancel)
	if err := d.step(firstFacts); err != nil {
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

// setResourceLimits has the runtime use no more than the configured cores and three quarters of the memory.
func (d *Daemon) setResourceLimits() {
	runtime.GOMAXPROCS(max(int(d.conf.Limits.Cores), 1))
	debug.SetMemoryLimit(d.conf.Limits.MemoryMB << 20 / 4 * 3)
}

// connectParts makes the queue and what it connects.
func (d *Daemon) connectParts(ctx context.Context) {
	d.queue = eventqueue.New(d.conf.Bounds.QueueLength)
	d.discovery = discoveryclient.New(ctx, d.conf, d.log, func(list rules.List) { d.queue.Post(eventqueue.Input{Event: list}) })
	d.clients = clients.New(d.conf, d.log, d.queue, &d.counts)
	if d.conf.Operator.Intake.Enabled() || d.conf.Operator.Collectd.Listen != "" {
		d.intake, d.intakeLoggedAt = intake.New(d.conf.IntakeSettings()), time.Now()
	}
	d.queue.Connect(d.clients, d.discovery)
}

// firstFacts returns what the governor starts with: the settings, and the endpoint list from disk or else from the
// configuration.
func (d *Daemon) firstFacts() []rules.Event {
	facts := []rules.Event{rules.Start{Seed: d.conf.Seed, Settings: d.conf.Settings.Settings}}
	restored, writer := d.restoreState()
	d.writer = writer
	if len(restored) > 0 {
		return append(facts, restored...)
	}
	if len(d.conf.CachedList) == 0 {
		return facts
	}
	known, err := d.discovery.LoadCachedList(d.conf.CachedList)
	if err != nil { // no reason not to serve: discovery has the full list
		d.log.Warn().Err(err).Msg("list failure")
		return facts
	}
	return append(facts, known)
}

// openSockets opens the address of the clients and, where it is configured, that for load reports.
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

// stop closes everything and waits until all goroutines have ended.
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

// closeListener closes a listener that is not used any more. There is nothing to be done about an error.
func closeListener(l net.Listener) { _ = l.Close() }

// reload takes over what the configuration says now. A faulty one changes nothing.
func (d *Daemon) reload() {
	d.setPhase(Reloading)
	defer d.setPhase(Serving)
	c, pending, err := d.reloadConfig(d.conf)
	if err != nil {
		d.log.Error().Err(err).Msg("reload failed")
		return
	}
	d.log.Info().Str("discovery", c.Discovery).Str("from", d.conf.Discovery).Strs("at the next start", pending).Msg("reload")
	if c.Discovery != d.conf.Discovery {
		d.discovery.SetAddress(c.Discovery)
	}
	d.conf = c
}

// listenCollectd opens the address for load reports of machines, where the operator file names one.
func (d *Daemon) listenCollectd(ctx context.Context) (net.PacketConn, error) {
	if d.conf.Operator.Collectd.Listen == "" {
		return nil, nil
	}
	return collectd.Listen(context.WithoutCancel(ctx), d.conf.Operator.Collectd.Listen) // a signal during the start is no failure of it
}

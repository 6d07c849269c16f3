// Package daemon is the governor as a program: one object that goes from start to exit through named phases.
package daemon

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"collectd.org/network"
	"github.com/rs/zerolog"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/clients"
	"zincloft.example/zincloft/internal/collectd"
	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/internal/counts"
	"zincloft.example/zincloft/internal/discoveryclient"
	"zincloft.example/zincloft/internal/eventqueue"
	"zincloft.example/zincloft/internal/graphite"
	"zincloft.example/zincloft/internal/store"
	"zincloft.example/zincloft/recovery"
	"zincloft.example/zincloft/rules"
)

// Phase is where a Daemon stands between start and exit.
type Phase string

// Phases, in their order.
const (
	Starting  Phase = "starting"  // settings and known list are stepped; nothing is listened on
	Serving   Phase = "serving"   // proxies join
	Reloading Phase = "reloading" // the configuration is read again; then it serves on
	Stopping  Phase = "stopping"  // connections are being closed
	Stopped   Phase = "stopped"
)

// Daemon owns the governor, the clock and the timers. All of it is used by the goroutine of Run alone.
type Daemon struct {
	phase Phase
	conf  config.Config
	log   zerolog.Logger

	startedAt time.Time
	timers    []timer // soonest first
	governor  rules.Governor
	// intake weighs and gathers reports; nil where the operator file leaves them as they come.
	intake           *intake.Aggregator
	intakeLoggedAt   time.Time     // when intake's counts were logged last
	countsSinceLog   intake.Counts // since then
	countsSinceStart intake.Counts // since the start

	recovery   *recovery.Recovery              // until discovery has spoken, after a start from disk
	entries    map[rules.ReplicaID]rules.Entry // of the list as it stands; nil where nothing is kept
	writer     *store.Writer
	nextSaveAt time.Time // of the next write

	graphite       *graphite.Sender // nil: nothing is sent
	nextSnapshotAt time.Time        // of the next snapshot
	counts         counts.Counter
	background     sync.WaitGroup // what runs beside the two sides

	reloadSignals <-chan os.Signal
	reloadConfig  Reload

	queue     *eventqueue.Queue
	clients   *clients.Server
	discovery *discoveryclient.Client
}

type timer struct {
	at rules.Time
	id uint64
}

// New returns a Daemon that has not started.
func New(c config.Config, log zerolog.Logger) *Daemon {
	return &Daemon{conf: c, log: log}
}

func (d *Daemon) setPhase(p Phase) {
	d.log.Info().Str("phase", string(p)).Str("from", string(d.phase)).Msg("phase")
	d.phase = p
}

// Reload reads the configuration again, given the one that holds. It returns the one that holds from now on, and
// the keys whose changes wait for the next start.
type Reload func(config.Config) (c config.Config, later []string, err error)

// Run goes through all phases. Each signal from hups is one to reload. It returns when ctx ends and all is closed,
// or with what failed.
func (d *Daemon) Run(ctx context.Context, listen func() (net.Listener, error), reloadSignals <-chan os.Signal, reload Reload) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.startedAt, d.reloadSignals, d.reloadConfig = time.Now(), reloadSignals, reload
	d.setPhase(Starting)
	d.queue = eventqueue.New(d.conf.Bounds.QueueLength)
	d.discovery = discoveryclient.New(ctx, d.conf, d.log, func(listener rules.List) { d.queue.Post(eventqueue.Event{Fact: listener}) })
	d.clients = clients.New(d.conf, d.log, d.queue, &d.counts)
	if d.conf.Operator.Intake.Enabled() || d.conf.Operator.Collectd.Listen != "" {
		d.intake, d.intakeLoggedAt = intake.New(d.conf.IntakeSettings()), time.Now()
	}
	d.queue.Connect(d.clients, d.discovery)
	runtime.GOMAXPROCS(max(int(d.conf.Limits.Cores), 1))
	debug.SetMemoryLimit(d.conf.Limits.MemoryMB << 20 / 4 * 3)
	first := []rules.Event{rules.Start{Seed: d.conf.Seed, Settings: d.conf.Settings.Settings}}
	events, writer := d.restoreState()
	first, d.writer = append(first, events...), writer
	if d.writer != nil { // it closes the file whatever comes
		d.background.Go(func() { d.writer.Run(ctx) })
	}
	if len(d.conf.Known) > 0 && len(events) == 0 {
		known, err := d.discovery.LoadKnown(d.conf.Known)
		if err == nil {
			first = append(first, known)
		} else { // no reason not to serve: discovery has the whole list
			d.log.Warn().Err(err).Msg("list failure")
		}
	}
	listener, err := listen()
	if err != nil {
		cancel()
		d.background.Wait()
		return fmt.Errorf("LB_LISTEN: %w", err)
	}
	collectdConn, err := d.listenCollectd()
	if err != nil {
		listener.Close()
		cancel()
		d.background.Wait()
		return err
	}
	defer func() {
		d.setPhase(Stopping)
		listener.Close()
		cancel()
		d.background.Wait()
		d.queue.Close()
		d.clients.Close()
		d.discovery.Wait()
		d.setPhase(Stopped)
	}()
	if err := d.step(first); err != nil {
		return err
	}
	d.setPhase(Serving)
	go d.clients.Serve(listener)
	if collectdConn != nil {
		s := collectd.New(d.collectdOptions(), d.queue, &d.counts)
		d.background.Go(func() { s.Serve(ctx, collectdConn, d.log) })
	}
	d.startGraphite(ctx)
	return d.loop(ctx)
}

// startGraphite sends views until ctx ends, where the operator file names a receiver.
func (d *Daemon) startGraphite(ctx context.Context) {
	o := d.conf.GraphiteOptions()
	if o.Address == "" {
		return
	}
	var groups []string
	for _, tg := range d.conf.Settings.Groups {
		groups = append(groups, tg.Name)
	}
	d.graphite = graphite.New(o, graphite.Labels{ReplicaName: d.queue.Name, GroupNames: groups}, d.log)
	d.background.Go(func() { d.graphite.Run(ctx) })
}

// listenCollectd opens the address for load reports of machines, where the operator file names one.
func (d *Daemon) listenCollectd() (net.PacketConn, error) {
	if d.conf.Operator.Collectd.Listen == "" {
		return nil, nil
	}
	return collectd.Listen(d.conf.Operator.Collectd.Listen)
}

func (d *Daemon) collectdOptions() collectd.Options {
	o := d.conf.Operator.Collectd
	out := collectd.Options{AllowedSources: o.AllowedSources, MinLevel: o.Security, PacketsPerSecond: o.PacketsPerSecond, ReplicaByHost: o.ReplicaByHost, Mappings: o.Mappings,
		ReadRetryDelay: d.conf.Bounds.AcceptRetryDelay}
	if o.UsersFile != "" {
		users := network.NewAuthFile(o.UsersFile)
		out.PasswordOf = func(user string) (string, bool) {
			password, err := users.Password(user)
			return password, err == nil
		}
	}
	return out
}

// sendSnapshot takes a snapshot for Graphite when one is due. It waits for nobody.
func (d *Daemon) sendSnapshot() {
	now := time.Now()
	if d.graphite == nil || now.Before(d.nextSnapshotAt) {
		return
	}
	d.nextSnapshotAt = now.Add(d.conf.Operator.Graphite.Interval)
	s := d.graphite.AcquireSnapshot()
	if s == nil {
		return
	}
	s.At = now
	d.governor.WriteView(d.now(), &s.View)
	if s.HasIntake = d.intake != nil; s.HasIntake {
		s.IntakeCounts = d.countsSinceStart
		s.Held[0], s.Held[1], s.Held[2] = d.intake.Sizes()
	}
	s.Duration = time.Since(now)
	d.graphite.SubmitSnapshot(s)
}

// reload takes on what the configuration says now. One that faults leaves the old one serving.
func (d *Daemon) reload() {
	d.setPhase(Reloading)
	defer d.setPhase(Serving)
	c, later, err := d.reloadConfig(d.conf)
	if err != nil {
		d.log.Error().Err(err).Msg("reload failed")
		return
	}
	d.log.Info().Str("discovery", c.Discovery).Str("from", d.conf.Discovery).Strs("at the next start", later).Msg("reload")
	if c.Discovery != d.conf.Discovery {
		d.discovery.SetAddress(c.Discovery)
	}
	d.conf = c
}

// now is the wall clock at the start and a steady clock from then on, so that steps of the wall clock do not
// reach decisions.
func (d *Daemon) now() rules.Time {
	return rules.Time(d.startedAt.UnixNano()) + rules.Time(time.Since(d.startedAt))
}

// rulesTime is a moment on the clock of now.
func (d *Daemon) rulesTime(t time.Time) rules.Time {
	return rules.Time(d.startedAt.UnixNano()) + rules.Time(t.Sub(d.startedAt))
}

func (d *Daemon) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		if facts := d.nextFacts(ctx, timer); len(facts) > 0 {
			if err := d.step(facts); err != nil {
				return err
			}
			d.sendSnapshot()
			d.saveState()
		}
	}
	return nil
}

// nextFacts waits until something has happened or a timer is due, and gathers what comes within a tick, as a proxy's
// messages are counted. After the process was held up, all that has come in is heard before the timers: else
// replicas and proxies would be judged silent whose words are waiting to be read.
func (d *Daemon) nextFacts(ctx context.Context, timer *time.Timer) []rules.Event {
	due := time.Duration(math.MaxInt64)
	if len(d.timers) > 0 {
		due = time.Duration(d.timers[0].at - d.now())
	}
	timer.Reset(due)
	var events []eventqueue.Event
	select {
	case <-ctx.Done():
		return nil
	case <-d.reloadSignals:
		d.reload()
		return nil
	case e := <-d.queue.Urgent():
		events = append(events, e)
	case e := <-d.queue.Reports():
		events = append(events, e)
	case <-timer.C:
	}
	events = d.gatherTick(ctx, timer, events)
	late := len(d.timers) > 0 && time.Duration(d.now()-d.timers[0].at) > d.conf.Bounds.LateTimerThreshold
	for before := -1; late && before < len(events) && len(events) < maxLateBatches*d.conf.Bounds.QueueLength; {
		before = len(events)
		events = d.gatherTick(ctx, timer, events)
	}
	facts := d.toFacts(d.queue.DropStale(events))
	for now := d.now(); len(d.timers) > 0 && d.timers[0].at <= now; d.timers = d.timers[1:] {
		facts = append(facts, rules.Wake{TimerID: d.timers[0].id})
	}
	return d.trackRecovery(facts)
}

// maxLateBatches bounds what is heard before a late timer, in times of the inbox: against senders that never stop.
const maxLateBatches = 4

// toFacts are what events come to: reports go through intake where there is one.
func (d *Daemon) toFacts(events []eventqueue.Event) (facts []rules.Event) {
	if d.intake == nil {
		for _, e := range events {
			facts = append(facts, e.Fact)
		}
		return facts
	}
	now := d.now()
	for _, e := range events {
		switch fact := e.Fact.(type) {
		case nil:
			for _, l := range e.Loads {
				d.intake.AddLoad(now, l)
			}
			if e.Batch == nil {
				continue
			}
			e.Batch.ReceivedAt = d.rulesTime(e.ReceivedAt)
			d.intake.AddBatch(now, e.Batch)
			e.Batch.Free()
			continue
		case rules.EndpointStats:
			if s, counts := d.intake.AdjustStats(now, d.rulesTime(e.ReceivedAt), fact); counts {
				facts = append(facts, s)
			}
			continue
		case rules.Joined:
			d.intake.Join(fact.Proxy, fact.Zone)
		case rules.Left:
			d.intake.Leave(fact.Proxy)
		}
		facts = append(facts, e.Fact)
	}
	if d.intake.FlushDue(now) {
		facts = append(facts, d.intake.Flush(now)...)
		d.logIntakeCounts()
	}
	return facts
}

// logIntakeCounts logs intake's counts at intervals.
func (d *Daemon) logIntakeCounts() {
	for i, n := range d.intake.Counts() {
		d.countsSinceLog[i] += n
		d.countsSinceStart[i] += n
	}
	if time.Since(d.intakeLoggedAt) < d.conf.Bounds.CountLogInterval {
		return
	}
	line := d.log.Info()
	for i, n := range d.countsSinceLog {
		if n != 0 {
			line = line.Int(intake.Cause(i).String(), n)
		}
	}
	records, senders, pairs := d.intake.Sizes()
	line.Int("records held", records).Int("senders", senders).Int("pairs", pairs).Msg("intake")
	d.intakeLoggedAt, d.countsSinceLog = time.Now(), intake.Counts{}
}

// gatherTick adds what comes within a tick, as far as one Step takes: first what must not wait for reports.
func (d *Daemon) gatherTick(ctx context.Context, timer *time.Timer, events []eventqueue.Event) []eventqueue.Event {
	timer.Reset(max(d.conf.Settings.Tick, time.Millisecond))
	for n := 0; n < d.conf.Bounds.QueueLength; n++ {
		select {
		case e := <-d.queue.Urgent():
			events = append(events, e)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return events
		case e := <-d.queue.Urgent():
			events = append(events, e)
		case e := <-d.queue.Reports():
			events = append(events, e)
		case <-timer.C:
			return events
		}
	}
	return events
}

// step hands events to the module and carries out what it orders. A panic there ends the program: a governor
// whose records may be wrong must start from nothing.
func (d *Daemon) step(facts []rules.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic in a step: %v", p)
			d.log.Error().Str("stack", string(debug.Stack())).Msg(err.Error())
		}
	}()
	now := d.now()
	for _, o := range d.queue.Dispatch(d.governor.Step(now, facts)) {
		switch o := o.(type) {
		case rules.WakeAfter:
			d.timers = append(d.timers, timer{now + rules.Time(o.After), o.TimerID})
			slices.SortStableFunc(d.timers, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
		case rules.Forget:
			delete(d.entries, o.Replica)
			if d.intake != nil {
				d.intake.Forget(o.Replica)
			}
		case rules.Log:
			d.log.Info().Msg(o.Text)
		default:
			d.log.Warn().Msgf("an order that is not for this site: %T", o)
		}
	}
	return nil
}

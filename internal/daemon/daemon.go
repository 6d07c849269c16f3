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
	"zincloft.example/zincloft/internal/exchange"
	"zincloft.example/zincloft/internal/graphite"
	"zincloft.example/zincloft/internal/list"
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

	begun time.Time
	wakes []wake // soonest first
	gov   rules.Governor
	// intake weighs and gathers reports; nil where the operator file leaves them as they come.
	intake  *intake.Intake
	told    time.Time     // when intake's counts were logged last
	counted intake.Counts // since then
	since   intake.Counts // since the start

	recovery *recovery.Recovery              // until discovery has spoken, after a start from disk
	entries  map[rules.ReplicaID]rules.Entry // of the list as it stands; nil where nothing is kept
	writer   *store.Writer
	keepAt   time.Time // of the next write

	graphite *graphite.Sender // nil: nothing is sent
	viewAt   time.Time        // of the next snapshot
	counts   counts.Counts
	fronts   sync.WaitGroup // what runs beside the two sides

	hups <-chan os.Signal
	read Reload

	exchange *exchange.Exchange
	clients  *clients.Side
	list     *list.List
}

type wake struct {
	at   rules.Time
	mark uint64
}

// New returns a Daemon that has not started.
func New(c config.Config, log zerolog.Logger) *Daemon {
	return &Daemon{conf: c, log: log}
}

func (d *Daemon) enter(p Phase) {
	d.log.Info().Str("phase", string(p)).Str("from", string(d.phase)).Msg("phase")
	d.phase = p
}

// Reload reads the configuration again, given the one that holds. It returns the one that holds from now on, and
// the keys whose changes wait for the next start.
type Reload func(config.Config) (c config.Config, later []string, err error)

// Run goes through all phases. Each signal from hups is one to reload. It returns when ctx ends and all is closed,
// or with what failed.
func (d *Daemon) Run(ctx context.Context, listen func() (net.Listener, error), hups <-chan os.Signal, reload Reload) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.begun, d.hups, d.read = time.Now(), hups, reload
	d.enter(Starting)
	d.exchange = exchange.New(d.conf.Bounds.Inbox)
	d.list = list.New(ctx, d.conf, d.log, func(l rules.List) { d.exchange.Post(exchange.Event{Fact: l}) })
	d.clients = clients.New(d.conf, d.log, d.exchange, &d.counts)
	if d.conf.Operator.Intake.Taken() || d.conf.Operator.Collectd.Listen != "" {
		d.intake, d.told = intake.New(d.conf.IntakeSettings()), time.Now()
	}
	d.exchange.Connect(d.clients, d.list)
	runtime.GOMAXPROCS(max(int(d.conf.Limits.Cores), 1))
	debug.SetMemoryLimit(d.conf.Limits.MemoryMB << 20 / 4 * 3)
	first := []rules.Event{rules.Start{Seed: d.conf.Seed, Settings: d.conf.Settings.Settings}}
	events, writer := d.recall()
	first, d.writer = append(first, events...), writer
	if d.writer != nil { // it closes the file whatever comes
		d.fronts.Go(func() { d.writer.Run(ctx) })
	}
	if len(d.conf.Known) > 0 && len(events) == 0 {
		known, err := d.list.Known(d.conf.Known)
		if err == nil {
			first = append(first, known)
		} else { // no reason not to serve: discovery has the whole list
			d.log.Warn().Err(err).Msg("list failure")
		}
	}
	l, err := listen()
	if err != nil {
		cancel()
		d.fronts.Wait()
		return fmt.Errorf("LB_LISTEN: %w", err)
	}
	machines, err := d.machines()
	if err != nil {
		l.Close()
		cancel()
		d.fronts.Wait()
		return err
	}
	defer func() {
		d.enter(Stopping)
		l.Close()
		cancel()
		d.fronts.Wait()
		d.exchange.Close()
		d.clients.Close()
		d.list.Wait()
		d.enter(Stopped)
	}()
	if err := d.step(first); err != nil {
		return err
	}
	d.enter(Serving)
	go d.clients.Serve(l)
	if machines != nil {
		s := collectd.New(d.collectd(), d.exchange, &d.counts)
		d.fronts.Go(func() { s.Serve(ctx, machines, d.log) })
	}
	d.beginGraphite(ctx)
	return d.loop(ctx)
}

// beginGraphite sends views until ctx ends, where the operator file names a receiver.
func (d *Daemon) beginGraphite(ctx context.Context) {
	o := d.conf.GraphiteSender()
	if o.Address == "" {
		return
	}
	var groups []string
	for _, tg := range d.conf.Settings.Groups {
		groups = append(groups, tg.Name)
	}
	d.graphite = graphite.New(o, graphite.Names{Replica: d.exchange.Name, Groups: groups}, d.log)
	d.fronts.Go(func() { d.graphite.Run(ctx) })
}

// machines opens the address for load reports of machines, where the operator file names one.
func (d *Daemon) machines() (net.PacketConn, error) {
	if d.conf.Operator.Collectd.Listen == "" {
		return nil, nil
	}
	return collectd.Listen(d.conf.Operator.Collectd.Listen)
}

func (d *Daemon) collectd() collectd.Options {
	o := d.conf.Operator.Collectd
	out := collectd.Options{Allow: o.Allow, Level: o.Security, PacketsPS: o.PacketsPS, Hosts: o.Hosts, Figures: o.Figures,
		AcceptWait: d.conf.Bounds.AcceptPause}
	if o.Users != "" {
		users := network.NewAuthFile(o.Users)
		out.Password = func(user string) (string, bool) {
			password, err := users.Password(user)
			return password, err == nil
		}
	}
	return out
}

// view takes a snapshot for Graphite when one is due. It waits for nobody.
func (d *Daemon) view() {
	now := time.Now()
	if d.graphite == nil || now.Before(d.viewAt) {
		return
	}
	d.viewAt = now.Add(d.conf.Operator.Graphite.Interval)
	s := d.graphite.Take()
	if s == nil {
		return
	}
	s.At = now
	d.gov.View(d.now(), &s.View)
	if s.Intake = d.intake != nil; s.Intake {
		s.Counts = d.since
		s.Held[0], s.Held[1], s.Held[2] = d.intake.Held()
	}
	s.Taken = time.Since(now)
	d.graphite.Give(s)
}

// reload takes on what the configuration says now. One that faults leaves the old one serving.
func (d *Daemon) reload() {
	d.enter(Reloading)
	defer d.enter(Serving)
	c, later, err := d.read(d.conf)
	if err != nil {
		d.log.Error().Err(err).Msg("reload failed")
		return
	}
	d.log.Info().Str("discovery", c.Discovery).Str("from", d.conf.Discovery).Strs("at the next start", later).Msg("reload")
	if c.Discovery != d.conf.Discovery {
		d.list.Move(c.Discovery)
	}
	d.conf = c
}

// now is the wall clock at the start and a steady clock from then on, so that steps of the wall clock do not
// reach decisions.
func (d *Daemon) now() rules.Time {
	return rules.Time(d.begun.UnixNano()) + rules.Time(time.Since(d.begun))
}

// at is a moment on the clock of now.
func (d *Daemon) at(t time.Time) rules.Time {
	return rules.Time(d.begun.UnixNano()) + rules.Time(t.Sub(d.begun))
}

func (d *Daemon) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		if facts := d.next(ctx, timer); len(facts) > 0 {
			if err := d.step(facts); err != nil {
				return err
			}
			d.view()
			d.keep()
		}
	}
	return nil
}

// next waits until something has happened or a timer is due, and gathers what comes within a tick, as a proxy's
// messages are counted. After the process was held up, all that has come in is heard before the timers: else
// replicas and proxies would be judged silent whose words are waiting to be read.
func (d *Daemon) next(ctx context.Context, timer *time.Timer) []rules.Event {
	due := time.Duration(math.MaxInt64)
	if len(d.wakes) > 0 {
		due = time.Duration(d.wakes[0].at - d.now())
	}
	timer.Reset(due)
	var events []exchange.Event
	select {
	case <-ctx.Done():
		return nil
	case <-d.hups:
		d.reload()
		return nil
	case e := <-d.exchange.First():
		events = append(events, e)
	case e := <-d.exchange.Reports():
		events = append(events, e)
	case <-timer.C:
	}
	events = d.gather(ctx, timer, events)
	late := len(d.wakes) > 0 && time.Duration(d.now()-d.wakes[0].at) > d.conf.Bounds.LateLoop
	for before := -1; late && before < len(events) && len(events) < lateSteps*d.conf.Bounds.Inbox; {
		before = len(events)
		events = d.gather(ctx, timer, events)
	}
	facts := d.facts(d.exchange.Heed(events))
	for now := d.now(); len(d.wakes) > 0 && d.wakes[0].at <= now; d.wakes = d.wakes[1:] {
		facts = append(facts, rules.Wake{Mark: d.wakes[0].mark})
	}
	return d.recover(facts)
}

// lateSteps bounds what is heard before a late timer, in times of the inbox: against senders that never stop.
const lateSteps = 4

// facts are what events come to: reports go through intake where there is one.
func (d *Daemon) facts(events []exchange.Event) (facts []rules.Event) {
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
				d.intake.Load(now, l)
			}
			if e.Batch == nil {
				continue
			}
			e.Batch.Read = d.at(e.Read)
			d.intake.Take(now, e.Batch)
			e.Batch.Free()
			continue
		case rules.Sums:
			if s, counts := d.intake.Sums(now, d.at(e.Read), fact); counts {
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
	if d.intake.Due(now) {
		facts = append(facts, d.intake.Cut(now)...)
		d.count()
	}
	return facts
}

// count logs intake's counts at intervals.
func (d *Daemon) count() {
	for i, n := range d.intake.Counts() {
		d.counted[i] += n
		d.since[i] += n
	}
	if time.Since(d.told) < d.conf.Bounds.Counts {
		return
	}
	line := d.log.Info()
	for i, n := range d.counted {
		if n != 0 {
			line = line.Int(intake.Cause(i).String(), n)
		}
	}
	records, senders, pairs := d.intake.Held()
	line.Int("records held", records).Int("senders", senders).Int("pairs", pairs).Msg("intake")
	d.told, d.counted = time.Now(), intake.Counts{}
}

// gather adds what comes within a tick, as far as one Step takes: first what must not wait for reports.
func (d *Daemon) gather(ctx context.Context, timer *time.Timer, events []exchange.Event) []exchange.Event {
	timer.Reset(max(d.conf.Settings.Tick, time.Millisecond))
	for n := 0; n < d.conf.Bounds.Inbox; n++ {
		select {
		case e := <-d.exchange.First():
			events = append(events, e)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return events
		case e := <-d.exchange.First():
			events = append(events, e)
		case e := <-d.exchange.Reports():
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
	for _, o := range d.exchange.Deliver(d.gov.Step(now, facts)) {
		switch o := o.(type) {
		case rules.WakeAfter:
			d.wakes = append(d.wakes, wake{now + rules.Time(o.After), o.Mark})
			slices.SortStableFunc(d.wakes, func(a, b wake) int { return cmp.Compare(a.at, b.at) })
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

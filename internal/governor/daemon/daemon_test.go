package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/internal/governor/resp"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/rules"
)

// conf returns a configuration of three proxies, two groups and two replicas.
func conf() config.Config {
	return config.Config{Name: "n0", Limits: config.Limits{Cores: 1, MemoryMB: 192}, Discovery: "127.0.0.1:0",
		CachedList: []byte(`{"version":1,"full":true,"servers":[{"id":"r1","zone":"a","state":"ready"},{"id":"r2","zone":"a","state":"ready"}]}`),
		Settings: config.Settings{Zones: []string{"a"}, Tick: 4 * time.Millisecond, Settings: rules.Settings{
			Groups:    []rules.TrafficGroup{{Name: "look", LatencyBudget: time.Second}, {Name: "edit", LatencyBudget: 2 * time.Second}},
			Governors: 1, Proxies: 3, Zones: 1, Period: time.Second, EntryRate: 1000, EntryCapacity: 2000, MessageEntries: 6,
			MessageSpan: 10 * time.Second, MessageLimit: 20, DrainGrace: 3 * time.Second, WarmupTime: 18 * time.Second, ColdCapacity: 0.2}},
		Bounds: config.Bounds{QueueLength: 100, MaxConnections: 10, MaxFirstMessageBytes: 1 << 10, MaxMessageBytes: 1 << 20, MaxMessageElements: 64, MaxCollectorsPerZone: 2,
			MaxReportedTime: time.Minute, JoinTimeout: 10 * time.Second, AcknowledgeTimeout: time.Minute, MaxUnsentBytes: 1 << 20, MaxTotalUnsentBytes: 1 << 20, CountLogInterval: time.Hour, WriteTimeout: time.Second, LateTimerThreshold: 50 * time.Millisecond}}
}

// TestLife goes from start to exit: a heartbeat, two joins that arrive together, their tables in one message each, three
// signals to reload, of which one finds a faulty file, and a stop right after them that closes all connections. No reload
// writes to a proxy.
func TestLife(t *testing.T) {
	var trace, log strings.Builder
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l := testkit.Listen()
		d := New(conf(), zerolog.New(&log))
		done := make(chan error)
		hups := make(chan os.Signal)
		files := []string{"127.0.0.1:1", "", "127.0.0.1:1"}
		reload := func(now config.Config) (config.Config, []string, error) {
			if now.Discovery, files = files[0], files[1:]; now.Discovery == "" {
				return conf(), nil, errors.New("settings: the key is missing")
			}
			return now, []string{"limits"}, nil
		}
		go func() { done <- d.Run(ctx, func() (net.Listener, error) { return l, nil }, hups, reload) }()
		var heard [3]chan string
		for i, first := range []string{"hb", "attach sidecar 0 az a share 2 standing 1", "attach sidecar 1 az a share 2 standing 1"} {
			c, err := l.Dial(ctx, "", "")
			if err != nil {
				t.Fatal(err)
			}
			heard[i] = make(chan string, 10)
			go func() {
				_, _ = c.Write(resp.Append(nil, strings.Fields(first)...))
				in := resp.NewReader(c, 1<<20, 64)
				for {
					words, err := in.NextStrings()
					if err != nil {
						heard[i] <- "ended"
						return
					}
					heard[i] <- strings.Join(words, " ")
				}
			}()
			synctest.Wait()
		}
		time.Sleep(10 * time.Millisecond) // on the bubble's clock
		synctest.Wait()
		for range 3 {
			hups <- syscall.SIGHUP
		}
		stop()
		begun := time.Now()
		if err := <-done; err != nil {
			t.Error(err)
		}
		fmt.Fprintf(&trace, "stopped within %v, phase %s\n", time.Since(begun), d.phase)
		synctest.Wait()
		for i, h := range heard {
			for len(h) > 0 {
				fmt.Fprintf(&trace, "%d <- %s\n", i, <-h)
			}
		}
	})
	testkit.CompareTrace(t, trace.String()+regexp.MustCompile(`"time":"[^"]*",`).ReplaceAllString(log.String(), ""))
}

// TestHeldUp has a timer that is long overdue while reports still come in, as after the process was suspended: they are taken
// in before it. A timer that is in time waits no longer than a tick.
func TestHeldUp(t *testing.T) {
	var trace strings.Builder
	for _, late := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			d := New(conf(), zerolog.Nop())
			d.startedAt = time.Now()
			d.queue = eventqueue.New(100)
			d.timers = []timer{{d.now(), 7}, {d.now() + rules.Time(time.Hour), 8}}
			time.Sleep(late) // on the bubble's clock
			go func() {
				for i := range 4 {
					d.queue.Post(eventqueue.Input{Event: rules.EndpointStats{Attempts: i}})
					time.Sleep(3 * time.Millisecond)
				}
			}()
			fmt.Fprintf(&trace, "%v late:", late)
			for _, f := range d.nextFacts(t.Context(), time.NewTimer(0)) {
				fmt.Fprintf(&trace, " %s", testkit.TraceType(f))
			}
			fmt.Fprintln(&trace)
			time.Sleep(time.Second)
		})
	}
	testkit.CompareTrace(t, trace.String())
}

// TestStartFails has an address that can't be opened, and a known list that can't be read, which is no reason not to serve.
func TestStartFails(t *testing.T) {
	no := func() (net.Listener, error) { return nil, errors.New("address in use") }
	if err := New(conf(), zerolog.Nop()).Run(t.Context(), no, nil, nil); err == nil || !strings.Contains(err.Error(), "LB_LISTEN: address in use") {
		t.Error(err)
	}
	var log strings.Builder
	c := conf()
	c.CachedList = []byte(`{"servers":[]}`)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	serves := func() (net.Listener, error) { return testkit.Listen(), nil }
	if err := New(c, zerolog.New(&log)).Run(ctx, serves, nil, nil); err != nil || !strings.Contains(log.String(), "known: the list lacks version") {
		t.Error("a list that can't be read keeps it from serving: ", err, log.String())
	}
}

// TestPanicIsNotHidden has an order to watch where there is no queue.
func TestPanicIsNotHidden(t *testing.T) {
	var log strings.Builder
	d, s := New(conf(), zerolog.New(&log)), conf().Settings.Settings
	s.ListOnRequest = true
	if err := d.step([]rules.Event{rules.Start{Settings: s}}); err == nil || !strings.Contains(err.Error(), "panic in a step") ||
		!strings.Contains(log.String(), "step.go") {
		t.Error(err, log.String())
	}
}

// TestDrainDuringFlood keeps the lane of reports full while a replica begins to drain: the very next step orders its
// removal.
func TestDrainDuringFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := conf()
		c.Operator.Intake = config.IntakeOptions{ReportsMode: config.ReportsPairs, HalfLife: time.Second, MaxAge: 10 * time.Second}
		d := New(c, zerolog.Nop())
		d.startedAt, d.queue, d.intake = time.Now(), eventqueue.New(c.Bounds.QueueLength), intake.New(c.IntakeSettings())
		d.queue.Connect(anySide{}, anySide{})
		r := func(s ...rules.State) (l rules.List) {
			for i, state := range s {
				l.Entries = append(l.Entries, rules.Entry{Replica: rules.ReplicaID(i), State: state, Listed: 1})
			}
			return l
		}
		if err := d.step([]rules.Event{rules.Start{Settings: c.Settings.Settings}, r(rules.Ready, rules.Ready), rules.Joined{Proxy: 1, Fresh: true}}); err != nil {
			t.Fatal(err)
		}
		d.intake.Join(1, 0)
		var ended atomic.Bool
		defer func() { ended.Store(true); d.queue.Close(); synctest.Wait() }()
		go func() {
			for !ended.Load() {
				b := intake.NewBatch()
				b.Proxy, b.Window, b.Records = 1, time.Second, append(b.Records, intake.Record{Replica: 0, Attempts: 1})
				d.queue.Post(eventqueue.Input{Connection: 1, Batch: b, ReceivedAt: time.Now()})
			}
		}()
		synctest.Wait()
		d.queue.Post(eventqueue.Input{Event: r(rules.Ready, rules.Draining)})
		timer := time.NewTimer(time.Hour)
		for _, o := range d.governor.Step(d.now(), d.nextFacts(t.Context(), timer)) {
			if l, is := o.(rules.EndpointWeight); is && l.Replica == 1 && l.Weight == 0 {
				return
			}
		}
		t.Error("the drain has waited behind reports")
	})
}

// anySide stands for both sides of the queue.
type anySide struct{ eventqueue.Discovery }

func (anySide) Accept(eventqueue.Input) bool { return true }
func (anySide) Execute([]rules.Order)        {}
func (anySide) Forget(rules.ReplicaID)       {}

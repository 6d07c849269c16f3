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

// testConfig returns a configuration with three proxies, two traffic groups and two replicas.
func testConfig() config.Config {
	return config.Config{Name: "n0", Limits: config.Limits{Cores: 1, MemoryMB: 192}, Discovery: "127.0.0.1:0",
		CachedList: []byte(`{"version":1,"full":true,"servers":[{"id":"r1","zone":"a","state":"ready"},{"id":"r2","zone":"a","state":"ready"}]}`),
		Settings: config.Settings{Zones: []string{"a"}, Tick: 4 * time.Millisecond, Settings: rules.Settings{
			Groups:    []rules.TrafficGroup{{Name: "look", LatencyBudget: time.Second}, {Name: "edit", LatencyBudget: 2 * time.Second}},
			Governors: 1, Proxies: 3, Zones: 1, Period: time.Second, EntryRate: 1000, EntryCapacity: 2000, MessageEntries: 6,
			MessageSpan: 10 * time.Second, MessageLimit: 20, DrainGrace: 3 * time.Second, WarmupTime: 18 * time.Second, ColdCapacity: 0.2}},
		Bounds: config.Bounds{QueueLength: 100, MaxConnections: 10, MaxFirstMessageBytes: 1 << 10, MaxMessageBytes: 1 << 20, MaxMessageElements: 64, MaxCollectorsPerZone: 2,
			MaxReportedTime: time.Minute, JoinTimeout: 10 * time.Second, AcknowledgeTimeout: time.Minute, MaxUnsentBytes: 1 << 20, MaxTotalUnsentBytes: 1 << 20, CountLogInterval: time.Hour, WriteTimeout: time.Second, LateTimerThreshold: 50 * time.Millisecond}}
}

// TestLife runs a daemon from start to exit. Two proxies that join together get one message each, reloads (one of them with
// an invalid file) send nothing to proxies, and a stop during reloads closes all connections.
func TestLife(t *testing.T) {
	var trace, log strings.Builder
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l := testkit.Listen()
		d := New(testConfig(), zerolog.New(&log))
		done := make(chan error)
		reloadSignals := make(chan os.Signal)
		addresses := []string{"127.0.0.1:1", "", "127.0.0.1:1"}
		reload := func(current config.Config) (config.Config, []string, error) {
			if current.Discovery, addresses = addresses[0], addresses[1:]; current.Discovery == "" {
				return testConfig(), nil, errors.New("settings: the key is missing")
			}
			return current, []string{"limits"}, nil
		}
		go func() { done <- d.Run(ctx, func() (net.Listener, error) { return l, nil }, reloadSignals, reload) }()
		var received [3]chan string
		for i, first := range []string{"hb", "attach sidecar 0 az a share 2 standing 1", "attach sidecar 1 az a share 2 standing 1"} {
			c, err := l.Dial(ctx, "", "")
			if err != nil {
				t.Fatal(err)
			}
			received[i] = make(chan string, 10)
			go func() {
				_, _ = c.Write(resp.Append(nil, strings.Fields(first)...))
				in := resp.NewReader(c, 1<<20, 64)
				for {
					words, err := in.NextStrings()
					if err != nil {
						received[i] <- "ended"
						return
					}
					received[i] <- strings.Join(words, " ")
				}
			}()
			synctest.Wait()
		}
		time.Sleep(10 * time.Millisecond) // fake clock
		synctest.Wait()
		for range 3 {
			reloadSignals <- syscall.SIGHUP
		}
		stop()
		stoppedAt := time.Now()
		if err := <-done; err != nil {
			t.Error(err)
		}
		fmt.Fprintf(&trace, "stopped within %v, phase %s\n", time.Since(stoppedAt), d.phase)
		synctest.Wait()
		for i, messages := range received {
			for len(messages) > 0 {
				fmt.Fprintf(&trace, "%d <- %s\n", i, <-messages)
			}
		}
	})
	testkit.CompareTrace(t, trace.String()+regexp.MustCompile(`"time":"[^"]*",`).ReplaceAllString(log.String(), ""))
}

// TestHeldUp checks that pending reports are read before a timer that is long overdue, as after the process was suspended,
// and that a timer that is on time waits no longer than a tick.
func TestHeldUp(t *testing.T) {
	var trace strings.Builder
	for _, late := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			d := New(testConfig(), zerolog.Nop())
			d.startedAt = time.Now()
			d.queue = eventqueue.New(100)
			d.timers = []timer{{d.now(), 7}, {d.now() + rules.Time(time.Hour), 8}}
			time.Sleep(late) // fake clock
			go func() {
				for i := range 4 {
					d.queue.Post(eventqueue.Input{Event: rules.EndpointStats{Attempts: i}})
					time.Sleep(3 * time.Millisecond)
				}
			}()
			fmt.Fprintf(&trace, "%v late:", late)
			for _, f := range d.nextEvents(t.Context(), time.NewTimer(0)) {
				fmt.Fprintf(&trace, " %s", testkit.TraceType(f))
			}
			fmt.Fprintln(&trace)
			time.Sleep(time.Second)
		})
	}
	testkit.CompareTrace(t, trace.String())
}

// TestStartFails checks that an address that cannot be opened fails the start, and that an invalid cached list does not.
func TestStartFails(t *testing.T) {
	failListen := func() (net.Listener, error) { return nil, errors.New("address in use") }
	if err := New(testConfig(), zerolog.Nop()).Run(t.Context(), failListen, nil, nil); err == nil || !strings.Contains(err.Error(), "LB_LISTEN: address in use") {
		t.Error(err)
	}
	var log strings.Builder
	c := testConfig()
	c.CachedList = []byte(`{"servers":[]}`)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	listen := func() (net.Listener, error) { return testkit.Listen(), nil }
	if err := New(c, zerolog.New(&log)).Run(ctx, listen, nil, nil); err != nil || !strings.Contains(log.String(), "known: the list lacks version") {
		t.Error("did not serve with an invalid cached list: ", err, log.String())
	}
}

// TestPanicIsNotHidden makes a step panic, by a watch order without a queue: the error and a stack trace are reported.
func TestPanicIsNotHidden(t *testing.T) {
	var log strings.Builder
	d, s := New(testConfig(), zerolog.New(&log)), testConfig().Settings.Settings
	s.ListOnRequest = true
	if err := d.step([]rules.Event{rules.Start{Settings: s}}); err == nil || !strings.Contains(err.Error(), "panic in a step") ||
		!strings.Contains(log.String(), "step.go") {
		t.Error(err, log.String())
	}
}

// TestDrainDuringFlood checks that the next step removes a draining replica even while the report queue is full.
func TestDrainDuringFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testConfig()
		c.Operator.Intake = config.IntakeOptions{ReportsMode: config.ReportsPairs, HalfLife: time.Second, MaxAge: 10 * time.Second}
		d := New(c, zerolog.Nop())
		d.startedAt, d.queue, d.intake = time.Now(), eventqueue.New(c.Bounds.QueueLength), intake.New(c.IntakeSettings())
		d.queue.Connect(stubEndpoints{}, stubEndpoints{})
		listOf := func(states ...rules.State) (l rules.List) {
			for i, state := range states {
				l.Entries = append(l.Entries, rules.Entry{Replica: rules.ReplicaID(i), State: state, Listed: 1})
			}
			return l
		}
		if err := d.step([]rules.Event{rules.Start{Settings: c.Settings.Settings}, listOf(rules.Ready, rules.Ready), rules.Joined{Proxy: 1, Fresh: true}}); err != nil {
			t.Fatal(err)
		}
		d.intake.Join(1, 0)
		var stopped atomic.Bool
		defer func() { stopped.Store(true); d.queue.Close(); synctest.Wait() }()
		go func() {
			for !stopped.Load() {
				b := intake.NewBatch()
				b.Proxy, b.Window, b.Records = 1, time.Second, append(b.Records, intake.Record{Replica: 0, Attempts: 1})
				d.queue.Post(eventqueue.Input{Connection: 1, Batch: b, ReceivedAt: time.Now()})
			}
		}()
		synctest.Wait()
		d.queue.Post(eventqueue.Input{Event: listOf(rules.Ready, rules.Draining)})
		timer := time.NewTimer(time.Hour)
		for _, o := range d.governor.Step(d.now(), d.nextEvents(t.Context(), timer)) {
			if w, ok := o.(rules.EndpointWeight); ok && w.Replica == 1 && w.Weight == 0 {
				return
			}
		}
		t.Error("the drain was delayed by reports")
	})
}

// stubEndpoints is a stub of both sides of the queue.
type stubEndpoints struct{ eventqueue.Discovery }

func (stubEndpoints) Accept(eventqueue.Input) bool { return true }
func (stubEndpoints) Execute([]rules.Order)        {}
func (stubEndpoints) Forget(rules.ReplicaID)       {}

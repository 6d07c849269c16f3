package daemon

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/collectd"
	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/internal/testbeds/standin"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/rules"

	"context"

	"github.com/rs/zerolog"
)

// TestFrontsOffByDefault runs a governor without an operator file, and with one that has the defaults: there is no intake,
// nothing is sent and no further address is opened.
func TestFrontsOffByDefault(t *testing.T) {
	for _, path := range []string{"", "../../../deploy/operator.toml"} {
		c := conf()
		var err error
		if c.Operator, err = config.ReadOperator(path); err != nil {
			t.Fatal(err)
		}
		d := New(c, zerolog.Nop())
		ctx, stop := context.WithCancel(t.Context())
		listened := 0
		stop()
		err = d.Run(ctx, func() (net.Listener, error) { listened++; return testkit.Listen(), nil }, nil, nil)
		if machines, _ := d.listenCollectd(t.Context()); err != nil || listened != 1 || d.intake != nil || d.graphite != nil || machines != nil {
			t.Errorf("%q: %v, %d listeners, intake %v, graphite %v, machines %v", path, err, listened, d.intake, d.graphite, machines)
		}
	}
}

// TestFronts runs a governor with collectd and Graphite: a load report is taken in, and a point sent to Graphite shows it.
func TestFronts(t *testing.T) {
	g, err := standin.ListenGraphite("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	free, err := collectd.Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.LocalAddr().String()
	testkit.Close(t, free)
	c := conf()
	if c.Operator, err = config.ReadOperator(""); err != nil {
		t.Fatal(err)
	}
	c.Operator.Graphite.Address, c.Operator.Graphite.Interval = g.Address(), 50*time.Millisecond
	c.Operator.Collectd.Listen, c.Operator.Collectd.AllowedSources = address, []netip.Prefix{netip.MustParsePrefix("127.0.0.1/32")}
	c.Operator.Collectd.Mappings = []collectd.Mapping{{Metric: intake.Utilization, Plugin: "cpu", Type: "percent", Scale: 0.01}}
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Second)
	defer stop()
	d := New(c, zerolog.Nop())
	done := make(chan error)
	go func() { done <- d.Run(ctx, func() (net.Listener, error) { return testkit.Listen(), nil }, nil, nil) }()
	var dialer net.Dialer
	peer, err := dialer.DialContext(t.Context(), "udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer testkit.Close(t, peer)
	heard := false
	for ctx.Err() == nil && !heard {
		_, _ = peer.Write(standin.CollectdPacket{}.AppendString(0, "r1").AppendTime(time.Now()).AppendString(2, "cpu").AppendString(4, "percent").AppendGauges(40)) // refused until it listens
		time.Sleep(20 * time.Millisecond)                                                                                                                           // between packets of a machine
		for _, l := range g.Lines() {
			heard = heard || strings.HasPrefix(l, "zincloft.n0.intake.kept ") && !strings.HasPrefix(l, "zincloft.n0.intake.kept 0 ")
		}
	}
	if !heard {
		t.Error("no point shows the load report: ", g.Lines())
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// BenchmarkSteps measures the time from an event to its orders, of a governor of 200 proxies and 1,000 replicas, one of whose
// proxies reconnects each time: alone, with a Graphite that reads, and with one that has stopped reading. Snapshots are taken
// each second, ten times as often as usual.
func BenchmarkSteps(b *testing.B) {
	for name, manner := range map[string]standin.ConnectionBehaviour{"alone": -1, "graphite reads": standin.ReadsLines, "graphite stalls": standin.StallsReading} {
		b.Run(name, func(b *testing.B) {
			c := conf()
			c.Settings.Proxies, c.Settings.EntryRate, c.Settings.EntryCapacity = 200, 1e12, 1e12
			c.Settings.MessageSpan, c.Settings.MessageLimit = time.Millisecond, 0
			c.Operator, _ = config.ReadOperator("") // nothing is read
			if manner >= 0 {
				g, err := standin.ListenGraphite("127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				defer g.Close()
				g.SetBehaviour(manner)
				c.Operator.Graphite.Address, c.Operator.Graphite.Interval = g.Address(), time.Second
			}
			d := New(c, zerolog.Nop())
			d.startedAt, d.queue = time.Now(), eventqueue.New(c.Bounds.QueueLength)
			d.queue.Connect(anySide{}, named{})
			ctx, stop := context.WithCancel(b.Context())
			d.startGraphite(ctx)
			defer func() { stop(); d.background.Wait() }()
			var list rules.List
			for r := range 1000 {
				list.Entries = append(list.Entries, rules.Entry{Replica: rules.ReplicaID(r), State: rules.Ready, Listed: 1})
			}
			first := []rules.Event{rules.Start{Settings: c.Settings.Settings}, list}
			for p := range 200 {
				first = append(first, rules.Joined{Proxy: rules.ProxyID(p), FlowRate: 10, Fresh: true})
			}
			if err := d.step(first); err != nil {
				b.Fatal(err)
			}
			took := hdrhistogram.New(1, 1e9, 3)
			views := 0
			for b.Loop() {
				p := rules.ProxyID(views % 200)
				facts := []rules.Event{rules.Left{Proxy: p}, rules.Joined{Proxy: p, FlowRate: 10, Fresh: true}}
				from := time.Now()
				if err := d.step(facts); err != nil {
					b.Fatal(err)
				}
				d.sendSnapshot()
				_ = took.RecordValue(time.Since(from).Nanoseconds()) // under a second
				views++
			}
			b.ReportMetric(float64(took.ValueAtQuantile(50)), "p50-ns")
			b.ReportMetric(float64(took.ValueAtQuantile(99)), "p99-ns")
			b.ReportMetric(float64(took.Max()), "most-ns")
		})
	}
}

// BenchmarkView measures what a snapshot costs the deciding goroutine.
func BenchmarkView(b *testing.B) {
	for _, replicas := range []int{60, 1000, 2000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			var g rules.Governor
			s := conf().Settings.Settings
			s.Proxies, s.EntryRate, s.EntryCapacity = 200, 60_000, 120_000
			var list rules.List
			for r := range replicas {
				list.Entries = append(list.Entries, rules.Entry{Replica: rules.ReplicaID(r), State: rules.Ready, Listed: 1})
			}
			events := []rules.Event{rules.Start{Settings: s}, list}
			for p := range 200 {
				events = append(events, rules.Joined{Proxy: rules.ProxyID(p), FlowRate: 10, Fresh: true})
			}
			g.Step(0, events)
			var v rules.View
			b.ReportAllocs()
			for b.Loop() {
				g.WriteView(1, &v)
			}
		})
	}
}

// named has a name for each replica.
type named struct{ eventqueue.Discovery }

func (named) ID([]byte) (rules.ReplicaID, bool)      { return 0, false }
func (named) Name(id rules.ReplicaID) (string, bool) { return fmt.Sprint("s-", uint32(id)), true }
func (named) Watch(bool)                             {}
func (named) Forget(rules.ReplicaID)                 {}

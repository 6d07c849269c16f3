package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/collectd"
	"zincloft.example/zincloft/internal/governor/config"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/internal/testbeds/standin"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/rules"
)

// TestIntegrationsOffByDefault checks that without an operator file, and with one that has the defaults, there is no intake,
// no Graphite export and no collectd socket.
func TestIntegrationsOffByDefault(t *testing.T) {
	for _, path := range []string{"", "../../../deploy/operator.toml"} {
		c := testConfig()
		var err error
		if c.Operator, err = config.ReadOperator(path); err != nil {
			t.Fatal(err)
		}
		d := New(c, zerolog.Nop())
		ctx, stop := context.WithCancel(t.Context())
		listened := 0
		stop()
		err = d.Run(ctx, func() (net.Listener, error) { listened++; return testkit.Listen(), nil }, nil, nil)
		if conn, _ := d.listenCollectd(t.Context()); err != nil || listened != 1 || d.intake != nil || d.graphite != nil || conn != nil {
			t.Errorf("%q: %v, %d listeners, intake %v, graphite %v, collectd %v", path, err, listened, d.intake, d.graphite, conn)
		}
	}
}

// TestIntegrations sends a load report by collectd and checks that a point sent to Graphite counts it.
func TestIntegrations(t *testing.T) {
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
	c := testConfig()
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
	counted := false
	for ctx.Err() == nil && !counted {
		_, _ = peer.Write(standin.CollectdPacket{}.AppendString(0, "r1").AppendTime(time.Now()).AppendString(2, "cpu").AppendString(4, "percent").AppendGauges(40)) // refused until the daemon listens
		time.Sleep(20 * time.Millisecond)                                                                                                                           // between packets of a machine
		for _, l := range g.Lines() {
			counted = counted || strings.HasPrefix(l, "zincloft.n0.intake.kept ") && !strings.HasPrefix(l, "zincloft.n0.intake.kept 0 ")
		}
	}
	if !counted {
		t.Error("no point counts the load report: ", g.Lines())
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// BenchmarkSteps measures the latency from an event to its orders with 200 proxies and 1,000 replicas, while a proxy
// reconnects each time: without Graphite, with a receiver that reads, and with one that stalls. Snapshots are taken each
// second, ten times as often as by default.
func BenchmarkSteps(b *testing.B) {
	for name, behaviour := range map[string]standin.ConnectionBehaviour{"alone": -1, "graphite reads": standin.ReadsLines, "graphite stalls": standin.StallsReading} {
		b.Run(name, func(b *testing.B) {
			c := testConfig()
			c.Settings.Proxies, c.Settings.EntryRate, c.Settings.EntryCapacity = 200, 1e12, 1e12
			c.Settings.MessageSpan, c.Settings.MessageLimit = time.Millisecond, 0
			c.Operator, _ = config.ReadOperator("") // the defaults cannot fail
			if behaviour >= 0 {
				g, err := standin.ListenGraphite("127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				defer g.Close()
				g.SetBehaviour(behaviour)
				c.Operator.Graphite.Address, c.Operator.Graphite.Interval = g.Address(), time.Second
			}
			d := New(c, zerolog.Nop())
			d.startedAt, d.queue = time.Now(), eventqueue.New(c.Bounds.QueueLength)
			d.queue.Connect(stubEndpoints{}, stubDiscovery{})
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
			latencies := hdrhistogram.New(1, 1e9, 3)
			steps := 0
			for b.Loop() {
				p := rules.ProxyID(steps % 200)
				events := []rules.Event{rules.Left{Proxy: p}, rules.Joined{Proxy: p, FlowRate: 10, Fresh: true}}
				start := time.Now()
				if err := d.step(events); err != nil {
					b.Fatal(err)
				}
				d.sendSnapshot()
				_ = latencies.RecordValue(time.Since(start).Nanoseconds()) // fails only above a second
				steps++
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-ns")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-ns")
			b.ReportMetric(float64(latencies.Max()), "most-ns")
		})
	}
}

// BenchmarkView measures the time that a snapshot takes in the event loop.
func BenchmarkView(b *testing.B) {
	for _, replicas := range []int{60, 1000, 2000} {
		b.Run(fmt.Sprint(replicas), func(b *testing.B) {
			var g rules.Governor
			s := testConfig().Settings.Settings
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

// stubDiscovery is a discovery client that knows a name for every replica.
type stubDiscovery struct{ eventqueue.Discovery }

func (stubDiscovery) ID([]byte) (rules.ReplicaID, bool) { return 0, false }
func (stubDiscovery) Name(id rules.ReplicaID) (string, bool) {
	return fmt.Sprint("s-", uint32(id)), true
}
func (stubDiscovery) Watch(bool)             {}
func (stubDiscovery) Forget(rules.ReplicaID) {}

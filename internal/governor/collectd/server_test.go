package collectd

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"collectd.org/api"
	"collectd.org/network"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/governor/counts"
	"zincloft.example/zincloft/internal/governor/eventqueue"
	"zincloft.example/zincloft/internal/testbeds/standin"
	"zincloft.example/zincloft/internal/testbeds/testkit"
	"zincloft.example/zincloft/rules"
)

// inbox knows the replica web-1 and keeps the loads that are posted.
type inbox struct{ loads []intake.MachineLoad }

func (*inbox) ID(name []byte) (rules.ReplicaID, bool) { return 1, string(name) == "web-1" }

func (*inbox) Name(id rules.ReplicaID) (string, bool) { return "web-1", id == 1 }

func (x *inbox) TryPost(e eventqueue.Input) bool { x.loads = append(x.loads, e.Loads...); return true }

func from(address string) net.Addr { return net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)) }

func options() Options {
	return Options{AllowedSources: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("::1/128")}, PacketsPerSecond: 50,
		ReplicaByHost: map[string]string{"w1.example": "web-1"}, Mappings: []Mapping{
			{Metric: intake.Utilization, Plugin: "cpu", Type: "percent", TypeInstance: "idle", Scale: -0.01, Offset: 1},
			{Metric: intake.InFlight, Plugin: "http", Type: "requests", Value: 1, Scale: 1}}}
}

// TestMapping checks which hosts and values map to a metric, that packets from other sources are skipped unparsed, and that a
// flood is limited to the packet rate.
func TestMapping(t *testing.T) {
	x, n := &inbox{}, &counts.Counter{}
	s := New(options(), x, n)
	now := time.Unix(1_700_000_000, 0)
	packet := func(host string) standin.CollectdPacket {
		return standin.CollectdPacket{}.AppendString(0, host).AppendNumber(1, 1_700_000_000).AppendString(2, "cpu").AppendString(4, "percent").AppendString(5, "idle").AppendGauges(40).
			AppendString(5, "user").AppendGauges(30).AppendString(2, "http").AppendString(4, "requests").AppendString(5, "").AppendGauges(9, 12).AppendGauges(9)
	}
	s.HandlePacket(from("127.0.0.1:1"), packet("web-1"), now)
	s.HandlePacket(from("[::ffff:127.0.0.1]:1"), packet("w1.example"), now)
	s.HandlePacket(from("127.0.0.1:1"), packet("elsewhere"), now)
	s.HandlePacket(from("10.0.0.1:1"), packet("web-1"), now)
	if len(x.loads) != 4 || x.loads[0].Replica != 1 || x.loads[0].Metric != intake.Utilization || x.loads[0].Value != 40 || x.loads[1].Value != 12 {
		t.Fatalf("%+v", x.loads)
	}
	for range 1000 {
		s.HandlePacket(from("127.0.0.1:1"), packet("web-1"), now)
	}
	if len(x.loads) > 2*(50+2) {
		t.Errorf("%d loads from a flood", len(x.loads))
	}
	for range 10 {
		s.HandlePacket(from("127.0.0.1:1"), []byte{0, 0, 0}, now.Add(time.Second))
	}
	var log strings.Builder
	n.Log(testkit.Logger(&log))
	testkit.CompareTrace(t, log.String())
}

// TestServe receives packets on a socket and checks that Serve frees the address when its context is canceled.
func TestServe(t *testing.T) {
	c, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	loads := make(chan intake.MachineLoad, 10)
	s := New(options(), loadChannel(loads), &counts.Counter{})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { s.Serve(ctx, c, testkit.Logger(&strings.Builder{})); close(done) }()
	var dialer net.Dialer
	peer, err := dialer.DialContext(t.Context(), "udp", c.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer testkit.Close(t, peer)
	for _, p := range []standin.CollectdPacket{{1}, standin.CollectdPacket{}.AppendString(0, "web-1").AppendNumber(1, 5).AppendString(2, "cpu").AppendString(4, "percent").AppendString(5, "idle").AppendGauges(40)} {
		if _, err := peer.Write(p); err != nil {
			t.Fatal(err)
		}
	}
	if l := <-loads; l.Value != 40 || l.MeasuredAt != 5*rules.Time(time.Second) {
		t.Errorf("%+v", l)
	}
	stop()
	<-done
	if _, err := Listen(t.Context(), c.LocalAddr().String()); err != nil {
		t.Error("the address is not free again: ", err)
	}
	if _, err := Listen(t.Context(), "nowhere"); err == nil || !strings.Contains(err.Error(), "collectd.listen") {
		t.Error(err)
	}
}

// loadChannel knows every host and receives the first load of each input.
type loadChannel chan intake.MachineLoad

func (loadChannel) ID([]byte) (rules.ReplicaID, bool) { return 1, true }

func (loadChannel) Name(rules.ReplicaID) (string, bool) { return "", false }

func (o loadChannel) TryPost(e eventqueue.Input) bool { o <- e.Loads[0]; return true }

// BenchmarkPacket measures a packet of 30 values, of which two are mapped, at each security level.
func BenchmarkPacket(b *testing.B) {
	for level, name := range []string{"plain", "signed", "encrypted"} {
		b.Run(name, func(b *testing.B) {
			o := options()
			o.PacketsPerSecond, o.PasswordOf = math.MaxInt32, password
			s := New(o, &discardInbox{}, &counts.Counter{})
			buf := network.NewBuffer(1452)
			switch SecurityLevel(level) {
			case SecuritySign:
				buf.Sign("web", "secret")
			case SecurityEncrypt:
				buf.Encrypt("web", "secret")
			}
			for i := range 30 {
				id := api.Identifier{Host: "web-1", Plugin: "cpu", Type: "percent", TypeInstance: fmt.Sprint(i)}
				if i%15 == 0 {
					id.TypeInstance = "idle"
				}
				if err := buf.Write(context.Background(), &api.ValueList{Identifier: id, Time: time.Unix(5, 0), Interval: time.Second, Values: []api.Value{api.Gauge(i)}}); err != nil {
					b.Fatal(err)
				}
			}
			packet, err := buf.Bytes()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			source, now := from("127.0.0.1:1"), time.Now()
			for b.Loop() {
				s.HandlePacket(source, packet, now)
			}
		})
	}
}

// discardInbox is an inbox that keeps no loads.
type discardInbox struct{ inbox }

func (*discardInbox) TryPost(eventqueue.Input) bool { return true }

// TestReplay checks that a signed packet that is replayed, at once or an hour later, counts only once.
func TestReplay(t *testing.T) {
	x := &inbox{}
	o := options()
	o.MinLevel, o.PasswordOf = SecuritySign, password
	o.Mappings = []Mapping{{Metric: intake.InFlight, Plugin: "cpu", PluginInstance: "0", Type: "percent", Scale: 1}}
	s := New(o, x, &counts.Counter{})
	in := intake.New(intake.Settings{Period: time.Second, Budget: 10, HalfLife: time.Second, MaxAge: 10 * time.Second, MaxPairs: 1})
	packet := protectedPacket(t, SecuritySign, "web", "secret")
	var got []intake.Cause
	for _, at := range []int64{1_700_000_001, 1_700_000_002, 1_700_003_600} {
		x.loads = nil
		s.HandlePacket(from("127.0.0.1:1"), packet, time.Unix(at, 0))
		for _, l := range x.loads {
			got = append(got, in.AddLoad(rules.Time(at)*rules.Time(time.Second), l))
		}
	}
	if want := []intake.Cause{intake.Kept, intake.Repeated, intake.TooOld}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

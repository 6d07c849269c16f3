package collectd

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"collectd.org/api"
	"collectd.org/network"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/counts"
	"zincloft.example/zincloft/internal/eventqueue"
	"zincloft.example/zincloft/internal/standin"
	"zincloft.example/zincloft/internal/testkit"
	"zincloft.example/zincloft/rules"
)

var users = map[string]string{"web": "secret"}

func password(user string) (string, bool) { p, ok := users[user]; return p, ok }

// show plays a packet and writes down what is read.
func show(level SecurityLevel, b []byte) string {
	var out strings.Builder
	p := Parser{MinLevel: level, PasswordOf: password}
	err := p.Parse(b, func(v *Values) {
		fmt.Fprintf(&out, "  %s %s-%s/%s-%s at %d.%09d every %v:", v.Host, v.Plugin, v.PluginInstance, v.Type, v.TypeInstance,
			v.Time.Unix(), v.Time.Nanosecond(), v.Interval)
		for i, k := range v.Kinds {
			if k == intake.Gauge {
				fmt.Fprintf(&out, " %v", v.Gauge(i))
			} else {
				fmt.Fprintf(&out, " %d of kind %d", v.Raw[i], k)
			}
		}
		out.WriteString("\n")
	})
	if err != nil {
		fmt.Fprintf(&out, "  error: %v\n", err)
	}
	return out.String()
}

func whole() standin.CollectdPacket {
	return standin.CollectdPacket{}.AppendString(0, "web-1").AppendNumber(1, 1_700_000_000).AppendNumber(7, 10).AppendString(2, "cpu").AppendString(3, "0").AppendString(4, "percent").AppendString(5, "idle").
		AppendGauges(40.5).AppendPart(0x0999, []byte("of another day")).AppendString(5, "user").AppendGauges(2, math.NaN()).
		AppendTime(time.Unix(1_700_000_001, 500_000_000)).AppendNumber(9, 3<<29).AppendString(3, "").AppendCounters(0, 7, math.MaxUint64).AppendCounters(2, 8).AppendCounters(3, 9)
}

// TestPacket has all parts of the protocol in one packet, and parts that nobody knows.
func TestPacket(t *testing.T) {
	var trace strings.Builder
	add := func(what string, level SecurityLevel, p standin.CollectdPacket) {
		fmt.Fprintf(&trace, "# %s\n%s", what, show(level, p))
	}
	add("whole", SecurityNone, whole())
	add("unsigned, where signatures are required", SecuritySign, whole())
	add("a value of kind 4", SecurityNone, whole().AppendCounters(4, 1).AppendGauges(1))
	add("more values than there are", SecurityNone, whole().AppendPart(6, []byte{0, 9, 1, 1}))
	add("a length of less than its head", SecurityNone, append(whole(), 0, 0, 0, 3, 0, 0))
	add("a length beyond the packet", SecurityNone, append(whole(), 0, 0, 1, 0, 65))
	add("a text without its end", SecurityNone, whole().AppendPart(0, []byte("host")))
	add("a text that is too long", SecurityNone, whole().AppendString(0, strings.Repeat("x", 200)))
	add("a time that can't be", SecurityNone, whole().AppendNumber(1, math.MaxUint64))
	add("a signature cut short", SecurityNone, standin.CollectdPacket{}.AppendPart(0x0200, make([]byte, 10)))
	add("something encrypted, cut short", SecurityNone, standin.CollectdPacket{}.AppendPart(0x0210, []byte{0, 200, 1, 2}))
	testkit.CompareTrace(t, trace.String())
}

// protected makes a packet by another implementation of the protocol than ours.
func protected(t testing.TB, level SecurityLevel, user, pass string) []byte {
	b := network.NewBuffer(1452)
	switch level {
	case SecuritySign:
		b.Sign(user, pass)
	case SecurityEncrypt:
		b.Encrypt(user, pass)
	}
	for i := range 3 {
		err := b.Write(context.Background(), &api.ValueList{Identifier: api.Identifier{Host: "web-1", Plugin: "cpu", PluginInstance: fmt.Sprint(i), Type: "percent"},
			Time: time.Unix(1_700_000_000, 0), Interval: 10 * time.Second, Values: []api.Value{api.Gauge(1.5), api.Derive(-4), api.Counter(9)}})
		if err != nil {
			t.Fatal(err)
		}
	}
	out, err := b.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestProtection has packets of another implementation, plain, signed and encrypted, at each level that may be
// required; with a wrong password, of a user that is not known, and with any one bit of them changed.
func TestProtection(t *testing.T) {
	count := func(level SecurityLevel, b []byte) (n int, err error) {
		p := Parser{MinLevel: level, PasswordOf: password}
		err = p.Parse(b, func(*Values) { n++ })
		return n, err
	}
	for have := SecurityNone; have <= SecurityEncrypt; have++ {
		good := protected(t, have, "web", "secret")
		for want := SecurityNone; want <= SecurityEncrypt; want++ {
			n, err := count(want, good)
			if passes := have >= want; passes != (n == 3 && err == nil) || !passes && (n != 0 || !errors.Is(err, ErrUnprotected)) {
				t.Errorf("level %d where %d is required: %d sets of values, %v", have, want, n, err)
			}
		}
		if have == SecurityNone {
			continue
		}
		wrong := map[SecurityLevel]error{SecuritySign: ErrSignature, SecurityEncrypt: ErrDecryption}[have]
		if n, err := count(SecurityNone, protected(t, have, "web", "guessed")); n != 0 || !errors.Is(err, wrong) {
			t.Errorf("level %d with a wrong password: %d, %v", have, n, err)
		}
		if n, err := count(SecurityNone, protected(t, have, "mallory", "secret")); n != 0 || !errors.Is(err, ErrUnknownUser) {
			t.Errorf("level %d of an unknown user: %d, %v", have, n, err)
		}
		for bit := range len(good) * 8 {
			bad := append([]byte{}, good...)
			bad[bit/8] ^= 1 << (bit % 8)
			if n, _ := count(have, bad); n != 0 {
				t.Fatalf("level %d with bit %d changed: %d sets of values are taken", have, bit, n)
			}
		}
	}
	if n, err := (func() (n int, err error) {
		p := Parser{MinLevel: SecuritySign}
		err = p.Parse(protected(t, SecuritySign, "web", "secret"), func(*Values) { n++ })
		return n, err
	})(); n != 0 || err == nil {
		t.Error("where no users are known a signature counts for something: ", n, err)
	}
}

// TestCutAnywhere cuts packets at each byte: what is read is a beginning of what the whole one says.
func TestCutAnywhere(t *testing.T) {
	for _, b := range [][]byte{whole(), protected(t, SecurityNone, "", "")} {
		all := strings.Split(show(SecurityNone, b), "\n")
		for n := range b {
			got := strings.Split(show(SecurityNone, b[:n]), "\n")
			for i, line := range got {
				if !strings.Contains(line, "error") && line != "" && line != all[i] {
					t.Fatalf("cut at %d: %q where the whole has %q", n, line, all[i])
				}
			}
		}
	}
}

// FuzzParse checks that a packet is never read past its end, that values are as many as there can be, and that what
// stays unprotected is never taken where protection is required.
func FuzzParse(f *testing.F) {
	f.Add([]byte(whole()))
	for level := SecurityNone; level <= SecurityEncrypt; level++ {
		f.Add(protected(f, level, "web", "secret"))
	}
	chance := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		f.Add([]byte(whole().Corrupt(chance)))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for level := SecurityNone; level <= SecurityEncrypt; level++ {
			p := Parser{MinLevel: level, PasswordOf: password}
			values := 0
			_ = p.Parse(b, func(v *Values) {
				values += len(v.Raw)
				if len(v.Raw) != len(v.Kinds) || v.Time.Unix() < 0 && !v.Time.IsZero() || v.Interval < 0 || len(v.Host) > maxStringBytes {
					t.Errorf("%+v", v)
				}
			})
			if values*valueBytes > len(b) {
				t.Errorf("%d values of %d bytes", values, len(b))
			}
		}
	})
}

// inbox lists web-1 and keeps what is offered.
type inbox struct{ loads []intake.MachineLoad }

func (*inbox) ID(name []byte) (rules.ReplicaID, bool) { return 1, string(name) == "web-1" }
func (*inbox) Name(id rules.ReplicaID) (string, bool) { return "web-1", id == 1 }
func (x *inbox) TryPost(e eventqueue.Event) bool      { x.loads = append(x.loads, e.Loads...); return true }
func from(address string) net.Addr                    { return net.UDPAddrFromAddrPort(netip.MustParseAddrPort(address)) }
func options() Options {
	return Options{AllowedSources: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8"), netip.MustParsePrefix("::1/128")}, PacketsPerSecond: 50,
		ReplicaByHost: map[string]string{"w1.example": "web-1"}, Mappings: []Mapping{
			{Figure: intake.Utilization, Plugin: "cpu", Type: "percent", TypeInstance: "idle", Scale: -0.01, Offset: 1},
			{Figure: intake.InFlight, Plugin: "http", Type: "requests", Value: 1, Scale: 1}}}
}

// TestMapping has hosts and values that stand for a figure, and others that don't; sources that may speak, and others,
// whose packets are not even parsed; and a flood, of which no more is parsed than the pace allows.
func TestMapping(t *testing.T) {
	x, n := &inbox{}, &counts.Counter{}
	s := New(options(), x, n)
	now := time.Unix(1_700_000_000, 0)
	one := func(host string) standin.CollectdPacket {
		return standin.CollectdPacket{}.AppendString(0, host).AppendNumber(1, 1_700_000_000).AppendString(2, "cpu").AppendString(4, "percent").AppendString(5, "idle").AppendGauges(40).
			AppendString(5, "user").AppendGauges(30).AppendString(2, "http").AppendString(4, "requests").AppendString(5, "").AppendGauges(9, 12).AppendGauges(9)
	}
	s.HandlePacket(from("127.0.0.1:1"), one("web-1"), now)
	s.HandlePacket(from("[::ffff:127.0.0.1]:1"), one("w1.example"), now)
	s.HandlePacket(from("127.0.0.1:1"), one("elsewhere"), now)
	s.HandlePacket(from("10.0.0.1:1"), one("web-1"), now)
	if len(x.loads) != 4 || x.loads[0].Replica != 1 || x.loads[0].Metric != intake.Utilization || x.loads[0].Value != 40 || x.loads[1].Value != 12 {
		t.Fatalf("%+v", x.loads)
	}
	for range 1000 {
		s.HandlePacket(from("127.0.0.1:1"), one("web-1"), now)
	}
	if len(x.loads) > 2*(50+2) {
		t.Errorf("%d figures of a flood", len(x.loads))
	}
	for range 10 {
		s.HandlePacket(from("127.0.0.1:1"), []byte{0, 0, 0}, now.Add(time.Second))
	}
	var log strings.Builder
	n.Log(testkit.Logger(&log))
	testkit.CompareTrace(t, log.String())
}

// TestServe hears packets on a socket and ends with its context.
func TestServe(t *testing.T) {
	c, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	heard := make(chan intake.MachineLoad, 10)
	s := New(options(), offered(heard), &counts.Counter{})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { s.Serve(ctx, c, testkit.Logger(&strings.Builder{})); close(done) }()
	peer, err := net.Dial("udp", c.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	for _, p := range []standin.CollectdPacket{{1}, standin.CollectdPacket{}.AppendString(0, "web-1").AppendNumber(1, 5).AppendString(2, "cpu").AppendString(4, "percent").AppendString(5, "idle").AppendGauges(40)} {
		if _, err := peer.Write(p); err != nil {
			t.Fatal(err)
		}
	}
	if l := <-heard; l.Value != 40 || l.MeasuredAt != 5*rules.Time(time.Second) {
		t.Errorf("%+v", l)
	}
	stop()
	<-done
	if _, err := Listen(c.LocalAddr().String()); err != nil {
		t.Error("the address is not free again: ", err)
	}
	if _, err := Listen("nowhere"); err == nil || !strings.Contains(err.Error(), "collectd.listen") {
		t.Error(err)
	}
}

type offered chan intake.MachineLoad

func (offered) ID([]byte) (rules.ReplicaID, bool)   { return 1, true }
func (offered) Name(rules.ReplicaID) (string, bool) { return "", false }
func (o offered) TryPost(e eventqueue.Event) bool   { o <- e.Loads[0]; return true }

// BenchmarkPacket is what a packet of 30 values costs, of which two stand for figures, plain, signed and encrypted.
func BenchmarkPacket(b *testing.B) {
	for level, name := range []string{"plain", "signed", "encrypted"} {
		b.Run(name, func(b *testing.B) {
			o := options()
			o.PacketsPerSecond, o.PasswordOf = math.MaxInt32, password
			s := New(o, &drain{}, &counts.Counter{})
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

type drain struct{ inbox }

func (*drain) TryPost(eventqueue.Event) bool { return true }

// TestReplay has a signed packet come twice, and again an hour later: its figures count once.
func TestReplay(t *testing.T) {
	x := &inbox{}
	o := options()
	o.MinLevel, o.PasswordOf = SecuritySign, password
	o.Mappings = []Mapping{{Figure: intake.InFlight, Plugin: "cpu", PluginInstance: "0", Type: "percent", Scale: 1}}
	s := New(o, x, &counts.Counter{})
	in := intake.New(intake.Settings{Period: time.Second, Budget: 10, HalfLife: time.Second, MaxAge: 10 * time.Second, MaxPairs: 1})
	packet := protected(t, SecuritySign, "web", "secret")
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

package collectd

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"collectd.org/api"
	"collectd.org/network"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/testbeds/standin"
	"zincloft.example/zincloft/internal/testbeds/testkit"
)

// users holds the users and their passwords.
var users = map[string]string{"web": "secret"}

func password(user string) (string, bool) { p, ok := users[user]; return p, ok }

// formatPacket parses a packet and returns its values, and the error if there is one, as text.
func formatPacket(level SecurityLevel, b []byte) string {
	var out strings.Builder
	p := Parser{MinLevel: level, PasswordOf: password}
	err := p.Parse(b, func(v *ValueList) {
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

// fullPacket has each type of part, and one of an unknown type.
func fullPacket() standin.CollectdPacket {
	return standin.CollectdPacket{}.AppendString(0, "web-1").AppendNumber(1, 1_700_000_000).AppendNumber(7, 10).AppendString(2, "cpu").AppendString(3, "0").AppendString(4, "percent").AppendString(5, "idle").
		AppendGauges(40.5).AppendPart(0x0999, []byte("of another day")).AppendString(5, "user").AppendGauges(2, math.NaN()).
		AppendTime(time.Unix(1_700_000_001, 500_000_000)).AppendNumber(9, 3<<29).AppendString(3, "").AppendCounters(0, 7, math.MaxUint64).AppendCounters(2, 8).AppendCounters(3, 9)
}

// TestPacket compares the values parsed from valid and invalid packets with the trace in testdata.
func TestPacket(t *testing.T) {
	var trace strings.Builder
	add := func(what string, level SecurityLevel, p standin.CollectdPacket) {
		fmt.Fprintf(&trace, "# %s\n%s", what, formatPacket(level, p))
	}
	add("whole", SecurityNone, fullPacket())
	add("unsigned, where signatures are required", SecuritySign, fullPacket())
	add("a value of kind 4", SecurityNone, fullPacket().AppendCounters(4, 1).AppendGauges(1))
	add("more values than there are", SecurityNone, fullPacket().AppendPart(6, []byte{0, 9, 1, 1}))
	add("a length of less than its head", SecurityNone, append(fullPacket(), 0, 0, 0, 3, 0, 0))
	add("a length beyond the packet", SecurityNone, append(fullPacket(), 0, 0, 1, 0, 65))
	add("a text without its end", SecurityNone, fullPacket().AppendPart(0, []byte("host")))
	add("a text that is too long", SecurityNone, fullPacket().AppendString(0, strings.Repeat("x", 200)))
	add("a time that can't be", SecurityNone, fullPacket().AppendNumber(1, math.MaxUint64))
	add("a signature cut short", SecurityNone, standin.CollectdPacket{}.AppendPart(0x0200, make([]byte, 10)))
	add("something encrypted, cut short", SecurityNone, standin.CollectdPacket{}.AppendPart(0x0210, []byte{0, 200, 1, 2}))
	testkit.CompareTrace(t, trace.String())
}

// protectedPacket returns a packet encoded by the independent implementation collectd.org/network.
func protectedPacket(t testing.TB, level SecurityLevel, user, pass string) []byte {
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

// TestProtection parses plain, signed and encrypted packets of another implementation at each required level, with a wrong
// password, from an unknown user, and with each single bit flipped.
func TestProtection(t *testing.T) {
	count := func(level SecurityLevel, b []byte) (n int, err error) {
		p := Parser{MinLevel: level, PasswordOf: password}
		err = p.Parse(b, func(*ValueList) { n++ })
		return n, err
	}
	for have := SecurityNone; have <= SecurityEncrypt; have++ {
		good := protectedPacket(t, have, "web", "secret")
		for want := SecurityNone; want <= SecurityEncrypt; want++ {
			n, err := count(want, good)
			if accepted := have >= want; accepted != (n == 3 && err == nil) || !accepted && (n != 0 || !errors.Is(err, ErrUnprotected)) {
				t.Errorf("level %d where %d is required: %d value lists, %v", have, want, n, err)
			}
		}
		if have == SecurityNone {
			continue
		}
		wrong := map[SecurityLevel]error{SecuritySign: ErrSignature, SecurityEncrypt: ErrDecryption}[have]
		if n, err := count(SecurityNone, protectedPacket(t, have, "web", "guessed")); n != 0 || !errors.Is(err, wrong) {
			t.Errorf("level %d with a wrong password: %d, %v", have, n, err)
		}
		if n, err := count(SecurityNone, protectedPacket(t, have, "mallory", "secret")); n != 0 || !errors.Is(err, ErrUnknownUser) {
			t.Errorf("level %d of an unknown user: %d, %v", have, n, err)
		}
		for bit := range len(good) * 8 {
			bad := append([]byte{}, good...)
			bad[bit/8] ^= 1 << (bit % 8)
			if n, _ := count(have, bad); n != 0 {
				t.Fatalf("level %d with bit %d flipped: %d value lists were accepted", have, bit, n)
			}
		}
	}
	if n, err := (func() (n int, err error) {
		p := Parser{MinLevel: SecuritySign}
		err = p.Parse(protectedPacket(t, SecuritySign, "web", "secret"), func(*ValueList) { n++ })
		return n, err
	})(); n != 0 || err == nil {
		t.Error("a signature was accepted without any users: ", n, err)
	}
}

// TestTruncatedPackets truncates packets at each byte: the values parsed must be a prefix of those in the full packet.
func TestTruncatedPackets(t *testing.T) {
	for _, b := range [][]byte{fullPacket(), protectedPacket(t, SecurityNone, "", "")} {
		all := strings.Split(formatPacket(SecurityNone, b), "\n")
		for n := range b {
			got := strings.Split(formatPacket(SecurityNone, b[:n]), "\n")
			for i, line := range got {
				if !strings.Contains(line, "error") && line != "" && line != all[i] {
					t.Fatalf("truncated at %d: %q where the full packet has %q", n, line, all[i])
				}
			}
		}
	}
}

// FuzzParse checks that parsing never panics and returns no more values than the packet can hold, all in range.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fullPacket()))
	for level := SecurityNone; level <= SecurityEncrypt; level++ {
		f.Add(protectedPacket(f, level, "web", "secret"))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		f.Add([]byte(fullPacket().Corrupt(rng)))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for level := SecurityNone; level <= SecurityEncrypt; level++ {
			p := Parser{MinLevel: level, PasswordOf: password}
			values := 0
			_ = p.Parse(b, func(v *ValueList) {
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

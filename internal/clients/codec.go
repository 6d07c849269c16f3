package clients

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"zincloft.example/zincloft/internal/config"
	"zincloft.example/zincloft/internal/exchange"
	"zincloft.example/zincloft/internal/resp"
	"zincloft.example/zincloft/rules"
)

// Words of the protocol stand in this file only.

// What a message may say besides an event of package rules.
type (
	beat   struct{}                    // asks for a sign of life
	naming struct{ zone rules.ZoneID } // makes its connection a collector
	// spoilt is framed well and of no use.
	spoilt struct {
		cause  string // one of few: the peer's words are not part of it
		answer bool   // to a mark
	}
)

var (
	beatAnswer = resp.Append(nil, "hb_ok")
	misplaced  = spoilt{cause: "out of place"}
)

// codec knows the site's names.
type codec struct {
	zones, groups []string
	proxies       int
	longest       time.Duration // that a message may speak of
	replica       func(string) (rules.ReplicaID, bool)
	name          func(rules.ReplicaID) (string, bool)
}

func newCodec(s config.Settings, b config.Bounds, n exchange.Names) codec {
	c := codec{zones: s.Zones, proxies: s.Proxies, longest: b.Span, replica: n.ID, name: n.Name}
	for _, tg := range s.Groups {
		c.groups = append(c.groups, tg.Name)
	}
	return c
}

// fields are the names and values of a message. The first that is of no use is remembered.
type fields struct {
	values  map[string]string
	longest time.Duration
	bad     string
}

func (f *fields) fail(name string) { f.bad = cmp.Or(f.bad, name) }

func (f *fields) needs(names ...string) {
	for _, name := range names {
		if _, ok := f.values[name]; !ok {
			f.fail(name)
		}
	}
}

// whole reads a whole number from 0 to most; 0 if it is left out.
func (f *fields) whole(name string, most int) int {
	text, ok := f.values[name]
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > most {
		f.fail(name)
	}
	return n
}

// figure reads a figure from 0; 0 if it is left out.
func (f *fields) figure(name string) float64 {
	text, ok := f.values[name]
	if !ok {
		return 0
	}
	v, ok := figure(text)
	if !ok {
		f.fail(name)
	}
	return v
}

func figure(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil && v >= 0 && v <= math.MaxInt32
}

// span reads milliseconds. A time that nothing here can have taken is spoilt: taken for good, it would be learnt from
// for the rest of the day.
func (f *fields) span(name string) time.Duration {
	v := f.figure(name) * float64(time.Millisecond)
	if v > float64(f.longest) {
		f.fail(name)
		return 0
	}
	return time.Duration(math.Round(v))
}

func (f *fields) place(name string, in []string) int {
	i := slices.Index(in, f.values[name])
	if i < 0 {
		f.fail(name)
	}
	return i
}

// decode makes a typed value of a message; spoilt, if any field of it is missing or impossible, or names what is not
// known.
func (c *codec) decode(words []string) any {
	if len(words)%2 == 0 {
		return spoilt{cause: "words without a pair"}
	}
	f := fields{values: map[string]string{}, longest: c.longest}
	for i := 1; i < len(words); i += 2 {
		f.values[words[i]] = words[i+1]
	}
	var out any
	switch words[0] {
	case "hb":
		out = beat{}
	case "telemetry":
		out = naming{rules.ZoneID(f.place("az", c.zones))}
	case "attach":
		f.needs("sidecar")
		fresh := f.whole("standing", 1) == 1
		out = rules.Joined{Proxy: c.proxy(&f), Zone: rules.ZoneID(f.place("az", c.zones)),
			Rate: f.figure("share"), Fresh: fresh, Unsure: !fresh}
	case "done":
		f.needs("sidecar", "version", "lag_ms")
		out = rules.Applied{Proxy: c.proxy(&f), Version: uint16(f.whole("version", math.MaxUint16)), Took: f.span("lag_ms")}
	case "upstream_stats":
		f.needs("host", "n", "bad", "window")
		zone := f.place("az", c.zones)
		replica, known := c.replica(f.values["host"])
		if !known {
			f.fail("host")
		}
		s := rules.Sums{Replica: replica, Zone: rules.ZoneID(zone), Over: f.over("window"), Report: f.report("report"),
			Took: f.span("avg")}
		s.Tries, s.Dropped = f.whole("n", math.MaxInt32), f.whole("bad", math.MaxInt32)
		if s.Dropped > s.Tries {
			f.fail("bad")
		} else if s.Dropped < s.Tries {
			f.needs("avg")
		}
		out = s
	case "client_stats":
		f.needs("sidecar", "n", "bad", "window")
		out = rules.Intake{Proxy: c.proxy(&f), Group: rules.GroupID(f.place("kind", c.groups)), Over: f.over("window"),
			Flows: f.whole("n", math.MaxInt32), Dropped: f.whole("bad", math.MaxInt32)} // which may have come before
	default:
		return spoilt{cause: "unknown kind"}
	}
	if f.bad != "" {
		return spoilt{cause: words[0] + " " + f.bad, answer: words[0] == "done"}
	}
	return out
}

// over reads the time that something was counted over.
func (f *fields) over(name string) time.Duration {
	d := f.span(name)
	if d <= 0 {
		f.fail(name)
	}
	return d
}

func (c *codec) proxy(f *fields) rules.ProxyID {
	return rules.ProxyID(f.whole("sidecar", c.proxies-1))
}

// report reads a load report. Figures that are not known are passed over.
func (f *fields) report(name string) rules.Report {
	r := rules.Report{Util: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
	for pair := range strings.SplitSeq(f.values[name], ",") {
		key, text, paired := strings.Cut(pair, ":")
		if pair == "" {
			continue
		}
		v, ok := figure(text)
		if !paired || !ok {
			f.fail(name)
		}
		config.SetLoad(&r, key, v)
	}
	return r
}

// part is one part of a message to a proxy. What is empty is left out.
type part struct {
	groups   rules.GroupSet // 0: all
	full     bool
	lines    []line
	level    *rules.Admit
	out, in  []rules.ReplicaID
	mark     *rules.Mark
	followed bool // by another part of the message
}

type line struct {
	replica rules.ReplicaID
	weight  float64
}

// count is what the part comes to in lines of the channel.
func (p *part) count() int {
	n := len(p.lines) + len(p.out) + len(p.in)
	for _, one := range []bool{p.full, p.level != nil, p.mark != nil} {
		if one {
			n++
		}
	}
	return n
}

func (c *codec) encode(b []byte, p *part) []byte {
	words := []string{"assign"}
	add := func(name, value string) { words = append(words, name, value) }
	if p.groups != 0 && p.groups != 1<<len(c.groups)-1 {
		var named []string
		for i, g := range c.groups {
			if p.groups&(1<<i) != 0 {
				named = append(named, g)
			}
		}
		add("routes", strings.Join(named, "+"))
	}
	if p.full {
		add("full", "1")
	}
	if len(p.lines) > 0 {
		var text []byte
		for i, l := range p.lines {
			if i > 0 {
				text = append(text, ',')
			}
			name, _ := c.name(l.replica)
			text = append(append(text, name...), ':')
			text = strconv.AppendFloat(text, l.weight, 'f', -1, 32)
		}
		add("endpoints", string(text))
	}
	if p.level != nil {
		add("admit", strconv.FormatFloat(p.level.Level, 'f', -1, 32))
		add("policy", strconv.Itoa(int(p.level.Retry)))
	}
	if len(p.out) > 0 {
		add("eject", c.join(p.out))
	}
	if len(p.in) > 0 {
		add("restore", c.join(p.in))
	}
	if p.mark != nil {
		add("nonce_out", strconv.Itoa(int(p.mark.Version)))
	}
	if p.followed {
		add("continued", "1")
	}
	return resp.Append(b, words...)
}

func (c *codec) join(ids []rules.ReplicaID) string {
	var named []string
	for _, id := range ids {
		name, _ := c.name(id)
		named = append(named, name)
	}
	return strings.Join(named, ",")
}

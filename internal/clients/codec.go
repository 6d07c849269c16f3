package clients

import (
	"bytes"
	"cmp"
	"math"
	"strconv"
	"strings"
	"time"

	"zincloft.example/zincloft/intake"
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
	noRoom     = spoilt{cause: "no room for reports"}
)

// codec knows the site's names.
type codec struct {
	zones, groups []string
	proxies       int
	longest       time.Duration // that a message may speak of
	batches       bool          // of single proxies' reports are taken
	shuns         bool          // governors of this fleet order proxies to shut replicas out, so one that comes may do
	replica       func([]byte) (rules.ReplicaID, bool)
	name          func(rules.ReplicaID) (string, bool)
}

func newCodec(conf config.Config, n exchange.Names) codec {
	s := conf.Settings
	c := codec{zones: s.Zones, proxies: s.Proxies, longest: conf.Bounds.Span, replica: n.ID, name: n.Name, batches: conf.Operator.Intake.Taken(),
		shuns: conf.Operator.Intake.Reports == config.ReportsPairs}
	for _, tg := range s.Groups {
		c.groups = append(c.groups, tg.Name)
	}
	return c
}

// fields are the names and values of a message. The first that is of no use is remembered.
type fields struct {
	pairs   [][]byte // name, value, name, value
	longest time.Duration
	bad     string
}

func (f *fields) fail(name string) { f.bad = cmp.Or(f.bad, name) }

// value is that of a name; of one that is given twice, the later.
func (f *fields) value(name string) (v []byte, given bool) {
	for i := 0; i+1 < len(f.pairs); i += 2 {
		if string(f.pairs[i]) == name {
			v, given = f.pairs[i+1], true
		}
	}
	return v, given
}

func (f *fields) needs(names ...string) {
	for _, name := range names {
		if _, ok := f.value(name); !ok {
			f.fail(name)
		}
	}
}

// whole reads a whole number from 0 to most; 0 if it is left out.
func (f *fields) whole(name string, most int) int {
	text, ok := f.value(name)
	if !ok {
		return 0
	}
	n, ok := whole(text, most)
	if !ok {
		f.fail(name)
	}
	return n
}

func whole(text []byte, most int) (int, bool) {
	n, err := strconv.Atoi(string(text))
	return n, err == nil && n >= 0 && n <= most
}

// figure reads a figure from 0; 0 if it is left out.
func (f *fields) figure(name string) float64 {
	text, ok := f.value(name)
	if !ok {
		return 0
	}
	v, ok := figure(text)
	if !ok {
		f.fail(name)
	}
	return v
}

func figure(text []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil && v >= 0 && v <= math.MaxInt32
}

// span reads milliseconds. A time that nothing here can have taken is spoilt: taken for good, it would be learnt from
// for the rest of the day.
func (f *fields) span(name string) time.Duration {
	d, ok := f.millis(f.figure(name))
	if !ok {
		f.fail(name)
	}
	return d
}

func (f *fields) millis(ms float64) (time.Duration, bool) {
	v := ms * float64(time.Millisecond)
	if v > float64(f.longest) {
		return 0, false
	}
	return time.Duration(math.Round(v)), true
}

func (f *fields) place(name string, in []string) int {
	text, _ := f.value(name)
	for i, known := range in {
		if string(text) == known {
			return i
		}
	}
	f.fail(name)
	return -1
}

// decode makes a typed value of a message; spoilt, if any field of it is missing or impossible, or names what is not
// known.
func (c *codec) decode(words [][]byte) any {
	if len(words)%2 == 0 {
		return spoilt{cause: "words without a pair"}
	}
	f := fields{pairs: words[1:], longest: c.longest}
	var out any
	switch string(words[0]) {
	case "hb":
		out = beat{}
	case "telemetry":
		out = naming{rules.ZoneID(f.place("az", c.zones))}
	case "attach":
		f.needs("sidecar")
		fresh := f.whole("standing", 1) == 1
		out = rules.Joined{Proxy: c.proxy(&f), Zone: rules.ZoneID(f.place("az", c.zones)),
			Rate: f.figure("share"), Fresh: fresh, Unsure: !fresh && c.shuns}
	case "done":
		f.needs("sidecar", "version", "lag_ms")
		out = rules.Applied{Proxy: c.proxy(&f), Version: uint16(f.whole("version", math.MaxUint16)), Took: f.span("lag_ms")}
	case "upstream_stats":
		f.needs("host", "n", "bad", "window")
		zone := f.place("az", c.zones)
		host, _ := f.value("host")
		replica, known := c.replica(host)
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
	case "met":
		if !c.batches {
			return spoilt{cause: "unknown kind"}
		}
		out = c.batch(&f)
	default:
		return spoilt{cause: "unknown kind"}
	}
	if f.bad != "" {
		if b, is := out.(*intake.Batch); is {
			b.Free()
		}
		return spoilt{cause: string(words[0]) + " " + f.bad, answer: string(words[0]) == "done"}
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
	r := noReport
	text, _ := f.value(name)
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, comma)
		key, of, paired := bytes.Cut(pair, colon)
		if len(pair) == 0 {
			continue
		}
		v, ok := figure(of)
		if !paired || !ok {
			f.fail(name)
		}
		config.SetLoad(&r, key, v)
	}
	return r
}

var (
	comma, colon = []byte(","), []byte(":")
	noReport     = rules.Report{Util: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
)

// batch reads what a proxy met at each replica (docs/reports.md). A record of a replica that is not known is passed
// over alone, as one that has just gone is no fault of the sender; any other fault spoils the whole.
func (c *codec) batch(f *fields) *intake.Batch {
	f.needs("sidecar", "window", "records")
	b := intake.NewBatch()
	b.Proxy, b.Over, b.Age = c.proxy(f), f.over("window"), f.span("age")
	b.Seq, b.Sent = uint32(f.whole("seq", math.MaxUint32)), rules.Time(f.whole("sent", math.MaxInt64/int(time.Millisecond)))*rules.Time(time.Millisecond)
	text, _ := f.value("records")
	for len(text) > 0 {
		var record []byte
		record, text, _ = bytes.Cut(text, comma)
		r, known, ok := c.record(f, record)
		if !ok {
			f.fail("records")
			break
		}
		if known {
			b.Records = append(b.Records, r)
		} else {
			b.Unknown++
		}
	}
	return b
}

// record reads replica:tries:dropped:milliseconds, and where there is a load report :util:inflight:milliseconds since
// it was heard.
func (c *codec) record(f *fields, text []byte) (r intake.Record, known, ok bool) {
	var words [7][]byte
	n := 0
	for more := true; more; n++ {
		if n == len(words) {
			return r, false, false
		}
		words[n], text, more = bytes.Cut(text, colon)
	}
	if n != 4 && n != 7 {
		return r, false, false
	}
	var good [6]bool
	var ms [2]float64
	r.Report = noReport
	r.Tries, good[0] = whole(words[1], math.MaxInt32)
	r.Dropped, good[1] = whole(words[2], r.Tries)
	ms[0], good[2] = figure(words[3])
	good[3], good[4], good[5] = true, true, true
	if n == 7 {
		r.Report.Util, good[3] = figure(words[4])
		r.Report.InFlight, good[4] = figure(words[5])
		ms[1], good[5] = figure(words[6])
	}
	took, inTime := f.millis(ms[0])
	heard, lately := f.millis(ms[1])
	r.Took, r.Heard = took, heard
	r.Replica, known = c.replica(words[0])
	return r, known, r.Tries > 0 && inTime && lately && good == [6]bool{true, true, true, true, true, true}
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

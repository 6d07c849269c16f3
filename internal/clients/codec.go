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
	"zincloft.example/zincloft/internal/eventqueue"
	"zincloft.example/zincloft/internal/resp"
	"zincloft.example/zincloft/rules"
)

// Words of the protocol stand in this file only.

// What a message may say besides an event of package rules.
type (
	heartbeat     struct{}                    // asks for a sign of life
	collectorJoin struct{ zone rules.ZoneID } // makes its connection a collector
	// invalidMessage is framed well and of no use.
	invalidMessage struct {
		cause             string // one of few: the peer's words are not part of it
		isAcknowledgement bool   // to a mark
	}
)

var (
	heartbeatAnswer   = resp.Append(nil, "hb_ok")
	unexpectedMessage = invalidMessage{cause: "out of place"}
	queueFull         = invalidMessage{cause: "no room for reports"}
)

// codec knows the site's names.
type codec struct {
	zones, groups       []string
	proxies             int
	maxReportedTime     time.Duration // that a message may speak of
	acceptsBatches      bool          // of single proxies' reports are taken
	ordersPairEjections bool          // governors of this fleet order proxies to shut replicas out, so one that comes may do
	replica             func([]byte) (rules.ReplicaID, bool)
	name                func(rules.ReplicaID) (string, bool)
}

func newCodec(conf config.Config, n eventqueue.ReplicaNames) codec {
	s := conf.Settings
	c := codec{zones: s.Zones, proxies: s.Proxies, maxReportedTime: conf.Bounds.MaxReportedTime, replica: n.ID, name: n.Name, acceptsBatches: conf.Operator.Intake.Enabled(),
		ordersPairEjections: conf.Operator.Intake.Reports == config.ReportsPairs}
	for _, tg := range s.Groups {
		c.groups = append(c.groups, tg.Name)
	}
	return c
}

// fields are the names and values of a message. The first that is of no use is remembered.
type fields struct {
	pairs           [][]byte // name, value, name, value
	maxReportedTime time.Duration
	invalid         string
}

func (f *fields) fail(name string) { f.invalid = cmp.Or(f.invalid, name) }

// value is that of a name; of one that is given twice, the later.
func (f *fields) value(name string) (v []byte, given bool) {
	for i := 0; i+1 < len(f.pairs); i += 2 {
		if string(f.pairs[i]) == name {
			v, given = f.pairs[i+1], true
		}
	}
	return v, given
}

func (f *fields) require(names ...string) {
	for _, name := range names {
		if _, ok := f.value(name); !ok {
			f.fail(name)
		}
	}
}

// integer reads a whole number from 0 to most; 0 if it is left out.
func (f *fields) integer(name string, most int) int {
	text, ok := f.value(name)
	if !ok {
		return 0
	}
	n, ok := parseInteger(text, most)
	if !ok {
		f.fail(name)
	}
	return n
}

func parseInteger(text []byte, most int) (int, bool) {
	n, err := strconv.Atoi(string(text))
	return n, err == nil && n >= 0 && n <= most
}

// float reads a figure from 0; 0 if it is left out.
func (f *fields) float(name string) float64 {
	text, ok := f.value(name)
	if !ok {
		return 0
	}
	v, ok := parseFloat(text)
	if !ok {
		f.fail(name)
	}
	return v
}

func parseFloat(text []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(text), 64)
	return v, err == nil && v >= 0 && v <= math.MaxInt32
}

// duration reads milliseconds. A time that nothing here can have taken is spoilt: taken for good, it would be learnt from
// for the rest of the day.
func (f *fields) duration(name string) time.Duration {
	d, ok := f.milliseconds(f.float(name))
	if !ok {
		f.fail(name)
	}
	return d
}

func (f *fields) milliseconds(ms float64) (time.Duration, bool) {
	v := ms * float64(time.Millisecond)
	if v > float64(f.maxReportedTime) {
		return 0, false
	}
	return time.Duration(math.Round(v)), true
}

func (f *fields) index(name string, in []string) int {
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
		return invalidMessage{cause: "words without a pair"}
	}
	f := fields{pairs: words[1:], maxReportedTime: c.maxReportedTime}
	var out any
	switch string(words[0]) {
	case "hb":
		out = heartbeat{}
	case "telemetry":
		out = collectorJoin{rules.ZoneID(f.index("az", c.zones))}
	case "attach":
		f.require("sidecar")
		fresh := f.integer("standing", 1) == 1
		out = rules.Joined{Proxy: c.proxy(&f), Zone: rules.ZoneID(f.index("az", c.zones)),
			FlowRate: f.float("share"), Fresh: fresh, MayHoldEjections: !fresh && c.ordersPairEjections}
	case "done":
		f.require("sidecar", "version", "lag_ms")
		out = rules.Applied{Proxy: c.proxy(&f), Version: uint16(f.integer("version", math.MaxUint16)), Delay: f.duration("lag_ms")}
	case "upstream_stats":
		f.require("host", "n", "bad", "window")
		zone := f.index("az", c.zones)
		host, _ := f.value("host")
		replica, known := c.replica(host)
		if !known {
			f.fail("host")
		}
		s := rules.EndpointStats{Replica: replica, Zone: rules.ZoneID(zone), Window: f.positiveDuration("window"), Report: f.report("report"),
			MeanLatency: f.duration("avg")}
		s.Attempts, s.Dropped = f.integer("n", math.MaxInt32), f.integer("bad", math.MaxInt32)
		if s.Dropped > s.Attempts {
			f.fail("bad")
		} else if s.Dropped < s.Attempts {
			f.require("avg")
		}
		out = s
	case "client_stats":
		f.require("sidecar", "n", "bad", "window")
		out = rules.GroupTraffic{Proxy: c.proxy(&f), Group: rules.GroupID(f.index("kind", c.groups)), Window: f.positiveDuration("window"),
			Flows: f.integer("n", math.MaxInt32), Dropped: f.integer("bad", math.MaxInt32)} // which may have come before
	case "met":
		if !c.acceptsBatches {
			return invalidMessage{cause: "unknown kind"}
		}
		out = c.batch(&f)
	default:
		return invalidMessage{cause: "unknown kind"}
	}
	if f.invalid != "" {
		if b, is := out.(*intake.Batch); is {
			b.Free()
		}
		return invalidMessage{cause: string(words[0]) + " " + f.invalid, isAcknowledgement: string(words[0]) == "done"}
	}
	return out
}

// positiveDuration reads the time that something was counted over.
func (f *fields) positiveDuration(name string) time.Duration {
	d := f.duration(name)
	if d <= 0 {
		f.fail(name)
	}
	return d
}

func (c *codec) proxy(f *fields) rules.ProxyID {
	return rules.ProxyID(f.integer("sidecar", c.proxies-1))
}

// report reads a load report. Figures that are not known are passed over.
func (f *fields) report(name string) rules.LoadReport {
	r := noReport
	text, _ := f.value(name)
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, comma)
		key, of, paired := bytes.Cut(pair, colon)
		if len(pair) == 0 {
			continue
		}
		v, ok := parseFloat(of)
		if !paired || !ok {
			f.fail(name)
		}
		config.SetLoadFigure(&r, key, v)
	}
	return r
}

var (
	comma, colon = []byte(","), []byte(":")
	noReport     = rules.LoadReport{Utilization: rules.Absent, InFlight: rules.Absent, ServiceTime: rules.Absent, Rate: rules.Absent}
)

// batch reads what a proxy met at each replica (docs/reports.md). A record of a replica that is not known is passed
// over alone, as one that has just gone is no fault of the sender; any other fault spoils the whole.
func (c *codec) batch(f *fields) *intake.Batch {
	f.require("sidecar", "window", "records")
	b := intake.NewBatch()
	b.Proxy, b.Window, b.Age = c.proxy(f), f.positiveDuration("window"), f.duration("age")
	b.Sequence, b.SentAt = uint32(f.integer("seq", math.MaxUint32)), rules.Time(f.integer("sent", math.MaxInt64/int(time.Millisecond)))*rules.Time(time.Millisecond)
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
			b.UnknownReplicas++
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
	r.Attempts, good[0] = parseInteger(words[1], math.MaxInt32)
	r.Dropped, good[1] = parseInteger(words[2], r.Attempts)
	ms[0], good[2] = parseFloat(words[3])
	good[3], good[4], good[5] = true, true, true
	if n == 7 {
		r.Report.Utilization, good[3] = parseFloat(words[4])
		r.Report.InFlight, good[4] = parseFloat(words[5])
		ms[1], good[5] = parseFloat(words[6])
	}
	took, inTime := f.milliseconds(ms[0])
	heard, lately := f.milliseconds(ms[1])
	r.MeanLatency, r.ReportAge = took, heard
	r.Replica, known = c.replica(words[0])
	return r, known, r.Attempts > 0 && inTime && lately && good == [6]bool{true, true, true, true, true, true}
}

// assignment is one part of a message to a proxy. What is empty is left out.
type assignment struct {
	groups         rules.GroupSet // 0: all
	full           bool
	weights        []weight
	level          *rules.Admit
	eject, restore []rules.ReplicaID
	mark           *rules.AckRequest
	continued      bool // by another part of the message
}

type weight struct {
	replica rules.ReplicaID
	value   float64
}

// lineCount is what the part comes to in lines of the channel.
func (p *assignment) lineCount() int {
	n := len(p.weights) + len(p.eject) + len(p.restore)
	for _, one := range []bool{p.full, p.level != nil, p.mark != nil} {
		if one {
			n++
		}
	}
	return n
}

func (c *codec) encode(b []byte, p *assignment) []byte {
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
	if len(p.weights) > 0 {
		var text []byte
		for i, l := range p.weights {
			if i > 0 {
				text = append(text, ',')
			}
			name, _ := c.name(l.replica)
			text = append(append(text, name...), ':')
			text = strconv.AppendFloat(text, l.value, 'f', -1, 32)
		}
		add("endpoints", string(text))
	}
	if p.level != nil {
		add("admit", strconv.FormatFloat(p.level.Level, 'f', -1, 32))
		add("policy", strconv.Itoa(int(p.level.Retry)))
	}
	if len(p.eject) > 0 {
		add("eject", c.join(p.eject))
	}
	if len(p.restore) > 0 {
		add("restore", c.join(p.restore))
	}
	if p.mark != nil {
		add("nonce_out", strconv.Itoa(int(p.mark.Version)))
	}
	if p.continued {
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

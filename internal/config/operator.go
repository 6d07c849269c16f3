package config

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"zincloft.example/zincloft/intake"
	"zincloft.example/zincloft/internal/collectd"
	"zincloft.example/zincloft/internal/graphite"
)

// Operator is what the operator file says: what is new since the platform's protocol, off unless set there.
type Operator struct {
	Path     string // "": there is none
	Intake   IntakeOptions
	Graphite GraphiteOptions
	Collectd CollectdOptions
	State    StateOptions
}

// StateOptions are the section [state].
type StateOptions struct {
	Dir          string        // "": nothing is kept
	SyncInterval time.Duration // from write to write; what is newer is lost at a kill
	HalfLife     time.Duration // a list of this age is trusted by half
	MaxAge       time.Duration // an older one is not used
}

// GraphiteOptions are the section [graphite].
type GraphiteOptions struct {
	Address         string // "": nothing is sent
	Prefix          string // of each path
	Interval        time.Duration
	MaxQueuedPoints int // that may wait to be sent; 0: derived
}

// CollectdOptions are the section [collectd].
type CollectdOptions struct {
	Listen           string // "": nothing is listened on
	AllowedSources   []netip.Prefix
	Security         collectd.SecurityLevel
	UsersFile        string // file of users and passwords; "": none are known
	PacketsPerSecond int
	ReplicaByHost    map[string]string // a host's replica, where the names differ
	Mappings         []collectd.Mapping
}

// IntakeOptions are the section [intake].
type IntakeOptions struct {
	Reports              Reports
	RecordsPerSecond     int           // 0: derived from the machine's limits
	HalfLife             time.Duration // a record this old counts for half
	MaxAge               time.Duration // an older one counts for nothing
	MaxPairs             int           // failing pairs remembered; 0: derived
	StreamBytesPerSecond int           // bytes a second that are read of one stream; 0: derived
}

// Reports tells what batches of single proxies are taken for.
type Reports string

// Kinds of Reports.
const (
	ReportsOff   Reports = "off"   // not taken: the message is of an unknown kind
	ReportsPairs Reports = "pairs" // for pairs that fail; collectors' sums make the fleet's
	ReportsSums  Reports = "sums"  // for the fleet's sums too, in place of collectors'
)

// Enabled tells whether batches of single proxies are taken at all.
func (o IntakeOptions) Enabled() bool { return o.Reports == ReportsPairs || o.Reports == ReportsSums }

const (
	intakeCoreShare     = 0.2      // part of the cores that intake may take
	recordCoreSeconds   = 1e-6     // seconds of a core that a record takes; measured: 0.65e-6 with its decoding
	keptRecordBytes     = 256      // memory of a kept record, in both samples, with its part of the books
	keptPairBytes       = 256      // memory of a remembered pair
	intakeMemoryDivisor = 16       // of the memory that records, and pairs, may each take
	defaultStreamBytes  = 64 << 10 // a second of one stream: a thousand records of 64 bytes
)

const (
	queuedPointBytes      = 128 // memory of a point that waits
	graphiteMemoryDivisor = 32  // of the memory that points may take
	graphiteWriteTimeout  = 5 * time.Second
	graphiteDialTimeout   = 2 * time.Second
	graphiteMaxRetryDelay = time.Minute
)

var prefixPattern = regexp.MustCompile(`^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$`)

// GraphiteOptions are what package graphite is told: options, or what follows from the machine's limits.
func (c Config) GraphiteOptions() graphite.Options {
	o := c.Operator.Graphite
	return graphite.Options{Address: o.Address, Prefix: o.Prefix + "." + graphite.SanitizePathPart(c.Name), Interval: o.Interval,
		MaxQueuedPoints: cmp.Or(o.MaxQueuedPoints, int(c.Limits.MemoryMB<<20/graphiteMemoryDivisor/queuedPointBytes)),
		WriteTimeout:    graphiteWriteTimeout, DialTimeout: graphiteDialTimeout, MaxRetryDelay: graphiteMaxRetryDelay}
}

// duration is a time with its unit, as in "250ms".
type duration time.Duration

// UnmarshalText reads it.
func (s *duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("want a time with its unit, as in \"2s\", got %q", text)
	}
	*s = duration(d)
	return nil
}

type operatorFile struct {
	Intake struct {
		Reports       string   `toml:"reports"`
		RecordsPerS   int      `toml:"records_per_s"`
		HalfLife      duration `toml:"half_life"`
		MostAge       duration `toml:"most_age"`
		Pairs         int      `toml:"pairs"`
		StreamBytesPS int      `toml:"stream_bytes_per_s"`
	} `toml:"intake"`
	Graphite struct {
		Address  string   `toml:"address"`
		Prefix   string   `toml:"prefix"`
		Interval duration `toml:"interval"`
		Points   int      `toml:"points"`
	} `toml:"graphite"`
	Collectd struct {
		Listen    string            `toml:"listen"`
		Allow     []string          `toml:"allow"`
		Security  string            `toml:"security"`
		Users     string            `toml:"users"`
		PacketsPS int               `toml:"packets_per_s"`
		Hosts     map[string]string `toml:"hosts"`
		Figures   []figureMapping   `toml:"figures"`
	} `toml:"collectd"`
	State stateSection `toml:"state"`
}

type stateSection struct {
	Dir      string   `toml:"dir"`
	Sync     duration `toml:"sync"`
	HalfLife duration `toml:"half_life"`
	MostAge  duration `toml:"most_age"`
}

type figureMapping struct {
	Figure         string   `toml:"figure"`
	Plugin         string   `toml:"plugin"`
	PluginInstance string   `toml:"plugin_instance"`
	Type           string   `toml:"type"`
	TypeInstance   string   `toml:"type_instance"`
	Value          int      `toml:"value"`
	Scale          *float64 `toml:"scale"`
	Offset         float64  `toml:"offset"`
}

var (
	figureNames = map[string]intake.LoadMetric{"util": intake.Utilization, "inflight": intake.InFlight, "latency_ms": intake.LatencyMS}
	levelNames  = map[string]collectd.SecurityLevel{"none": collectd.SecurityNone, "sign": collectd.SecuritySign, "encrypt": collectd.SecurityEncrypt}
)

// defaultOperatorFile are what holds without an operator file.
func defaultOperatorFile() (f operatorFile) {
	f.Intake.Reports = string(ReportsOff)
	f.Intake.HalfLife, f.Intake.MostAge = duration(2*time.Second), duration(10*time.Second)
	f.Graphite.Prefix, f.Graphite.Interval = "zincloft", duration(10*time.Second)
	f.Collectd.Allow, f.Collectd.Security, f.Collectd.PacketsPS = []string{"127.0.0.0/8"}, "none", 2000
	f.State.Sync, f.State.HalfLife, f.State.MostAge = duration(5*time.Second), duration(10*time.Minute), duration(24*time.Hour)
	return f
}

// OperatorError is a fault of the operator file. It names the key and its line.
type OperatorError struct {
	Path, Key string
	Line      int // 0: not known
	Problem   string
}

func (e OperatorError) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, cmp.Or(e.Key, "the file"), e.Problem)
}

// ReadOperator reads an operator file. Every key may be left out; one that is not known is a fault. No file is named
// by "": then all is at its default.
func ReadOperator(path string) (Operator, error) {
	f := defaultOperatorFile()
	var text []byte
	if path != "" {
		var err error
		if text, err = os.ReadFile(path); err != nil {
			return Operator{}, fmt.Errorf("the operator file: %w", err)
		}
	}
	decoder := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return Operator{}, decodeError(path, err)
	}
	if err := f.check(path, keyLines(text)); err != nil {
		return Operator{}, err
	}
	i, g, d := &f.Intake, &f.Graphite, &f.Collectd
	out := Operator{Path: path, Graphite: GraphiteOptions{Address: g.Address, Prefix: g.Prefix, Interval: time.Duration(g.Interval), MaxQueuedPoints: g.Points},
		Collectd: CollectdOptions{Listen: d.Listen, Security: levelNames[d.Security], UsersFile: d.Users, PacketsPerSecond: d.PacketsPS, ReplicaByHost: d.Hosts}}
	out.State = StateOptions{Dir: f.State.Dir, SyncInterval: time.Duration(f.State.Sync), HalfLife: time.Duration(f.State.HalfLife), MaxAge: time.Duration(f.State.MostAge)}
	for _, a := range d.Allow {
		prefix, _ := parsePrefix(a) // checked
		out.Collectd.AllowedSources = append(out.Collectd.AllowedSources, prefix)
	}
	for _, m := range d.Figures {
		x := collectd.Mapping{Figure: figureNames[m.Figure], Plugin: m.Plugin, PluginInstance: m.PluginInstance, Type: m.Type,
			TypeInstance: m.TypeInstance, Value: m.Value, Scale: 1, Offset: m.Offset}
		if m.Scale != nil {
			x.Scale = *m.Scale
		}
		out.Collectd.Mappings = append(out.Collectd.Mappings, x)
	}
	out.Intake = IntakeOptions{Reports: Reports(i.Reports), RecordsPerSecond: i.RecordsPerS, HalfLife: time.Duration(i.HalfLife),
		MaxAge: time.Duration(i.MostAge), MaxPairs: i.Pairs, StreamBytesPerSecond: i.StreamBytesPS}
	return out, nil
}

// parsePrefix reads a range of addresses, or one address.
func parsePrefix(text string) (netip.Prefix, error) {
	if a, err := netip.ParseAddr(text); err == nil {
		return a.Prefix(a.BitLen())
	}
	return netip.ParsePrefix(text)
}

func decodeError(path string, err error) error {
	var missing *toml.StrictMissingError
	var bad *toml.DecodeError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		first := missing.Errors[0]
		line, _ := first.Position()
		return OperatorError{path, strings.Join(first.Key(), "."), line, "no such key"}
	}
	if errors.As(err, &bad) {
		line, _ := bad.Position()
		return OperatorError{path, strings.Join(bad.Key(), "."), line, strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	return fmt.Errorf("%s: %w", path, err)
}

// check finds figures that can't be meant.
func (f *operatorFile) check(path string, at map[string]int) error {
	i, g, d := &f.Intake, &f.Graphite, &f.Collectd
	address := func(a string) bool {
		_, _, err := net.SplitHostPort(a)
		return a == "" || err == nil
	}
	allowed := !slices.ContainsFunc(d.Allow, func(a string) bool { _, err := parsePrefix(a); return err != nil })
	_, level := levelNames[d.Security]
	users := d.Users == "" && (d.Listen == "" || d.Security == "none")
	if d.Users != "" {
		_, err := os.Stat(d.Users)
		users = err == nil
	}
	mapped := d.Listen == "" || len(d.Figures) > 0
	for _, m := range d.Figures {
		_, known := figureNames[m.Figure]
		mapped = mapped && known && m.Plugin != "" && m.Type != "" && m.Value >= 0
	}
	for _, c := range []struct {
		key, what string
		good      bool
	}{
		{"graphite.address", "want a host and a port", address(g.Address)},
		{"graphite.prefix", "want words of letters, digits, - and _, joined by dots", prefixPattern.MatchString(g.Prefix)},
		{"graphite.interval", "want a second or more", g.Interval >= duration(time.Second)},
		{"graphite.points", "want 0 or more", g.Points >= 0},
		{"collectd.listen", "want a host and a port", address(d.Listen)},
		{"collectd.allow", "want addresses or ranges, as in \"10.1.0.0/16\"", allowed},
		{"collectd.security", `want "none", "sign" or "encrypt"`, level},
		{"collectd.users", "want a file that can be read; it is needed where packets must be signed or encrypted", users},
		{"collectd.packets_per_s", "want 1 or more", d.PacketsPS >= 1},
		{"state.sync", "want 100ms or more", f.State.Sync >= duration(100*time.Millisecond)},
		{"state.half_life", "want a time above 0", f.State.HalfLife > 0},
		{"state.most_age", "want no less than state.half_life", f.State.MostAge >= f.State.HalfLife},
		{"collectd.figures", "want one or more, each with figure (util, inflight or latency_ms), plugin and type", mapped},
		{"intake.reports", `want "off", "pairs" or "sums"`, i.Reports == string(ReportsOff) || i.Reports == string(ReportsPairs) || i.Reports == string(ReportsSums)},
		{"intake.records_per_s", "want 0 or more", i.RecordsPerS >= 0},
		{"intake.half_life", "want a time above 0", i.HalfLife > 0},
		{"intake.most_age", "want no less than intake.half_life", i.MostAge >= i.HalfLife},
		{"intake.pairs", "want 0 or more", i.Pairs >= 0},
		{"intake.stream_bytes_per_s", "want 0 or more", i.StreamBytesPS >= 0},
	} {
		if !c.good {
			section, _, _ := strings.Cut(c.key, ".")
			return OperatorError{path, c.key, cmp.Or(at[c.key], at[section]), c.what}
		}
	}
	return nil
}

// keyLines tells in which line each key of a file stands that has been decoded without fault.
func keyLines(text []byte) map[string]int {
	at := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		var key []string
		line := 0
		for keys := e.Key(); keys.Next(); {
			n := keys.Node()
			key = append(key, string(n.Data))
			line = p.Shape(n.Raw).Start.Line
		}
		name := strings.Join(key, ".")
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = name + "."
			if at[name] == 0 {
				at[name] = line
			}
		case unstable.KeyValue:
			at[prefix+name] = line
		}
	}
	return at
}

// IntakeSettings are what package intake is told: options, or what follows from the machine's limits.
func (c Config) IntakeSettings() intake.Settings {
	o, s := c.Operator.Intake, c.Settings.Settings
	perS := c.Limits.Cores * intakeCoreShare / recordCoreSeconds
	perS = min(perS, float64(c.Limits.MemoryMB<<20/intakeMemoryDivisor/keptRecordBytes)/s.Period.Seconds())
	if o.RecordsPerSecond > 0 {
		perS = float64(o.RecordsPerSecond)
	}
	return intake.Settings{Seed: c.Seed, Period: s.Period, Budget: max(int(perS*s.Period.Seconds()), 4),
		HalfLife: o.HalfLife, MaxAge: o.MaxAge, MaxPairs: cmp.Or(o.MaxPairs, int(c.Limits.MemoryMB<<20/intakeMemoryDivisor/keptPairBytes)), Zones: s.Zones,
		MakeStats: o.Reports == ReportsSums}
}

// StreamBytesPerSecond are the bytes a second that are read of one stream where batches are taken; 0: no bound.
func (c Config) StreamBytesPerSecond() int {
	if !c.Operator.Intake.Enabled() {
		return 0
	}
	return cmp.Or(c.Operator.Intake.StreamBytesPerSecond, defaultStreamBytes)
}

// Effective is what holds, in the operator file's form, with what was derived.
func (c Config) Effective() string {
	if c.Settings.Period == 0 { // no configuration: the usual machine
		c.Limits, c.Settings.Period = defaultLimits, time.Second
	}
	o, in, g, d := c.Operator.Intake, c.IntakeSettings(), c.GraphiteOptions(), c.Operator.Collectd
	st, security := c.Operator.State, ""
	for name, level := range levelNames {
		if level == d.Security {
			security = name
		}
	}
	return fmt.Sprintf(`[intake]
reports = %q
records_per_s = %d
half_life = %q
most_age = %q
pairs = %d
stream_bytes_per_s = %d

[graphite]
address = %q
prefix = %q
interval = %q
points = %d

[collectd]
listen = %q
allow = %q
security = %q
users = %q
packets_per_s = %d
# %d hosts are mapped by name, %d figures are read

[state]
dir = %q
sync = %q
half_life = %q
most_age = %q
`, o.Reports, int(float64(in.Budget)/in.Period.Seconds()), o.HalfLife, o.MaxAge, in.MaxPairs, cmp.Or(o.StreamBytesPerSecond, defaultStreamBytes),
		g.Address, g.Prefix, g.Interval, g.MaxQueuedPoints, d.Listen, d.AllowedSources, security, d.UsersFile, d.PacketsPerSecond, len(d.ReplicaByHost), len(d.Mappings), st.Dir, st.SyncInterval, st.HalfLife, st.MaxAge)
}
